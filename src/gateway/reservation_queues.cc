#include "gateway/reservation_queues.h"

#include "json_text.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// By QueueOutcome.
constexpr std::array<const char *, 3> OutcomeNames = {"granted", "refused",
                                                      "rejected"};

// Requests of one service that ask servers concurrently. With one at a time, an
// unresponsive server would block the queue.
constexpr uint32_t MaxConcurrentTries = 3;

} // namespace

ReservationQueues::State &ReservationQueues::state(const std::string &Service) {
  return Services
      .try_emplace(Service,
                   State{ReservationQueue(MaxConcurrentTries), {}, {}, {}, {}})
      .first->second;
}

uint64_t ReservationQueues::join(const std::string &Service,
                                 const QueueEntry &Item) {
  std::lock_guard lock(Mutex);
  return state(Service).Queue.join(Item, Clock::now());
}

void ReservationQueues::leave(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  state(Service).Queue.leave(Ticket);
}

bool ReservationQueues::tryStartAttempt(const std::string &Service,
                                        uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  return state(Service).Queue.tryStartAttempt(Ticket, Clock::now());
}

void ReservationQueues::onAttemptEnded(const std::string &Service,
                                       uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  state(Service).Queue.onAttemptEnded(Ticket, Clock::now());
}

void ReservationQueues::onAttemptAnswered(const std::string &Service,
                                          bool Granted, Milliseconds Taken) {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  State &found = state(Service);
  found.Admission.onAttempt(Granted, Taken, now);
  if (!Granted)
    found.Queue.onAllFull(now);
}

AdmissionDecision ReservationQueues::decide(const std::string &Service,
                                            const QueueEntry &Item,
                                            double Draw) {
  std::lock_guard lock(Mutex);
  return state(Service).Admission.decide(Item.Rank, Item.OnTimeDeadline, Draw,
                                         Clock::now());
}

bool ReservationQueues::isContended(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return state(Service).Queue.isContended(Clock::now());
}

void ReservationQueues::onGranted(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  state(Service).Queue.onGranted(Ticket, Clock::now());
}

bool ReservationQueues::wouldTimeOut(const std::string &Service,
                                     const QueueEntry &Item) {
  std::lock_guard lock(Mutex);
  return state(Service).Queue.wouldTimeOut(Item, Clock::now());
}

Milliseconds ReservationQueues::drainTime(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return state(Service).Queue.drainTime(Clock::now());
}

void ReservationQueues::countStream(const std::string &Service,
                                    uint32_t Priority, QueueOutcome Outcome) {
  std::lock_guard lock(Mutex);
  ++state(Service).Streams[std::min<size_t>(Priority, RankCount - 1)]
                          [static_cast<size_t>(Outcome)];
}

void ReservationQueues::countPlain(const std::string &Service,
                                   const std::string &Outcome) {
  std::lock_guard lock(Mutex);
  ++state(Service).PlainWaits[Outcome];
}

void ReservationQueues::forEachCounter(const CounterVisitor &Visit) {
  std::lock_guard lock(Mutex);
  for (const auto &[service, found] : Services) {
    for (size_t rank = 0; rank < RankCount; ++rank)
      for (size_t i = 0; i < OutcomeNames.size(); ++i)
        if (found.Streams[rank][i] > 0)
          Visit("reservations_" + std::string(OutcomeNames[i]) + "_total",
                service + "/" + std::to_string(rank), found.Streams[rank][i]);
    for (const auto &[outcome, n] : found.PlainWaits)
      Visit("plain_waits_total", service + "/" + outcome, n);
  }
}

std::string ReservationQueues::dump() {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  std::string out = "[";
  const char *separator = "";
  for (const auto &[service, found] : Services) {
    out +=
        separator + std::string("{\"service\":") +
        internal::jsonString(service) +
        ",\"streams\":" + std::to_string(found.Queue.size()) +
        ",\"plain\":" + std::to_string(found.Plain.size()) +
        ",\"contended\":" + (found.Queue.isContended(now) ? "true" : "false") +
        ",\"ranks\":[";
    const char *inner = "";
    for (size_t rank = 0; rank < RankCount; ++rank) {
      const auto &counts = found.Streams[rank];
      if (std::ranges::all_of(counts, [](uint64_t It) { return It == 0; }))
        continue;
      out += inner + std::string("{\"rank\":") + std::to_string(rank);
      for (size_t i = 0; i < OutcomeNames.size(); ++i)
        out += std::string(",\"") + OutcomeNames[i] +
               "\":" + std::to_string(counts[i]);
      out += "}";
      inner = ",";
    }
    out += "]}";
    separator = ",";
  }
  return out + "]";
}

std::map<std::string, ServiceQueues> ReservationQueues::copies() {
  std::lock_guard lock(Mutex);
  std::map<std::string, ServiceQueues> all;
  for (const auto &[service, state] : Services)
    all.emplace(service,
                ServiceQueues{state.Queue, state.Admission, state.Plain});
  return all;
}

std::map<std::string, size_t> ReservationQueues::sizes() {
  std::lock_guard lock(Mutex);
  std::map<std::string, size_t> all;
  for (const auto &[service, found] : Services)
    all[service] = found.Queue.size() + found.Plain.size();
  return all;
}

} // namespace crocusspur::gateway
