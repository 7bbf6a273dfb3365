// The decision core: a pure function of events and time. It has no sockets,
// clock, threads or unseeded randomness, so the live process, `crocusspur
// replay` and the tests get the same actions from the same events.
#ifndef CROCUSSPUR_DECISION_CORE_H
#define CROCUSSPUR_DECISION_CORE_H

#include "crocusspur/action.h"
#include "crocusspur/event.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur {

// How requests are placed on a model's servers. The first four are baselines to
// compare Pool with.
enum class PlacementPolicy : uint8_t {
  RoundRobin, // next server in turn, no reservation, no owner
  LeastLoad,  // least reported load, no reservation, no owner
  SplitSlots, // each instance has its own part of the slots, no owner
  HoldSlot,   // owner; a slot is held from the start of the prefill
  Pool,       // owner of the pool; starts prefills by expected free slots
};

struct CoreOptions {
  std::string Instance; // this instance's name in the published list
  std::string Region;
  std::string FailureDomain;
  uint64_t Incarnation = 1;
  uint64_t TicketKey = 0; // hash of the shared key; signs tickets

  PlacementPolicy Policy = PlacementPolicy::Pool;
  double PrefillWasteBound = 0.01; // probability that a result finds no slot
  Milliseconds InteractiveWaitBound{250};
  double RetryBudgetRatio = 0.1;  // ratio of retries to first attempts
  uint32_t RetryBudgetFloor = 10; // retries always allowed per 10 s

  Milliseconds HeartbeatPeriod{500};
  Milliseconds LeasePeriod{2000};
  Milliseconds ProgressTimeout{5000}; // backend streams and calls
  Milliseconds KeyRetention{600000};
  Milliseconds ClockMargin{5000}; // between wall clocks, for key issue times
  uint32_t MaxRequests = 4096;    // open requests at this entry instance
  uint32_t MaxRememberedKeys = 100000;
  uint32_t WatchersPerDomain = 2; // instances that read the platform
};

class DecisionCore {
public:
  explicit DecisionCore(CoreOptions Options);
  ~DecisionCore();
  DecisionCore(const DecisionCore &) = delete;
  DecisionCore &operator=(const DecisionCore &) = delete;

  // Processes one event and appends the resulting actions in the order in which
  // they must be executed. Times of successive events must not decrease.
  void handle(const Event &Event, ActionList &Actions);

  // Returns the whole state as a JSON document. It contains no prompt, token or
  // idempotency key in plain text.
  std::string dumpState(TimePoint Now) const;

  // Returns the version of the last published document that was evaluated,
  // whether or not it became active.
  uint64_t lastEvaluatedConfig() const;

  // Returns the number of waiting requests of each shard that this instance
  // owns.
  std::vector<std::pair<std::string, uint32_t>> queueLengths() const;

  // Creates a ticket: an idempotency key that only this incarnation of this
  // instance executes. `Nonce` must increase within the incarnation.
  std::string makeTicket(uint64_t Nonce) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur

#endif
