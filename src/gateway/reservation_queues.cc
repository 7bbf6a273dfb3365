#include "gateway/reservation_queues.h"

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Requests of one service that ask servers at the same time. One at a time
// would stand still while a server doesn't answer.
constexpr uint32_t TriesAtOnce = 3;

} // namespace

ReservationQueue &ReservationQueues::line(const std::string &Service) {
  return Lines.try_emplace(Service, TriesAtOnce).first->second;
}

uint64_t ReservationQueues::join(const std::string &Service,
                                 const QueueEntry &Item) {
  std::lock_guard lock(Mutex);
  return line(Service).join(Item, Clock::now());
}

void ReservationQueues::leave(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  line(Service).leave(Ticket);
}

bool ReservationQueues::tryStartAttempt(const std::string &Service,
                                        uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  return line(Service).tryStartAttempt(Ticket, Clock::now());
}

void ReservationQueues::onAttemptEnded(const std::string &Service,
                                       uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  line(Service).onAttemptEnded(Ticket, Clock::now());
}

void ReservationQueues::onGranted(const std::string &Service) {
  std::lock_guard lock(Mutex);
  line(Service).onGranted(Clock::now());
}

bool ReservationQueues::wouldTimeOut(const std::string &Service,
                                     TimePoint Latest) {
  std::lock_guard lock(Mutex);
  return line(Service).wouldTimeOut(Latest, Clock::now());
}

Milliseconds ReservationQueues::drainTime(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return line(Service).drainTime(Clock::now());
}

std::map<std::string, size_t> ReservationQueues::sizes() {
  std::lock_guard lock(Mutex);
  std::map<std::string, size_t> all;
  for (const auto &[service, line] : Lines)
    all[service] = line.size();
  return all;
}

} // namespace crocusspur::gateway
