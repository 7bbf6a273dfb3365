// The token bucket of one client account at its home, the instance that decides
// on the account's quota for the fleet, and the messages with which other
// instances lease tokens from it. Does no I/O; callers pass the time.
//
// Answers a load of 5,200 accounts on 400 instances, of which an account sends
// up to 7.5 times its usual demand. The tokens of an account that the fleet
// uses in any window must stay within QuotaRules::allowed().
#ifndef CROCUSSPUR_GATEWAY_QUOTA_BUCKET_H
#define CROCUSSPUR_GATEWAY_QUOTA_BUCKET_H

#include "gateway/decisions/accounts/client_account.h"
#include "gateway/decisions/accounts/token_rate.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace crocusspur::gateway {

// How strictly quotas are checked, from the settings.
struct QuotaRules {
  Milliseconds Window{8000};
  double Overage = 0.25; // part of the quota of a window by which it may be
                         // exceeded
  double ToleranceTokens = 0; // besides

  bool operator==(const QuotaRules &) const = default;

  // The quota of one window.
  double quota(const AccountQuota &Quota) const {
    return Quota.TokensPerSecond *
               std::chrono::duration<double>(Window).count() +
           Quota.BurstTokens;
  }
  double slack(const AccountQuota &Quota) const {
    return quota(Quota) * Overage + ToleranceTokens;
  }
  // The most that an account may use in a window.
  double allowed(const AccountQuota &Quota) const {
    return quota(Quota) + slack(Quota);
  }
  // For how long leased tokens may be used: long enough for one exchange a
  // second, and a small part of a window, since tokens leased before a window
  // may be used in it. 1.25 s of the default window.
  Milliseconds leaseTime() const { return Window * 5 / 32; }
};

// What an instance asks the home of an account.
struct QuotaAsk {
  std::string Account;
  uint64_t WantedTokens = 0;  // of the request that waits; 0: none does
  uint64_t ExtraTokens = 0;   // for requests expected soon, as far as there are
  uint64_t OfferedTokens = 0; // of all requests since the last exchange
  // Tokens per second of the requests at the instance in the last seconds.
  double DemandPerSecond = 0;
  // Leased tokens that weren't used, and how long ago they were leased.
  uint64_t ReturnedTokens = 0;
  Milliseconds ReturnedAgo{0};
};

struct QuotaGrant {
  // At least the wanted tokens, or none if there are too few.
  uint64_t Tokens = 0;
  Milliseconds Lifetime{0};
  // If none were granted: when as many as wanted are expected.
  Milliseconds RetryAfter{0};
  // The part of the account's demand that the asking instance has.
  double DemandShare = 0;
  // False: the asked instance doesn't know the account, so nothing was decided.
  bool Known = true;
  // The part of the account's requests that may ask for tokens at all; see
  // QuotaBucket::admittedPart().
  double AdmittedPart = 1;
};

// What a home knows of the grants of the home before it.
enum class QuotaStart : uint8_t {
  // It may still grant tokens, as instances that don't know the new home yet
  // ask it. The bucket starts empty, and for the length of a window the rate
  // rises from a part of it.
  AfterHome,
  // It was a seed that served until the fleet was discovered. The bucket starts
  // with at most a quarter of a second's worth of the rate, and refills at the
  // full rate.
  AfterSeeds,
  // It has ended with all instances. The bucket starts with half of what it
  // can't have granted, and refills at the full rate.
  WithFleet,
};

class QuotaBucket {
public:
  // `HomeSince`: since when this instance has been the account's home, as far
  // as it knows.
  explicit QuotaBucket(TimePoint HomeSince,
                       QuotaStart Start = QuotaStart::AfterHome);

  // `RateFraction`: part of the rate that this instance may grant, at most 1.
  QuotaGrant grant(const AccountQuota &Quota, const QuotaRules &Rules,
                   const QuotaAsk &Ask, double RateFraction, TimePoint Now);
  // Takes back tokens that were granted at most a window ago.
  void giveBack(uint64_t Tokens, Milliseconds GrantedAgo, TimePoint Now);

  double level() const { return Level; } // at the last call
  // While the bucket is nearly empty: what the account may use as a part of
  // what it wants, with a surplus. Else 1. Without this, small requests take
  // all tokens before a large one finds enough, so that an account far above
  // its quota fills the services of its small requests.
  double admittedPart(const AccountQuota &Quota, const QuotaRules &Rules,
                      double RateFraction, TimePoint Now) const;
  double demandPerSecond(TimePoint Now) const { return Demand.perSecond(Now); }

private:
  // Grants of one window and one lease time, by the slot of their time.
  static constexpr int64_t SlotsPerWindow = 16;
  static constexpr size_t SlotCount = 20;

  void refill(const AccountQuota &Quota, const QuotaRules &Rules,
              double RateFraction, TimePoint Now);
  void advance(TimePoint Now);
  double granted() const;
  Milliseconds timeUntil(double Tokens, double MaxGranted, double PerSecond,
                         TimePoint Now) const;

  TimePoint HomeSince;
  QuotaStart Start;
  bool Started = false; // whether the first tokens were added
  TimePoint RefilledAt;
  Milliseconds SlotTime{500};
  AccountQuota LastQuota;
  double Level = 0;
  std::array<double, SlotCount> Granted{};
  int64_t Slot = 0; // number of the current one
  TokenRate Demand{Milliseconds(5000)};
  TokenRate RecentDemand{Milliseconds(2000)}; // a peak lasts some seconds
};

} // namespace crocusspur::gateway

#endif
