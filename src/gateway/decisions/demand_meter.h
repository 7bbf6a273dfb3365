// Measures the demand for the prefill and decode stages of a service at one
// instance over the last seconds. Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_DEMAND_METER_H
#define CROCUSSPUR_GATEWAY_DEMAND_METER_H

#include "crocusspur/types.h"

#include <array>
#include <cstdint>

namespace crocusspur::gateway {

// Rates of one service. The rates of several instances can be summed.
struct StageDemand {
  double PromptTokenRate = 0; // per second, maximum over recent windows
  double ReservationRate = 0; // for decode memory per second, last window
  double StarvedReservationRate = 0; // those with a long wait or no grant
};

class DemandMeter {
public:
  void onPrompt(uint64_t Tokens, TimePoint Now);
  // Records the end of a wait for decode memory, granted or not.
  void onReservationEnded(Milliseconds Waited, bool Granted, TimePoint Now);
  StageDemand rates(TimePoint Now);

private:
  // Rates are averaged over windows of this length.
  static constexpr std::chrono::seconds Window{4};
  static constexpr size_t WindowCount = 8; // for the maximum

  struct Slice {
    int64_t Second = -1;
    uint64_t PromptTokens = 0;
    uint32_t Reservations = 0;
    uint32_t StarvedReservations = 0;
  };

  Slice &slice(TimePoint Now);

  std::array<Slice, static_cast<size_t>(Window.count()) * WindowCount> Slices;
};

} // namespace crocusspur::gateway

#endif
