// Whether this instance reads the store, and how recent its knowledge of it is;
// see ReaderElection. Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_STORE_READERS_H
#define CROCUSSPUR_GATEWAY_STORE_READERS_H

#include "checked_mutex.h"
#include "gateway/decisions/fleet/propagation_budget.h"
#include "gateway/decisions/reader_election.h"
#include "gateway/membership.h"
#include "gateway/service_directory.h"
#include "listener_slot.h"

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

class StoreReaders {
public:
  // `IsSeed`: see ReaderElection. The objects must outlive this one.
  StoreReaders(const GatewaySettings &Values, uint64_t Seed,
               const Membership &Peers, const ServiceDirectory &Directory);

  // Decides anew for a kind. Logs when the decision changes.
  bool shouldRead(PublishedKind Kind);
  // Whether the next call for the kind is to return at once, since it is made
  // to learn what the store has and not to wait for changes.
  bool readsOnce(PublishedKind Kind) const;
  // As last decided: whether it reads, for any reason, and whether others can
  // expect it to go on.
  bool isReading() const;
  bool isRegularReader() const;
  ReadReason reason() const;
  // Whether only some instances of the fleet read.
  bool isSelective() const;
  PropagationBudget budget() const;
  // Addresses of the instances that are likely to read: of this failure domain,
  // of the others, and of all.
  std::vector<std::string> domainReaders() const;
  std::vector<std::string> otherReaders() const;
  std::vector<std::string> allReaders() const;

  // Called after a call of this instance has succeeded. `WasOld`: whether the
  // knowledge was old before it, so that peers' may be as well. It must not
  // set the listener.
  using ConfirmationListener = std::function<void(bool WasOld)>;
  void setConfirmationListener(ConfirmationListener Listener);

  // A call succeeded and its response was applied. It showed what the store had
  // at `At`.
  void onReadSucceeded(PublishedKind Kind, TimePoint At);
  void onReadFailed();
  // A peer's frame was received.
  void onPeerHeard();
  // The store had at `At` what a peer knows of the kind, and this instance
  // knows all of that.
  void onPeerConfirmed(PublishedKind Kind, TimePoint At);

  // Since when the store had what this instance knows; nothing: not known.
  std::optional<TimePoint> confirmedAt() const;
  std::optional<TimePoint> confirmedAt(PublishedKind Kind) const;
  // How long ago that was.
  std::optional<Milliseconds> confirmedAgo() const;
  std::optional<Milliseconds> confirmedAgo(PublishedKind Kind) const;
  // Whether the knowledge is so old that some instances read in place of
  // readers soon.
  bool isOld() const;
  bool isStoreFailing() const;
  // Whether the knowledge of the kind is recent, so that the store can be taken
  // for reachable.
  bool isCurrent(PublishedKind Kind) const;

  // How often this instance has begun to read, by reason.
  std::array<uint64_t, ReadReasonNames.size()> readsBegun() const;

private:
  // What the members are is computed anew at most this often.
  static constexpr Milliseconds ViewLifetime{50};

  // Takes the lock, with a view that isn't older than ViewLifetime.
  std::unique_lock<internal::LeafMutex> lockWithView() const;
  bool isOldLocked() const; // called with that

  const GatewaySettings &Values;
  const Membership &Peers;
  const ServiceDirectory &Directory;
  internal::ListenerSlot<bool> OnConfirmation;
  mutable internal::LeafMutex Mutex; // guards the members below
  ReaderElection Election;
  mutable ReaderView View;
  mutable TimePoint ViewAt;
  std::array<ReadReason, 2> Reasons{}; // by kind, as last decided
  std::array<uint64_t, ReadReasonNames.size()> Begun{};
};

} // namespace crocusspur::gateway

#endif
