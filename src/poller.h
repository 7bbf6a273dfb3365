// Waits for many sockets in one thread, with a wake-up for other threads.
// POCO's PollSet has no wake-up in the version of Debian 12 and allocates a map
// for every call, so this uses epoll directly.
#ifndef CROCUSSPUR_POLLER_H
#define CROCUSSPUR_POLLER_H

#include "crocusspur/types.h"

#include <vector>

namespace crocusspur::internal {

struct PollEvent {
  uint64_t Key = 0;
  bool Readable = false; // also on errors and at the end of the stream
  bool Writable = false;
};

// All functions but wake() belong to one thread.
class Poller {
public:
  Poller();
  ~Poller();
  Poller(const Poller &) = delete;
  Poller &operator=(const Poller &) = delete;

  // False if the system refused the descriptors that the poller needs.
  bool isUsable() const;

  // `Key` comes back in events; greater than 0.
  bool add(int Socket, uint64_t Key, bool Read, bool Write);
  void update(int Socket, uint64_t Key, bool Read, bool Write);
  void remove(int Socket);

  // Waits until a socket is ready, wake() is called or the time has passed.
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
