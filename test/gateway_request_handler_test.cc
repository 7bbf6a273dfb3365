#include "gateway_fixture.h"

#include <doctest/doctest.h>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

FakeServer::Responder always(const std::string &Bytes) {
  return [Bytes](const std::string &, int) { return Bytes; };
}

} // namespace

TEST_CASE("A plain response is forwarded unchanged") {
  GatewayFixture gateway;
  FakeServer server(always(signedResponse(200, "bay 7")));
  gateway.addServer("s1", server);
  std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(contains(response, "Server-Signature: sig\r\n"));
  CHECK(response.ends_with("\r\n\r\nbay 7"));
  CHECK(server.count("Target-Instance: s1") == 1);
}

TEST_CASE("A non-idempotent request is sent to one server only") {
  GatewayFixture gateway;
  FakeServer broken(always(""));
  FakeServer other(always(signedResponse(200, "x")));
  gateway.addServer("s1", broken);
  std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
  // The server may have executed it, so the response doesn't state otherwise.
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK_FALSE(contains(response, "Retry-After"));
  CHECK(broken.requests().size() == 1);
}

TEST_CASE("A stated refusal is reported as not executed, with Retry-After") {
  GatewayFixture gateway;
  FakeServer full(always(refusal()));
  gateway.addServer("s1", full);
  PathRoute route = gateway.route(RouteKind::NonIdempotent);
  route.MaxServers = 1;
  std::string response = gateway.run(route);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(contains(response, "Retry-After: "));
  CHECK(contains(response, "\"run\":\"no\""));
}

TEST_CASE("A request is sent to no more servers than the route allows") {
  GatewayFixture gateway;
  FakeServer first(always(refusal()));
  FakeServer second(always(refusal()));
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  PathRoute route = gateway.route(RouteKind::Idempotent);
  route.MaxServers = 1;
  gateway.run(route);
  CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("A failed idempotent request is retried at another server") {
  GatewayFixture gateway;
  FakeServer bad(always(signedResponse(500, "oops")));
  FakeServer good(always(signedResponse(200, "bay 7")));
  gateway.addServer("s1", bad);
  gateway.addServer("s2", good);
  for (int i = 0; i < 6; ++i)
    CHECK(contains(gateway.run(gateway.route(RouteKind::Idempotent)), "bay 7"));
}

TEST_CASE("Without a retry budget a failure is reported and not retried") {
  GatewayFixture gateway;
  gateway.Directory.setRetryAllowance({0, 0});
  FakeServer first(always(""));
  FakeServer second(always(""));
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  std::string response = gateway.run(gateway.route(RouteKind::Idempotent));
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("A late response to an earlier request is skipped") {
  GatewayFixture gateway;
  FakeServer server(always(signedResponse(200, "stray", "earlier") +
                           signedResponse(200, "bay 7", "a1")));
  gateway.addServer("s1", server);
  std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
  CHECK(response.ends_with("\r\n\r\nbay 7"));
  CHECK_FALSE(contains(response, "stray"));
}

TEST_CASE("Unsigned, encoded, truncated and malformed responses are rejected") {
  const std::string answers[] = {
      "HTTP/1.1 200 X\r\nAttempt-Id: a1\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: "
      "a1\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: "
      "a1\r\nConnection: close\r\nContent-Length: 9\r\n\r\nx",
      "noise\r\n\r\nConnection: close"};
  for (const std::string &bytes : answers) {
    CAPTURE(bytes);
    GatewayFixture gateway;
    FakeServer server(always(bytes));
    gateway.addServer("s1", server);
    std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
    CHECK(response.starts_with("HTTP/1.1 502"));
  }
}

TEST_CASE("Bytes after a response don't reach the next request") {
  GatewayFixture gateway;
  FakeServer server([](const std::string &, int Number) {
    return signedResponse(200, "answer " + std::to_string(Number)) +
           (Number == 0 ? "HTTP/1.1 200 X\r\nServer-Signature: "
                          "sig\r\nContent-Length: 5\r\n\r\nstray"
                        : "");
  });
  gateway.addServer("s1", server);
  PathRoute route = gateway.route(RouteKind::NonIdempotent);
  CHECK(gateway.run(route).ends_with("answer 0"));
  CHECK(gateway.run(route).ends_with("answer 1"));
}

TEST_CASE("Without a server the request is refused as not executed") {
  GatewayFixture gateway;
  std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(contains(response, "\"run\":\"no\""));
}

TEST_CASE("A server's deadline never exceeds the caller's") {
  GatewayFixture gateway;
  FakeServer server(always(signedResponse(200, "x")));
  gateway.addServer("s1", server);
  CallerRequest request = gateway.request();
  request.TimeLeft = Milliseconds(1500);
  gateway.run(gateway.route(RouteKind::NonIdempotent), request);
  REQUIRE(server.requests().size() == 1);
  std::string sent = server.requests()[0];
  size_t n = sent.find("Deadline-Ms: ");
  REQUIRE(n != std::string::npos);
  CHECK(std::stoi(sent.substr(n + 13)) <= 1500);
}

TEST_CASE("The caller gets a response when the route's timeout expires") {
  GatewayFixture gateway;
  std::atomic<bool> done{false};
  FakeServer silent([&](const std::string &, int) {
    eventually([&] { return done.load(); });
    return std::string();
  });
  gateway.addServer("s1", silent);
  PathRoute route = gateway.route(RouteKind::NonIdempotent);
  route.Timeout = Milliseconds(100);
  std::string response = gateway.run(route);
  done.store(true);
  CAPTURE(response);
  CHECK(response.starts_with("HTTP/1.1 504"));
}

TEST_CASE("A server's error is forwarded when no retry is allowed") {
  GatewayFixture gateway;
  gateway.Directory.setRetryAllowance({0, 0});
  FakeServer first(always(signedResponse(500, "oops")));
  FakeServer second(always(signedResponse(500, "oops")));
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  std::string response = gateway.run(gateway.route(RouteKind::Idempotent));
  CHECK(response.starts_with("HTTP/1.1 500"));
  CHECK(contains(response, "Server-Signature: sig"));
  CHECK(response.ends_with("oops"));
}

// Connections of removed servers must not accumulate.
TEST_CASE("Idle connections to servers that aren't used again are closed") {
  ConnectionPool pool;
  SocketPair first;
  SocketPair second;
  auto owned = [](int Fd) {
    return std::make_unique<internal::BackendSocket>(::dup(Fd));
  };
  auto processAt = [](const char *Address) {
    return ServerProcess{"s1", 1000, Address, "v1"};
  };
  pool.give({owned(first.near()), processAt("10.0.0.1:1"), {}},
            Milliseconds(1010));
  CHECK(pool.idleCount() == 1);
  std::this_thread::sleep_for(Milliseconds(20)); // it is usable for 10 ms
  pool.give({owned(second.near()), processAt("10.0.0.2:1"), {}},
            Milliseconds(9000));
  CHECK(pool.idleCount() == 1);
}
