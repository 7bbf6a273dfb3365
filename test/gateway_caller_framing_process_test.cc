// Requests that are framed in a valid but unusual way, with gateway processes.
#include "gateway_fleet.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace crocusspur;
using crocusspur::test::configOf;
using crocusspur::test::GatewayFleet;

namespace {

std::string roundTrip(const std::string &Address, const std::string &Text) {
  int fd = test::connectTo(Address);
  sendText(fd, Text);
  std::string response = readAll(fd);
  ::close(fd);
  return response;
}

} // namespace

TEST_CASE("A request in absolute form is routed by the host of its target") {
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "bay 7"); });
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", configOf(2, "/x/"));
  fleet.addServer("s1", server);
  fleet.startAll();
  const std::string &address = fleet.Instances[0].Callers;
  const std::string rest = "Attempt-Id: a1\r\nConnection: close\r\n"
                           "Content-Length: 2\r\n\r\nhi";
  std::string response = roundTrip(
      address,
      "POST http://a.example/x/1?q=/y HTTP/1.1\r\nHost: b.example\r\n" + rest);
  CHECK(response.starts_with("HTTP/1.1 200"));
  REQUIRE(server.count("/x/1") == 1);
  CHECK(server.count("POST /x/1?q=/y HTTP/1.1\r\n") == 1);
  CHECK(server.count("\r\nHost: a.example\r\n") == 1);
  CHECK(server.count("b.example") == 0);
  CHECK(server.count("\r\n\r\nhi") == 1);
  response = roundTrip(
      address,
      "GET http://b.example/x/2 HTTP/1.1\r\nHost: a.example\r\n" + rest);
  CHECK(response.starts_with("HTTP/1.1 404"));
  CHECK(server.count("/x/2") == 0);
}
