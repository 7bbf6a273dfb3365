#include "gateway/decisions/accounts/lease_account.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

// A lease covers the demand of this time.
constexpr double LeasedSeconds = 1.1;
// Tokens are leased in advance for at least this many requests.
constexpr double MinRequestsAhead = 2;
// The home is asked in advance once the leases cover less than this time, and
// at most once in AskPeriod.
constexpr double AskAheadSeconds = 0.25;
constexpr Milliseconds AskPeriod{800};
// Unused tokens go back with the next request to the home, or after this time.
constexpr Milliseconds ReturnDelay{500};
// After a denial the home isn't asked for a time that grows with the fleet, so
// that it gets at most 250 requests per second and account from 61 instances
// and 1,000 from 400.
constexpr Milliseconds DenialPausePerInstance{4};
constexpr Milliseconds MaxDenialPause{400};
// The part of the rate that all instances use together without the home. The
// home may be alive and grant all of it to others: less is used if the account
// was above its rate.
constexpr double LocalPartOfRate = 0.5;
constexpr double LocalPartAboveRate = 0.25;
// The same while the home responded so recently that it is probably alive, as
// after a single late response.
constexpr double LateHomePart = 0.1;
constexpr Milliseconds LateHomeTime{2000};
// For how long the home's statement on the admitted part is used. Then a
// request asks the home again, which shows the end of a peak.
constexpr Milliseconds AdmittedPartValidity{2000};
// For how long the home's statement on the demand is used.
constexpr Milliseconds ShareValidity{30000};

} // namespace

void LeaseAccount::onRequest(uint64_t Tokens, TimePoint Now) {
  Offered += Tokens;
  LastTokens = Tokens;
  Recent.add(static_cast<double>(Tokens), Now);
  Demand.add(static_cast<double>(Tokens), Now);
}

void LeaseAccount::addReturn(uint64_t Tokens, TimePoint GrantedAt) {
  if (Tokens == 0)
    return;
  if (Returned == 0) {
    OldestReturned = GrantedAt;
    ReturnedSince = std::max(GrantedAt, AskedAt);
  }
  OldestReturned = std::min(OldestReturned, GrantedAt);
  Returned += Tokens;
}

void LeaseAccount::expire(TimePoint Now) {
  while (!Leases.empty() && Leases.front().ExpiresAt <= Now) {
    addReturn(Leases.front().Tokens, Leases.front().GrantedAt);
    Leases.erase(Leases.begin());
  }
}

uint64_t LeaseAccount::leased(TimePoint Now) const {
  uint64_t sum = 0;
  for (const Lease &it : Leases)
    sum += it.ExpiresAt > Now ? it.Tokens : 0;
  return sum;
}

bool LeaseAccount::take(uint64_t Tokens, TimePoint Now) {
  expire(Now);
  if (leased(Now) < Tokens)
    return false;
  while (Tokens > 0) {
    uint64_t taken = std::min(Tokens, Leases.front().Tokens);
    Tokens -= taken;
    Leases.front().Tokens -= taken;
    if (Leases.front().Tokens == 0)
      Leases.erase(Leases.begin());
  }
  return true;
}

Milliseconds LeaseAccount::deniedFor(uint64_t Tokens, TimePoint Now) const {
  if (Tokens < DeniedTokens || DeniedUntil <= Now)
    return Milliseconds(0);
  return std::chrono::ceil<Milliseconds>(DeniedUntil - Now);
}

QuotaAsk LeaseAccount::ask(uint64_t Tokens, TimePoint Now) {
  expire(Now);
  QuotaAsk ask;
  ask.WantedTokens = Tokens;
  double demand = Recent.perSecond(Now);
  double ahead = demand * LeasedSeconds;
  if (ahead >= MinRequestsAhead * static_cast<double>(LastTokens))
    ask.ExtraTokens = static_cast<uint64_t>(
        std::max(0.0, ahead - static_cast<double>(leased(Now))));
  ask.OfferedTokens = std::exchange(Offered, 0);
  ask.DemandPerSecond = Demand.perSecond(Now);
  ask.ReturnedTokens = std::exchange(Returned, 0);
  if (ask.ReturnedTokens > 0)
    ask.ReturnedAgo = std::chrono::ceil<Milliseconds>(Now - OldestReturned);
  AskedAt = Now;
  return ask;
}

bool LeaseAccount::onLease(uint64_t Tokens, const QuotaGrant &Grant,
                           uint32_t Instances, TimePoint AskedAt,
                           TimePoint Now) {
  Share = Grant.DemandShare;
  ShareAt = Now;
  setAdmittedPart(Grant.AdmittedPart, Now);
  if (Grant.Tokens < Tokens || Grant.Tokens == 0) {
    if (Tokens == 0)
      return false;
    DeniedTokens = Tokens;
    DeniedUntil = Now + std::max(Grant.RetryAfter,
                                 std::min(MaxDenialPause,
                                          DenialPausePerInstance *
                                              static_cast<int64_t>(Instances)));
    return false;
  }
  DeniedUntil = TimePoint();
  // The waiting request uses its tokens at once, also if the response took
  // longer than the lifetime of a lease.
  if (Grant.Tokens > Tokens)
    Leases.push_back(
        {Grant.Tokens - Tokens, AskedAt, AskedAt + Grant.Lifetime});
  return true;
}

double LeaseAccount::admittedPart(TimePoint Now) const {
  return Now - AdmittedPartAt <= AdmittedPartValidity ? AdmittedPart : 1;
}

bool LeaseAccount::needsLease(TimePoint Now) const {
  double demand = Recent.perSecond(Now);
  return demand * LeasedSeconds >=
             MinRequestsAhead * static_cast<double>(LastTokens) &&
         static_cast<double>(leased(Now)) < demand * AskAheadSeconds &&
         Now - AskedAt >= AskPeriod && DeniedUntil <= Now;
}

bool LeaseAccount::hasReturn(TimePoint Now) {
  expire(Now);
  return Returned > 0 && Now - ReturnedSince >= ReturnDelay &&
         Now - AskedAt >= ReturnDelay;
}

void LeaseAccount::giveBack(uint64_t Tokens, TimePoint AdmittedAt,
                            TimePoint Now) {
  addReturn(Tokens, AdmittedAt);
  ReturnedSince = std::min(Now, ReturnedSince);
}

double LeaseAccount::accountDemand(TimePoint Now) const {
  double own = Demand.perSecond(Now);
  return Share > 0 ? own / Share : own;
}

double LeaseAccount::localPart(const AccountQuota &Quota, uint32_t Instances,
                               TimePoint Now) const {
  double share = 1.0 / std::max(Instances, 1U);
  if (ShareAt != TimePoint() && Now - ShareAt <= ShareValidity)
    share = Share;
  double demand = Demand.perSecond(Now);
  if (demand <= 0)
    return 1;
  double part = LocalPartOfRate;
  if (accountDemand(Now) > Quota.TokensPerSecond)
    part = Now - ShareAt < LateHomeTime ? LateHomePart : LocalPartAboveRate;
  return std::min(1.0, part * Quota.TokensPerSecond * share / demand);
}

} // namespace crocusspur::gateway
