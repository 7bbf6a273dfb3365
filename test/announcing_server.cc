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
  std::string response;
  if (refusing)
    response = httpResponse(503, "");
  else if (Request.starts_with("POST /api/hold-take"))
    response = httpResponse(200, "{\"retention\":\"r1\"}");
  else if (Request.starts_with("DELETE "))
    response = httpResponse(200, "{}");
  else if (Request.starts_with("GET /api/report"))
    response = httpResponse(200, "{\"phase\":\"unified\",\"sequence\":0}");
  else if (!headerField(Request, "Inference-Phase").empty())
    response = httpResponse(
        200, "{\"kv-handle\":\"h\",\"token-count\":9,\"version\":1}");
  else {
    std::this_thread::sleep_for(work);
    response = signedResponse(200, "id: 1\ndata: x\n\n", id);
  }
  std::lock_guard lock(Mutex);
  if (!Fields.empty()) {
    response.insert(response.find("\r\n") + 2, Fields);
    if (!AnnouncedAt)
      AnnouncedAt = Clock::now();
  }
  return response;
}

} // namespace crocusspur::test
