// State of each peer: its link, when it was last seen, and its last heartbeat.
#ifndef CROCUSSPUR_PEER_TABLE_H
#define CROCUSSPUR_PEER_TABLE_H

#include "crocusspur/peer_message.h"
#include "crocusspur/types.h"

#include <map>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Time without a frame after which a peer counts as unreachable, and a reader
// of the platform as absent.
inline constexpr Milliseconds PeerTimeout{1500};

struct Peer {
  bool Up = false;
  bool SaidGoodbye = false; // reset by its next incarnation
  uint64_t Incarnation = 0;
  TimePoint LastSeen;
  bool HeartbeatReceived = false; // on the current link
  Heartbeat Last;
  TimePoint LastPlatformRead; // last heartbeat that says it reads the platform
};

class PeerTable {
public:
  // Both return true if another incarnation has replaced the peer's process.
  bool onLink(const std::string &Name, uint64_t Incarnation, bool Up,
              TimePoint Now);
  bool onFrameReceived(const std::string &Name, uint64_t Incarnation,
                       TimePoint Now);
  // True if a newer incarnation than the frame's is linked.
  bool isStale(const std::string &Name, uint64_t Incarnation) const;
  void onHeartbeat(const std::string &Name, const Heartbeat &Message,
                   TimePoint Now);
  void onGoodbye(const std::string &Name);
  // This process didn't run for `Gap`, so the silence of its peers in that time
  // doesn't count.
  void onPause(Milliseconds Gap, TimePoint Now);

  // Removes unlinked peers that were last seen before `Limit`.
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
