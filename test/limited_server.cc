#include "limited_server.h"

#include "test_socket.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace crocusspur::test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;

} // namespace

size_t allowedInWindow(double Limit) {
  double seconds = std::chrono::duration<double>(LimitWindow).count();
  return static_cast<size_t>(AllowedFactor * Limit * seconds + AllowedExtra);
}

size_t mostInWindow(const std::vector<LimitedServer::Arrival> &Arrivals) {
  size_t most = 0;
  for (const LimitedServer::Arrival &first : Arrivals)
    most = std::max(most, static_cast<size_t>(std::ranges::count_if(
                              Arrivals, [&](const auto &It) {
                                return It.At >= first.At &&
                                       It.At < first.At + LimitWindow;
                              })));
  return most;
}

LimitedServer::LimitedServer()
    : Server([this](const std::string &Request, int) {
        return respond(Request);
      }) {}

std::string LimitedServer::respond(const std::string &Request) {
  double limit = Limit.load();
  std::string id = headerField(Request, "Attempt-Id");
  {
    std::lock_guard lock(Mutex);
    Arrivals.push_back({Clock::now(), id});
    if (limit != NoLimit && !FirstStatedAt)
      FirstStatedAt = Clock::now();
  }
  std::string response = modelServerResponse(Request);
  if (limit != NoLimit)
    response.insert(response.find("\r\n") + 2,
                    "Server-Limit: " + std::to_string(limit) + "\r\n");
  return response;
}

std::optional<TimePoint> LimitedServer::statedAt() const {
  std::lock_guard lock(Mutex);
  return FirstStatedAt;
}

std::vector<LimitedServer::Arrival>
LimitedServer::arrivalsSince(TimePoint From) const {
  std::lock_guard lock(Mutex);
  std::vector<Arrival> all;
  std::ranges::copy_if(Arrivals, std::back_inserter(all),
                       [&](const Arrival &It) { return It.At >= From; });
  return all;
}

size_t LimitedServer::arrivals(TimePoint From, TimePoint To) const {
  return static_cast<size_t>(std::ranges::count_if(
      arrivalsSince(From), [&](const Arrival &It) { return It.At < To; }));
}

size_t LimitedServer::mostInWindow(TimePoint From) const {
  return test::mostInWindow(arrivalsSince(From));
}

} // namespace crocusspur::test
