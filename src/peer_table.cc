#include "peer_table.h"

#include <algorithm>

namespace crocusspur::internal {

bool PeerTable::onLink(const std::string &Name, uint64_t Incarnation, bool Up,
                       TimePoint Now) {
  Peer &peer = Peers[Name];
  if (!Up) {
    peer.Up = false;
    peer.HeartbeatReceived = false;
    return false;
  }
  bool replaced = peer.Incarnation != 0 && peer.Incarnation != Incarnation;
  if (replaced)
    peer = Peer();
  peer.Up = true;
  peer.Incarnation = Incarnation;
  peer.LastSeen = Now;
  return replaced;
}

bool PeerTable::onFrameReceived(const std::string &Name, uint64_t Incarnation,
                                TimePoint Now) {
  Peer &peer = Peers[Name];
  bool replaced = peer.Incarnation != 0 && peer.Incarnation != Incarnation;
  if (replaced)
    peer = Peer();
  peer.Incarnation = Incarnation;
  peer.LastSeen = Now;
  return replaced;
}

bool PeerTable::isStale(const std::string &Name, uint64_t Incarnation) const {
  auto it = Peers.find(Name);
  return it != Peers.end() && it->second.Up &&
         it->second.Incarnation != Incarnation;
}

void PeerTable::onHeartbeat(const std::string &Name, const Heartbeat &Message,
                            TimePoint Now) {
  Peer &peer = Peers[Name];
  peer.HeartbeatReceived = true;
  peer.Last = Message;
  if (Message.ReadsPlatform)
    peer.LastPlatformRead = Now;
}

void PeerTable::onGoodbye(const std::string &Name) {
  Peers[Name].SaidGoodbye = true;
}

void PeerTable::onPause(Milliseconds Gap, TimePoint Now) {
  for (auto &[name, peer] : Peers) {
    peer.LastSeen = std::min(peer.LastSeen + Gap, Now);
    peer.LastPlatformRead = std::min(peer.LastPlatformRead + Gap, Now);
  }
}

void PeerTable::removeNotSeenSince(TimePoint Limit) {
  std::erase_if(Peers, [&](const auto &Item) {
    return !Item.second.Up && Item.second.LastSeen < Limit;
  });
}

bool PeerTable::isReachable(const std::string &Name, TimePoint Now) const {
  auto it = Peers.find(Name);
  return it != Peers.end() && it->second.Up && !it->second.SaidGoodbye &&
         Now - it->second.LastSeen < PeerTimeout;
}

bool PeerTable::hasHeartbeat(const std::string &Name) const {
  auto it = Peers.find(Name);
  return it != Peers.end() && it->second.Up && it->second.HeartbeatReceived;
}

bool PeerTable::hasPlatformReader(TimePoint Now) const {
  for (const auto &it : Peers)
    if (it.second.Up && it.second.Last.ReadsPlatform &&
        Now - it.second.LastPlatformRead < PeerTimeout)
      return true;
  return false;
}

std::vector<std::string> PeerTable::linkedPeers() const {
  std::vector<std::string> names;
  for (const auto &it : Peers)
    if (it.second.Up)
      names.push_back(it.first);
  return names;
}

bool PeerTable::hasLinkedPeer() const {
  return std::any_of(Peers.begin(), Peers.end(),
                     [](const auto &Item) { return Item.second.Up; });
}

Peer *PeerTable::find(const std::string &Name) {
  auto it = Peers.find(Name);
  return it == Peers.end() ? nullptr : &it->second;
}

} // namespace crocusspur::internal
