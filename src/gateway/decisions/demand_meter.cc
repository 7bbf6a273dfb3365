#include "gateway/decisions/demand_meter.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// A wait of this length uses up a large part of the time before the response
// counts as late.
constexpr Milliseconds StarvedWait{150};

int64_t secondOf(TimePoint Now) {
  return std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch())
      .count();
}

} // namespace

DemandMeter::Slice &DemandMeter::slice(TimePoint Now) {
  int64_t second = secondOf(Now);
  Slice &found = Slices[static_cast<size_t>(second) % Slices.size()];
  if (found.Second != second)
    found = {second, 0, 0, 0};
  return found;
}

void DemandMeter::onPrompt(uint64_t Tokens, TimePoint Now) {
  slice(Now).PromptTokens += Tokens;
}

void DemandMeter::onReservationEnded(Milliseconds Waited, bool Granted,
                                     TimePoint Now) {
  Slice &now = slice(Now);
  ++now.Reservations;
  if (!Granted || Waited >= StarvedWait)
    ++now.StarvedReservations;
}

StageDemand DemandMeter::rates(TimePoint Now) {
  StageDemand demand;
  int64_t last = secondOf(Now);
  auto window = Window.count();
  auto at = [&](int64_t Second) -> const Slice * {
    const Slice &found = Slices[static_cast<size_t>(Second) % Slices.size()];
    return found.Second == Second ? &found : nullptr;
  };
  uint64_t reservations = 0;
  uint64_t starved = 0;
  for (int64_t second = last - window + 1; second <= last; ++second)
    if (const Slice *found = at(second)) {
      reservations += found->Reservations;
      starved += found->StarvedReservations;
    }
  demand.ReservationRate = static_cast<double>(reservations) / Window.count();
  demand.StarvedReservationRate = static_cast<double>(starved) / Window.count();
  auto seconds = static_cast<int64_t>(Slices.size());
  for (int64_t end = last - seconds + window; end <= last; ++end) {
    uint64_t tokens = 0;
    for (int64_t second = end - window + 1; second <= end; ++second)
      if (const Slice *found = at(second))
        tokens += found->PromptTokens;
    demand.PromptTokenRate = std::max(
        demand.PromptTokenRate, static_cast<double>(tokens) / Window.count());
  }
  return demand;
}

} // namespace crocusspur::gateway
