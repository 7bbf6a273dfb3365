#include "gateway/decisions/role_controller.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Decode memory counts as short if at least this fraction of the requests
// doesn't get it in time.
constexpr double ShortageFraction = 0.2;
// Fewer requests per second aren't significant.
constexpr double MinReservationRate = 1;
// Required duration of a shortage, longer than the start of a burst.
constexpr Milliseconds ShortageDuration{1500};
// Fraction of the decode memory in use above which a burst of twice the usual
// demand doesn't fit, and its required duration, longer than the start of a
// burst.
constexpr double HighUtilization = 0.4;
constexpr Milliseconds HighUtilizationDuration{3000};
// Peak memory usage covers the same period as the peak prompt demand, so that
// the two can be compared.
constexpr Milliseconds PeakUsageRetention{32000};
// Maximum fraction of the remaining prefill servers' rate that the peak demand
// of the last half minute may need. The rest covers the loss of a neighbouring
// server and uneven arrivals.
constexpr double TargetUtilization = 0.9;
// Demand above this multiple of the prefill rate is more than the servers can
// process even when spread over 1.5 s. With less, bursts of a few seconds only
// make prompts wait.
constexpr double OverloadFactor = 1.5;
// One prefill server is kept as a spare for the loss of another.
constexpr uint32_t MinPrefillServers = 2;
constexpr uint32_t MinDecodeServers = 2;
// Interval between two orders: a change takes about 6 s, and its effect must be
// visible before the next one. In a larger pool one server is a smaller
// fraction, so several change at once and the interval is shorter.
constexpr Milliseconds OrderInterval{10000};
constexpr uint32_t OrderIntervalPoolSize = 9;
constexpr Milliseconds MinOrderInterval{3000};
constexpr uint32_t ServersPerChange = 12; // one server of this many at once

Milliseconds orderInterval(uint32_t Servers) {
  Milliseconds interval = OrderInterval * OrderIntervalPoolSize /
                          std::max(Servers, OrderIntervalPoolSize);
  return std::max(interval, MinOrderInterval);
}

// Prefill servers that can be spared if the others must process the load of
// `Needed` servers.
uint32_t spareServers(uint32_t PrefillServers, double Needed) {
  double kept = std::max(Needed, static_cast<double>(MinPrefillServers));
  return kept >= PrefillServers ? 0
                                : static_cast<uint32_t>(PrefillServers - kept);
}

// Number of prefill servers with which a burst uses both stages to the same
// degree: servers are divided in proportion to the need of each stage.
double balancedPrefill(const PoolView &Pool, double PrefillNeeded,
                       double DecodeNeeded) {
  double servers = Pool.PrefillServers + Pool.DecodeServers;
  return servers * PrefillNeeded / (PrefillNeeded + DecodeNeeded);
}

} // namespace

void RoleController::observe(const PoolView &Pool, TimePoint Now) {
  const StageDemand &demand = Pool.Demand;
  bool hasShortage = demand.ReservationRate >= MinReservationRate &&
                     demand.StarvedReservationRate >=
                         ShortageFraction * demand.ReservationRate;
  if (!hasShortage)
    ShortageSince.reset();
  else if (!ShortageSince)
    ShortageSince = Now;
  if (Pool.DecodeUtilization < HighUtilization)
    HighUtilizationSince.reset();
  else if (!HighUtilizationSince)
    HighUtilizationSince = Now;
  double used = Pool.DecodeUtilization * Pool.DecodeServers;
  if (used >= PeakUsedServers || Now - PeakUsedAt > PeakUsageRetention) {
    PeakUsedServers = used;
    PeakUsedAt = Now;
  }
}

std::optional<StageChange>
RoleController::decide(const PoolView &Pool, std::optional<TimePoint> LastOrder,
                       TimePoint Now) {
  observe(Pool, Now);
  uint32_t servers = Pool.PrefillServers + Pool.DecodeServers;
  if (Pool.PrefillRate <= 0 ||
      (LastOrder && Now - *LastOrder < orderInterval(servers)))
    return std::nullopt;
  double needed =
      Pool.Demand.PromptTokenRate / (Pool.PrefillRate * TargetUtilization);
  uint32_t maxServers = std::max(1U, servers / ServersPerChange);
  uint32_t change = 0;
  if (ShortageSince && Now - *ShortageSince >= ShortageDuration)
    change = spareServers(Pool.PrefillServers, needed);
  else if (HighUtilizationSince &&
           Now - *HighUtilizationSince >= HighUtilizationDuration)
    change = spareServers(Pool.PrefillServers,
                          balancedPrefill(Pool, needed, PeakUsedServers));
  if (change > 0)
    return StageChange{ServerStage::Decode, std::min(change, maxServers)};
  // A shortage of prefill servers is the more costly one: each prompt holds its
  // decode memory while it waits, so that decode memory becomes short too.
  if (needed > Pool.PrefillServers * OverloadFactor &&
      Pool.DecodeServers > MinDecodeServers) {
    auto missing = static_cast<uint32_t>(needed) - Pool.PrefillServers;
    return StageChange{ServerStage::Prefill,
                       std::clamp(missing, 1U,
                                  std::min(maxServers, Pool.DecodeServers -
                                                           MinDecodeServers))};
  }
  return std::nullopt;
}

} // namespace crocusspur::gateway
