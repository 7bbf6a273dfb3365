#include "gateway/decisions/run_tracker.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

TrackedRun runOn(const std::string &Server, int64_t StartedAt,
                 uint64_t Content = 7) {
  return {Content, "a1", Server, StartedAt, std::nullopt};
}

} // namespace

TEST_CASE("A restart ends the runs that were sent to the earlier process") {
  RunTracker tracker;
  tracker.start(runOn("s1", 100, 1));
  tracker.breakOff(tracker.start(runOn("s1", 100, 2)), at(0));
  tracker.start(runOn("s1", 200, 3));
  tracker.start(runOn("s2", 100, 4));
  std::vector<TrackedRun> ended = tracker.onRestarted("s1", 200, at(10));
  REQUIRE(ended.size() == 2);
  CHECK(ended[0].Content == 1);
  CHECK(ended[1].Content == 2);
  CHECK(tracker.onRestarted("s1", 200, at(20)).empty());
}

// An entry also expires if only its server's heartbeats are lost.
TEST_CASE("A server that vanished ends only its broken runs") {
  RunTracker tracker;
  RunTracker::Id running = tracker.start(runOn("s1", 100, 1));
  tracker.breakOff(tracker.start(runOn("s1", 100, 2)), at(0));
  std::vector<TrackedRun> ended = tracker.onVanished("s1", at(3600));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].Content == 2);
  CHECK(ended[0].BrokenAt == at(0));
  CHECK(tracker.end(running).has_value());
}

TEST_CASE("Runs that ended or broke off long ago aren't blamed for a restart") {
  RunTracker tracker;
  tracker.end(tracker.start(runOn("s1", 100)));
  tracker.breakOff(tracker.start(runOn("s1", 100)), at(0));
  CHECK(tracker.onRestarted("s1", 200, at(12001)).empty());
}

TEST_CASE("A server's first known start time isn't a restart") {
  RunTracker tracker;
  tracker.start(runOn("s1", 0));
  CHECK(tracker.onRestarted("s1", 200, at(10)).empty());
}
