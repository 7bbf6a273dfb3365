#include "gateway/decisions/server_fullness.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// How long a server counts as full after a refusal, doubled with each further
// one. Slots become free within tens of milliseconds.
constexpr Milliseconds MinFullTime{25};
constexpr Milliseconds MaxFullTime{100};
constexpr uint32_t MaxShift = 2;
// A server of 6 slots ends about ten requests of 60 ms in this time.
constexpr Milliseconds ReportLifetime{100};
// A report that came with a refusal is handled right before it.
constexpr Milliseconds SameResponse{5};

} // namespace

void ServerFullness::onRefused(TimePoint Now) {
  FullUntil = Now + std::min(MaxFullTime,
                             MinFullTime * (1 << std::min(Refusals, MaxShift)));
  ++Refusals;
  if (Reported > 0 && Now - ReportedAt <= SameResponse)
    Limit = std::min(Reported, Limit.value_or(Reported));
}

void ServerFullness::onReport(uint32_t Requests, TimePoint Now) {
  Reported = Requests;
  ReportedAt = Now;
}

bool ServerFullness::isFull(uint32_t OwnCalls, TimePoint Now) const {
  if (FullUntil > Now)
    return true;
  return Limit && (OwnCalls >= *Limit ||
                   (Reported >= *Limit && Now - ReportedAt < ReportLifetime));
}

} // namespace crocusspur::gateway
