#include "gateway/decisions/fleet/propagation_budget.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

// Left of the bound for what isn't modelled: an instance that gets little
// processor time, a packet that is sent again.
constexpr double Margin = 0.15;
// A change is sent to three peers at a time, of which one has it already.
constexpr double SpreadFactor = 3;
// Of an exchange between instances with a tenth of a core.
constexpr Milliseconds HopTime{40};
// A store that isn't slow responds within milliseconds.
constexpr Milliseconds StoreResponseTime{100};
// Tries of all instances together at a store that has failed them.
constexpr double RetriesPerSecond = 15;
constexpr Milliseconds MinRetryPause{400};
constexpr Milliseconds BatchDelayPerMember{10};
constexpr Milliseconds MinBatchDelay{400};

Milliseconds part(Milliseconds Time, double Part) {
  return Milliseconds(std::llround(static_cast<double>(Time.count()) * Part));
}

} // namespace

Milliseconds PropagationBudget::worstCase() const {
  return TakeOverAge + TakeOverSpread + ReadTime + SpreadTime;
}

PropagationBudget propagationBudget(const PropagationBounds &Bounds,
                                    size_t FleetSize, bool Selective) {
  PropagationBudget budget{};
  Milliseconds bound = std::min(Bounds.ConfigApply, Bounds.Drain);
  budget.Bound = bound;
  budget.AskPeriod = part(bound, 0.05);
  budget.AskTimeout =
      std::clamp(budget.AskPeriod, Milliseconds(100), Milliseconds(400));
  budget.NotificationDelay = part(bound, 0.02);
  budget.BehindPatience = Selective ? budget.AskPeriod : 2 * budget.AskPeriod;
  double hops =
      std::ceil(std::log(static_cast<double>(std::max<size_t>(FleetSize, 2))) /
                std::log(SpreadFactor));
  // Those that the notifications miss ask.
  budget.SpreadTime =
      part(budget.NotificationDelay + HopTime, hops) + 2 * budget.AskPeriod;
  budget.ReadTime = StoreResponseTime;

  Milliseconds takeOver =
      bound - part(bound, Margin) - budget.SpreadTime - budget.ReadTime;
  budget.TakeOverSpread = part(takeOver, 0.25);
  budget.TakeOverAge = takeOver - budget.TakeOverSpread;
  // Two tries to ask before the first takes over.
  budget.AskAge = budget.TakeOverAge - 2 * budget.AskPeriod;
  budget.KnowledgeLifetime = takeOver + budget.ReadTime;
  budget.RetryPause = std::max(
      MinRetryPause, Milliseconds(std::llround(static_cast<double>(FleetSize) *
                                               1000 / RetriesPerSecond)));
  budget.MinWatchWait = budget.AskAge;
  budget.MaxWatchWait = part(budget.AskAge, 1.6);
  budget.BatchDelay =
      std::clamp(BatchDelayPerMember * static_cast<int64_t>(FleetSize),
                 std::min(MinBatchDelay, part(bound, 0.2)), part(bound, 0.2));
  return budget;
}

} // namespace crocusspur::gateway
