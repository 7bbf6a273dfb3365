// Waiting for sockets, and a wake-up event that can be polled with them.
#ifndef CROCUSSPUR_SOCKET_IO_H
#define CROCUSSPUR_SOCKET_IO_H

#include "crocusspur/types.h"

namespace crocusspur::internal {

enum class WaitResult : uint8_t { Ready, TimedOut, Interrupted };

// Waits for a socket on behalf of a call. An implementation may watch further
// descriptors and interrupt the call.
class SocketWaiter {
public:
  virtual ~SocketWaiter() = default;
  // `Events` as for poll(2). An error on the socket counts as ready.
  virtual WaitResult wait(int Fd, short Events, TimePoint Until) = 0;
};

// Waits for the socket alone, with poll(2).
class PollWaiter : public SocketWaiter {
public:
  WaitResult wait(int Fd, short Events, TimePoint Until) override;
};

// Timeout for poll(2) in milliseconds, rounded up; 0 if `Until` has passed.
int pollTimeout(TimePoint Until);

// Waits until the socket is writable. Returns false if its peer has
// disconnected or the time has passed.
bool waitUntilWritable(int Fd, TimePoint Until);

// Waits for a few persistent descriptors and one transient descriptor. They
// stay registered between waits, because there is a wait for each token.
class WaitSet {
public:
  WaitSet();
  ~WaitSet();
  WaitSet(const WaitSet &) = delete;
  WaitSet &operator=(const WaitSet &) = delete;

  // Adds a persistent descriptor. `Events` as for poll(2).
  void add(int Fd, short Events);
  // Removes the transient descriptor. Must be called before its number can be
  // reused for another socket.
  void removeTransient();

  struct Result {
    bool TimedOut = false;
    bool Transient = false; // the transient descriptor is ready
    int Persistent = -1;    // a persistent descriptor that is ready
  };
  // Waits for the persistent descriptors and, unless it is -1, for `Fd`.
  Result wait(int Fd, short Events, TimePoint Until);

private:
  void setTransient(int Fd, short Events);

  int Set = -1;
  int Transient = -1;
  short TransientEvents = 0;
};

// A level-triggered event whose descriptor is readable while it is set.
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
