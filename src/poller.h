// Polls many sockets in one thread; other threads can wake it. Uses epoll
// directly because POCO's PollSet in Debian 12 has no wake-up and allocates a
// map on each call.
#ifndef CROCUSSPUR_POLLER_H
#define CROCUSSPUR_POLLER_H

#include "crocusspur/types.h"

#include <vector>

namespace crocusspur::internal {

struct PollEvent {
  uint64_t Key = 0;
  bool Readable = false; // also on errors and end of stream
  bool Writable = false;
};

// All functions but wake() belong to one thread.
class Poller {
public:
  Poller();
  ~Poller();
  Poller(const Poller &) = delete;
  Poller &operator=(const Poller &) = delete;

  // False if the system could not allocate the poller's descriptors.
  bool isUsable() const;

  // `Key` is returned in events and must be greater than 0.
  bool add(int Socket, uint64_t Key, bool Read, bool Write);
  void update(int Socket, uint64_t Key, bool Read, bool Write);
  void remove(int Socket);

  // Waits until a socket is ready, wake() is called or `Limit` has elapsed.
  const std::vector<PollEvent> &wait(Milliseconds Limit);

  // Ends the current or the next wait(). Thread-safe.
  void wake();

private:
  int Epoll = -1;
  int WakeUp = -1;
  std::vector<PollEvent> Events;
};

} // namespace crocusspur::internal

#endif
