// Demand for the two stages of a service as one instance sees it, over the last
// seconds. Pure.
#ifndef CROCUSSPUR_GATEWAY_DEMAND_METER_H
#define CROCUSSPUR_GATEWAY_DEMAND_METER_H

#include "crocusspur/types.h"

#include <array>
#include <cstdint>

namespace crocusspur::gateway {

// Rates of one service; sums of several instances add up.
struct StageDemand {
  double PromptTokenRate = 0;        // a second, the most in any window lately
  double ReservationRate = 0;        // requests for decode memory a second, now
  double StarvedReservationRate = 0; // those that waited long or in vain, now
};

class DemandMeter {
public:
  void onPrompt(uint64_t Tokens, TimePoint Now);
  // A request for decode memory ended, with or without it.
  void onReservationEnded(Milliseconds Waited, bool Granted, TimePoint Now);
  StageDemand rates(TimePoint Now);

private:
  // Rates are taken over windows of this length.
  static constexpr std::chrono::seconds Window{4};
  static constexpr size_t WindowCount = 8; // that the most is taken over

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
