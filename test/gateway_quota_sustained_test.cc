// Replays callers that send above their account's rate all the time, in virtual
// time.
#include "gateway/accounts/account_quotas.h"
#include "virtual_time.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr uint64_t TokensPerRequest = 200;
constexpr int RatePerSecond = 100;
constexpr int BurstRequests = 100;
constexpr size_t InstanceCount = 4;

// Instances of which the first is the home; exchanges take no time.
struct Fleet {
  explicit Fleet(uint64_t Seed) : Random(Seed) {
    for (size_t i = 0; i < InstanceCount; ++i) {
      Items[i] = std::make_unique<AccountQuotas>(
          "g" + std::to_string(i), QuotaRules{},
          [this] {
            return std::uniform_real_distribution<double>(0, 1)(Random);
          },
          [this] { return Now; });
      QuotaSharing sharing;
      sharing.FindHome = [i](const std::string &) {
        return KeyOwner{"g0", i == 0 ? "" : "g0:1", true};
      };
      sharing.Fleet = [] {
        return FleetView{InstanceCount, InstanceCount, TimePoint(), true};
      };
      sharing.AskHome = [this](const std::string &, const QuotaAsk &Ask) {
        return Items[0]->decide(Ask);
      };
      sharing.FindQuota = [this](const std::string &) {
        return std::optional(Account.Quota);
      };
      Items[i]->setSharing(std::move(sharing), /*StartThread=*/false);
    }
  }

  // Sends one request and returns whether it is admitted.
  bool send() {
    return Items[Sent++ % InstanceCount]
        ->admit(Account, TokensPerRequest)
        .Admitted;
  }

  ClientAccount Account = [] {
    ClientAccount item;
    item.Name = "stores";
    item.Quota = {RatePerSecond * static_cast<double>(TokensPerRequest),
                  BurstRequests * static_cast<double>(TokensPerRequest), 1};
    return item;
  }();
  TimePoint Now = test::at(0);
  std::mt19937_64 Random;
  size_t Sent = 0;
  std::array<std::unique_ptr<AccountQuotas>, InstanceCount> Items;
};

// Returns the least part of the rate that is used in four seconds, after the
// burst has been used up.
double leastUsed(double RequestsPerSecond) {
  constexpr int64_t EndMs = 60000;
  constexpr int64_t FromMs = 10000;
  constexpr int64_t WindowMs = 4000;
  double least = 1e9;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Fleet fleet(seed);
    std::vector<int> admitted(EndMs);
    double due = 0;
    for (int64_t ms = 0; ms < EndMs; ++ms) {
      fleet.Now = test::at(ms);
      due += RequestsPerSecond / 1000;
      for (; due >= 1; due -= 1)
        admitted[static_cast<size_t>(ms)] += fleet.send() ? 1 : 0;
    }
    for (int64_t from = FromMs; from + WindowMs <= EndMs; from += 500) {
      int sum = 0;
      for (int64_t ms = from; ms < from + WindowMs; ++ms)
        sum += admitted[static_cast<size_t>(ms)];
      least = std::min(least, sum / (RatePerSecond * WindowMs / 1000.0));
    }
  }
  return least;
}

} // namespace

// After each window in which the account used its burst, nothing was granted
// for up to a second, and what was refilled meanwhile was granted at once.
TEST_CASE("An account that stays above its rate uses it in each four seconds") {
  for (double demand : {150.0, 300.0, 1000.0, 4000.0, 16000.0}) {
    CAPTURE(demand);
    CHECK(leastUsed(demand) >= 0.8);
  }
}
