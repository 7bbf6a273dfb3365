// Queue of one instance's plain requests that wait while all servers of their
// service look full. Decides which request is sent next and when, and how long
// waiting is useful. Does no I/O; callers pass the time.
//
// Intended for few servers with few slots (4 servers with 6 slots and 24 places
// each) that 60 to 400 instances share, at up to about 2.3 times the usual
// demand for some seconds. A send to a full server is refused and counts
// against the retry budget, so instances must not find room by trying.
#ifndef CROCUSSPUR_GATEWAY_PLAIN_QUEUE_H
#define CROCUSSPUR_GATEWAY_PLAIN_QUEUE_H

#include "crocusspur/types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusspur::gateway {

struct PlainEntry {
  uint32_t Priority = 0;    // 0 is the highest
  TimePoint OnTimeDeadline; // of the response
  TimePoint LatestSend;     // for a response that is on time
};

class PlainQueue {
public:
  // Returns nothing if the queue is full, or if the requests that go first take
  // until the response would be late.
  std::optional<uint64_t> join(const PlainEntry &Item, TimePoint Now);
  void leave(uint64_t Ticket);

  // Returns true and removes the request if it may be sent now that a server
  // has room: it is of the most urgent rank, then the one with the earliest
  // deadline, and the interval since the latest waiting one was sent has
  // passed.
  bool trySend(uint64_t Ticket, TimePoint Now);

  // A full server refused a request: the interval grows.
  void onRefused();
  // A server answered a request `Taken` after it was sent.
  void onAnswered(Milliseconds Taken);

  // Time from the sending of a request to its response; 0: unknown.
  Milliseconds answerTime() const {
    return Milliseconds(static_cast<int64_t>(AnswerMs));
  }
  // Estimated time until a request that joins now would be sent.
  Milliseconds drainTime() const;
  size_t size() const { return Waiters.size(); }

private:
  std::map<uint64_t, PlainEntry>::const_iterator first() const;

  uint64_t LastTicket = 0;
  std::map<uint64_t, PlainEntry> Waiters;
  Milliseconds Interval{0}; // 0: no refusal lately
  double AnswerMs = 0;      // moving average; 0: unknown
  TimePoint SentAt;         // the latest that waited
};

// Returns the retry delay for the caller of a plain request that was refused:
// the time until the queue is empty, spread so that callers don't return
// together. `TimeLeft`: until the caller's deadline. `Draw` is in [0, 1).
Milliseconds plainRetryAfter(Milliseconds DrainTime, Milliseconds TimeLeft,
                             double Draw);

} // namespace crocusspur::gateway

#endif
