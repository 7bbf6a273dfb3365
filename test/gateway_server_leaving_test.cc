// Tests what an instance does with a server that says in a response that it
// leaves.
#include "announcing_server.h"
#include "gateway/decisions/leaving_servers.h"
#include "gateway/decisions/server_registry.h"
#include "gateway_fixture.h"
#include "virtual_time.h"

#include <doctest/doctest.h>
#include <functional>

using namespace crocusspur::gateway;
using crocusspur::Milliseconds;
using crocusspur::TimePoint;
using crocusspur::test::at;
using crocusspur::test::Start;

namespace {

ServerEntry entryOf(const std::string &Id, int64_t StartedAt = 1,
                    const std::string &Address = "10.0.0.1:80") {
  ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = Address;
  entry.StartedAt = StartedAt;
  return entry;
}

LeavingServer leaving(const ServerEntry &Entry, Milliseconds Age = {}) {
  return {processOf(Entry), Age};
}

bool isChosen(ServerRegistry &Registry, const std::string &Id) {
  for (const ServerChoice &it :
       Registry.rank({"bays", ServerStage::Whole, {}, {}}, Start))
    if (it.Id == Id)
      return true;
  return false;
}

// Responds to every call with this text after the status line.
std::string leavingResponse(std::string Response) {
  return Response.insert(Response.find("\r\n") + 2, "Server-Leaving: 1\r\n");
}

size_t callsOf(GatewayFixture &Setup, const std::string &Bytes,
               const std::string &Method, const std::string &Id) {
  std::string body;
  auto server = Setup.Directory.choose({"bays", ServerStage::Whole, {}, {}});
  REQUIRE(server.has_value());
  callServer(Setup.Connections, Setup.Codec, Setup.Limits, *server, Bytes,
             Method, Milliseconds(1000), 10000, body);
  return Setup.Directory.isLeaving(Id) ? 1 : 0;
}

} // namespace

// A ready entry may lag behind, lapse and be written again, and come back from
// an older copy of the store.
TEST_CASE("A leaving process stays so whatever its entry says") {
  ServerRegistry registry("hall-a", 7);
  registry.apply(entryOf("s1"), Start);
  REQUIRE(registry.addLeaving(leaving(entryOf("s1")), Start));
  CHECK_FALSE(registry.addLeaving(leaving(entryOf("s1")), Start));
  CHECK_FALSE(isChosen(registry, "s1"));
  registry.apply(entryOf("s1"), Start);
  CHECK_FALSE(isChosen(registry, "s1"));
  registry.remove("s1", at(1000));
  registry.apply(entryOf("s1"), Start);
  CHECK_FALSE(isChosen(registry, "s1"));
}

TEST_CASE("A leaving entry that is shown ready again gets no request") {
  ServerRegistry registry("hall-a", 7);
  ServerEntry entry = entryOf("s1");
  entry.Leaving = true;
  registry.apply(entry, Start);
  registry.apply(entryOf("s1"), Start);
  CHECK(registry.isLeaving("s1"));
  CHECK_FALSE(isChosen(registry, "s1"));
}

// An id is used again after a restart, and an address by another server.
TEST_CASE("Only the process that leaves gets no request") {
  ServerRegistry registry("hall-a", 7);
  registry.apply(entryOf("s1"), Start);
  registry.addLeaving(leaving(entryOf("s1")), Start);
  registry.apply(entryOf("s2"), Start);
  CHECK(isChosen(registry, "s2"));
  registry.apply(entryOf("s1", 2), Start);
  CHECK(isChosen(registry, "s1"));
  registry.addLeaving(leaving(entryOf("s1", 1, "10.0.0.9:80")), Start);
  CHECK(isChosen(registry, "s1"));
}

TEST_CASE("A process is known to leave before its entry is known") {
  ServerRegistry registry("hall-a", 7);
  registry.addLeaving(leaving(entryOf("s1")), Start);
  registry.apply(entryOf("s1"), Start);
  CHECK_FALSE(isChosen(registry, "s1"));
}

TEST_CASE("Instances that know the same leaving servers have one digest") {
  LeavingServers one;
  LeavingServers other;
  one.add(leaving(entryOf("s1")), Start);
  one.add(leaving(entryOf("s2")), at(500));
  CHECK(one.digest(at(600)) != other.digest(at(600)));
  for (const LeavingServer &it : one.known(at(700)))
    other.add(it, at(700));
  CHECK(one.digest(at(800)) == other.digest(at(800)));
  CHECK(other.known(at(800), Milliseconds(400)).size() == 1);
}

TEST_CASE("A leaving server is forgotten after its entry and long after") {
  LeavingServers table;
  table.add(leaving(entryOf("s1")), Start);
  bool registered = true;
  auto isRegistered = [&](const ServerProcess &) { return registered; };
  table.expire(at(599000), isRegistered);
  table.expire(at(601000), isRegistered);
  CHECK(table.size() == 1);
  registered = false;
  table.expire(at(601000), isRegistered);
  CHECK(table.size() == 0);
  CHECK_FALSE(table.add(leaving(entryOf("s1"), Milliseconds(600001)), Start));
}

// Guards against a kind of call whose response nobody reads for it.
TEST_CASE("The response to any call says that a server leaves") {
  struct Case {
    const char *Name;
    std::string Response;
    std::function<std::string(const HttpCodec &, const ServerChoice &)> Format;
    const char *Method;
  };
  auto report = [](const HttpCodec &Codec, const ServerChoice &Server) {
    return Codec.FormatReport(Server);
  };
  const Case cases[] = {
      {"report", httpResponse(200, "{}"), report, "GET"},
      {"failed report", httpResponse(500, ""), report, "GET"},
      {"wrong server", httpResponse(421, ""), report, "GET"},
      {"refused", refusal(503), report, "GET"},
      {"reservation", httpResponse(200, "{}"),
       [](const HttpCodec &Codec, const ServerChoice &Server) {
         return Codec.FormatReserve(Server, 10, Milliseconds(10));
       },
       "POST"},
      {"order", httpResponse(409, ""),
       [](const HttpCodec &Codec, const ServerChoice &Server) {
         return Codec.FormatStageOrder(Server, {});
       },
       "POST"},
      {"release", httpResponse(200, ""),
       [](const HttpCodec &Codec, const ServerChoice &Server) {
         return Codec.FormatReleaseKvCache(Server, "h");
       },
       "DELETE"}};
  for (const Case &it : cases) {
    CAPTURE(it.Name);
    GatewayFixture setup;
    FakeServer server(
        [&](const std::string &, int) { return leavingResponse(it.Response); });
    setup.addServer("s1", server);
    auto choice = setup.Directory.choose({"bays", ServerStage::Whole, {}, {}});
    REQUIRE(choice.has_value());
    CHECK(callsOf(setup, it.Format(setup.Codec, *choice), it.Method, "s1") ==
          1);
  }
}

TEST_CASE("The response to any request says that a server leaves") {
  for (const std::string &response :
       {signedResponse(200, "ok"), signedResponse(500, "no"),
        signedResponse(404, "no"), refusal(503), refusal(421)}) {
    CAPTURE(response);
    GatewayFixture setup;
    FakeServer server(
        [&](const std::string &, int) { return leavingResponse(response); });
    setup.addServer("s1", server);
    setup.run(setup.route(RouteKind::NonIdempotent));
    CHECK(setup.Directory.isLeaving("s1"));
  }
}

// Bytes that belong to no request may come from a faulty server.
TEST_CASE("A late response to another request doesn't make a server leave") {
  GatewayFixture setup;
  FakeServer server([&](const std::string &, int) {
    return leavingResponse(signedResponse(200, "late", "another")) +
           signedResponse(200, "ok");
  });
  setup.addServer("s1", server);
  setup.run(setup.route(RouteKind::NonIdempotent));
  CHECK_FALSE(setup.Directory.isLeaving("s1"));
}

TEST_CASE("A prefill says that its server leaves") {
  GatewayFixture setup;
  crocusspur::test::AnnouncingServer prefill;
  crocusspur::test::AnnouncingServer decode;
  prefill.announceLeaving();
  setup.addServer("p1", prefill.server(), ServerStage::Prefill);
  setup.addServer("d1", decode.server(), ServerStage::Decode);
  std::string response = setup.run(setup.route(RouteKind::Stream));
  CHECK(response.find("data: x") != std::string::npos);
  CHECK(setup.Directory.isLeaving("p1"));
  CHECK_FALSE(setup.Directory.isLeaving("d1"));
}

TEST_CASE("The head of a stream says that its server leaves") {
  GatewayFixture setup;
  FakeServer decode([](const std::string &Request, int) {
    if (Request.starts_with("POST /api/hold-take"))
      return httpResponse(200, "{\"retention\":\"r1\"}");
    return leavingResponse(signedResponse(200, "id: 1\ndata: x\n\n"));
  });
  setup.addServer("d1", decode, ServerStage::Decode);
  std::string response = setup.run(setup.route(RouteKind::Stream));
  CHECK(response.find("data: x") != std::string::npos);
  CHECK(setup.Directory.isLeaving("d1"));
}

// Guards against a request that goes where it has its reservation, though the
// server said with it that it leaves.
TEST_CASE("A reservation at a server that leaves isn't used") {
  GatewayFixture setup;
  crocusspur::test::AnnouncingServer leaves;
  crocusspur::test::AnnouncingServer stays;
  leaves.announceLeaving();
  setup.addServer("d1", leaves.server(), ServerStage::Decode);
  setup.addServer("d2", stays.server(), ServerStage::Decode);
  setup.Directory.setRetryAllowance({0, 0});
  for (int i = 0; i < 4; ++i)
    CHECK(setup.run(setup.route(RouteKind::Stream)).find("data: x") !=
          std::string::npos);
  CHECK(leaves.arrivalsSince(TimePoint()).empty());
  CHECK(stays.arrivalsSince(TimePoint()).size() == 4);
}

// Known not to be servable, so it doesn't wait for a reservation first.
TEST_CASE("A request is refused at once if all its servers leave") {
  GatewayFixture setup;
  crocusspur::test::AnnouncingServer decode;
  setup.addServer("d1", decode.server(), ServerStage::Decode);
  auto choice =
      setup.Directory.choose({"summaries", ServerStage::Decode, {}, {}});
  REQUIRE(choice.has_value());
  setup.Directory.onServerLeaving({processOf(*choice)},
                                  LeavingOrigin::Response);
  auto from = std::chrono::steady_clock::now();
  std::string response = setup.run(setup.route(RouteKind::Stream));
  CHECK(std::chrono::steady_clock::now() - from < Milliseconds(300));
  CHECK(response.find("503") != std::string::npos);
  CHECK(response.find("Retry-After") != std::string::npos);
}
