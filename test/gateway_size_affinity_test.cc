#include "gateway/decisions/size_affinity.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

std::vector<ServerChoice> servers(int Count) {
  std::vector<ServerChoice> all;
  for (int i = 0; i < Count; ++i) {
    ServerChoice it;
    it.Id = std::string(1, static_cast<char>('a' + i / 10)) +
            std::to_string(i % 10);
    all.push_back(it);
  }
  return all;
}

} // namespace

TEST_CASE("The cumulative share counts the memory of smaller requests") {
  SizeAffinity affinity;
  CHECK_FALSE(affinity.cumulativeShare(1000).has_value());
  for (int i = 0; i < 80; ++i)
    affinity.add(1000);
  for (int i = 0; i < 20; ++i)
    affinity.add(4000);
  CHECK(affinity.cumulativeShare(1000) == doctest::Approx(0.25));
  CHECK(affinity.cumulativeShare(4000) == doctest::Approx(0.75));
  CHECK(affinity.cumulativeShare(100) == doctest::Approx(0));
  CHECK(affinity.cumulativeShare(9000) == doctest::Approx(1));
}

// Guards against a division by a total of zero.
TEST_CASE("Requests without a size have no cumulative share") {
  SizeAffinity affinity;
  for (int i = 0; i < 100; ++i)
    affinity.add(0);
  CHECK_FALSE(affinity.cumulativeShare(0).has_value());
}

// The subset is half of the servers in rank order, of which the first `Count`
// are returned.
TEST_CASE("A subset keeps the rank order of its servers") {
  std::vector<ServerChoice> ranked = servers(40);
  std::reverse(ranked.begin(), ranked.end());
  std::vector<ServerChoice> small = subsetFor(ranked, 0.0, 5);
  REQUIRE(small.size() == 5);
  CHECK(small.front().Id == "b9");
  CHECK(small.back().Id == "b5");
  std::vector<ServerChoice> large = subsetFor(ranked, 1.0, 5);
  CHECK(large.front().Id == "d9");
  CHECK(large.back().Id == "d5");
  CHECK(subsetFor(ranked, 0.0, 20).back().Id == "a0");
  CHECK(subsetFor(ranked, std::nullopt, 5).front().Id == "d9");
}

TEST_CASE("Failing servers belong to no subset") {
  std::vector<ServerChoice> ranked = servers(40);
  ranked[39].Failing = true;
  std::vector<ServerChoice> subset = subsetFor(ranked, 1.0, 20);
  CHECK(subset.front().Id == "b9");
  CHECK(subset.back().Id == "d8");
}

TEST_CASE("A small pool has no subsets") {
  std::vector<ServerChoice> ranked = servers(9);
  CHECK(subsetFor(ranked, 1.0, 3).front().Id == "a0");
  CHECK(subsetFor(ranked, 0.0, 9).size() == 9);
}

TEST_CASE("With few healthy servers all are asked, failing ones last") {
  std::vector<ServerChoice> ranked = servers(3);
  ranked[2].Failing = true;
  CHECK(subsetFor(ranked, 0.5, 3).size() == 3);
  CHECK(subsetFor(ranked, 0.5, 3).back().Id == "a2");
}

namespace {

// The users' larger site: 59 decode servers with memory for 38,254 tokens each.
// Requests need 5,300 tokens on average for 3.2 s, and there are two fifths
// more of them than fit. Each asks a quarter of the servers every 40 ms until
// its first output would be late.
constexpr int Servers = 59;
constexpr double Capacity = 38254;
constexpr double ArrivalsPerSecond = 190;
constexpr int64_t StayMs = 3200;
constexpr int64_t AttemptIntervalMs = 40;
constexpr int64_t EndMs = 60000;

struct ServedShares {
  double Smallest = 0; // tenth of the requests, fraction that got memory
  double Largest = 0;
  double All = 0; // fraction of all requested tokens
};

ServedShares simulate(bool UseSubsets) {
  std::mt19937_64 random(11);
  std::exponential_distribution<double> gap(ArrivalsPerSecond / 1000);
  std::lognormal_distribution<double> size(std::log(4470), 0.5);
  std::vector<ServerChoice> all = servers(Servers);
  std::map<std::string, double> freeTokens;
  for (const ServerChoice &it : all)
    freeTokens[it.Id] = Capacity;
  struct Waiter {
    uint64_t Tokens;
    int64_t NextAttempt;
    int64_t ExpiresAt;
  };
  std::vector<Waiter> waiting;
  std::multimap<int64_t, std::pair<std::string, double>> ends;
  std::vector<std::pair<uint64_t, bool>> done;
  SizeAffinity affinity;
  double next = gap(random);
  for (int64_t ms = 0; ms < EndMs; ++ms) {
    while (!ends.empty() && ends.begin()->first <= ms) {
      freeTokens[ends.begin()->second.first] += ends.begin()->second.second;
      ends.erase(ends.begin());
    }
    for (; next <= static_cast<double>(ms); next += gap(random)) {
      auto tokens =
          static_cast<uint64_t>(std::min(11000.0, size(random)) + 300);
      affinity.add(tokens);
      waiting.push_back(
          {tokens, ms, ms + 800 - static_cast<int64_t>(tokens / 30)});
    }
    std::shuffle(waiting.begin(), waiting.end(), random);
    std::erase_if(waiting, [&](Waiter &It) {
      if (ms >= It.ExpiresAt) {
        done.emplace_back(It.Tokens, false);
        return true;
      }
      if (ms < It.NextAttempt)
        return false;
      It.NextAttempt = ms + AttemptIntervalMs;
      std::shuffle(all.begin(), all.end(), random);
      auto share =
          UseSubsets ? affinity.cumulativeShare(It.Tokens) : std::nullopt;
      for (const ServerChoice &it : subsetFor(all, share, Servers / 4)) {
        auto tokens = static_cast<double>(It.Tokens);
        if (freeTokens[it.Id] < tokens)
          continue;
        freeTokens[it.Id] -= tokens;
        ends.emplace(ms + StayMs, std::pair(it.Id, tokens));
        done.emplace_back(It.Tokens, true);
        return true;
      }
      return false;
    });
  }
  std::sort(done.begin(), done.end());
  auto part = [&](size_t From, size_t To) {
    return static_cast<double>(
               std::count_if(done.begin() + static_cast<std::ptrdiff_t>(From),
                             done.begin() + static_cast<std::ptrdiff_t>(To),
                             [](const auto &It) { return It.second; })) /
           static_cast<double>(To - From);
  };
  ServedShares result;
  result.Smallest = part(0, done.size() / 10);
  result.Largest = part(done.size() - done.size() / 10, done.size());
  double requested = 0;
  double granted = 0;
  for (const auto &[tokens, found] : done) {
    requested += static_cast<double>(tokens);
    granted += found ? static_cast<double>(tokens) : 0;
  }
  result.All = granted / requested;
  return result;
}

} // namespace

// With subsets no size may be served less than half as often as all requests,
// and the memory must be used about as well as without them.
TEST_CASE("Large requests get memory while all of it is in use") {
  ServedShares affinity = simulate(true);
  ServedShares unrestricted = simulate(false);
  CAPTURE(unrestricted.Smallest);
  CAPTURE(unrestricted.Largest);
  CAPTURE(unrestricted.All);
  CAPTURE(affinity.Smallest);
  CAPTURE(affinity.Largest);
  CAPTURE(affinity.All);
  CHECK(affinity.Largest > 0.5 * affinity.All);
  CHECK(affinity.Smallest > 0.5 * affinity.All);
  CHECK(unrestricted.Largest < 0.5 * unrestricted.All);
  CHECK(affinity.All > 0.95 * unrestricted.All);
}
