// What is joined to a stream that broke off: only a stream of events, with ids
// beyond those that the caller has.
#include "gateway/decisions/content_fingerprint.h"
#include "gateway_fixture.h"
#include "stream_samples.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

constexpr int EventCount = 8;

const std::string ServerFields = "Server-Signature: sig\r\nAttempt-Id: a1\r\n";

std::string stream(int From, int To, bool Whole = true) {
  return StreamHead + eventChunks(From, To) + (Whole ? LastChunk : "");
}

// Text with the form of an event, as a body with a length.
std::string error(int Status, const std::string &Type) {
  const std::string body = "{\"error\":\"no memory\"}\n\n";
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + ServerFields +
         (Type.empty() ? "" : "Content-Type: " + Type + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Servers of which the first run breaks off after event 4; `Next` answers the
// others, numbered from 2.
struct BrokenStream {
  explicit BrokenStream(std::function<std::string(int Run)> Next, int Count)
      : Next(std::move(Next)) {
    for (int i = 0; i < Count; ++i)
      Servers.push_back(std::make_unique<FakeServer>(
          [this](const std::string &Request, int) { return reply(Request); }));
    for (size_t i = 0; i < Servers.size(); ++i)
      Gateway.addServer("d" + std::to_string(i), *Servers[i],
                        ServerStage::Decode, "v1");
  }

  std::string run(CallerRequest Request, bool Resumable = true) {
    PathRoute route = Gateway.route(RouteKind::Stream);
    route.Resumable = Resumable;
    route.MaxServers = 4;
    return Gateway.run(route, std::move(Request));
  }
  std::string run() { return run(Gateway.request()); }

  std::string reply(const std::string &Request) {
    if (!Request.starts_with("POST /x/y"))
      return httpResponse(200, R"({"retention":"res1"})");
    int run = ++Runs;
    return run == 1 && BreaksOff ? stream(1, 4, false) + " Connection: close"
                                 : Next(run);
  }

  bool BreaksOff = true;
  std::function<std::string(int Run)> Next;
  std::atomic<int> Runs{0};
  std::vector<std::unique_ptr<FakeServer>> Servers;
  GatewayFixture Gateway;
};

bool looksComplete(const std::string &Response) {
  return Response.ends_with("\r\n0\r\n\r\n");
}

size_t count(const std::string &Text, const std::string &Part) {
  size_t n = 0;
  for (size_t at = 0; (at = Text.find(Part, at)) != Text.npos; ++at)
    ++n;
  return n;
}

void checkEvents(const std::string &Response, int Last) {
  for (int i = 1; i <= EventCount; ++i)
    CHECK(count(Response, event(i)) == (i <= Last ? 1 : 0));
}

} // namespace

// Callers found the text of a server's error in the middle of their stream, and
// the stream ended as if it were complete.
TEST_CASE("Nothing but a stream of events is joined to a stream") {
  for (const std::string &other :
       {error(200, "application/json"), error(200, ""),
        error(200, "text/event-streams"), error(404, "application/json"),
        error(500, "text/event-stream"), error(502, "text/plain"),
        "HTTP/1.1 103 X\r\n\r\n" + error(502, "text/plain")}) {
    CAPTURE(other);
    BrokenStream alone([&](int) { return other; }, 2);
    std::string response = alone.run();
    CHECK(response.find("no memory") == std::string::npos);
    CHECK(count(response, "HTTP/1.1") == 1);
    checkEvents(response, 4);
    CHECK_FALSE(looksComplete(response));

    BrokenStream third(
        [&](int Run) { return Run == 2 ? other : stream(5, EventCount); }, 3);
    response = third.run();
    CHECK(response.find("no memory") == std::string::npos);
    checkEvents(response, EventCount);
    CHECK(looksComplete(response));
  }
}

TEST_CASE("A first run that isn't a stream of events has failed") {
  for (bool resumable : {true, false}) {
    CAPTURE(resumable);
    BrokenStream setup([](int) { return error(200, "application/json"); }, 1);
    setup.BreaksOff = false;
    std::string response = setup.run(setup.Gateway.request(), resumable);
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("no memory") == std::string::npos);
  }
}

TEST_CASE("Servers may leave out the type of a stream or add parameters") {
  for (const std::string &type : {"", "Text/Event-Stream; charset=utf-8"}) {
    CAPTURE(type);
    auto typed = [&](std::string Response) {
      const std::string field = "Content-Type: text/event-stream\r\n";
      return Response.replace(Response.find(field), field.size(),
                              type.empty() ? ""
                                           : "Content-Type: " + type + "\r\n");
    };
    BrokenStream setup(
        [&](int Run) {
          return typed(Run == 1 ? stream(1, 4, false) + " Connection: close"
                                : stream(5, EventCount));
        },
        2);
    setup.BreaksOff = false;
    std::string response = setup.run();
    checkEvents(response, EventCount);
    CHECK(looksComplete(response));
  }
}

// A server that ignores the last event's id begins again at the first: callers
// got events twice, in one complete answer.
TEST_CASE("A run whose ids go back isn't joined to a stream") {
  BrokenStream alone([](int) { return stream(1, EventCount); }, 2);
  std::string response = alone.run();
  checkEvents(response, 4);
  CHECK_FALSE(looksComplete(response));

  BrokenStream third(
      [](int Run) { return stream(Run == 2 ? 4 : 5, EventCount); }, 3);
  response = third.run();
  checkEvents(response, EventCount);
  CHECK(looksComplete(response));
}

TEST_CASE("Ids that go back within a run end it after the last one in order") {
  BrokenStream setup(
      [](int Run) {
        std::string first = stream(1, 6, false) + chunk(event(3)) +
                            chunk(event(7)) + "0\r\n\r\n";
        return Run == 1 ? first : stream(7, EventCount);
      },
      2);
  setup.BreaksOff = false;
  std::string response = setup.run();
  checkEvents(response, EventCount);
  CHECK(looksComplete(response));
}

// The caller takes the stream up at another instance.
TEST_CASE("A stream that is taken up doesn't begin again") {
  BrokenStream setup(
      [](int Run) { return stream(Run == 1 ? 1 : 5, EventCount); }, 2);
  setup.BreaksOff = false;
  CallerRequest request = setup.Gateway.request();
  request.LastEventId = "4";
  request.ResumedRequestId = "a0";
  setup.Gateway.Origins.record(
      streamKeyOf(request.Host, request.Target, request.ResumedRequestId),
      versionKeyOf("v1"), Milliseconds(20000));
  std::string response = setup.run(request);
  CHECK(count(response, event(4)) == 0);
  CHECK(count(response, event(5)) == 1);
  CHECK(looksComplete(response));
  CHECK(setup.Runs == 2);
}

TEST_CASE("Events without a number as id are passed on") {
  BrokenStream setup(
      [](int) {
        return stream(1, 2, false) + chunk("data: x\n\n") +
               chunk("id: b\ndata: y\n\n") + chunk("id: a\ndata: z\n\n") +
               "0\r\n\r\n";
      },
      1);
  setup.BreaksOff = false;
  std::string response = setup.run();
  for (const char *it : {"data: x", "data: y", "data: z"})
    CHECK(count(response, it) == 1);
  CHECK(looksComplete(response));
}
