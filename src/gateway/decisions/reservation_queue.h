// Requests of one instance that wait for memory at the decode servers of a
// service: which may try next, and until when waiting makes sense. Pure.
//
// The load that it answers: a burst of about twice what the decode servers can
// hold, with every instance competing for the memory that becomes free.
#ifndef CROCUSSPUR_GATEWAY_RESERVATION_QUEUE_H
#define CROCUSSPUR_GATEWAY_RESERVATION_QUEUE_H

#include "crocusspur/types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusspur::gateway {

struct QueueEntry {
  uint32_t Priority = 0;    // 0 is first
  TimePoint OnTimeDeadline; // latest grant with which the answer is on time
  TimePoint ExpiresAt;      // the request leaves the line then
};

class ReservationQueue {
public:
  // `Tries` bounds the requests that ask servers at the same time.
  explicit ReservationQueue(uint32_t MaxAttempts) : MaxAttempts(MaxAttempts) {}

  uint64_t join(const QueueEntry &Item, TimePoint Now);
  void leave(uint64_t Ticket);

  // Whether the request may ask the servers now; it must call tried() after.
  // Requests that can still be on time go first, by priority, then by the end
  // of their time.
  bool tryStartAttempt(uint64_t Ticket, TimePoint Now);
  // All servers refused. The request waits for memory to become free.
  void onAttemptFailed(uint64_t Ticket, TimePoint Now);

  // Whether a request that joins now can expect to be granted by `Latest`,
  // judged by the grants of the last seconds.
  bool wouldTimeOut(TimePoint Deadline, TimePoint Now) const;
  // Notes that a waiting request got its memory.
  void onGranted(TimePoint Now);
  // Time in which the line drains at the present rate.
  Milliseconds drainTime(TimePoint Now) const;

  size_t size() const { return Waiters.size(); }

private:
  struct Waiter {
    QueueEntry Item;
    TimePoint NextAttempt;
    bool Attempting = false;
  };

  bool before(uint64_t LeftTicket, const Waiter &Left, uint64_t RightTicket,
              const Waiter &Right, TimePoint Now) const;
  double grantsPerSecond(TimePoint Now) const;

  uint32_t MaxAttempts;
  uint64_t LastTicket = 0;
  std::map<uint64_t, Waiter> Waiters;
  double GrantRate = 0; // grants a second, moving average
  TimePoint GrantRateAt;
};

// When a refused caller should come back: the line's drain time within these
// bounds, spread so that callers don't return together. `Draw` is in [0, 1).
// `Longest` is the longest wait that the caller honours.
Milliseconds retryAfter(Milliseconds DrainTime, Milliseconds MaxWait,
                        double Draw);

// Whether a caller that gives `TimeLeft` has been refused before and come back
// as it was told. `Most` is the most that callers of the route have given;
// first attempts may give less, since callers differ in patience.
bool isReturningCaller(Milliseconds TimeLeft, Milliseconds MaxTimeLeft);

} // namespace crocusspur::gateway

#endif
