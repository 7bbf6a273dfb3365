// At-most-once execution by idempotency key: which instance may execute a key,
// the home lease that lets it, and the memory of keys it has executed.
#ifndef CROCUSSPUR_KEY_HOME_H
#define CROCUSSPUR_KEY_HOME_H

#include "core_context.h"

#include <memory>
#include <string>
#include <vector>

namespace crocusspur::internal {

enum class KeyAction : uint8_t {
  Execute, // here, with every first byte sent before NotAfter
  Forward, // to Home
  Replay,  // answer with the stored outcome
  Reject,  // with Error, Run and RetryAfter
  Wait,    // former homes are being asked; see takeResolved()
};

struct KeyDecision {
  KeyAction Action = KeyAction::Reject;
  std::string Home;
  TimePoint NotAfter;
  uint64_t Fence = 0; // Execute: of the home; 0 for tickets, which never move
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

  // Decides on a request that has an idempotency key. `Forwarded`: it came
  // from another instance and is not forwarded again.
  KeyDecision admit(CoreContext &Context, const RequestId &Id,
                    const RequestSpec &Spec, bool Forwarded);

  // The moment after which no first byte of a request with this key may be
  // sent. In the past if there is no home lease now, if no admitted request
  // has this key, or if another instance may have been its home since the
  // admission. Tickets have no limit.
  TimePoint dispatchLimit(const CoreContext &Context,
                          const std::string &Key) const;

  // Digest of the list under which this instance may execute keys now; 0
  // without a home lease.
  uint64_t leasedListDigest(TimePoint Now) const;

  // Course of a request that was admitted with Execute. A request that ends
  // with onNotRun leaves no record, so its key can be executed later.
  void onDispatched(CoreContext &Context, const RequestId &Id);
  void onNotRun(CoreContext &Context, const RequestId &Id);
  void onOutcome(CoreContext &Context, const RequestId &Id, uint32_t HttpStatus,
                 const std::string &ContentType, const std::string &Body);
  void onOutcomeUnknown(CoreContext &Context, const RequestId &Id);

  // Requests that waited for former homes and can be decided now.
  std::vector<std::pair<RequestId, KeyDecision>>
  takeResolved(CoreContext &Context);

  void onKeyQuery(CoreContext &Context, const std::string &From,
                  const KeyQuery &Message);
  void onKeyAnswer(CoreContext &Context, const std::string &From,
                   const KeyAnswer &Message);

  // Confirmation of lists. fillHeartbeat sets the fields of lists, numbers and
  // MembershipEpoch, and is called once for each heartbeat, as the numbers
  // differ by receiver; onHeartbeat takes those of a peer.
  void fillHeartbeat(CoreContext &Context, const std::string &To,
                     Heartbeat &Message);
  void onHeartbeat(CoreContext &Context, const std::string &From,
                   uint64_t Incarnation, const Heartbeat &Message);
  void onListChanged(CoreContext &Context);
  void onTimer(CoreContext &Context);

  // Nonces must rise: once a used ticket is forgotten, an unused one with a
  // lower nonce is answered as unknown.
  std::string makeTicket(uint64_t Nonce) const;
  std::string dump(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
