#include "gateway/decisions/role_controller.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Part of the requests that find no decode memory in time from which on it
// counts as short.
constexpr double ShortPart = 0.2;
// Fewer requests than this a second say little.
constexpr double LeastWanted = 1;
// How long it has to be short: a burst's edge alone isn't a reason.
constexpr Milliseconds ShortTime{1500};
// Part of the decode memory in use from which on a burst of twice the usual
// demand doesn't fit, and how long it has to be so: longer than a burst's edge.
constexpr double FullPart = 0.4;
constexpr Milliseconds FullTime{3000};
// The most memory in use is taken over the same time as the highest demand of
// prompts, so that the two can be compared.
constexpr Milliseconds MostUsedTime{32000};
// Most of the remaining prefill servers' rate that the highest demand of the
// last half minute may need. The rest is for the loss of a server's neighbour
// and for uneven arrivals.
constexpr double UsedPart = 0.9;
// Demand that the prefill servers can't read even if it is spread over a second
// and a half: bursts of some seconds only make prompts wait.
constexpr double OverUsed = 1.5;
// One prefill server is kept as a spare against a loss.
constexpr uint32_t LeastPrefill = 2;
constexpr uint32_t LeastDecode = 2;
// Between two orders: a change takes some six seconds, and its effect has to be
// seen before the next. In a larger pool one server is a smaller part: several
// change at once, and orders follow each other sooner.
constexpr Milliseconds OrderPause{10000};
constexpr uint32_t OrderPausePool = 9;
constexpr Milliseconds LeastOrderPause{3000};
constexpr uint32_t ServersPerChange = 12; // one of so many at once

Milliseconds orderPause(uint32_t Servers) {
  Milliseconds pause =
      OrderPause * OrderPausePool / std::max(Servers, OrderPausePool);
  return std::max(pause, LeastOrderPause);
}

// Prefill servers that can be spared if the others have to read what `Needed`
// servers can.
uint32_t spare(uint32_t PrefillServers, double Needed) {
  double kept = std::max(Needed, static_cast<double>(LeastPrefill));
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
  bool isShort =
      demand.ReservationRate >= LeastWanted &&
      demand.StarvedReservationRate >= ShortPart * demand.ReservationRate;
  if (!isShort)
    ShortSince.reset();
  else if (!ShortSince)
    ShortSince = Now;
  if (Pool.DecodeUtilization < FullPart)
    FullSince.reset();
  else if (!FullSince)
    FullSince = Now;
  double used = Pool.DecodeUtilization * Pool.DecodeServers;
  if (used >= MostUsed || Now - MostUsedAt > MostUsedTime) {
    MostUsed = used;
    MostUsedAt = Now;
  }
}

std::optional<StageChange>
RoleController::decide(const PoolView &Pool, std::optional<TimePoint> LastOrder,
                       TimePoint Now) {
  observe(Pool, Now);
  uint32_t servers = Pool.PrefillServers + Pool.DecodeServers;
  if (Pool.PrefillRate <= 0 ||
      (LastOrder && Now - *LastOrder < orderPause(servers)))
    return std::nullopt;
  double needed = Pool.Demand.PromptTokenRate / (Pool.PrefillRate * UsedPart);
  uint32_t most = std::max(1U, servers / ServersPerChange);
  uint32_t change = 0;
  if (ShortSince && Now - *ShortSince >= ShortTime)
    change = spare(Pool.PrefillServers, needed);
  else if (FullSince && Now - *FullSince >= FullTime)
    change =
        spare(Pool.PrefillServers, balancedPrefill(Pool, needed, MostUsed));
  if (change > 0)
    return StageChange{ServerStage::Decode, std::min(change, most)};
  // Prompts that the prefill servers can't read in time are the dearer lack:
  // each holds its decode memory while it waits, so decode memory is short too.
  if (needed > Pool.PrefillServers * OverUsed &&
      Pool.DecodeServers > LeastDecode) {
    auto missing = static_cast<uint32_t>(needed) - Pool.PrefillServers;
    return StageChange{
        ServerStage::Prefill,
        std::clamp(missing, 1U,
                   std::min(most, Pool.DecodeServers - LeastDecode))};
  }
  return std::nullopt;
}

} // namespace crocusspur::gateway
