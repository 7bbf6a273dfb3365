#include "soak_servers.h"

#include "fault_proxy.h"
#include "received_stream.h"

#include <algorithm>
#include <cstdio>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace crocusspur::soak {
namespace {

constexpr uint64_t MaxSilenceMs = 3000;
constexpr uint64_t MaxPauseMs = 60;

std::string fullResponse(int Status, const std::string &Id,
                         const std::string &Body) {
  return responseHead(Status, Id,
                      "Content-Length: " + std::to_string(Body.size())) +
         Body;
}

} // namespace

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

uint64_t RunCounter::add(const std::string &Id, int64_t ProcessStartedAt) {
  std::lock_guard lock(Mutex);
  ++Runs[Id];
  Records.push_back({Id, ProcessStartedAt, std::chrono::steady_clock::now()});
  return Records.size() - 1;
}

RunRecord RunCounter::record(uint64_t Run) const {
  std::lock_guard lock(Mutex);
  return Records.at(Run);
}

int RunCounter::count(const std::string &Id) const {
  std::lock_guard lock(Mutex);
  auto it = Runs.find(Id);
  return it == Runs.end() ? 0 : it->second;
}

std::string expectedResponse(const std::string &Id) {
  return "answer to " + Id + std::string(200, '.');
}

SoakServer::SoakServer(RunCounter &Executions, uint64_t Seed, std::string Id,
                       std::string Version, int64_t StartedAt,
                       StreamHook Streams, uint16_t Port)
    : Executions(Executions), Id(std::move(Id)), Version(std::move(Version)),
      StartedAt(StartedAt), Streams(std::move(Streams)), Random(Seed),
      FramingRandom(~Seed), StreamRandom(Seed + 1),
      Server([this](int Fd, int) { serve(Fd); }, Port) {}

SoakServer::~SoakServer() {
  std::lock_guard lock(Mutex);
  Stopping = true;
  for (int it : OpenSockets)
    ::shutdown(it, SHUT_RDWR);
}

void SoakServer::endConnections() {
  std::lock_guard lock(Mutex);
  for (int it : OpenSockets)
    if (UnframedSockets.contains(it))
      resetConnection(it);
    else
      ::shutdown(it, SHUT_RDWR);
}

void SoakServer::markUnframed(int Fd) {
  std::lock_guard lock(Mutex);
  UnframedSockets.insert(Fd);
}

unsigned SoakServer::randomBelow(unsigned Below) {
  std::lock_guard lock(Mutex);
  return static_cast<unsigned>(Random() % Below);
}

bool SoakServer::drawUnframed() {
  std::lock_guard lock(Mutex);
  return FramingRandom() % 3 == 0;
}

RunPlan SoakServer::drawPlan(int From, bool GoesOn) {
  std::lock_guard lock(Mutex);
  static constexpr StreamFault Faults[] = {StreamFault::End,
                                           StreamFault::Reset,
                                           StreamFault::EndInsideEvent,
                                           StreamFault::BeginAgain,
                                           StreamFault::OtherText,
                                           StreamFault::Silence};
  RunPlan plan;
  // One run in six is faulty, and one in 36 falls silent.
  if (uint64_t n = StreamRandom() % 36; n < std::size(Faults))
    plan.Fault = Faults[n];
  bool onlyIfGoingOn = plan.Fault == StreamFault::BeginAgain ||
                       plan.Fault == StreamFault::OtherText;
  if (onlyIfGoingOn && !GoesOn)
    plan.Fault = StreamFault::None;
  int left = std::max(1, StreamEvents - From + 1);
  plan.FaultyEvent =
      From + static_cast<int>(StreamRandom() % static_cast<uint64_t>(left));
  plan.FaultyByte = StreamRandom();
  plan.Silence = Milliseconds(StreamRandom() % MaxSilenceMs);
  // Long streams are more often under way when their server is replaced.
  uint64_t pause = StreamRandom() % MaxPauseMs;
  plan.Pause = Milliseconds(StreamRandom() % 3 == 0 ? 5 + pause : 5);
  return plan;
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
  UnframedSockets.erase(Fd);
}

// Returns whether the connection stays open.
bool SoakServer::respond(int Fd, const std::string &Request) {
  if (Request.starts_with("GET /api/report")) {
    std::string body = R"({"phase":"decode","sequence":0,"born":)" +
                       std::to_string(StartedAt) + "}";
    sendText(Fd, "HTTP/1.1 200 X\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  }
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
  uint64_t run = Executions.add(id, StartedAt);
  if (Streams)
    return Streams(*this, {Fd, Request, id, run});
  if (Request.find(" /s/") != std::string::npos ||
      Request.find(" /t/") != std::string::npos)
    return respondStream(Fd, Request, id, run);
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
                               const std::string &RequestId, uint64_t Run) {
  std::string last = headerField(Request, "Last-Event-Id");
  std::string first = headerField(Request, "Resumes");
  if (first.empty())
    first = RequestId;
  int from = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  int to = randomBelow(5) == 0
               ? from + static_cast<int>(randomBelow(StreamEvents)) - 1
               : StreamEvents;
  bool unframed = drawUnframed();
  RunPlan plan = drawPlan(from, !last.empty());
  if (plan.Fault == StreamFault::OtherText) {
    std::string text = "{\"error\":\"the output can't go on\"}";
    sendText(Fd, responseHead(200, RequestId,
                              "Content-Type: application/json\r\n"
                              "Content-Length: " +
                                  std::to_string(text.size())) +
                     text);
    return true;
  }
  if (plan.Fault == StreamFault::BeginAgain)
    from = 1;
  if (unframed)
    markUnframed(Fd);
  sendText(Fd, responseHead(200, RequestId,
                            std::string("Content-Type: text/event-stream\r\n") +
                                (unframed ? "Cache-Control: no-store"
                                          : "Transfer-Encoding: chunked")));
  for (int i = from; i <= std::min(to, StreamEvents); ++i) {
    std::string event = textOf({i, first, Id, Version, Run});
    std::string bytes = unframed ? event : chunk(event);
    StreamFault fault = i == plan.FaultyEvent ? plan.Fault : StreamFault::None;
    // Bytes of the event before the fault: a part of it, if its end may be
    // taken for that of the response.
    size_t part = 1 + plan.FaultyByte % (event.size() - 1);
    if (fault == StreamFault::EndInsideEvent && !unframed) {
      sendText(Fd, chunk(event.substr(0, part)) + "0\r\n\r\n");
      return true;
    }
    if (!unframed)
      part = plan.FaultyByte % (bytes.size() + 1);
    if (fault == StreamFault::End || fault == StreamFault::EndInsideEvent ||
        fault == StreamFault::Reset) {
      sendText(Fd, bytes.substr(0, part));
      if (fault == StreamFault::Reset)
        resetOnClose(Fd);
      return false;
    }
    if (fault == StreamFault::Silence) {
      sendText(Fd, bytes.substr(0, part));
      std::this_thread::sleep_for(plan.Silence);
      bytes.erase(0, part);
    }
    sendText(Fd, bytes);
    std::this_thread::sleep_for(plan.Pause);
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
