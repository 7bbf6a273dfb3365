#include "gateway/decisions/plain_queue.h"

#include <algorithm>
#include <tuple>

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
// Retry-After for refused callers: at least several service times, and with the
// spread no more than the third of their time that callers honour.
constexpr Milliseconds MinPlainRetryAfter{300};
constexpr int RetryAfterDivisor = 4;
constexpr double RetryAfterSpread = 0.33;

} // namespace

std::map<uint64_t, PlainEntry>::const_iterator PlainQueue::first() const {
  return std::ranges::min_element(Waiters, {}, [](const auto &It) {
    return std::tuple(It.second.Priority, It.second.OnTimeDeadline, It.first);
  });
}

std::optional<uint64_t> PlainQueue::join(const PlainEntry &Item,
                                         TimePoint Now) {
  auto ahead = std::ranges::count_if(Waiters, [&](const auto &It) {
    return std::tuple(It.second.Priority, It.second.OnTimeDeadline) <=
           std::tuple(Item.Priority, Item.OnTimeDeadline);
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
  Waiters.erase(it);
  SentAt = Now;
  return true;
}

void PlainQueue::onRefused() {
  Interval = std::clamp(Interval * 2, MinInterval, MaxInterval);
}

void PlainQueue::onAnswered(Milliseconds Taken) {
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
