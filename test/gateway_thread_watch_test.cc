// A thread that hangs has no sign of its own: peers and callers only see that
// nothing responds.
#include "gateway/thread_watch.h"

#include <doctest/doctest.h>
#include <memory>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr Milliseconds Second{1000};

} // namespace

TEST_CASE("Work that doesn't end is reported once, and its end") {
  ThreadWatch watch;
  auto work = std::make_unique<ThreadWatch::Work>(watch, "rounds", 2 * Second);
  CHECK(watch.check(Second).empty());
  CHECK(watch.check(Second).empty());
  CHECK(watch.stuck() == 0);
  auto found = watch.check(Second);
  REQUIRE(found.size() == 1);
  CHECK(found[0].Name == "rounds");
  CHECK(found[0].IsStuck);
  CHECK(found[0].For == 3 * Second);
  CHECK(watch.stuck() == 1);
  CHECK(watch.check(Second).empty());

  work.reset();
  CHECK(watch.stuck() == 0);
  found = watch.check(Second);
  REQUIRE(found.size() == 1);
  CHECK_FALSE(found[0].IsStuck);
  CHECK(found[0].For == 4 * Second);
  CHECK(watch.check(Second).empty());
}

// A thread that begins each turn anew never reaches its bound.
TEST_CASE("Work that ends in time isn't reported") {
  ThreadWatch watch;
  for (int i = 0; i < 10; ++i) {
    ThreadWatch::Work work(watch, "rounds", 2 * Second);
    CHECK(watch.check(Second).empty());
    CHECK(watch.check(Second).empty());
  }
  CHECK(watch.check(Second).empty());
}

TEST_CASE("Each unit of work is watched for itself") {
  ThreadWatch watch;
  ThreadWatch::Work older(watch, "frames", 2 * Second);
  watch.check(Second);
  watch.check(Second);
  ThreadWatch::Work newer(watch, "frames", 2 * Second);
  CHECK(watch.check(Second).size() == 1);
  CHECK(watch.check(Second).empty());
  CHECK(watch.check(Second).size() == 1);
  CHECK(watch.stuck() == 2);
}
