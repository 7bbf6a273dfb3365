#include "gateway_fixture.h"

#include <atomic>
#include <doctest/doctest.h>
#include <sys/socket.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string json(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string chunk(const std::string &Data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", Data.size());
  return size + Data + "\r\n";
}

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: e" + std::to_string(Id) +
         "\n\n";
}

const std::string StreamHead =
    "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: "
    "a1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

// A stream with the events From to To; without its end unless `Whole`.
std::string stream(int From, int To, bool Whole = true) {
  std::string out = StreamHead;
  for (int i = From; i <= To; ++i)
    out += chunk(event(i));
  return Whole ? out + "0\r\n\r\n" : out;
}

bool isReserve(const std::string &Request) {
  return Request.starts_with("POST /api/hold-take");
}

bool isPrefill(const std::string &Request) {
  return contains(Request, "Inference-Phase: prefill");
}

std::string prefillResponse(const std::string &, int) {
  return json(200, R"({"kv-handle":"h1","token-count":5000,"version":1})");
}

// A decode server that grants reservations and responds to requests with `Run`.
FakeServer::Responder decode(FakeServer::Responder Run) {
  return [Run](const std::string &Request, int Number) {
    if (isReserve(Request))
      return json(200, R"({"retention":"res1"})");
    if (Request.starts_with("DELETE"))
      return json(200, "{}");
    return Run(Request, Number);
  };
}

std::string events(int From, int To) {
  std::string all;
  for (int i = From; i <= To; ++i)
    all += chunk(event(i));
  return all;
}

} // namespace

TEST_CASE("Memory is reserved before the prefill and used for the stream") {
  GatewayFixture gateway;
  FakeServer prefill(prefillResponse);
  FakeServer decoder(
      decode([](const std::string &, int) { return stream(1, 3); }));
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", decoder, ServerStage::Decode);
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(contains(response, "Server-Signature: sig"));
  CHECK(contains(response, "id: 3\ndata: e3"));
  CHECK(response.ends_with("0\r\n\r\n"));
  REQUIRE(decoder.requests().size() == 2);
  CHECK(isReserve(decoder.requests()[0]));
  CHECK(contains(decoder.requests()[1], "Retention: res1"));
  CHECK(contains(decoder.requests()[1],
                 "Kv-Source: " + prefill.address() + "/h1"));
  CHECK(prefill.count("Inference-Phase: prefill") == 1);
}

// Guards against a stream that is taken up at another version than it began
// at: keepers of its record may have missed the second one.
TEST_CASE("A stream whose first run gave no event stays at its version") {
  GatewayFixture gateway;
  FakeServer prefill(prefillResponse);
  std::atomic<bool> firstRefused{false};
  FakeServer first(decode([&](const std::string &, int) {
    firstRefused = true;
    return refusal();
  }));
  FakeServer second([&](const std::string &Request, int Number) {
    if (isReserve(Request) && !firstRefused)
      return refusal();
    return decode([](const std::string &, int) { return stream(1, 3); })(
        Request, Number);
  });
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", first, ServerStage::Decode, "v1");
  gateway.addServer("d2", second, ServerStage::Decode, "v2");
  PathRoute route = gateway.route(RouteKind::Stream);
  SUBCASE("resumable") {
    route.Resumable = true;
    std::string response = gateway.run(route);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(contains(response, "\"run\":\"no\""));
    CHECK(contains(response, "Retry-After: "));
  }
  SUBCASE("not resumable") { CHECK(contains(gateway.run(route), "data: e3")); }
  CHECK(firstRefused);
}

// A prefill without decode memory for its output wastes the most work.
TEST_CASE("Without memory at any decode server there is no prefill") {
  GatewayFixture gateway;
  FakeServer prefill(prefillResponse);
  FakeServer full([](const std::string &, int) { return refusal(); });
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", full, ServerStage::Decode);
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(contains(response, "Retry-After: "));
  CHECK(contains(response, "\"run\":\"no\""));
  CHECK(prefill.requests().empty());
}

TEST_CASE("Without a prefill server the decode server reads the prompt") {
  GatewayFixture gateway;
  FakeServer decoder(
      decode([](const std::string &, int) { return stream(1, 2); }));
  gateway.addServer("d1", decoder, ServerStage::Decode);
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(contains(response, "data: e2"));
  CHECK(decoder.count("Kv-Source") == 0);
}

TEST_CASE("After the loss of its KV cache the decode server reads the prompt") {
  GatewayFixture gateway;
  FakeServer prefill(prefillResponse);
  FakeServer decoder(decode([](const std::string &Request, int) {
    return contains(Request, "Kv-Source") ? refusal() : stream(1, 2);
  }));
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", decoder, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.MaxServers = 1; // the same server may be asked again
  std::string response = gateway.run(route);
  CHECK(contains(response, "data: e2"));
  CHECK(prefill.count("Inference-Phase: prefill") == 1);
}

TEST_CASE("A broken stream that can't be resumed doesn't look complete") {
  GatewayFixture gateway;
  FakeServer decoder(decode([](const std::string &, int) {
    return stream(1, 2, false) + "X-Ignored: Connection: close";
  }));
  FakeServer other(
      decode([](const std::string &, int) { return stream(1, 5); }));
  gateway.addServer("d1", decoder, ServerStage::Decode);
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(contains(response, "data: e2"));
  CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  CHECK(decoder.count("Retention") == 1);
}

TEST_CASE("A resumable stream continues after the last whole event") {
  GatewayFixture gateway;
  int runs = 0;
  FakeServer decoder(decode([&](const std::string &Request, int) {
    ++runs;
    if (runs == 1) // breaks off in the middle of the third event
      return StreamHead + events(1, 2) + "f\r\nid: 3\ndata: e" +
             " Connection: close";
    CHECK(contains(Request, "Last-Event-Id: 2"));
    return stream(3, 5);
  }));
  FakeServer second(decode([&](const std::string &Request, int) {
    CHECK(contains(Request, "Last-Event-Id: 2"));
    return stream(3, 5);
  }));
  gateway.addServer("d1", decoder, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  gateway.WhileRunning = nullptr;
  // The second server is known only once the first has broken off.
  gateway.addServer("d2", second, ServerStage::Decode);
  std::string response = gateway.run(route);
  CHECK(response.ends_with("0\r\n\r\n"));
  std::string all;
  for (int i = 1; i <= 5; ++i) {
    size_t first = response.find(event(i));
    CHECK(first != std::string::npos);
    CHECK(response.find(event(i), first + 1) == std::string::npos);
  }
}

// Guards against a broken stream that waits behind new requests while its
// caller's output pauses, and against a rank that servers don't learn.
TEST_CASE("A stream that continues elsewhere is among the most urgent") {
  GatewayFixture gateway;
  auto respond = decode([](const std::string &Request, int) {
    if (!contains(Request, "Last-Event-Id")) { // breaks off
      CHECK(contains(Request, "Request-Priority: 1"));
      return StreamHead + events(1, 2);
    }
    CHECK(contains(Request, "Request-Priority: 0"));
    return stream(3, 5);
  });
  FakeServer first(respond);
  FakeServer second(respond);
  gateway.addServer("d1", first, ServerStage::Decode);
  gateway.addServer("d2", second, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  route.Priority = 2;
  PathRoute urgent = route;
  urgent.Priority = 0;
  gateway.Document->Routes = {urgent, route};
  CHECK(contains(gateway.run(route), event(5)));
  // As operators see it: once in its route's place among the ranks of the
  // service, once in that of the most urgent.
  CHECK(contains(gateway.Queues.dump(),
                 R"({"rank":0,"granted":1,"refused":0,"rejected":0})"));
  CHECK(contains(gateway.Queues.dump(),
                 R"({"rank":1,"granted":1,"refused":0,"rejected":0})"));
}

TEST_CASE("The server's call is cancelled when the caller disconnects") {
  GatewayFixture gateway;
  std::atomic<bool> closed{false};
  ScriptServer decoder([&](int Fd, int) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (isReserve(request)) {
        sendText(Fd, json(200, R"({"retention":"res1"})"));
        continue;
      }
      sendText(Fd, StreamHead + chunk(event(1)));
      readAll(Fd); // until the gateway closes
      closed.store(true);
      return;
    }
  });
  crocusspur::gateway::ServerEntry entry;
  entry.Id = "d1";
  entry.Service = "summaries";
  entry.Address = decoder.address();
  entry.Stage = ServerStage::Decode;
  gateway.Directory.applyServer({"d1", {0, 1}, entry}, UpdateOrigin::Store);
  gateway.WhileRunning = [](SocketPair &Sockets) {
    readUntil(Sockets.far(), "data: e1\n\n\r\n");
    Sockets.closeFar();
  };
  gateway.run(gateway.route(RouteKind::Stream));
  CHECK(eventually([&] { return closed.load(); }));
}

TEST_CASE("An unused reservation is released") {
  GatewayFixture gateway;
  FakeServer decoder(
      decode([](const std::string &, int) { return stream(1, 2); }));
  gateway.addServer("d1", decoder, ServerStage::Decode);
  std::atomic<bool> reading{false};
  FakeServer prefill([&](const std::string &Request, int) {
    if (isPrefill(Request)) {
      reading.store(true);
      eventually(
          [&] { return decoder.count("DELETE /api/hold-drop/res1") > 0; });
    }
    return prefillResponse(Request, 0);
  });
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.WhileRunning = [&](SocketPair &Sockets) {
    eventually([&] { return reading.load(); });
    Sockets.closeFar();
  };
  gateway.run(gateway.route(RouteKind::Stream));
  CHECK(decoder.count("DELETE /api/hold-drop/res1") == 1);
  CHECK(decoder.count("Retention: ") == 0);
}

// A server that changes its stage still grants reservations but refuses
// requests.
TEST_CASE("A server that refuses despite its reservation is excluded") {
  GatewayFixture gateway;
  FakeServer changing(
      decode([](const std::string &, int) { return refusal(); }));
  FakeServer sound(
      decode([](const std::string &, int) { return stream(1, 2); }));
  gateway.addServer("d1", changing, ServerStage::Decode);
  gateway.addServer("d2", sound, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.MaxServers = 1;
  for (int i = 0; i < 8; ++i) {
    CAPTURE(i);
    CHECK(contains(gateway.run(route), "data: e2"));
  }
  CHECK(changing.count("Retention") <= 1);
}

// After a refused prefill the next call counts as a retry, also a call to the
// decode server; the fleet's retry budget must be kept.
TEST_CASE("A refused prefill without a retry budget ends as not executed") {
  GatewayFixture gateway;
  gateway.Directory.setRetryAllowance({0, 0});
  FakeServer prefill([](const std::string &, int) { return refusal(); });
  FakeServer decoder(
      decode([](const std::string &, int) { return stream(1, 2); }));
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", decoder, ServerStage::Decode);
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(contains(response, "\"run\":\"no\""));
  CHECK(prefill.requests().size() == 1);
  CHECK(decoder.count("Retention") == 0);
  CHECK(decoder.count("DELETE /api/hold-drop/res1") == 1);
}

// The first server may have executed the request, so a later refusal must not
// state otherwise.
TEST_CASE("A retry without a reservation doesn't end as not executed") {
  GatewayFixture gateway;
  FakeServer lost(decode([](const std::string &, int) { return ""; }));
  gateway.addServer("d1", lost, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  std::string response = gateway.run(route);
  CHECK(lost.count("Retention") == 1);
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK_FALSE(contains(response, "\"run\":\"no\""));
}

// The shared budget covers all sends after the first of each stage, so a repeat
// that has its prompt read again costs two.
TEST_CASE("A stream's repeated prefill is charged to the retry budget") {
  GatewayFixture gateway;
  gateway.Directory.setRetryAllowance({0, 100});
  std::atomic<int> runs{0};
  auto breakTwice = [&](const std::string &, int) {
    return ++runs <= 2 ? std::string() : stream(1, 3);
  };
  FakeServer prefill(prefillResponse);
  FakeServer first(decode(breakTwice));
  FakeServer second(decode(breakTwice));
  FakeServer third(decode(breakTwice));
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", first, ServerStage::Decode);
  gateway.addServer("d2", second, ServerStage::Decode);
  gateway.addServer("d3", third, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  route.MaxServers = 3;
  CHECK(contains(gateway.run(route), "data: e3"));
  size_t sends = prefill.count("POST /x/y") + first.count("POST /x/y") +
                 second.count("POST /x/y") + third.count("POST /x/y");
  CHECK(sends == 6);
  // The first prefill and the first run are free.
  CHECK(gateway.Directory.retryCounts()["summaries"].Granted == sends - 2);
}

TEST_CASE(
    "Without a retry for its prefill a repeat is read at the decode server") {
  GatewayFixture gateway;
  // With its usable part, one retry in the first window.
  gateway.Directory.setRetryAllowance({0, 4});
  std::atomic<int> runs{0};
  auto breakOnce = [&](const std::string &, int) {
    return ++runs <= 1 ? std::string() : stream(1, 3);
  };
  FakeServer prefill(prefillResponse);
  FakeServer first(decode(breakOnce));
  FakeServer second(decode(breakOnce));
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", first, ServerStage::Decode);
  gateway.addServer("d2", second, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  CHECK(contains(gateway.run(route), "data: e3"));
  CHECK(prefill.count("POST /x/y") == 1);
  CHECK(first.count("POST /x/y") + second.count("POST /x/y") == 2);
}

// A server may send its refusal twice. The second one carries the id of the
// request too, which is sent again to the same server after the first.
TEST_CASE("A late duplicate of a refusal isn't taken for the next response") {
  GatewayFixture gateway;
  std::atomic<int> executed{0};
  ScriptServer decoder([&](int Fd, int) {
    bool refused = false;
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (isReserve(request)) {
        sendText(Fd, json(200, R"({"retention":"res1"})"));
      } else if (!request.starts_with("POST /x/y")) {
        sendText(Fd, json(200, "{}"));
      } else {
        const std::string refusal = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                                    "Attempt-Id: a1\r\nContent-Length: "
                                    "0\r\n\r\n";
        bool refuses = contains(request, "Kv-Source");
        executed += !refuses;
        sendText(Fd,
                 (refused ? refusal : "") + (refuses ? refusal : stream(1, 3)));
        refused = refused || refuses;
      }
    }
  });
  FakeServer prefill(prefillResponse);
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  crocusspur::gateway::ServerEntry entry;
  entry.Id = "d1";
  entry.Service = "summaries";
  entry.Address = decoder.address();
  entry.Stage = ServerStage::Decode;
  gateway.Directory.applyServer({"d1", {0, 100}, entry}, UpdateOrigin::Store);
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(contains(response, "data: e3"));
  CHECK_FALSE(contains(response, "\"run\":\"no\""));
  CHECK(executed == 1);
  gateway.Connections.drop(decoder.address()); // ends the server's threads
}
