#include "announcing_server.h"

#include "test_socket.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>

namespace crocusspur::test {

using Clock = std::chrono::steady_clock;

AnnouncingServer::AnnouncingServer()
    : Server([this](const std::string &Request, int) {
        return respond(Request);
      }) {}

void AnnouncingServer::announceLeaving() {
  std::lock_guard lock(Mutex);
  Fields = "Server-Leaving: 1\r\nConnection: close\r\n";
}

void AnnouncingServer::refuseWith(const std::string &RetryAfter) {
  std::lock_guard lock(Mutex);
  Fields = "Not-Executed: 1\r\nRetry-After: " + RetryAfter + "\r\n";
  Refusing = true;
  AnnouncedAt.reset();
}

void AnnouncingServer::acceptAgain() {
  std::lock_guard lock(Mutex);
  Fields.clear();
  Refusing = false;
}

void AnnouncingServer::setWork(Milliseconds Time) {
  std::lock_guard lock(Mutex);
  Work = Time;
}

std::optional<TimePoint> AnnouncingServer::announcedAt() const {
  std::lock_guard lock(Mutex);
  return AnnouncedAt;
}

std::vector<AnnouncingServer::Arrival>
AnnouncingServer::arrivalsSince(TimePoint From) const {
  std::lock_guard lock(Mutex);
  std::vector<Arrival> all;
  std::ranges::copy_if(Arrivals, std::back_inserter(all),
                       [&](const Arrival &It) { return It.At >= From; });
  return all;
}

std::string AnnouncingServer::respond(const std::string &Request) {
  std::string id = headerField(Request, "Attempt-Id");
  Milliseconds work;
  bool refusing = false;
  {
    std::lock_guard lock(Mutex);
    if (!id.empty())
      Arrivals.push_back({Clock::now(), id});
    work = Work;
    refusing = Refusing;
  }
  bool run = !id.empty() && headerField(Request, "Inference-Phase").empty();
  if (run && !refusing)
    std::this_thread::sleep_for(work);
  std::string response =
      refusing ? httpResponse(503, "") : modelServerResponse(Request);
  std::lock_guard lock(Mutex);
  if (!Fields.empty()) {
    response.insert(response.find("\r\n") + 2, Fields);
    if (!AnnouncedAt)
      AnnouncedAt = Clock::now();
  }
  return response;
}

} // namespace crocusspur::test
