#include "gateway/decisions/role_controller.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Part of the requests that find no decode memory in time from which on it
// counts as short.
constexpr double ShortageFraction = 0.2;
// Fewer requests than this a second say little.
constexpr double MinReservationRate = 1;
// How long it has to be short: a burst's edge alone isn't a reason.
constexpr Milliseconds ShortageDuration{1500};
// Part of the decode memory in use from which on a burst of twice the usual
// demand doesn't fit, and how long it has to be so: longer than a burst's edge.
constexpr double HighUtilization = 0.4;
constexpr Milliseconds HighUtilizationDuration{3000};
// The most memory in use is taken over the same time as the highest demand of
// prompts, so that the two can be compared.
constexpr Milliseconds PeakUsageRetention{32000};
// Most of the remaining prefill servers' rate that the highest demand of the
// last half minute may need. The rest is for the loss of a server's neighbour
// and for uneven arrivals.
constexpr double TargetUtilization = 0.9;
// Demand that the prefill servers can't read even if it is spread over a second
// and a half: bursts of some seconds only make prompts wait.
constexpr double OverloadFactor = 1.5;
// One prefill server is kept as a spare against a loss.
constexpr uint32_t MinPrefillServers = 2;
constexpr uint32_t MinDecodeServers = 2;
// Between two orders: a change takes some six seconds, and its effect has to be
// seen before the next. In a larger pool one server is a smaller part: several
// change at once, and orders follow each other sooner.
constexpr Milliseconds OrderInterval{10000};
constexpr uint32_t OrderIntervalPoolSize = 9;
constexpr Milliseconds MinOrderInterval{3000};
constexpr uint32_t ServersPerChange = 12; // one of so many at once

Milliseconds orderInterval(uint32_t Servers) {
  Milliseconds interval = OrderInterval * OrderIntervalPoolSize /
                          std::max(Servers, OrderIntervalPoolSize);
  return std::max(interval, MinOrderInterval);
}

// Prefill servers that can be spared if the others have to read what `Needed`
// servers can.
uint32_t spareServers(uint32_t PrefillServers, double Needed) {
  double kept = std::max(Needed, static_cast<double>(MinPrefillServers));
  return kept >= PrefillServers ? 0
                                : static_cast<uint32_t>(PrefillServers - kept);
}

// Prefill servers at which a burst fills both stages to the same part: each
// stage has servers in proportion to those that demand needs of it.
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
  // Prompts that the prefill servers can't read in time are the dearer lack:
  // each holds its decode memory while it waits, so decode memory is short too.
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
