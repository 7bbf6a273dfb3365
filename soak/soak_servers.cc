#include "soak_servers.h"

#include "crocusspur/types.h"

#include <cstdio>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace crocusspur::soak {
namespace {

std::string chunk(const std::string &Data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", Data.size());
  return size + Data + "\r\n";
}

std::string responseHead(int Status, const std::string &Id,
                         const std::string &Fields) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nServer-Signature: sig\r\nAttempt-Id: " + Id + "\r\n" + Fields +
         "\r\n\r\n";
}

std::string fullResponse(int Status, const std::string &Id,
                         const std::string &Body) {
  return responseHead(Status, Id,
                      "Content-Length: " + std::to_string(Body.size())) +
         Body;
}

} // namespace

void RunCounter::add(const std::string &Id) {
  std::lock_guard lock(Mutex);
  ++Runs[Id];
}

int RunCounter::count(const std::string &Id) const {
  std::lock_guard lock(Mutex);
  auto it = Runs.find(Id);
  return it == Runs.end() ? 0 : it->second;
}

std::string expectedResponse(const std::string &Id) {
  return "answer to " + Id + std::string(200, '.');
}

std::string expectedEvent(int Number, const std::string &Id,
                          const std::string &Version) {
  return "id: " + std::to_string(Number) + "\ndata: " + Id + " " + Version +
         "\n\n";
}

SoakServer::SoakServer(RunCounter &Executions, uint64_t Seed,
                       std::string Version)
    : Executions(Executions), Version(std::move(Version)), Random(Seed),
      FramingRandom(~Seed), Server([this](int Fd, int) { serve(Fd); }) {}

SoakServer::~SoakServer() {
  std::lock_guard lock(Mutex);
  Stopping = true;
  for (int it : OpenSockets)
    ::shutdown(it, SHUT_RDWR);
}

size_t SoakServer::openConnections() {
  std::lock_guard lock(Mutex);
  return OpenSockets.size();
}

unsigned SoakServer::randomBelow(unsigned Below) {
  std::lock_guard lock(Mutex);
  return static_cast<unsigned>(Random() % Below);
}

bool SoakServer::drawUnframed() {
  std::lock_guard lock(Mutex);
  return FramingRandom() % 3 == 0;
}

void SoakServer::serve(int Fd) {
  {
    std::lock_guard lock(Mutex);
    if (Stopping)
      return;
    OpenSockets.insert(Fd);
  }
  while (true) {
    std::string request = readRequest(Fd);
    if (request.empty() || !respond(Fd, request))
      break;
  }
  std::lock_guard lock(Mutex);
  OpenSockets.erase(Fd);
}

// Returns whether the connection stays open.
bool SoakServer::respond(int Fd, const std::string &Request) {
  if (Request.starts_with("POST /api/hold-take")) {
    bool full = randomBelow(4) == 0;
    sendText(Fd, full ? "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
                      : httpResponse(200, "{\"retention\":\"r1\"}"));
    return true;
  }
  if (Request.starts_with("DELETE ")) {
    sendText(Fd, httpResponse(200, "{}"));
    return true;
  }
  std::string id = headerField(Request, "Attempt-Id");
  if (!headerField(Request, "Inference-Phase").empty()) {
    sendText(Fd, httpResponse(200, "{\"kv-handle\":\"h\",\"token-count\":9,"
                                   "\"version\":1}"));
    return true;
  }
  if (randomBelow(12) == 0) {
    sendText(Fd, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: "
                 "0\r\n\r\n");
    return true;
  }
  Executions.add(id);
  if (Request.find(" /s/") != std::string::npos ||
      Request.find(" /t/") != std::string::npos)
    return respondStream(Fd, Request, id);
  return respondPlain(Fd, id);
}

bool SoakServer::respondPlain(int Fd, const std::string &Id) {
  std::string response = fullResponse(200, Id, expectedResponse(Id));
  switch (randomBelow(20)) {
  case 0: // no response
    return false;
  case 1: // truncated
    sendText(Fd, response.substr(0, response.size() - 20));
    return false;
  case 2: // followed by a second response
    sendText(Fd, response + fullResponse(200, "stray", "stray answer"));
    return true;
  case 3: // preceded by a late response to another request
    sendText(Fd, fullResponse(200, "stray", "stray answer") + response);
    return true;
  case 4: // bytes that aren't an HTTP response
    sendText(Fd, "\x01\x02 noise\r\n\r\n");
    return false;
  case 5:
    sendText(Fd, fullResponse(500, Id, "failed"));
    return true;
  case 6: // slow
    std::this_thread::sleep_for(Milliseconds(400));
    sendText(Fd, response);
    return true;
  case 7: // delimited by the end of the connection
    sendText(Fd,
             responseHead(200, Id, "Connection: close") + expectedResponse(Id));
    return false;
  default:
    sendText(Fd, response);
    return true;
  }
}

bool SoakServer::respondStream(int Fd, const std::string &Request,
                               const std::string &Id) {
  std::string last = headerField(Request, "Last-Event-Id");
  std::string first = headerField(Request, "Resumes");
  if (first.empty())
    first = Id;
  int from = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  int to = randomBelow(5) == 0
               ? from + static_cast<int>(randomBelow(StreamEvents)) - 1
               : StreamEvents;
  bool unframed = drawUnframed();
  sendText(Fd, responseHead(200, Id,
                            unframed ? "Cache-Control: no-store"
                                     : "Transfer-Encoding: chunked"));
  for (int i = from; i <= std::min(to, StreamEvents); ++i) {
    std::string event = expectedEvent(i, first, Version);
    sendText(Fd, unframed ? event : chunk(event));
    std::this_thread::sleep_for(Milliseconds(5));
  }
  if (to < StreamEvents) { // in the middle of an event
    sendText(Fd, unframed ? "id: 9" : "9\r\nid: 9");
    return false;
  }
  if (!unframed)
    sendText(Fd, "0\r\n\r\n");
  return !unframed;
}

} // namespace crocusspur::soak
