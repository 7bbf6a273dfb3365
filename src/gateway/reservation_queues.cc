#include "gateway/reservation_queues.h"

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Requests of one service that ask servers concurrently. With one at a time, an
// unresponsive server would block the queue.
constexpr uint32_t MaxConcurrentTries = 3;

} // namespace

ReservationQueue &ReservationQueues::queue(const std::string &Service) {
  return Queues.try_emplace(Service, MaxConcurrentTries).first->second;
}

uint64_t ReservationQueues::join(const std::string &Service,
                                 const QueueEntry &Item) {
  std::lock_guard lock(Mutex);
  return queue(Service).join(Item, Clock::now());
}

void ReservationQueues::leave(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  queue(Service).leave(Ticket);
}

bool ReservationQueues::tryStartAttempt(const std::string &Service,
                                        uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  return queue(Service).tryStartAttempt(Ticket, Clock::now());
}

void ReservationQueues::onAttemptEnded(const std::string &Service,
                                       uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  queue(Service).onAttemptEnded(Ticket, Clock::now());
}

void ReservationQueues::onAllFull(const std::string &Service) {
  std::lock_guard lock(Mutex);
  queue(Service).onAllFull(Clock::now());
}

bool ReservationQueues::isContended(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return queue(Service).isContended(Clock::now());
}

void ReservationQueues::onGranted(const std::string &Service) {
  std::lock_guard lock(Mutex);
  queue(Service).onGranted(Clock::now());
}

bool ReservationQueues::wouldTimeOut(const std::string &Service,
                                     TimePoint Latest) {
  std::lock_guard lock(Mutex);
  return queue(Service).wouldTimeOut(Latest, Clock::now());
}

Milliseconds ReservationQueues::drainTime(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return queue(Service).drainTime(Clock::now());
}

std::map<std::string, size_t> ReservationQueues::sizes() {
  std::lock_guard lock(Mutex);
  std::map<std::string, size_t> all;
  for (const auto &[service, queue] : Queues)
    all[service] = queue.size();
  return all;
}

} // namespace crocusspur::gateway
