// Tests the check of keys at the points where a request is handled, with
// scripted servers in the test process.
#include "account_samples.h"
#include "gateway/accounts/access_control.h"
#include "gateway_fixture.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

// A gateway that knows one account, whose key the request carries.
struct AccountFixture : GatewayFixture {
  AccountFixture()
      : Control(Codec, AccessPolicy(),
                [this] { return std::optional(Age.load()); }) {
    Access = &Control;
    Document->Accounts = AccountTable({test::accountOf("stores", {"k-1"})});
    apply(1, Document->Accounts);
  }

  // Puts a configuration with these accounts in force.
  void apply(uint64_t Version, AccountTable Accounts) {
    auto next = std::make_shared<RouteDocument>(*Document);
    next->Version = Version;
    next->Accounts = std::move(Accounts);
    Directory.applyRoutes(next, {0, Version});
  }
  void removeKey() {
    apply(2, AccountTable({test::accountOf("stores", {"k-2"})}));
  }

  // The request after the listener's check.
  CallerRequest
  checkedRequest(AccessVerdict Expected = AccessVerdict::Granted) {
    CallerRequest request = this->request();
    request.Forwarded.emplace_back("Authorization", "Bearer k-1");
    request.Forwarded.emplace_back("Tenant", "forged");
    CHECK(Control.check(request, *Directory.routes(), PathRoute()) == Expected);
    return request;
  }

  AccessControl Control;
  std::atomic<Milliseconds> Age{Milliseconds(0)};
};

std::string json(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

const std::string StreamHead =
    "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: "
    "a1\r\nContent-Type: text/event-stream\r\n";

} // namespace

// Guards against a key that reaches a server, and a name of an account that the
// caller chose.
TEST_CASE("Servers get the account's name and no key") {
  AccountFixture gateway;
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "x"); });
  gateway.addServer("s1", server);
  CallerRequest request = gateway.checkedRequest();
  CHECK(request.Key.empty());
  CHECK(request.Account == "stores");
  std::string response =
      gateway.run(gateway.route(RouteKind::NonIdempotent), request);
  CHECK(response.starts_with("HTTP/1.1 200"));
  REQUIRE(server.requests().size() == 1);
  std::string sent = server.requests()[0];
  CHECK(contains(sent, "\r\nTenant: stores\r\n"));
  CHECK_FALSE(contains(sent, "forged"));
  CHECK_FALSE(contains(sent, "k-1"));
  CHECK_FALSE(contains(sent, "Authorization"));
}

// Guards against a key that stays valid for requests that wait when it is
// removed.
TEST_CASE("A request whose key is removed isn't sent to another server") {
  AccountFixture gateway;
  auto refuse = [&](const std::string &, int) {
    gateway.removeKey();
    return refusal();
  };
  FakeServer first(refuse);
  FakeServer second(refuse);
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  CallerRequest request = gateway.checkedRequest();
  std::string response =
      gateway.run(gateway.route(RouteKind::Idempotent), request);
  CHECK(response.starts_with("HTTP/1.1 401"));
  CHECK(contains(response, "\"kind\":\"unauthorized\""));
  CHECK(contains(response, "\"run\":\"no\""));
  CHECK(first.requests().size() + second.requests().size() == 1);
  CHECK(gateway.Control.refused(AccessVerdict::KeyRemoved) == 1);
}

// The same for a request that waits for memory.
TEST_CASE("A stream whose key is removed while it waits doesn't run") {
  AccountFixture gateway;
  FakeServer prefill([](const std::string &Request, int) {
    return modelServerResponse(Request);
  });
  FakeServer decode([&](const std::string &, int) {
    gateway.removeKey();
    return json(503, "{}"); // no memory at the moment
  });
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", decode, ServerStage::Decode);
  CallerRequest request = gateway.checkedRequest();
  std::string response = gateway.run(gateway.route(RouteKind::Stream), request);
  CHECK(response.starts_with("HTTP/1.1 401"));
  CHECK(decode.requests().size() == 1);
  CHECK(prefill.requests().empty());
}

// Guards against a removed key that a stream's continuation still uses, and
// against a broken stream that looks whole.
TEST_CASE("A stream whose key is removed doesn't go on at another server") {
  AccountFixture gateway;
  FakeServer prefill([](const std::string &Request, int) {
    return modelServerResponse(Request);
  });
  FakeServer::Responder run = [&](const std::string &Request, int) {
    if (Request.starts_with("POST /api/hold-take"))
      return json(200, R"({"retention":"res1"})");
    if (Request.starts_with("DELETE"))
      return json(200, "{}");
    gateway.removeKey();
    // Cut inside the second event.
    return StreamHead + "Connection: close\r\nContent-Length: 99\r\n\r\nid: "
                        "1\ndata: x\n\nid: 2\n";
  };
  FakeServer first(run);
  FakeServer second(run);
  gateway.addServer("p1", prefill, ServerStage::Prefill);
  gateway.addServer("d1", first, ServerStage::Decode);
  gateway.addServer("d2", second, ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  std::string response = gateway.run(route, gateway.checkedRequest());
  CHECK(contains(response, "id: 1\n"));
  CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  CHECK(first.count("POST /x/y") + second.count("POST /x/y") == 1);
}

// Guards against a 401, which says that nothing has run, after a run.
TEST_CASE("A removed key doesn't turn an unknown outcome into a refusal") {
  AccountFixture gateway;
  FakeServer::Responder breakOff = [&](const std::string &, int) {
    gateway.removeKey();
    return std::string();
  };
  FakeServer first(breakOff);
  FakeServer second(breakOff);
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  std::string response = gateway.run(gateway.route(RouteKind::Idempotent),
                                     gateway.checkedRequest());
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(first.requests().size() + second.requests().size() == 1);
}

// Guards against requests that go on unchecked, with their keys, since they
// arrived before the accounts were published.
TEST_CASE("A request that waits while accounts appear is checked by them") {
  for (const char *key : {"k-1", "k-9"}) {
    CAPTURE(key);
    AccountFixture gateway;
    gateway.Document->Accounts = {};
    gateway.apply(2, {});
    FakeServer::Responder answer = [&](const std::string &, int) {
      if (gateway.Directory.routes()->Version > 2)
        return signedResponse(200, "x");
      gateway.apply(3, AccountTable({test::accountOf("stores", {"k-9"})}));
      return refusal();
    };
    FakeServer first(answer);
    FakeServer second(answer);
    gateway.addServer("s1", first);
    gateway.addServer("s2", second);
    CallerRequest request = gateway.request();
    request.Forwarded.emplace_back("Authorization",
                                   "Bearer " + std::string(key));
    CHECK(gateway.Control.check(request, *gateway.Directory.routes(),
                                PathRoute()) == AccessVerdict::Granted);
    CHECK(request.Forwarded.size() == 3);
    std::string response =
        gateway.run(gateway.route(RouteKind::Idempotent), request);
    bool known = std::string(key) == "k-9";
    CHECK(response.starts_with(known ? "HTTP/1.1 200" : "HTTP/1.1 401"));
    // The first send was by the configuration without accounts.
    CHECK(first.count(key) + second.count(key) == 1);
    CHECK(first.count("Tenant: stores") + second.count("Tenant: stores") ==
          (known ? 1 : 0));
  }
}

// Guards against a waiting request that runs on knowledge which the settings
// declare too old.
TEST_CASE("Knowledge that ages while a request waits refuses it if required") {
  for (bool failClosed : {true, false}) {
    CAPTURE(failClosed);
    AccountFixture gateway;
    gateway.Control.setPolicy({failClosed, Milliseconds(1000)});
    FakeServer::Responder refuseFirst = [&](const std::string &, int) {
      bool first = gateway.Age.load() == Milliseconds(0);
      gateway.Age.store(Milliseconds(1001));
      return first ? refusal() : signedResponse(200, "x");
    };
    FakeServer first(refuseFirst);
    FakeServer second(refuseFirst);
    gateway.addServer("s1", first);
    gateway.addServer("s2", second);
    std::string response = gateway.run(gateway.route(RouteKind::Idempotent),
                                       gateway.checkedRequest());
    CHECK(response.starts_with(failClosed ? "HTTP/1.1 503" : "HTTP/1.1 200"));
    CHECK((failClosed ? contains(response, "Retry-After: ") : true));
    CHECK(first.requests().size() + second.requests().size() ==
          (failClosed ? 1 : 2));
  }
}

// Guards against a route whose requests still run without a key, or are refused
// for the lack of one, by the rule of an earlier version.
TEST_CASE("A waiting request follows the newest version's public routes") {
  AccountFixture gateway;
  PathRoute open = gateway.route(RouteKind::Idempotent);
  open.Host = "a.example";
  open.PathPrefix = "/x/";
  open.Public = true;
  gateway.Document->Routes = {open};
  FakeServer::Responder close = [&](const std::string &, int) {
    gateway.Document->Routes[0].Public = false;
    gateway.apply(2, gateway.Document->Accounts);
    return refusal();
  };
  FakeServer first(close);
  FakeServer second(close);
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  CallerRequest request = gateway.request();
  request.Host = "a.example";
  CHECK(gateway.Control.check(request, *gateway.Document, open) ==
        AccessVerdict::Granted);
  CHECK(gateway.run(open, request).starts_with("HTTP/1.1 401"));
  CHECK(first.requests().size() + second.requests().size() == 1);
}

// Guards against the rank of the route deciding where accounts have ranks.
TEST_CASE("An account's rank decides how long a request waits for a permit") {
  auto served = [](uint32_t AccountRank) {
    AccountFixture gateway;
    gateway.Document->Accounts =
        AccountTable({test::accountOf("stores", {"k-1"}, AccountRank)});
    gateway.apply(2, gateway.Document->Accounts);
    FakeServer server([](const std::string &, int) {
      std::string response = signedResponse(200, "x");
      return response.insert(response.find("\r\n") + 2, "Server-Limit: 5\r\n");
    });
    gateway.addServer("s1", server);
    PathRoute route = gateway.route(RouteKind::NonIdempotent);
    route.Priority = 4; // waits for at most a sixteenth of its target
    int count = 0;
    for (int i = 0; i < 6; ++i)
      count += gateway.run(route, gateway.checkedRequest())
                   .starts_with("HTTP/1.1 200");
    return count;
  };
  CHECK(served(0) > served(8));
}

TEST_CASE("Requests that are refused are counted by reason") {
  AccountFixture gateway;
  gateway.removeKey();
  gateway.checkedRequest(AccessVerdict::KeyUnknown);
  CallerRequest bare = gateway.request();
  CHECK(gateway.Control.check(bare, *gateway.Directory.routes(), PathRoute()) ==
        AccessVerdict::KeyMissing);
  std::string state =
      gateway.Control.dump(gateway.Directory.routes()->Accounts);
  CHECK(contains(state, "\"accounts\":1,\"keys\":1"));
  CHECK(contains(state, "\"missing\":1,\"malformed\":0,\"unknown\":1"));
  CHECK_FALSE(contains(state, "k-"));
}
