// Streams whose body is whole by its framing but ends inside an event: by
// framing, place of the end, line ends, and kind of route.
#include "gateway_fixture.h"

#include <array>
#include <atomic>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

enum class Framing : uint8_t { Length, Chunks, UntilClose };
constexpr int EventCount = 4;

struct Place {
  int Event;      // the event that is cut
  size_t Kept;    // bytes of it that are sent
  const char *Of; // for messages
};

std::string event(int Id, const std::string &LineEnd) {
  return "id: " + std::to_string(Id) + LineEnd + "data: e" +
         std::to_string(Id) + LineEnd + LineEnd;
}

std::string events(int From, int To, const std::string &LineEnd) {
  std::string all;
  for (int i = From; i <= To; ++i)
    all += event(i, LineEnd);
  return all;
}

std::string responseWith(Framing Form, const std::string &Body) {
  std::string head = "HTTP/1.1 200 X\r\nServer-Signature: sig\r\n"
                     "Attempt-Id: a1\r\nContent-Type: text/event-stream\r\n";
  if (Form == Framing::Length)
    return head + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  if (Form == Framing::UntilClose)
    return head + "Connection: close\r\n\r\n" + Body;
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", Body.size());
  return head + "Transfer-Encoding: chunked\r\n\r\n" + size + Body +
         "\r\n0\r\n\r\n";
}

// Ends its first stream at the place; later ones are whole.
FakeServer::Responder endingAt(Place At, Framing Form,
                               const std::string &LineEnd,
                               std::atomic<int> &Runs) {
  return [=, &Runs](const std::string &Request, int) {
    if (!Request.starts_with("POST /x/y"))
      return httpResponse(200, R"({"retention":"res1"})");
    std::string after = headerField(Request, "Last-Event-Id");
    int from = after.empty() ? 1 : std::stoi(after) + 1;
    if (++Runs > 1)
      return responseWith(Framing::Chunks, events(from, EventCount, LineEnd));
    return responseWith(Form, events(1, At.Event - 1, LineEnd) +
                                  event(At.Event, LineEnd).substr(0, At.Kept));
  };
}

std::string bodyOf(const std::string &Response) {
  std::string body;
  size_t at = Response.find("\r\n\r\n") + 4;
  while (at < Response.size()) {
    size_t line = Response.find("\r\n", at);
    size_t n = std::stoul(Response.substr(at, line - at), nullptr, 16);
    body += Response.substr(line + 2, n);
    at = line + 2 + n + 2;
  }
  return body;
}

bool looksComplete(const std::string &Response) {
  return Response.ends_with("\r\n0\r\n\r\n");
}

// Calls `Check` with a responder and the events before the cut.
template <typename CheckFunction> void forEachEnd(CheckFunction Check) {
  for (const std::string &lineEnd : {std::string("\n"), std::string("\r\n")})
    for (Framing form : {Framing::Length, Framing::Chunks, Framing::UntilClose})
      for (Place at : {Place{1, 3, "inside the first event"},
                       Place{3, 9, "inside a later event"},
                       Place{EventCount, 5 + lineEnd.size(),
                             "after a whole line of the last event"},
                       Place{EventCount,
                             event(EventCount, lineEnd).size() - lineEnd.size(),
                             "before the last event's empty line"}}) {
        CAPTURE(lineEnd.size());
        CAPTURE(static_cast<int>(form));
        CAPTURE(at.Of);
        std::atomic<int> runs{0};
        Check(endingAt(at, form, lineEnd, runs),
              events(1, at.Event - 1, lineEnd), lineEnd, runs);
      }
}

} // namespace

// The gateway passed the part of the event on and ended the response as
// complete, unless its end was that of the connection.
TEST_CASE("A stream that ends inside an event never looks complete") {
  forEachEnd([](FakeServer::Responder Reply, const std::string &Whole,
                const std::string &, std::atomic<int> &Runs) {
    GatewayFixture gateway;
    FakeServer server(std::move(Reply));
    gateway.addServer("d1", server, ServerStage::Decode);
    std::string response = gateway.run(gateway.route(RouteKind::Stream));
    CHECK_FALSE(looksComplete(response));
    CHECK(bodyOf(response) == Whole);
    CHECK(Runs == 1);
  });
}

// The same fault kept such a stream from going on at another server.
TEST_CASE("A resumable stream that ends inside an event goes on elsewhere") {
  forEachEnd([](FakeServer::Responder Reply, const std::string &,
                const std::string &LineEnd, std::atomic<int> &Runs) {
    GatewayFixture gateway;
    FakeServer first(Reply);
    FakeServer second(Reply);
    gateway.addServer("d1", first, ServerStage::Decode);
    gateway.addServer("d2", second, ServerStage::Decode);
    PathRoute route = gateway.route(RouteKind::Stream);
    route.Resumable = true;
    std::string response = gateway.run(route);
    CHECK(looksComplete(response));
    CHECK(bodyOf(response) == events(1, EventCount, LineEnd));
    CHECK(Runs == 2);
  });
}
