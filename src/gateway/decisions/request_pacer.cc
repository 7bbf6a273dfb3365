#include "gateway/decisions/request_pacer.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Unused slots are kept for this long, since demand doesn't come evenly.
constexpr Milliseconds SlotRetention{1000};
// A server that states almost nothing still gets a call in this time, since
// only its responses show that the limit has changed.
constexpr double MinPerSecond = 0.25;
// Charges delay the schedule by at most this much.
constexpr Milliseconds MaxDebt{4000};
constexpr double CautiousFraction = 0.5;

} // namespace

RequestPacer::Interval RequestPacer::intervalAt(double PerSecond,
                                                TimePoint Now) {
  double rate = std::max(PerSecond, MinPerSecond);
  if (Now < CautiousUntil)
    rate *= CautiousFraction;
  auto interval = std::chrono::duration_cast<Interval>(
      std::chrono::duration<double>(1 / rate));
  // Slots given out at another rate are moved to the present one.
  if (LastInterval.count() > 0 && LastInterval != interval && Next > Now)
    Next = Now + std::chrono::duration_cast<Interval>(
                     std::chrono::duration<double>(Next - Now) *
                     (static_cast<double>(interval.count()) /
                      static_cast<double>(LastInterval.count())));
  LastInterval = interval;
  return interval;
}

TimePoint RequestPacer::firstSlot(TimePoint Now) const {
  return std::max(Next, Now - SlotRetention);
}

PaceDecision RequestPacer::request(double PerSecond, uint32_t Calls,
                                   Milliseconds MaxDelay, TimePoint Now) {
  Interval interval = intervalAt(PerSecond, Now);
  TimePoint slot = firstSlot(Now);
  Milliseconds delay =
      std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(slot - Now));
  if (delay > MaxDelay)
    return {false, delay};
  Next = slot + interval * Calls;
  return {true, delay};
}

void RequestPacer::charge(double PerSecond, int32_t Calls, TimePoint Now) {
  Interval interval = intervalAt(PerSecond, Now);
  TimePoint moved = firstSlot(Now) + interval * Calls;
  if (Calls > 0)
    moved = std::max(Next, std::min(moved, Now + MaxDebt));
  Next = moved;
}

} // namespace crocusspur::gateway
