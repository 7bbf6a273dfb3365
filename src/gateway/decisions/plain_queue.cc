#include "gateway/decisions/plain_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusspur::gateway {
namespace {

// Bounds the memory and threads that waiting requests hold. An instance of 60
// gets about 6 plain requests per second at 2.3 times the usual demand.
constexpr size_t MaxWaiting = 128;
// A slot of a service of 24 slots becomes free every few milliseconds, but all
// instances send into it.
constexpr Milliseconds MinInterval{25};
constexpr Milliseconds MaxInterval{100};
// Weight of the latest answer in the moving average.
constexpr double AnswerWeight = 0.1;
// Time constant of the weights of outcomes; a fifth of a typical burst.
constexpr std::chrono::duration<double> OutcomeTimeConstant{1.0};
// With a smaller weight of all outcomes, they are chance.
constexpr double MinOutcomes = 2;
// Assumed in addition, so that no share is 0.
constexpr double PriorOnTime = 0.5;
// Without a refusal for this long, servers have room. An instance of 60 gets an
// outcome about every 150 ms during a burst.
constexpr Milliseconds RefusalLifetime{1000};
// Retry-After for refused callers: at least several service times, and with the
// spread no more than the third of their time that callers honour.
constexpr Milliseconds MinPlainRetryAfter{300};
constexpr int RetryAfterDivisor = 4;
constexpr double RetryAfterSpread = 0.33;

} // namespace

PlainQueue::Order PlainQueue::orderOf(const PlainEntry &Item) const {
  auto it = Shares.find(Item.Priority);
  return {Item.Priority,
          it == Shares.end() ? 0 : it->second.received(Item.Account),
          Item.OnTimeDeadline};
}

std::map<uint64_t, PlainEntry>::const_iterator PlainQueue::first() const {
  return std::ranges::min_element(Waiters, {}, [this](const auto &It) {
    return std::pair(orderOf(It.second), It.first);
  });
}

std::optional<uint64_t> PlainQueue::join(const PlainEntry &Item,
                                         TimePoint Now) {
  auto ahead = std::ranges::count_if(Waiters, [&](const auto &It) {
    return orderOf(It.second) <= orderOf(Item);
  });
  if (Waiters.size() >= MaxWaiting ||
      Now + Interval * static_cast<int64_t>(ahead) >= Item.LatestSend)
    return std::nullopt;
  Waiters[++LastTicket] = Item;
  return LastTicket;
}

void PlainQueue::leave(uint64_t Ticket) { Waiters.erase(Ticket); }

bool PlainQueue::trySend(uint64_t Ticket, TimePoint Now) {
  auto it = first();
  if (it == Waiters.end() || it->first != Ticket || Now < SentAt + Interval)
    return false;
  if (!it->second.Account.empty())
    Shares[it->second.Priority].onServed(it->second.Account, it->second.Weight);
  Waiters.erase(it);
  SentAt = Now;
  return true;
}

double PlainQueue::weightAt(TimePoint Now) const {
  std::chrono::duration<double> age = Now - OutcomesAt;
  return std::exp(-age / OutcomeTimeConstant);
}

void PlainQueue::addOutcome(bool OnTime, TimePoint Now) {
  double weight = weightAt(Now);
  Outcomes = Outcomes * weight + 1;
  OnTimes = OnTimes * weight + (OnTime ? 1 : 0);
  OutcomesAt = Now;
}

bool PlainQueue::admits(double Draw, TimePoint Now) {
  if (!RefusedAt || Now - *RefusedAt > RefusalLifetime) {
    Share.reset();
    return true;
  }
  double weight = weightAt(Now);
  if (Outcomes * weight >= MinOutcomes)
    Share.move((OnTimes * weight + PriorOnTime) /
               (Outcomes * weight + PriorOnTime));
  return Draw < Share.value();
}

void PlainQueue::onRefused(TimePoint Now) {
  RefusedAt = Now;
  addOutcome(false, Now);
  Interval = std::clamp(Interval * 2, MinInterval, MaxInterval);
}

void PlainQueue::onAnswered(Milliseconds Taken, bool OnTime, TimePoint Now) {
  addOutcome(OnTime, Now);
  auto taken = static_cast<double>(Taken.count());
  AnswerMs =
      AnswerMs == 0 ? taken : AnswerMs + AnswerWeight * (taken - AnswerMs);
  Interval = Interval > MinInterval ? Interval / 2 : Milliseconds(0);
}

Milliseconds PlainQueue::drainTime() const {
  return Interval * static_cast<int64_t>(size() + 1);
}

Milliseconds plainRetryAfter(Milliseconds DrainTime, Milliseconds TimeLeft,
                             double Draw) {
  Milliseconds most =
      std::max(MinPlainRetryAfter, TimeLeft / RetryAfterDivisor);
  Milliseconds base = std::clamp(DrainTime, MinPlainRetryAfter, most);
  return base +
         Milliseconds(static_cast<int64_t>(static_cast<double>(base.count()) *
                                           RetryAfterSpread * Draw));
}

} // namespace crocusspur::gateway
