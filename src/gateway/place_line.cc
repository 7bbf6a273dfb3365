#include "gateway/place_line.h"

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Requests of one service that ask servers at the same time. One at a time
// would stand still while a server doesn't answer.
constexpr uint32_t TriesAtOnce = 3;

} // namespace

WaitingLine &PlaceLines::line(const std::string &Service) {
  return Lines.try_emplace(Service, TriesAtOnce).first->second;
}

uint64_t PlaceLines::join(const std::string &Service, const LineEntry &Item) {
  std::lock_guard lock(Mutex);
  return line(Service).join(Item, Clock::now());
}

void PlaceLines::leave(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  line(Service).leave(Ticket);
}

bool PlaceLines::mayTry(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  return line(Service).mayTry(Ticket, Clock::now());
}

void PlaceLines::tried(const std::string &Service, uint64_t Ticket) {
  std::lock_guard lock(Mutex);
  line(Service).tried(Ticket, Clock::now());
}

void PlaceLines::granted(const std::string &Service) {
  std::lock_guard lock(Mutex);
  line(Service).granted(Clock::now());
}

bool PlaceLines::hopeless(const std::string &Service, TimePoint Latest) {
  std::lock_guard lock(Mutex);
  return line(Service).hopeless(Latest, Clock::now());
}

Milliseconds PlaceLines::drainTime(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return line(Service).drainTime(Clock::now());
}

std::map<std::string, size_t> PlaceLines::sizes() {
  std::lock_guard lock(Mutex);
  std::map<std::string, size_t> all;
  for (const auto &[service, line] : Lines)
    all[service] = line.size();
  return all;
}

} // namespace crocusspur::gateway
