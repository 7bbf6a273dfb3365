// Tests AccountQuotas with exchanges that fail, and the requests that take
// tokens from it.
#include "gateway/accounts/account_quotas.h"
#include "gateway_fixture.h"
#include "virtual_time.h"

#include <doctest/doctest.h>
#include <memory>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

ClientAccount account(double TokensPerSecond, double Burst = 0) {
  ClientAccount item;
  item.Name = "acme";
  item.Quota = {TokensPerSecond, Burst, 200};
  return item;
}

// One instance whose home is played by the test.
struct LeasingInstance {
  LeasingInstance() {
    QuotaSharing sharing;
    sharing.FindHome = [this](const std::string &) { return Home; };
    sharing.Fleet = [] { return FleetView{8, 8, TimePoint(), true}; };
    sharing.AskHome = [this](const std::string &, const QuotaAsk &Ask) {
      Asks.push_back(Ask);
      NowMs += AskTakesMs;
      return Reply ? std::optional(Reply(Ask)) : std::nullopt;
    };
    sharing.FindQuota = [](const std::string &) {
      return std::optional(account(10000).Quota);
    };
    Quotas.setSharing(std::move(sharing), /*Thread=*/false);
  }

  int64_t NowMs = 0;
  int64_t AskTakesMs = 0;
  double Draw = 0.5;
  KeyOwner Home{"g0", "g0:1", true};
  std::function<QuotaGrant(const QuotaAsk &)> Reply = [](const QuotaAsk &Ask) {
    return QuotaGrant{Ask.WantedTokens, Milliseconds(1250)};
  };
  std::vector<QuotaAsk> Asks;
  AccountQuotas Quotas{
      "g1", {}, [this] { return Draw; }, [this] { return test::at(NowMs); }};
};

std::string runOn(GatewayFixture &Fixture) {
  CallerRequest request = Fixture.request();
  request.Account = "acme";
  return Fixture.run(Fixture.route(RouteKind::Idempotent), request);
}

void addAccount(GatewayFixture &Fixture, double TokensPerSecond, double Burst) {
  Fixture.Document->Accounts =
      AccountTable({{account(TokensPerSecond, Burst), {}}});
}

} // namespace

TEST_CASE("Requests of accounts without a limit cost no exchange") {
  LeasingInstance instance;
  CHECK(instance.Quotas.admit(account(0), 1000000000).Admitted);
  CHECK(instance.Asks.empty());
  CHECK(instance.Quotas.uses().empty());
}

TEST_CASE("A request that the home denies is refused with a time") {
  LeasingInstance instance;
  instance.Reply = [](const QuotaAsk &) {
    return QuotaGrant{0, Milliseconds(0), Milliseconds(700)};
  };
  QuotaDecision decision = instance.Quotas.admit(account(10000), 6000);
  CHECK_FALSE(decision.Admitted);
  CHECK(decision.RetryAfter >= Milliseconds(700));
  CHECK(decision.RetryAfter <= Milliseconds(8000));
  // The next one isn't worth an exchange.
  CHECK_FALSE(instance.Quotas.admit(account(10000), 6000).Admitted);
  CHECK(instance.Asks.size() == 1);
}

// Callers that come back together would find an empty bucket again.
TEST_CASE("Refused callers of an account come back at different times") {
  LeasingInstance instance;
  instance.Reply = [](const QuotaAsk &) {
    return QuotaGrant{0, Milliseconds(0), Milliseconds(700)};
  };
  instance.Draw = 0;
  Milliseconds first = instance.Quotas.admit(account(10000), 6000).RetryAfter;
  instance.Draw = 0.9;
  CHECK(instance.Quotas.admit(account(10000), 6000).RetryAfter >
        first + Milliseconds(500));
}

// Each of many requests would wait 60 ms for a dead home.
TEST_CASE("A home that doesn't respond isn't asked by each request") {
  LeasingInstance instance;
  instance.Reply = nullptr;
  instance.AskTakesMs = 60;
  for (int i = 0; i < 1000; ++i, instance.NowMs += 10)
    instance.Quotas.admit(account(10000), 200);
  CHECK(instance.Asks.size() <= 14);
  CHECK(instance.Quotas.counters().LocalShare == 1000);
  CHECK(instance.Quotas.uses().front().UsesLocalShare);
}

TEST_CASE("Leases are asked for again once the home responds") {
  LeasingInstance instance;
  auto reply = std::exchange(instance.Reply, nullptr);
  instance.Quotas.admit(account(10000), 200);
  instance.Reply = reply;
  instance.NowMs += 2000;
  CHECK(instance.Quotas.admit(account(10000), 200).Admitted);
  CHECK_FALSE(instance.Quotas.uses().front().UsesLocalShare);
}

// The home of an account must not get tokens that another one granted.
TEST_CASE("Unused tokens go back to the home that leased them, once") {
  LeasingInstance instance;
  QuotaDecision first = instance.Quotas.admit(account(10000), 6000);
  instance.Quotas.giveBack("acme", 6000, first);
  instance.NowMs += 600;
  instance.Quotas.sendDue();
  REQUIRE(instance.Asks.size() == 2);
  CHECK(instance.Asks[1].WantedTokens == 0);
  CHECK(instance.Asks[1].ReturnedTokens == 6000);
  instance.NowMs += 600;
  instance.Quotas.sendDue();
  CHECK(instance.Asks.size() == 2);
  QuotaDecision second = instance.Quotas.admit(account(10000), 6000);
  instance.Home = {"g5", "g5:1", true};
  instance.NowMs += 600;
  instance.Quotas.giveBack("acme", 6000, second);
  instance.NowMs += 600;
  instance.Quotas.sendDue();
  CHECK(instance.Asks.size() == 3);
}

// The second home has no tokens at first, since the first one may have granted
// them.
TEST_CASE("An instance that becomes the home begins with no tokens") {
  LeasingInstance instance;
  instance.NowMs = 100000;
  QuotaAsk ask;
  ask.Account = "acme";
  ask.WantedTokens = 100;
  instance.Home = {"g1", "", true};
  CHECK(instance.Quotas.decide(ask)->Tokens == 100);
  instance.Home = {"g0", "g0:1", true};
  instance.NowMs += 1000;
  instance.Quotas.decide(ask);
  instance.Home = {"g1", "", true};
  instance.NowMs += 1000;
  CHECK(instance.Quotas.decide(ask)->Tokens == 0);
}

TEST_CASE("A home that doesn't know the account isn't taken for silent") {
  LeasingInstance instance;
  auto reply = instance.Reply;
  instance.Reply = [](const QuotaAsk &) {
    QuotaGrant unknown;
    unknown.Known = false;
    return unknown;
  };
  CHECK(instance.Quotas.admit(account(10000), 200).Source ==
        QuotaSource::LocalShare);
  instance.Reply = reply;
  CHECK(instance.Quotas.admit(account(10000), 200).Source == QuotaSource::Home);
}

TEST_CASE("A request beyond its account's quota gets 429 and isn't sent") {
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "ok"); });
  GatewayFixture fixture;
  fixture.addServer("s1", server);
  addAccount(fixture, 1000, 6000);
  CHECK(runOn(fixture).find("HTTP/1.1 200") == 0);
  std::string refused = runOn(fixture);
  CHECK(refused.find("HTTP/1.1 429") == 0);
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(server.requests().size() == 1);
}

// Tokens of refused requests would be lost, and with them the account's share.
TEST_CASE("A request that no server ran gives its tokens back once") {
  FakeServer server([](const std::string &, int) { return refusal(); });
  GatewayFixture fixture;
  fixture.addServer("s1", server);
  addAccount(fixture, 1000, 6000);
  for (int i = 0; i < 3; ++i)
    CHECK(runOn(fixture).find("HTTP/1.1 503") == 0);
  AccountUse use = fixture.Quotas.uses().front();
  CHECK(use.Admitted == 3);
  CHECK(use.ReturnedTokens == use.AdmittedTokens);
}

TEST_CASE("A request that a server may have run keeps its tokens") {
  FakeServer server([](const std::string &, int) { return std::string(); });
  GatewayFixture fixture;
  fixture.addServer("s1", server);
  addAccount(fixture, 1000, 6000);
  runOn(fixture);
  CHECK(fixture.Quotas.uses().front().ReturnedTokens == 0);
}

TEST_CASE("Requests without an account or a limit take no tokens") {
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "ok"); });
  GatewayFixture fixture;
  fixture.addServer("s1", server);
  addAccount(fixture, 0, 0);
  CHECK(runOn(fixture).find("HTTP/1.1 200") == 0);
  CHECK(
      fixture.run(fixture.route(RouteKind::Idempotent)).find("HTTP/1.1 200") ==
      0);
  CHECK(fixture.Quotas.uses().empty());
}
