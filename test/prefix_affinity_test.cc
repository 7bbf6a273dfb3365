#include "prefix_affinity.h"

#include <doctest/doctest.h>
#include <set>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

std::vector<PrefillCandidate> servers(std::vector<uint32_t> Loads,
                                      uint32_t Slots = 8) {
  std::vector<PrefillCandidate> made;
  for (size_t i = 0; i < Loads.size(); ++i)
    made.push_back({"p" + std::to_string(i), Loads[i], Loads[i] < Slots});
  return made;
}

CacheEventsReported events(uint64_t First, std::vector<CacheChange> Changes) {
  return {"p0", First, std::move(Changes)};
}

} // namespace

// Guards against prompts with a common prefix on different servers, and against
// one server that gets all prefixes.
TEST_CASE("PrefixAffinity sends a prefix to one server and spreads prefixes") {
  PrefixAffinity it;
  std::set<std::string> used;
  for (uint64_t prefix = 1; prefix <= 40; ++prefix) {
    std::string first = it.choose({prefix, 7}, servers({0, 0, 0, 0}));
    CHECK(it.choose({prefix, 8, 9}, servers({1, 1, 1, 1})) == first);
    used.insert(first);
  }
  CHECK(used.size() == 4);
}

// Guards against a hot prefix that overloads its server.
TEST_CASE("PrefixAffinity skips servers above 1.25 times the mean load") {
  PrefixAffinity it;
  std::string first = it.choose({1}, servers({0, 0, 0, 0}));
  auto loaded = servers({2, 2, 2, 2});
  for (PrefillCandidate &server : loaded)
    if (server.Name == first)
      server.Load = 4;
  CHECK(it.choose({1}, loaded) != first);
  CHECK(it.choose({1}, servers({8, 8, 8, 8})).empty());
  CHECK(it.choose({}, servers({3, 1, 2, 2})) == "p1");
}

// Guards against expected cache contents that are never corrected.
TEST_CASE("PrefixAffinity applies cache events and discards all at a gap") {
  PrefixAffinity it;
  it.onPrefill("p0", {1, 2, 3});
  CHECK(it.cachedBlocks("p0", {1, 2, 3, 4}) == 3);
  it.onEvents(events(10, {{2, false}}));
  CHECK(it.cachedBlocks("p0", {1, 2, 3, 4}) == 1);
  it.onEvents(events(11, {{2, true}}));
  CHECK(it.cachedBlocks("p0", {1, 2, 3, 4}) == 3);
  it.onEvents(events(10, {{2, false}})); // seen before
  CHECK(it.cachedBlocks("p0", {1, 2, 3, 4}) == 3);
  it.onEvents(events(20, {{1, true}}));
  CHECK(it.cachedBlocks("p0", {1, 2, 3, 4}) == 1);
}

// Guards against a prefix that is computed again although another server has
// cached it.
TEST_CASE("PrefixAffinity prefers the server that holds the longest prefix") {
  PrefixAffinity it;
  std::string first = it.choose({1, 2}, servers({0, 0, 0}));
  std::string other = first == "p0" ? "p1" : "p0";
  it.onPrefill(other, {1, 2});
  CHECK(it.choose({1, 2, 3}, servers({0, 0, 0})) == other);
}
