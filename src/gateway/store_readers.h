// Whether this instance reads the store; see ReaderElection. Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_STORE_READERS_H
#define CROCUSSPUR_GATEWAY_STORE_READERS_H

#include "gateway/decisions/reader_election.h"
#include "gateway/membership.h"
#include "gateway/service_directory.h"

#include <array>
#include <mutex>
#include <optional>
#include <string>

namespace crocusspur::gateway {

class StoreReaders {
public:
  // `IsSeed`: see ReaderElection. The objects must outlive this one.
  StoreReaders(const GatewaySettings &Values, uint64_t Seed,
               const Membership &Peers, const ServiceDirectory &Directory);

  // Decides anew. Logs when the decision changes.
  bool shouldRead();
  bool isReading() const; // as last decided
  ReadReason reason() const;
  // Whether only some instances of the fleet read.
  bool isSelective() const;
  // Addresses of the instances that are likely to read.
  std::vector<std::string> readerAddresses() const;

  void onReadSucceeded(PublishedKind Kind);
  void onReadFailed();
  // A peer's frame was received. `ConfirmedAgo`: how long ago the store had
  // what the peer knows; `IsCurrent`: this instance knows all of that.
  void onPeerHeard(std::optional<Milliseconds> ConfirmedAgo, bool IsCurrent);

  // How long ago the store had what this instance knows; nothing: not known.
  std::optional<Milliseconds> confirmedAgo() const;
  // The same for what it knows of a kind.
  std::optional<Milliseconds> confirmedAgo(PublishedKind Kind) const;
  // How often this instance has begun to read, by reason.
  std::array<uint64_t, ReadReasonNames.size()> readsBegun() const;
  bool isStoreFailing() const;
  // Whether what peers tell is recent, so that the store can be taken for
  // reachable.
  bool isCurrent() const;

private:
  ReaderView view() const;

  const GatewaySettings &Values;
  const Membership &Peers;
  const ServiceDirectory &Directory;
  mutable std::mutex Mutex; // guards the members below
  ReaderElection Election;
  bool Reading = false;
  std::array<uint64_t, ReadReasonNames.size()> Begun{};
};

} // namespace crocusspur::gateway

#endif
