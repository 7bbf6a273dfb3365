// All links to other instances in one thread: listening, dialling with backoff,
// choosing one link for each peer, reading and writing. One loop instead of two
// threads for each link, because 400 instances would need 800 threads.
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
  // Accepted connections that have not proved themselves; beyond this number
  // the oldest is closed.
  size_t MaxUnauthenticated = 256;
  // Bytes waiting to be sent on one link; a link that has more is closed. A
  // single frame is always taken.
  size_t MaxQueuedBytes = 8388608;
  size_t RingCapacity = 16384; // frames on their way to the loop, all links
  // The instance whose name sorts first dials at once; the other dials after
  // this time without a link, because the first may not know it yet.
  Milliseconds DialDelay{1000};
  Milliseconds MinBackoff{50};
  Milliseconds MaxBackoff{1000};
};

// Called on the loop's thread, in order for each link. OnError gets reasons for
// the log; `Peer` is a name or an address.
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
  // Sends what is queued for at most 250 ms and closes all links.
  void stop();

  // Thread-safe. Returns false if there is no link, the frame exceeds the limit
  // or the link's queue is full; in the last case the link is closed.
  bool send(const std::string &Instance, const PeerMessage &Message);
  // Thread-safe. Links to other instances are closed; instances that connect
  // without being listed are accepted, since they may have a newer list.
  void setPeers(const std::vector<InstanceEntry> &Peers);

  // The port that this loop listens on, after start().
  uint16_t port() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
