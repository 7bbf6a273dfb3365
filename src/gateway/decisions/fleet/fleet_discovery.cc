#include "gateway/decisions/fleet/fleet_discovery.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// From the first member seen until the others are known, if no peer knows them
// for certain. After a restart of all processes it takes less.
constexpr Milliseconds DiscoveryTime{3000};
// Longer than any start of a fleet.
constexpr Milliseconds LongAgo{60000};

} // namespace

void FleetDiscovery::onMemberSeen(TimePoint Now) {
  if (!BegunAt)
    BegunAt = Now;
}

void FleetDiscovery::onPeerHeard(const PeerDiscovery &Peer, TimePoint Now) {
  onMemberSeen(Now);
  if (!Peer.HasDiscovered || isDone(Now))
    return;
  TimePoint since = Now - std::min(Peer.Ago.value_or(LongAgo), LongAgo);
  HasElder = HasElder || since < *BegunAt;
  KnowsAll = Peer.NamesAll;
  if (KnowsAll)
    KnownSince = since;
  Source = KnowsAll ? "" : Peer.Address;
}

void FleetDiscovery::onContactFailed(const std::string &Address) {
  if (Source == Address)
    Source.clear();
}

std::optional<Milliseconds> FleetDiscovery::knownAgo(TimePoint Now) const {
  if (!isDone(Now))
    return std::nullopt;
  auto ago = std::chrono::duration_cast<Milliseconds>(
      Now - KnownSince.value_or(*BegunAt + DiscoveryTime));
  return ago < LongAgo ? std::optional(ago) : std::nullopt;
}

bool FleetDiscovery::isDone(TimePoint Now) const {
  return KnowsAll || (BegunAt && Now - *BegunAt >= DiscoveryTime);
}

} // namespace crocusspur::gateway
