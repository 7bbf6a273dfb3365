// Divides the time within which a published change must be in force at all
// instances among the steps of its way: the store has it, an instance reads it,
// the instances tell each other. Each wait on that way is taken from here, so
// that their sum stays below the bound for any bound and any fleet. Does no
// I/O.
//
// docs/design/change-propagation.md has the table of the steps.
#ifndef CROCUSSPUR_GATEWAY_DECISIONS_FLEET_PROPAGATION_BUDGET_H
#define CROCUSSPUR_GATEWAY_DECISIONS_FLEET_PROPAGATION_BUDGET_H

#include "crocusspur/types.h"

#include <cstddef>
#include <cstdint>

namespace crocusspur::gateway {

// The operators' bounds, from the store's acknowledgement of a change.
struct PropagationBounds {
  Milliseconds ConfigApply{3000}; // until a configuration is in force
  Milliseconds Drain{3000}; // until a leaving server gets no more requests

  bool operator==(const PropagationBounds &) const = default;
};

// The least bound that can be held in a fleet whose instances all read.
inline constexpr Milliseconds MinPropagationBound{1000};

struct PropagationBudget {
  Milliseconds Bound; // the tighter of the bounds

  // An instance whose knowledge of the store is older than this asks a peer for
  // newer knowledge, first after the period and then after up to four of it.
  Milliseconds AskAge;
  Milliseconds AskPeriod;
  Milliseconds AskTimeout; // of such an exchange, and of a notification
  // One whose knowledge is older than this reads in place of those that read:
  // the first in order, and the last so much later.
  Milliseconds TakeOverAge;
  Milliseconds TakeOverSpread;
  // Beyond this age the store counts as lost.
  Milliseconds KnowledgeLifetime;
  // One that the store has failed doesn't try again in place of others for
  // this time, so that few try at a time, whatever the size of the fleet.
  Milliseconds RetryPause;

  // Of the calls of those that read: a wait for changes, and the pause after
  // one, in which further changes gather.
  Milliseconds MinWatchWait;
  Milliseconds MaxWatchWait;
  Milliseconds BatchDelay;

  // Before a change is sent on, and until a change that others have and that
  // wasn't sent is asked for.
  Milliseconds NotificationDelay;
  Milliseconds BehindPatience;

  // Worst cases of what isn't a wait: one call of the store that responds, and
  // the way of a change from one instance to all others.
  Milliseconds ReadTime;
  Milliseconds SpreadTime;

  // The longest time from the acknowledgement of a change until it is in force
  // everywhere, whoever fails, as long as the store responds to some.
  Milliseconds worstCase() const;
};

// `FleetSize`: instances, this one included. `Selective`: few of them read.
PropagationBudget propagationBudget(const PropagationBounds &Bounds,
                                    size_t FleetSize, bool Selective);

} // namespace crocusspur::gateway

#endif
