// Tests the quota of a client account at gateway processes of which the
// account's home is killed.
#include "gateway_fleet.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// While the home is gone requests are admitted by random draws, so that a low
// rate gives few of them by chance.
constexpr int RequestsPerSecond = 100;
constexpr int BurstRequests = 100;
constexpr int TokensPerRequest = 200;
constexpr Milliseconds Window{8000};
constexpr double Overage = 0.25;

std::string configWithQuota() {
  auto tokens = [](int Requests) {
    return std::to_string(Requests * TokensPerRequest);
  };
  std::string text = configOf(2, "/x/");
  text.insert(text.rfind('}'),
              R"(,"tenants":[{"name":"stores","api-keys":["k1"],)"
              R"("unit":"token_stream","uncached-tokens":)" +
                  tokens(1) + R"(,"rate-per-s":)" + tokens(RequestsPerSecond) +
                  R"(,"burst":)" + tokens(BurstRequests) + "}]");
  return text;
}

void disableTolerance(const GatewayInstance &Item) {
  std::ifstream in(Item.File);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  text.insert(text.find("[bounds]\n") + 9, "quota-tolerance = 0\n");
  std::ofstream(Item.File) << text;
}

std::string send(const GatewayInstance &Item) {
  return GatewayFleet::get(Item.Callers, "/x/y",
                           "Attempt-Id: a1\r\nDeadline-Ms: 20000\r\n"
                           "Authorization: Bearer k1\r\n");
}

std::string homeSeenBy(const GatewayInstance &Item) {
  std::string state = GatewayFleet::get(Item.Ready, "/state", "");
  const std::string start = "\"home\":\"";
  size_t at = state.find(start);
  if (at == std::string::npos)
    return "";
  at += start.size();
  return state.substr(at, state.find('"', at) - at);
}

} // namespace

// Without the home, instances must neither refuse all requests of its accounts
// nor admit what they like.
TEST_CASE("An account's quota holds and is used while its home is killed") {
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "ok"); });
  GatewayFleet fleet(4);
  for (const GatewayInstance &it : fleet.Instances)
    disableTolerance(it);
  fleet.Store.put("op/config", configWithQuota());
  fleet.addServer("s1", server);
  fleet.startAll();
  std::vector<TimePoint> run;
  size_t refused = 0;
  auto sendFor = [&](Milliseconds Time, const std::string &Except) {
    size_t before = run.size();
    for (TimePoint end = Clock::now() + Time; Clock::now() < end;)
      for (const GatewayInstance &it : fleet.Instances)
        if (it.Name != Except) {
          std::string response = send(it);
          if (response.starts_with("HTTP/1.1 200"))
            run.push_back(Clock::now());
          else {
            ++refused;
            CHECK(response.starts_with("HTTP/1.1 429"));
            CHECK(response.find("Retry-After: ") != std::string::npos);
          }
        }
    MESSAGE("served " << run.size() - before << ", refused " << refused);
    return run.size() - before;
  };
  sendFor(Milliseconds(10000), "");
  CHECK(sendFor(Milliseconds(4000), "") >= 0.8 * RequestsPerSecond * 4);
  std::string home = homeSeenBy(fleet.Instances[0]);
  auto killed =
      std::ranges::find(fleet.Instances, home, &GatewayInstance::Name);
  REQUIRE(killed != fleet.Instances.end());
  killed->Process->signal(SIGKILL);
  CHECK(sendFor(Milliseconds(8000), home) >= 0.1 * RequestsPerSecond * 8);
  CHECK(refused > 0);
  double allowed =
      (RequestsPerSecond * std::chrono::duration<double>(Window).count() +
       BurstRequests) *
      (1 + Overage);
  for (size_t first = 0, last = 0; last < run.size(); ++last) {
    while (run[last] - run[first] >= Window)
      ++first;
    CHECK(static_cast<double>(last - first + 1) <= allowed);
  }
}
