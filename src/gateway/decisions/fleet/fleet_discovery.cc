#include "gateway/decisions/fleet/fleet_discovery.h"

namespace crocusspur::gateway {
namespace {

// From the first member seen until the others are known, if no peer knows them
// for certain. After a restart of all processes it takes less.
constexpr Milliseconds DiscoveryTime{3000};
// Instances that start together differ by less in their first contacts, and by
// less than this from the end of the discovery time.
constexpr Milliseconds ElderTime{1500};

} // namespace

void FleetDiscovery::onMemberSeen(TimePoint Now) {
  if (!BegunAt)
    BegunAt = Now;
}

void FleetDiscovery::onPeerHeard(const PeerDiscovery &Peer, TimePoint Now) {
  onMemberSeen(Now);
  if (!Peer.HasDiscovered || isDone(Now))
    return;
  HasElder = HasElder || Now - *BegunAt < ElderTime;
  KnowsAll = Peer.NamesAll;
  Source = KnowsAll ? "" : Peer.Address;
}

void FleetDiscovery::onContactFailed(const std::string &Address) {
  if (Source == Address)
    Source.clear();
}

bool FleetDiscovery::isDone(TimePoint Now) const {
  return KnowsAll || (BegunAt && Now - *BegunAt >= DiscoveryTime);
}

} // namespace crocusspur::gateway
