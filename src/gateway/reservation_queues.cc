#include "gateway/reservation_queues.h"

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Requests of one service that ask servers concurrently. With one at a time, an
// unresponsive server would block the queue.
constexpr uint32_t MaxConcurrentTries = 3;

} // namespace

ReservationQueues::State &ReservationQueues::state(const std::string &Service) {
  return Services
      .try_emplace(Service, State{ReservationQueue(MaxConcurrentTries), {}, {}})
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

void ReservationQueues::onGranted(const std::string &Service) {
  std::lock_guard lock(Mutex);
  state(Service).Queue.onGranted(Clock::now());
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

std::map<std::string, size_t> ReservationQueues::sizes() {
  std::lock_guard lock(Mutex);
  std::map<std::string, size_t> all;
  for (const auto &[service, found] : Services)
    all[service] = found.Queue.size() + found.Plain.size();
  return all;
}

} // namespace crocusspur::gateway
