#include "gateway/decisions/reservation_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace crocusspur::gateway {
namespace {

// Pause between two tries of a request. Decode servers free memory in steps of
// some 100 ms at full load; shorter pauses cost more calls than they win.
constexpr Milliseconds TryPause{40};
// Requests that are late anyway ask this much less often, so that at all
// instances those that can still be on time find memory first.
constexpr int LatePauses = 4;
// Time over which grants are averaged: half of a usual burst.
constexpr std::chrono::duration<double> RateMemory{2.0};
// Bounds of the time after which refused callers come back. Bursts last some
// seconds, and an early return meets the same load.
constexpr Milliseconds LeastReturn{2500};
constexpr Milliseconds MostReturn{5000};
// Callers honour a wait of up to a third of their time, so where time is short
// they may be back sooner; a little less leaves room for what the call took.
constexpr int ReturnPart = 4;

} // namespace

uint64_t ReservationQueue::join(const QueueEntry &Item, TimePoint Now) {
  Waiters[++LastTicket] = {Item, Now, false};
  return LastTicket;
}

void ReservationQueue::leave(uint64_t Ticket) { Waiters.erase(Ticket); }

bool ReservationQueue::before(uint64_t LeftTicket, const State &Left,
                              uint64_t RightTicket, const State &Right,
                              TimePoint Now) const {
  auto key = [&](uint64_t Ticket, const State &It) {
    return std::tuple(Now > It.Item.OnTimeDeadline, It.Item.Priority,
                      It.Item.OnTimeDeadline, Ticket);
  };
  return key(LeftTicket, Left) < key(RightTicket, Right);
}

bool ReservationQueue::tryStartAttempt(uint64_t Ticket, TimePoint Now) {
  auto own = Waiters.find(Ticket);
  if (own == Waiters.end() || own->second.Trying || own->second.NextTry > Now)
    return false;
  uint32_t ahead = 0;
  for (const auto &[ticket, state] : Waiters)
    if (ticket != Ticket &&
        (state.Trying || (state.NextTry <= Now &&
                          before(ticket, state, Ticket, own->second, Now))))
      ++ahead;
  if (ahead >= Tries)
    return false;
  own->second.Trying = true;
  return true;
}

void ReservationQueue::onAttemptFailed(uint64_t Ticket, TimePoint Now) {
  auto it = Waiters.find(Ticket);
  if (it == Waiters.end())
    return;
  it->second.Trying = false;
  bool late = Now > it->second.Item.OnTimeDeadline;
  it->second.NextTry = Now + TryPause * (late ? LatePauses : 1);
}

double ReservationQueue::grantsPerSecond(TimePoint Now) const {
  std::chrono::duration<double> age = Now - RateAt;
  return Rate * std::exp(-age / RateMemory);
}

void ReservationQueue::onGranted(TimePoint Now) {
  Rate = grantsPerSecond(Now) + 1 / RateMemory.count();
  RateAt = Now;
}

bool ReservationQueue::wouldTimeOut(TimePoint Latest, TimePoint Now) const {
  if (Latest <= Now)
    return true;
  // A short line says nothing about the rate at which memory becomes free.
  constexpr size_t ShortLine = 4;
  size_t ahead = 0;
  for (const auto &[ticket, state] : Waiters)
    if (Now <= state.Item.OnTimeDeadline)
      ++ahead;
  if (ahead < ShortLine)
    return false;
  std::chrono::duration<double> left = Latest - Now;
  return static_cast<double>(ahead) >
         2 * grantsPerSecond(Now) * left.count() + ShortLine;
}

Milliseconds ReservationQueue::drainTime(TimePoint Now) const {
  double rate = std::max(grantsPerSecond(Now), 0.5);
  return Milliseconds(
      static_cast<int64_t>(1000.0 * static_cast<double>(size()) / rate));
}

Milliseconds retryAfter(Milliseconds Drain, Milliseconds Longest, double Draw) {
  Milliseconds base = std::clamp(Drain, LeastReturn, MostReturn);
  auto spread = Milliseconds(static_cast<int64_t>(
      static_cast<double>((MostReturn - LeastReturn).count()) * 0.5 * Draw));
  return std::max(Milliseconds(0), std::min(base + spread, Longest));
}

bool isReturningCaller(Milliseconds TimeLeft, Milliseconds Most) {
  return TimeLeft < Most - std::min(LeastReturn, Most / ReturnPart);
}

} // namespace crocusspur::gateway
