// Waiting for sockets, and a wake-up that can be waited for together with them.
#ifndef CROCUSSPUR_SOCKET_IO_H
#define CROCUSSPUR_SOCKET_IO_H

#include "crocusspur/types.h"

namespace crocusspur::internal {

enum class WaitResult : uint8_t { Ready, TimedOut, Interrupted };

// Waits for a socket on behalf of a call. An implementation may watch more at
// the same time and interrupt the call.
class SocketWaiter {
public:
  virtual ~SocketWaiter() = default;
  // `Events` as for poll(2). An error on the socket counts as ready.
  virtual WaitResult wait(int Fd, short Events, TimePoint Until) = 0;
};

// Watches nothing but the socket.
class PollWaiter : public SocketWaiter {
public:
  WaitResult wait(int Fd, short Events, TimePoint Until) override;
};

// Milliseconds for poll(2) until the time, rounded up; 0 if it has passed.
int pollTimeout(TimePoint Until);

// Waits for some lasting descriptors and one that changes. Registered once and
// not with each wait, because waits happen once for every token.
class WaitSet {
public:
  WaitSet();
  ~WaitSet();
  WaitSet(const WaitSet &) = delete;
  WaitSet &operator=(const WaitSet &) = delete;

  // Adds a lasting descriptor. `Events` as for poll(2).
  void add(int Fd, short Events);
  // Forgets the changing descriptor. Required before its number may stand for
  // another socket.
  void removeTransient();

  struct Result {
    bool TimedOut = false;
    bool Transient = false; // the changing descriptor is ready
    int Persistent = -1;    // a lasting descriptor that is ready
  };
  // Waits for the lasting descriptors and, unless it is -1, for `Fd`.
  Result wait(int Fd, short Events, TimePoint Until);

private:
  void setTransient(int Fd, short Events);

  int Set = -1;
  int Transient = -1;
  short TransientEvents = 0;
};

// A level-triggered wake-up with a descriptor that is readable while it is set.
// Thread-safe.
class WakeUp {
public:
  WakeUp();
  ~WakeUp();
  WakeUp(const WakeUp &) = delete;
  WakeUp &operator=(const WakeUp &) = delete;

  void set();
  void clear();
  int fd() const { return Fd; }

private:
  int Fd = -1;
};

} // namespace crocusspur::internal

#endif
