#include "gateway/decisions/role_control.h"

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
constexpr double FullPart = 0.55;
constexpr Milliseconds FullTime{3000};
// The burst that the prefill servers must be able to read then, as a multiple
// of the demand that has been seen.
constexpr double ExpectedBurst = 2;
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
// Between two orders for a pool of this size: a change takes some six seconds,
// and its effect has to be seen before the next. In a larger pool one server is
// a smaller part, and orders follow each other sooner.
constexpr Milliseconds OrderPause{10000};
constexpr uint32_t OrderPausePool = 9;
constexpr Milliseconds LeastOrderPause{1000};

} // namespace

std::optional<ServerStage>
RoleControl::decide(const PoolView &Pool, std::optional<TimePoint> LastOrder,
                    TimePoint Now) {
  const StageDemand &demand = Pool.Demand;
  bool isShort = demand.PlacesWanted >= LeastWanted &&
                 demand.PlacesStarved >= ShortPart * demand.PlacesWanted;
  if (!isShort)
    ShortSince.reset();
  else if (!ShortSince)
    ShortSince = Now;
  if (Pool.DecodeUse < FullPart)
    FullSince.reset();
  else if (!FullSince)
    FullSince = Now;
  uint32_t servers = Pool.PrefillServers + Pool.DecodeServers;
  Milliseconds pause =
      OrderPause * OrderPausePool / std::max(servers, OrderPausePool);
  if (Pool.PrefillRate <= 0 ||
      (LastOrder && Now - *LastOrder < std::max(pause, LeastOrderPause)))
    return std::nullopt;
  double needed = demand.PromptTokens / (Pool.PrefillRate * UsedPart);
  bool prefillSpare =
      Pool.PrefillServers > LeastPrefill && needed <= Pool.PrefillServers - 1.0;
  if (ShortSince && Now - *ShortSince >= ShortTime && prefillSpare)
    return ServerStage::Decode;
  if (FullSince && Now - *FullSince >= FullTime && prefillSpare &&
      ExpectedBurst * needed <= Pool.PrefillServers - 1.0)
    return ServerStage::Decode;
  // Prompts that the prefill servers can't read in time are the dearer lack:
  // the decode servers then read them slowly, between the tokens of others.
  if (needed > Pool.PrefillServers * OverUsed && !isShort &&
      Pool.DecodeServers > LeastDecode)
    return ServerStage::Prefill;
  return std::nullopt;
}

} // namespace crocusspur::gateway
