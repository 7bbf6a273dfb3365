// At-most-once execution by idempotency key: which instance may execute a key,
// the home lease that permits it, and the records of executed keys.
#ifndef CROCUSSPUR_KEY_HOME_H
#define CROCUSSPUR_KEY_HOME_H

#include "core_context.h"

#include <memory>
#include <string>
#include <vector>

namespace crocusspur::internal {

enum class KeyAction : uint8_t {
  Execute, // here; every first byte must be sent before NotAfter
  Forward, // to Home
  Replay,  // respond with the stored outcome
  Reject,  // with Error, Run and RetryAfter
  Wait,    // former homes are being queried; see takeResolved()
};

struct KeyDecision {
  KeyAction Action = KeyAction::Reject;
  std::string Home;
  TimePoint NotAfter;
  uint64_t Fence = 0; // Execute: fencing token; 0 for tickets, which never move
  ErrorKind Error = ErrorKind::KeyLeaseMissing;
  ExecutionState Run = ExecutionState::No;
  Milliseconds RetryAfter{0};
  uint32_t HttpStatus = 0; // Replay
  std::string ContentType;
  std::string Body;
};

class KeyHome {
public:
  explicit KeyHome(const CoreOptions &Options);
  ~KeyHome();

  // Decides how to handle a request with an idempotency key. `Forwarded`: the
  // request came from another instance and must not be forwarded again.
  KeyDecision admit(CoreContext &Context, const RequestId &Id,
                    const RequestSpec &Spec, bool Forwarded);

  // The time after which no first byte of a request with this key may be sent.
  // In the past if this instance has no home lease, if no admitted request has
  // this key, or if another instance may have been the key's home since the
  // admission. Tickets have no limit.
  TimePoint dispatchLimit(const CoreContext &Context,
                          const std::string &Key) const;

  // Digest of the list for which this instance holds a home lease now; 0 if it
  // holds none.
  uint64_t leasedListDigest(TimePoint Now) const;

  // Progress of a request that was admitted with Execute. A request that ends
  // with onNotRun leaves no record, so its key can be executed later.
  void onDispatched(CoreContext &Context, const RequestId &Id);
  void onNotRun(CoreContext &Context, const RequestId &Id);
  void onOutcome(CoreContext &Context, const RequestId &Id, uint32_t HttpStatus,
                 const std::string &ContentType, const std::string &Body);
  void onOutcomeUnknown(CoreContext &Context, const RequestId &Id);

  // Removes and returns the requests that no longer wait for former homes, with
  // their decisions.
  std::vector<std::pair<RequestId, KeyDecision>>
  takeResolved(CoreContext &Context);

  void onKeyQuery(CoreContext &Context, const std::string &From,
                  const KeyQuery &Message);
  void onKeyAnswer(CoreContext &Context, const std::string &From,
                   const KeyAnswer &Message);

  // Confirmation of lists. fillHeartbeat sets the list fields, the heartbeat
  // numbers and MembershipEpoch. It must be called once for each heartbeat,
  // because the numbers differ by receiver. onHeartbeat processes these fields
  // of a peer's heartbeat.
  void fillHeartbeat(CoreContext &Context, const std::string &To,
                     Heartbeat &Message);
  void onHeartbeat(CoreContext &Context, const std::string &From,
                   uint64_t Incarnation, const Heartbeat &Message);
  uint64_t lastHeartbeatNumber() const;
  void onListChanged(CoreContext &Context);
  void onTimer(CoreContext &Context);

  // Nonces must increase: once the record of a used ticket has expired, an
  // unused ticket with a lower nonce gets the response "outcome unknown".
  std::string makeTicket(uint64_t Nonce) const;
  std::string dump(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
