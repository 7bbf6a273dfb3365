// Whether this instance reads the store; see ReaderElection. Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_STORE_READERS_H
#define CROCUSSPUR_GATEWAY_STORE_READERS_H

#include "gateway/decisions/reader_election.h"
#include "gateway/membership.h"
#include "gateway/service_directory.h"

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
};

} // namespace crocusspur::gateway

#endif
