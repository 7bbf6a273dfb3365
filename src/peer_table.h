// What this instance knows of its peers: links, when each was last heard, and
// what their heartbeats say.
#ifndef CROCUSSPUR_PEER_TABLE_H
#define CROCUSSPUR_PEER_TABLE_H

#include "crocusspur/peer_message.h"
#include "crocusspur/types.h"

#include <map>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Silence after which a peer counts as unreachable, and a reader of the
// platform as absent.
inline constexpr Milliseconds PeerTimeout{1500};

struct Peer {
  bool Up = false;
  bool SaidGoodbye = false; // said goodbye; until its next incarnation
  uint64_t Incarnation = 0;
  TimePoint LastSeen;
  bool HeartbeatReceived = false; // on the present link
  Heartbeat Last;
  TimePoint LastPlatformRead; // when it last said that it reads the platform
};

class PeerTable {
public:
  // Both return true if a different process now runs under the peer's name.
  bool onLink(const std::string &Name, uint64_t Incarnation, bool Up,
              TimePoint Now);
  bool onFrameReceived(const std::string &Name, uint64_t Incarnation,
                       TimePoint Now);
  // True if a frame is from a process that its successor has replaced.
  bool isStale(const std::string &Name, uint64_t Incarnation) const;
  void onHeartbeat(const std::string &Name, const Heartbeat &Message,
                   TimePoint Now);
  void onGoodbye(const std::string &Name);

  // Forgets unlinked peers that were not heard for longer than this.
  void removeNotSeenSince(TimePoint Limit);

  bool isReachable(const std::string &Name, TimePoint Now) const;
  bool hasHeartbeat(const std::string &Name) const;
  bool hasPlatformReader(TimePoint Now) const;
  std::vector<std::string> linkedPeers() const;
  bool hasLinkedPeer() const;
  Peer *find(const std::string &Name);
  const std::map<std::string, Peer> &all() const { return Peers; }

private:
  std::map<std::string, Peer> Peers;
};

} // namespace crocusspur::internal

#endif
