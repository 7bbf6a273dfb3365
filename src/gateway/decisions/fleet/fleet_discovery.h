// Determines when an instance that has started knows the fleet. Does no I/O;
// callers pass the time.
//
// Answers the restart of all instances at once: each knows a part of the fleet
// at first, so that instances disagree on the owners of keys and on the homes
// of accounts.
#ifndef CROCUSSPUR_GATEWAY_DECISIONS_FLEET_FLEET_DISCOVERY_H
#define CROCUSSPUR_GATEWAY_DECISIONS_FLEET_FLEET_DISCOVERY_H

#include "crocusspur/types.h"

#include <optional>
#include <string>

namespace crocusspur::gateway {

// What a frame of a peer says of discovery.
struct PeerDiscovery {
  std::string Address;
  bool HasDiscovered = true;
  // The frame is a response that holds every member that this instance lacked.
  bool NamesAll = false;
  // How long the peer, or the one by which it discovered the fleet, has known
  // it; nothing: for long.
  std::optional<Milliseconds> Ago{};
};

class FleetDiscovery {
public:
  // Another instance was heard, or a peer named one.
  void onMemberSeen(TimePoint Now);
  void onPeerHeard(const PeerDiscovery &Peer, TimePoint Now);

  void onContactFailed(const std::string &Address);

  // Whether this instance has heard of any other.
  bool hasBegun() const { return BegunAt.has_value(); }
  // Whether it knows what a peer that has discovered the fleet knows, or 3 s
  // have passed since it first heard of another.
  bool isDone(TimePoint Now) const;
  // Whether a peer named all, so that the time didn't decide.
  bool isByPeer() const { return KnowsAll; }
  // Whether all instances have started together: others were heard, and none
  // that had discovered the fleet before this one heard of any. Those that
  // discovered it by the 3 s may have started with this one.
  bool startedWithFleet() const { return BegunAt && !HasElder; }
  // As PeerDiscovery::Ago, of this instance. Nothing after a minute.
  std::optional<Milliseconds> knownAgo(TimePoint Now) const;
  // Address of the last peer that had discovered the fleet, which names what
  // this instance lacks; empty if none was heard or it has discovered it.
  const std::string &source() const { return Source; }

private:
  std::optional<TimePoint> BegunAt;
  std::optional<TimePoint> KnownSince; // by a peer
  bool KnowsAll = false;
  bool HasElder = false;
  std::string Source;
};

} // namespace crocusspur::gateway

#endif
