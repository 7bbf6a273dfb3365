#include "gateway/decisions/reservation_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace crocusspur::gateway {
namespace {

// Refusals by full servers show contention for this long. During a burst an
// instance of 60 makes an attempt about every 100 ms.
constexpr Milliseconds FullEvidenceLifetime{250};
// Time constant of the grant rate's moving average: half of a typical burst.
constexpr std::chrono::duration<double> RateTimeConstant{2.0};
// Bounds of the retry delay for refused callers. Bursts last several seconds,
// and a retry that comes too early meets the same load.
constexpr Milliseconds MinRetryAfter{2500};
constexpr Milliseconds MaxRetryAfter{5000};
// Callers honour a retry delay of up to a third of their time, so callers with
// little time may return before the minimum delay. A quarter leaves room for
// the duration of the call.
constexpr int RetryAfterDivisor = 4;

} // namespace

uint64_t ReservationQueue::join(const QueueEntry &Item, TimePoint Now) {
  Milliseconds delay =
      isContended(Now) ? firstAttemptDelay(Item.Rank, Item.OnTimeDeadline, Now)
                       : Milliseconds(0);
  Waiters[++LastTicket] = {Item, Now + delay, false};
  return LastTicket;
}

bool ReservationQueue::isContended(TimePoint Now) const {
  return FullAt && Now - *FullAt < FullEvidenceLifetime;
}

void ReservationQueue::leave(uint64_t Ticket) { Waiters.erase(Ticket); }

bool ReservationQueue::before(uint64_t LeftTicket, const Waiter &Left,
                              uint64_t RightTicket, const Waiter &Right,
                              TimePoint Now) const {
  auto key = [&](uint64_t Ticket, const Waiter &It) {
    return std::tuple(Now > It.Item.OnTimeDeadline, It.Item.Priority,
                      It.Item.OnTimeDeadline, Ticket);
  };
  return key(LeftTicket, Left) < key(RightTicket, Right);
}

bool ReservationQueue::tryStartAttempt(uint64_t Ticket, TimePoint Now) {
  auto own = Waiters.find(Ticket);
  if (own == Waiters.end() || own->second.Attempting ||
      own->second.NextAttempt > Now)
    return false;
  uint32_t ahead = 0;
  for (const auto &[ticket, waiter] : Waiters)
    if (ticket != Ticket &&
        (waiter.Attempting ||
         (waiter.NextAttempt <= Now &&
          before(ticket, waiter, Ticket, own->second, Now))))
      ++ahead;
  if (ahead >= MaxAttempts)
    return false;
  own->second.Attempting = true;
  return true;
}

void ReservationQueue::onAttemptEnded(uint64_t Ticket, TimePoint Now) {
  auto it = Waiters.find(Ticket);
  if (it == Waiters.end())
    return;
  it->second.Attempting = false;
  const QueueEntry &entry = it->second.Item;
  it->second.NextAttempt =
      Now + attemptInterval(entry.Rank, entry.OnTimeDeadline, Now);
}

double ReservationQueue::grantsPerSecond(TimePoint Now) const {
  std::chrono::duration<double> age = Now - GrantRateAt;
  return GrantRate * std::exp(-age / RateTimeConstant);
}

void ReservationQueue::onGranted(TimePoint Now) {
  GrantRate = grantsPerSecond(Now) + 1 / RateTimeConstant.count();
  GrantRateAt = Now;
}

bool ReservationQueue::wouldTimeOut(TimePoint Deadline, TimePoint Now) const {
  QueueEntry entry;
  entry.ExpiresAt = Deadline;
  return wouldTimeOut(entry, Now);
}

bool ReservationQueue::wouldTimeOut(const QueueEntry &Item,
                                    TimePoint Now) const {
  if (Item.ExpiresAt <= Now)
    return true;
  // A short queue says nothing about the rate at which memory becomes free.
  constexpr size_t ShortQueue = 4;
  size_t ahead = 0;
  for (const auto &[ticket, waiter] : Waiters)
    if (Now <= waiter.Item.OnTimeDeadline &&
        (!Item.Rank.differs() || waiter.Item.Priority <= Item.Priority))
      ++ahead;
  if (ahead < ShortQueue)
    return false;
  std::chrono::duration<double> left = Item.ExpiresAt - Now;
  return static_cast<double>(ahead) >
         2 * grantsPerSecond(Now) * left.count() + ShortQueue;
}

Milliseconds ReservationQueue::drainTime(TimePoint Now) const {
  double rate = std::max(grantsPerSecond(Now), 0.5);
  return Milliseconds(
      static_cast<int64_t>(1000.0 * static_cast<double>(size()) / rate));
}

Milliseconds retryAfter(Milliseconds DrainTime, Milliseconds MaxWait,
                        double Draw) {
  Milliseconds base = std::clamp(DrainTime, MinRetryAfter, MaxRetryAfter);
  auto spread = Milliseconds(static_cast<int64_t>(
      static_cast<double>((MaxRetryAfter - MinRetryAfter).count()) * 0.5 *
      Draw));
  return std::max(Milliseconds(0), std::min(base + spread, MaxWait));
}

bool isReturningCaller(Milliseconds TimeLeft, Milliseconds MaxTimeLeft) {
  return TimeLeft <
         MaxTimeLeft - std::min(MinRetryAfter, MaxTimeLeft / RetryAfterDivisor);
}

} // namespace crocusspur::gateway
