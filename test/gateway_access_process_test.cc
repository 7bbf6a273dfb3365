// Tests keys of callers at gateway processes, with a store and servers in the
// test process.
#include "gateway/forward_codec.h"
#include "gateway/member_codec.h"
#include "gateway/member_exchange.h"
#include "gateway_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::GatewayFleet;
using crocusspur::test::GatewayInstance;
using crocusspur::test::WaitTimeout;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

int statusOf(const std::string &Response) {
  return Response.size() > 12 ? std::atoi(Response.c_str() + 9) : 0;
}

// Routes under /x/, and public ones under /open/; accounts as given.
std::string configWith(int Version, const std::string &Accounts) {
  std::string text = test::configOf(Version, "/x/");
  std::string open = text.substr(text.find("{\"name\":\"r\""));
  open = open.substr(0, open.find('}'));
  open.replace(open.find("\"r\""), 3, "\"open\"");
  open.replace(open.find("/x/"), 3, "/open/");
  text.insert(text.find("],\"services\""), "," + open + ",\"public\":true}");
  text.insert(text.rfind('}'), ",\"tenants\":[" + Accounts + "]");
  return text;
}

const std::string Stores = R"({"name":"stores","api-keys":["k-secret-1"]})";
const std::string BothKeys = R"({"name":"stores","api-keys":["k-secret-1"]},)"
                             R"({"name":"depots","api-keys":["k-secret-2"]})";

// Records what reaches it.
struct AccountFleet {
  explicit AccountFleet(int Count = 1) : Fleet(Count) {
    Fleet.Store.put("op/config", configWith(2, Stores));
    Fleet.addServer("s1", Server);
  }
  GatewayInstance &gateway() { return Fleet.Instances[0]; }
  std::string send(const std::string &Fields,
                   const std::string &Path = "/x/y") {
    return GatewayFleet::get(gateway().Callers, Path,
                             "Attempt-Id: a1\r\nDeadline-Ms: 20000\r\n" +
                                 Fields);
  }
  int status(const std::string &Key) {
    return statusOf(send("Authorization: Bearer " + Key + "\r\n"));
  }

  FakeServer Server{
      [](const std::string &, int) { return signedResponse(200, "bay 7"); }};
  GatewayFleet Fleet;
};

// Adds lines to the settings' bounds.
void addBounds(const GatewayInstance &Item, const std::string &Lines) {
  std::ifstream in(Item.File);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  text.insert(text.find("[bounds]\n") + 9, Lines);
  std::ofstream(Item.File) << text;
}

std::optional<ForwardResponse> forward(const GatewayInstance &Item,
                                       const ForwardedRequest &Request,
                                       uint64_t ConfigVersion) {
  MemberFrame frame;
  frame.Sender.Name = "other";
  frame.ConfigVersion = ConfigVersion;
  frame.Forwarded = Request;
  std::vector<uint8_t> bytes = framed(encode(frame));
  int fd = test::connectTo(Item.Peers);
  sendText(fd, {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
  std::string all = readAll(fd);
  ::close(fd);
  std::optional<size_t> size = frameSize(all);
  if (!size || all.size() < FramePrefixBytes + *size)
    return std::nullopt;
  return decodeForwardResponse(
      {reinterpret_cast<const uint8_t *>(all.data()) + FramePrefixBytes,
       *size});
}

ErrorKind problemOf(const std::optional<ForwardResponse> &Response) {
  return Response && Response->Failure ? Response->Failure->Item.Kind
                                       : ErrorKind::Internal;
}

} // namespace

// Guards against requests of unknown callers that run, and against a key in
// whatever the process shows.
TEST_CASE("Only requests with a known key run, and the key shows nowhere") {
  AccountFleet setup;
  setup.Fleet.startAll();
  CHECK(setup.status("k-secret-1") == 200);
  REQUIRE(setup.Server.requests().size() == 1);
  CHECK(setup.Server.count("\r\nTenant: stores\r\n") == 1);
  const std::string refused[] = {
      "",
      "Authorization: Bearer k-secret-9\r\n",
      "Authorization: k-secret-1\r\n",
      "Authorization: Basic k-secret-1\r\n",
      "Authorization: Bearer k-secret-1 x\r\n",
      "Authorization: Bearer k-secret-1\r\nauthorization: Bearer k-2\r\n",
      "Tenant: stores\r\n",
      "X-Authorization: Bearer k-secret-1\r\n"};
  for (const std::string &it : refused) {
    CAPTURE(it);
    std::string response = setup.send(it);
    CHECK(statusOf(response) == 401);
    CHECK(contains(response, "WWW-Authenticate: Bearer\r\n"));
    CHECK_FALSE(contains(response, "k-secret"));
  }
  // Fields that another parser might take for the same name are no request.
  for (const char *it : {"Tenant:\r\n other\r\n", "Tenant : other\r\n",
                         "X: y\nTenant: other\r\n", " Tenant: other\r\n",
                         "Authorization:\r\n Bearer k-secret-1\r\n"}) {
    CAPTURE(it);
    CHECK(statusOf(setup.send("aUTHorization: bearer k-secret-1\r\n" +
                              std::string(it))) == 400);
  }
  CHECK(setup.Server.requests().size() == 1);
  // Spellings of the name that reach the gateway don't reach the server.
  CHECK(statusOf(setup.send("TENANT: forged\r\naUTHorization: bearer "
                            "k-secret-1\r\ntenant: forged\r\nTenant:\r\n")) ==
        200);
  REQUIRE(setup.Server.requests().size() == 2);
  CHECK(setup.Server.count("Tenant: stores\r\n") == 2);
  CHECK(setup.Server.count("forged") == 0);
  CHECK(setup.Server.count("k-secret") == 0);
  CHECK(setup.Server.count("uthorization") == 0);
  std::string state = GatewayFleet::get(setup.gateway().Ready, "/state", "");
  std::string metrics =
      GatewayFleet::get(setup.gateway().Ready, "/metrics", "");
  CHECK(contains(state, "\"access\":{\"accounts\":1,\"keys\":1"));
  CHECK(contains(metrics, "crocusspur_unauthorized_total{name=\"missing\"} 3"));
  CHECK(contains(metrics, "crocusspur_unauthorized_total{name=\"unknown\"} 2"));
  CHECK(contains(metrics, "crocusspur_unauthorized_total{name=\"malformed\"} "
                          "3"));
  CHECK_FALSE(contains(state + metrics, "k-secret"));
  setup.gateway().Process->signal(SIGTERM);
  CHECK(setup.gateway().Process->waitForExit(WaitTimeout) == 0);
  std::string output = setup.gateway().Process->output();
  CHECK(contains(output, "\"account\": \"stores\""));
  CHECK_FALSE(contains(output, "k-secret"));
}

TEST_CASE("A public route serves without a key and drops a stated account") {
  AccountFleet setup;
  setup.Fleet.startAll();
  CHECK(statusOf(setup.send("Tenant: stores\r\n", "/open/y")) == 200);
  CHECK(statusOf(setup.send("Authorization: Bearer k-secret-9\r\n",
                            "/open/y")) == 200);
  CHECK(setup.Server.count("Tenant") == 0);
  CHECK(setup.Server.count("k-secret") == 0);
  CHECK(statusOf(setup.send("Authorization: Bearer k-secret-1\r\n",
                            "/open/y")) == 200);
  CHECK(setup.Server.count("Tenant: stores\r\n") == 1);
}

// Guards against changed bytes at deployments that know no accounts.
TEST_CASE("Without accounts nobody needs a key and all fields are passed on") {
  AccountFleet setup;
  setup.Fleet.Store.put("op/config", configWith(3, ""));
  setup.Fleet.startAll();
  CHECK(statusOf(setup.send("")) == 200);
  CHECK(statusOf(setup.send("Authorization: Bearer k-secret-9\r\nTenant: a\r\n"
                            "TENANT: b\r\n")) == 200);
  REQUIRE(setup.Server.requests().size() == 2);
  std::string sent = setup.Server.requests()[1];
  CHECK(contains(sent, "Authorization: Bearer k-secret-9\r\nTenant: a\r\n"
                       "TENANT: b\r\n"));
}

// Guards against keys that need a restart to be added or removed, and against a
// faulty document that opens or closes the gateway.
TEST_CASE("A new version of the configuration adds and removes keys") {
  AccountFleet setup(2);
  setup.Fleet.startAll();
  CHECK(setup.status("k-secret-2") == 401);
  setup.Fleet.Store.put("op/config", configWith(3, BothKeys));
  REQUIRE(test::eventually([&] { return setup.status("k-secret-2") == 200; },
                           WaitTimeout));
  CHECK(setup.status("k-secret-1") == 200);
  CHECK(setup.Server.count("Tenant: depots\r\n") == 1);
  setup.Fleet.Store.put("op/config",
                        configWith(4, BothKeys + ",{\"name\":\"stores\"}"));
  setup.Fleet.Store.put("op/config",
                        configWith(5, R"({"name":"depots","api-keys":)"
                                      R"(["k-secret-2"]})"));
  REQUIRE(test::eventually([&] { return setup.status("k-secret-1") == 401; },
                           WaitTimeout));
  CHECK(setup.status("k-secret-2") == 200);
}

// Guards against an instance that serves unchecked before it has a
// configuration.
TEST_CASE("Without a configuration requests with any key get 503") {
  AccountFleet setup;
  setup.Fleet.Store.setRejecting("g1", true);
  setup.Fleet.start(setup.gateway());
  REQUIRE(test::eventually(
      [&] { return GatewayFleet::readiness(setup.gateway()) == 503; },
      WaitTimeout));
  CHECK(setup.status("k-secret-1") == 503);
  CHECK(setup.status("k-secret-9") == 503);
  CHECK(setup.Server.requests().empty());
}

// Guards against an instance that accepts keys which may have been removed long
// ago, and against one that refuses its callers against the settings.
TEST_CASE("An instance out of touch with the store follows the settings") {
  for (bool failClosed : {true, false}) {
    CAPTURE(failClosed);
    AccountFleet setup;
    addBounds(setup.gateway(),
              "revoke-ms = 700\nrevoke-fail-closed = " +
                  std::string(failClosed ? "true\n" : "false\n"));
    setup.Fleet.startAll();
    REQUIRE(test::eventually([&] { return setup.status("k-secret-1") == 200; },
                             WaitTimeout));
    setup.Fleet.Store.setAway(true);
    auto isOld = [&] {
      std::string state =
          GatewayFleet::get(setup.gateway().Ready, "/state", "");
      size_t n = state.find("\"age_ms\":");
      return n != std::string::npos && std::atoi(state.c_str() + n + 9) > 1000;
    };
    REQUIRE(test::eventually(isOld, WaitTimeout));
    std::string response = setup.send("Authorization: Bearer k-secret-1\r\n");
    CHECK(statusOf(response) == (failClosed ? 503 : 200));
    CHECK(contains(response, "Retry-After: ") == failClosed);
    CHECK(statusOf(setup.send("", "/open/y")) == 200);
    CHECK(setup.status("k-secret-9") == (failClosed ? 503 : 401));
    setup.Fleet.Store.setAway(false);
    CHECK(test::eventually([&] { return setup.status("k-secret-1") == 200; },
                           WaitTimeout));
  }
}

// Guards against a detour by which a request without a valid key runs, or loses
// its account.
TEST_CASE("An instance checks what another one passes on without an account") {
  AccountFleet setup;
  setup.Fleet.startAll();
  auto request = [&](const std::string &Account, const std::string &Key,
                     HeaderFields Fields) {
    ForwardedRequest item;
    item.Request.Id = "a1";
    item.Request.Host = "a.example";
    item.Request.Method = "GET";
    item.Request.Target = "/x/y";
    Fields.emplace_back("Attempt-Id", "a1");
    item.Request.Forwarded = std::move(Fields);
    item.Request.Account = Account;
    if (!Key.empty())
      item.Request.KeyDigest = internal::sha256(Key);
    item.Service = "bays";
    return forward(setup.gateway(), item, 2);
  };
  std::optional<ForwardResponse> known = request("stores", "k-secret-1", {});
  REQUIRE((known && known->ResponseHead));
  CHECK(known->ResponseHead->Response.Status == 200);
  CHECK(setup.Server.count("Tenant: stores\r\n") == 1);
  // From an instance whose configuration has no accounts.
  std::optional<ForwardResponse> early = request(
      "", "", {{"Authorization", "Bearer k-secret-1"}, {"Tenant", "x"}});
  REQUIRE((early && early->ResponseHead));
  CHECK(setup.Server.count("Tenant: stores\r\n") == 2);
  CHECK(setup.Server.count("k-secret") == 0);
  CHECK(problemOf(request("", "", {})) == ErrorKind::Unauthorized);
  CHECK(problemOf(request("", "", {{"Authorization", "Bearer k-secret-9"}})) ==
        ErrorKind::Unauthorized);
  // The key was removed by a version that the first instance doesn't have.
  CHECK(problemOf(request("depots", "k-secret-2", {})) ==
        ErrorKind::Unauthorized);
  CHECK(setup.Server.requests().size() == 2);
}
