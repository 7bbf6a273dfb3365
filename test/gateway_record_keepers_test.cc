#include "gateway/decisions/streams/record_keepers.h"

#include <doctest/doctest.h>
#include <vector>

using namespace crocusspur::gateway;

namespace {

// The ranks that are sent a record if those marked are silent.
std::vector<size_t> ranksSent(const std::vector<bool> &Silent) {
  RecordKeepers keepers(Silent.size());
  std::vector<size_t> all;
  while (true) {
    auto [begin, end] = keepers.next();
    if (begin == end)
      return all;
    for (size_t i = begin; i < end; ++i) {
      all.push_back(i);
      if (!Silent[i])
        keepers.onConfirmed();
    }
  }
}

} // namespace

// A record that its keepers hadn't confirmed was lost, and with it the means to
// take the stream up.
TEST_CASE("The next keepers in rank are sent a record for silent ones") {
  using Ranks = std::vector<size_t>;
  CHECK(ranksSent({false, false, false, false}) == Ranks{0, 1, 2});
  CHECK(ranksSent({false, true, false, false, false}) == Ranks{0, 1, 2, 3});
  CHECK(ranksSent({true, true, false, true, false, false}) ==
        Ranks{0, 1, 2, 3, 4, 5});
  CHECK(ranksSent(std::vector<bool>(20, true)).size() == MaxKeepersAsked);
  CHECK(ranksSent({false, true}) == Ranks{0, 1});
  CHECK(ranksSent({}).empty());
}
