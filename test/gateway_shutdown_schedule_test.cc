#include "gateway/decisions/shutdown_schedule.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

const ShutdownSchedule Schedule{TimePoint(Milliseconds(50000)),
                                Milliseconds(8000)};

TimePoint after(Milliseconds Time) { return Schedule.StartedAt + Time; }

} // namespace

// Guards against requests that are taken late in a shutdown and cut off by the
// exit.
TEST_CASE("Whatever is taken late in a shutdown ends before the exit") {
  for (Milliseconds now{3000}; after(now) < Schedule.closesAt();
       now += Milliseconds(10))
    for (Milliseconds limit{100}; limit <= Milliseconds(15000);
         limit += Milliseconds(100)) {
      TimePoint deadline = after(now + limit);
      CHECK(Schedule.accepts(deadline, after(now)) ==
            (deadline <= Schedule.exitsAt()));
    }
  CHECK(Schedule.accepts(after(Milliseconds(7000)), after(Milliseconds(5500))));
}

// The same fault where the limit is longer: requests of any length were taken
// until 20 s after SIGTERM.
TEST_CASE("A long limit leaves late requests no longer time") {
  ShutdownSchedule schedule{TimePoint(), Milliseconds(30000)};
  for (Milliseconds now{3000}; now < Milliseconds(24000);
       now += Milliseconds(500)) {
    TimePoint at = TimePoint() + now;
    CHECK_FALSE(schedule.accepts(schedule.exitsAt() + Milliseconds(1), at));
    CHECK(schedule.accepts(schedule.exitsAt(), at));
  }
}

// The load balancer still sends new connections then.
TEST_CASE("Requests of any length are taken right after SIGTERM") {
  CHECK(
      Schedule.accepts(after(Milliseconds(20000)), after(Milliseconds(1500))));
}

TEST_CASE("An instance exits before it is killed, earlier without requests") {
  TimePoint closed = Schedule.closesAt();
  CHECK_FALSE(Schedule.mayCloseIdle(after(Milliseconds(2500))));
  CHECK(Schedule.mayCloseIdle(after(Milliseconds(2700))));
  CHECK_FALSE(Schedule.mayExit(/*HasOpenRequests=*/false, closed, closed));
  CHECK(Schedule.mayExit(/*HasOpenRequests=*/false, closed,
                         closed + Milliseconds(600)));
  CHECK_FALSE(Schedule.mayExit(/*HasOpenRequests=*/true, closed,
                               Schedule.exitsAt() - Milliseconds(1)));
  CHECK(Schedule.mayExit(/*HasOpenRequests=*/true, closed, Schedule.exitsAt()));
  CHECK(Schedule.exitsAt() < after(Schedule.Limit));
}

TEST_CASE("A short limit leaves requests most of its time") {
  ShutdownSchedule brief{TimePoint(), Milliseconds(1000)};
  CHECK(brief.exitsAt() == TimePoint(Milliseconds(820)));
}
