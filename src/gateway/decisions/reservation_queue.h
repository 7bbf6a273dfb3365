// Queue of one instance's requests that wait for a memory reservation at the
// decode servers of a service. Decides which request may attempt next and how
// long waiting is useful. Does no I/O; callers pass the time.
//
// Intended for bursts of about twice the capacity of the decode servers, with
// all instances competing for memory as it becomes free.
#ifndef CROCUSSPUR_GATEWAY_RESERVATION_QUEUE_H
#define CROCUSSPUR_GATEWAY_RESERVATION_QUEUE_H

#include "crocusspur/types.h"
#include "gateway/decisions/attempt_interval.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusspur::gateway {

struct QueueEntry {
  uint32_t Priority = 0;    // 0 is the highest
  TimePoint OnTimeDeadline; // latest grant for a response that is on time
  TimePoint ExpiresAt;      // the request leaves the queue then
  RankPosition Rank{};      // among the ranks of the service
};

class ReservationQueue {
public:
  // `MaxAttempts` limits the requests that attempt a reservation concurrently.
  explicit ReservationQueue(uint32_t MaxAttempts) : MaxAttempts(MaxAttempts) {}

  uint64_t join(const QueueEntry &Item, TimePoint Now);
  void leave(uint64_t Ticket);

  // Returns true and starts an attempt if the request may ask the servers now;
  // onAttemptEnded() must end the attempt. Requests that can still be on time
  // go first, ordered by priority, then by deadline.
  bool tryStartAttempt(uint64_t Ticket, TimePoint Now);
  // Ends an attempt. The request may start the next one after an interval that
  // gives memory time to become free.
  void onAttemptEnded(uint64_t Ticket, TimePoint Now);
  // Records that all servers that were asked are full. For some time, new
  // requests of lower ranks leave what becomes free to those above.
  void onAllFull(TimePoint Now) { FullAt = Now; }
  bool isContended(TimePoint Now) const;

  // Whether a request that joins now can't expect a grant by `Deadline` at the
  // rate of the last seconds.
  bool wouldTimeOut(TimePoint Deadline, TimePoint Now) const;
  // The same by its expiry. Where ranks differ, less urgent requests don't
  // count.
  bool wouldTimeOut(const QueueEntry &Item, TimePoint Now) const;
  // Records that a waiting request got its reservation.
  void onGranted(TimePoint Now);
  // Estimated time until the queue is empty at the current grant rate.
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
  std::optional<TimePoint> FullAt; // the latest refusal by full servers
  double GrantRate = 0;            // grants per second, moving average
  TimePoint GrantRateAt;
};

// Returns the retry delay for a refused caller: the queue's drain time within
// fixed bounds, with jitter so that callers don't return together. `Draw` is in
// [0, 1). `MaxWait` is the longest wait that the caller honours.
Milliseconds retryAfter(Milliseconds DrainTime, Milliseconds MaxWait,
                        double Draw);

// Whether a caller with `TimeLeft` until its deadline has been refused before
// and returned after the retry delay. `MaxTimeLeft` is the maximum seen from
// callers of the route. First attempts may have less, since callers use
// different timeouts.
bool isReturningCaller(Milliseconds TimeLeft, Milliseconds MaxTimeLeft);

} // namespace crocusspur::gateway

#endif
