#include "gateway/decisions/shutdown_schedule.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Fraction of the time from SIGTERM to SIGKILL that requests may use in any
// case, so that a short limit isn't spent on stopping alone.
constexpr double UsableFraction = 0.82;
// From the exit request to the end of the process: the last responses, and
// plug-ins that wait for their threads.
constexpr Milliseconds TeardownTime{800};
// From the last request taken to the exit of an instance that has answered all
// of them: requests that are on their way are refused meanwhile.
constexpr Milliseconds ClosingTime{600};
// The load balancer removes an instance after two failed probes, a second
// apart.
constexpr Milliseconds LoadBalancerRemovalTime{2600};
// Usual time of the longest requests, streams, with a margin. While more time
// than this is left before the close, the load balancer's new connections are
// served whatever the request's deadline.
constexpr Milliseconds UsualRequestTime{3900};

} // namespace

TimePoint ShutdownSchedule::closesAt() const {
  return StartedAt +
         std::chrono::duration_cast<Milliseconds>(Limit * UsableFraction) -
         ClosingTime;
}

TimePoint ShutdownSchedule::exitsAt() const {
  return std::max(closesAt() + ClosingTime, StartedAt + Limit - TeardownTime);
}

bool ShutdownSchedule::accepts(TimePoint RequestDeadline, TimePoint Now) const {
  bool mayLast = Now <= StartedAt + LoadBalancerRemovalTime &&
                 Now + UsualRequestTime <= closesAt();
  return RequestDeadline <= exitsAt() || mayLast;
}

bool ShutdownSchedule::mayCloseIdle(TimePoint Now) const {
  return Now > StartedAt + LoadBalancerRemovalTime;
}

bool ShutdownSchedule::mayExit(bool HasOpenRequests, TimePoint ClosedAt,
                               TimePoint Now) const {
  return Now >= (HasOpenRequests ? exitsAt() : ClosedAt + ClosingTime);
}

} // namespace crocusspur::gateway
