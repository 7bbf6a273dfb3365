// Replays an account that sends several times its quota, in virtual time.
#include "gateway/accounts/account_quotas.h"
#include "virtual_time.h"

#include <doctest/doctest.h>
#include <random>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr uint64_t StreamTokens = 6000;
constexpr uint64_t PlainTokens = 200;

struct Granted {
  double Streams = 0; // parts of those sent
  double Plain = 0;
  double Tokens = 0; // in all
};

// One instance that is the account's home. Three of ten requests are streams.
Granted replay(double TimesTheRate, uint64_t Seed) {
  std::mt19937_64 random(Seed);
  auto draw = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  double nowMs = 0;
  AccountQuotas quotas("g1", {}, draw,
                       [&] { return test::at(static_cast<int64_t>(nowMs)); });
  ClientAccount account;
  account.Name = "acme";
  account.Quota = {300000, 300000, 200};
  double perMs = TimesTheRate * account.Quota.TokensPerSecond /
                 (0.3 * StreamTokens + 0.7 * PlainTokens) / 1000;
  double sent[2] = {};
  double admitted[2] = {};
  Granted result;
  while (nowMs < 20000) {
    nowMs += std::exponential_distribution<double>(perMs)(random);
    bool stream = draw() < 0.3;
    uint64_t tokens = stream ? StreamTokens : PlainTokens;
    bool granted = quotas.admit(account, tokens).Admitted;
    if (granted)
      result.Tokens += static_cast<double>(tokens);
    if (nowMs < 5000) // until the burst is used up
      continue;
    ++sent[stream ? 0 : 1];
    admitted[stream ? 0 : 1] += granted ? 1 : 0;
  }
  result.Streams = admitted[0] / sent[0];
  result.Plain = admitted[1] / sent[1];
  return result;
}

} // namespace

// Guards against an account whose small requests fill a service for all other
// accounts while its large ones find no tokens.
TEST_CASE("An account above its quota gets a like part of small requests") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Granted granted = replay(4.2, seed);
    CHECK(granted.Plain < 2 * granted.Streams);
    // Most of what the rate allows in 20 s is used.
    CHECK(granted.Tokens > 0.9 * 20 * 300000);
  }
}

// Guards against refusals of an account that uses what it may.
TEST_CASE("An account at nine tenths of its rate isn't refused by part") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Granted granted = replay(0.9, seed);
    CHECK(granted.Plain > 0.99);
    CHECK(granted.Streams > 0.97);
  }
}
