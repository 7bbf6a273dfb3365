#include "gateway/decisions/start_wait.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// An instance that has no documents this long after its start is cut off, or
// the store is away. Its callers do better elsewhere.
constexpr Milliseconds StartPhase{3000};
// Latency targets of streams are 800 ms and more.
constexpr Milliseconds MaxWait{600};
// Part of the caller's time. A caller that is rejected later has too little
// time left to come back.
constexpr int TimeLeftDivisor = 4;
// Each waiting request holds a thread and its body in memory.
constexpr size_t MaxWaiting = 64;

} // namespace

std::optional<TimePoint> StartWait::join(std::optional<Milliseconds> TimeLeft,
                                         TimePoint Now) {
  if (Now >= Started + StartPhase || Waiting >= MaxWaiting)
    return std::nullopt;
  Milliseconds wait = MaxWait;
  if (TimeLeft)
    wait = std::min(wait, *TimeLeft / TimeLeftDivisor);
  TimePoint until = std::min(Now + wait, Started + StartPhase);
  ++Waiting;
  return until;
}

} // namespace crocusspur::gateway
