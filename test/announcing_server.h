// A fake backend server that adds header fields to all its responses and
// records what reaches it. Serves plain requests, prefills, reservations,
// reports and streams of one event.
#ifndef CROCUSSPUR_TEST_ANNOUNCING_SERVER_H
#define CROCUSSPUR_TEST_ANNOUNCING_SERVER_H

#include "crocusspur/types.h"
#include "gateway_fixture.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::test {

class AnnouncingServer {
public:
  AnnouncingServer();

  struct Arrival {
    TimePoint At;
    // Of a caller's request; empty for calls of the instances themselves.
    std::string RequestId;
  };

  // From now on all responses say that the server leaves.
  void announceLeaving();
  // From now on all requests are refused, with this Retry-After.
  void refuseWith(const std::string &RetryAfter);
  void acceptAgain();
  // Time that a plain request or a stream takes.
  void setWork(Milliseconds Time);

  // When the first response with the current announcement was sent.
  std::optional<TimePoint> announcedAt() const;
  // Callers' requests that arrived at `From` or later.
  std::vector<Arrival> arrivalsSince(TimePoint From) const;
  const FakeServer &server() const { return Server; }
  std::string address() const { return Server.address(); }

private:
  std::string respond(const std::string &Request);

  mutable std::mutex Mutex;
  std::string Fields; // of each response
  bool Refusing = false;
  Milliseconds Work{0};
  std::vector<Arrival> Arrivals;
  std::optional<TimePoint> AnnouncedAt;
  FakeServer Server;
};

} // namespace crocusspur::test

#endif
