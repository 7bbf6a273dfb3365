// Event loop for all links to other instances: listens, dials with backoff,
// keeps one link for each peer, reads and writes. With two threads for each
// link instead, 400 instances would need 800 threads.
#ifndef CROCUSSPUR_PEER_LOOP_H
#define CROCUSSPUR_PEER_LOOP_H

#include "crocusspur/instance_list.h"
#include "crocusspur/peer_message.h"
#include "peer_connection.h"

#include <functional>
#include <memory>
#include <string>

namespace crocusspur::internal {

struct PeerLoopOptions {
  std::string Name;
  uint64_t Incarnation = 0;
  std::string Key;
  std::string Address; // to listen on
  LinkLimits Limits;
  // Maximum number of accepted connections without a completed handshake; when
  // it is reached, the oldest is closed.
  size_t MaxUnauthenticated = 256;
  // Maximum number of bytes queued for one link; a link that exceeds it is
  // closed. A single frame is always accepted.
  size_t MaxQueuedBytes = 8388608;
  size_t RingCapacity = 16384; // frames queued for the loop, all links
  // The instance whose name sorts first dials immediately; the other dials
  // after this time without a link, because the first may not know it yet.
  Milliseconds DialDelay{1000};
  Milliseconds MinBackoff{50};
  Milliseconds MaxBackoff{1000};
};

// Called on the loop's thread, in order for each link. OnError receives reasons
// for the log; `Peer` is a name or an address.
struct PeerLoopHooks {
  std::function<void(const std::string &Name, uint64_t Incarnation)> OnUp;
  std::function<void(const std::string &Name, uint64_t Incarnation)> OnDown;
  std::function<void(const std::string &Name, uint64_t Incarnation,
                     PeerMessage Message)>
      OnMessage;
  std::function<void(const std::string &Peer, const std::string &Reason)>
      OnError;
};

class PeerLoop {
public:
  PeerLoop(PeerLoopOptions Options, PeerLoopHooks Hooks);
  ~PeerLoop();
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  // Listens and starts the thread. Returns false after calling OnError.
  bool start();
  // Sends queued frames for at most 250 ms and closes all links.
  void stop();

  // Thread-safe. Returns false if there is no link, the frame exceeds the limit
  // or the link's queue is full; in the last case the link is closed.
  bool send(const std::string &Instance, const PeerMessage &Message);
  // Thread-safe. Closes links to unlisted instances. Unlisted instances that
  // connect afterwards are accepted, since they may have a newer list.
  void setPeers(const std::vector<InstanceEntry> &Peers);

  // The port that this loop listens on, after start().
  uint16_t port() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
