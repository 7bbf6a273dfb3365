// A fake backend server that states a request limit in its responses, if it has
// one. Serves plain requests, prefills, reservations and streams of one event.
#ifndef CROCUSSPUR_TEST_LIMITED_SERVER_H
#define CROCUSSPUR_TEST_LIMITED_SERVER_H

#include "crocusspur/types.h"
#include "gateway_fixture.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::test {

// Within each window a server may get this many requests: one and a half times
// what its limit allows, and some more.
constexpr Milliseconds LimitWindow{4000};
size_t allowedInWindow(double Limit);

class LimitedServer {
public:
  LimitedServer();

  struct Arrival {
    TimePoint At;
    std::string RequestId;
  };

  void setLimit(double PerSecond) { Limit.store(PerSecond); }
  void liftLimit() { Limit.store(NoLimit); }
  // When a limit was first stated; nothing before.
  std::optional<TimePoint> statedAt() const;
  std::vector<Arrival> arrivalsSince(TimePoint From) const;
  size_t arrivals(TimePoint From, TimePoint To) const;
  // The most requests in one window that begins at `From` or later.
  size_t mostInWindow(TimePoint From) const;
  const FakeServer &server() const { return Server; }

private:
  static constexpr double NoLimit = -1;

  std::string respond(const std::string &Request);

  mutable std::mutex Mutex;
  std::atomic<double> Limit{NoLimit};
  std::vector<Arrival> Arrivals;
  std::optional<TimePoint> FirstStatedAt;
  FakeServer Server;
};

// The most arrivals in one window.
size_t mostInWindow(const std::vector<LimitedServer::Arrival> &Arrivals);

} // namespace crocusspur::test

#endif
