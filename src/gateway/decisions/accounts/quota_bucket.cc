#include "gateway/decisions/accounts/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace crocusspur::gateway {
namespace {

// Parts of the slack. The bucket holds more than the burst, since requests of
// an account that stays below its rate don't come evenly: with a burst of 0 and
// six requests a second, 1 in 100 would find an empty bucket.
constexpr double DepthPart = 0.4;
// Of the overage, what the home grants. The rest is left for the time in which
// an account has two homes or instances use local shares.
constexpr double GrantedPart = 0.5;
// Part of the tolerance that is granted as well: operators permit it, and a
// request that is refused within it is refused for nothing.
constexpr double TolerancePart = 0.8;
// The rate of a new home at first.
constexpr double NewHomeFraction = 0.25;
// After a start of the whole fleet: the part of what the former home can't have
// granted. The rest is a margin for instances that disagree on the home.
constexpr double FleetStartPart = 0.5;
// What a home has at first that follows a seed, in seconds of the rate.
constexpr double AfterSeedsSeconds = 0.25;
// Tokens for expected requests are at most this part of the bucket, so that
// leases shrink to what one request needs as it empties.
constexpr double ExtraPart = 0.125;
// Below this part of its depth the bucket counts as nearly empty.
constexpr double LowLevelPart = 0.5;
// Requests that may ask for tokens, for each that is expected to get them, so
// that what the account may use is used although demand is uneven.
constexpr double AskingSurplus = 1.2;

// What the home grants in a window and a lease time.
double maxGranted(const AccountQuota &Quota, const QuotaRules &Rules,
                  double RateFraction) {
  return Rules.quota(Quota) + Rules.quota(Quota) * Rules.Overage * GrantedPart +
         Rules.ToleranceTokens * TolerancePart * RateFraction;
}

double seconds(TimePoint From, TimePoint To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

} // namespace

QuotaBucket::QuotaBucket(TimePoint HomeSince, QuotaStart Start)
    : HomeSince(HomeSince), Start(Start), RefilledAt(HomeSince) {}

void QuotaBucket::advance(TimePoint Now) {
  int64_t slot = Now.time_since_epoch() / SlotTime;
  int64_t passed = std::clamp<int64_t>(slot - Slot, 0, SlotCount);
  for (int64_t i = 1; i <= passed; ++i)
    Granted[static_cast<size_t>(slot - passed + i) % SlotCount] = 0;
  Slot = std::max(Slot, slot);
}

double QuotaBucket::granted() const {
  return std::accumulate(Granted.begin(), Granted.end(), 0.0);
}

void QuotaBucket::refill(const AccountQuota &Quota, const QuotaRules &Rules,
                         double RateFraction, TimePoint Now) {
  if (!(Quota == LastQuota)) {
    // What was granted under a higher limit doesn't count in full against a
    // lower one, which would refuse all requests for a window.
    double former = Rules.quota(LastQuota);
    if (former > 0 && Rules.quota(Quota) < former)
      for (double &it : Granted)
        it *= Rules.quota(Quota) / former;
    LastQuota = Quota;
  }
  SlotTime = std::max(Milliseconds(1), Rules.Window / SlotsPerWindow);
  advance(Now);
  if (!std::exchange(Started, true)) {
    if (Start == QuotaStart::WithFleet)
      Level = (Rules.allowed(Quota) - maxGranted(Quota, Rules, 1)) *
              FleetStartPart * std::clamp(RateFraction, 0.0, 1.0);
    else if (Start == QuotaStart::AfterSeeds)
      Level = Quota.TokensPerSecond * AfterSeedsSeconds *
              std::clamp(RateFraction, 0.0, 1.0);
  }
  double known = Start == QuotaStart::AfterHome
                     ? seconds(HomeSince, Now) /
                           std::chrono::duration<double>(Rules.Window).count()
                     : 1;
  double perSecond = Quota.TokensPerSecond +
                     Rules.ToleranceTokens * TolerancePart /
                         std::chrono::duration<double>(Rules.Window).count();
  double rate = perSecond * std::clamp(RateFraction, 0.0, 1.0) *
                std::min(1.0, NewHomeFraction + (1 - NewHomeFraction) * known);
  double depth = Quota.BurstTokens + Rules.slack(Quota) * DepthPart;
  Level = std::min(depth, Level + rate * seconds(RefilledAt, Now));
  RefilledAt = std::max(RefilledAt, Now);
}

void QuotaBucket::giveBack(uint64_t Tokens, Milliseconds GrantedAgo,
                           TimePoint Now) {
  advance(Now);
  auto left = static_cast<double>(Tokens);
  int64_t age = std::max<int64_t>(0, GrantedAgo / SlotTime);
  // Older slots first: what is taken from them is counted for a shorter time.
  for (int64_t i = std::min<int64_t>(age + 1, SlotCount - 1);
       i >= 0 && i + 1 >= age && left > 0; --i) {
    if (i > Slot)
      continue;
    double &slot = Granted[static_cast<size_t>(Slot - i) % SlotCount];
    double taken = std::min(slot, left);
    slot -= taken;
    left -= taken;
    Level += taken; // the next refill applies the depth
  }
}

Milliseconds QuotaBucket::timeUntil(double Tokens, double MaxGranted,
                                    double PerSecond, TimePoint Now) const {
  double wait = PerSecond > 0 ? std::max(0.0, Tokens - Level) / PerSecond : 0;
  auto time = Milliseconds(static_cast<int64_t>(wait * 1000) + 1);
  double excess = granted() + Tokens - MaxGranted;
  auto inSlot = std::chrono::duration_cast<Milliseconds>(
      Now.time_since_epoch() % SlotTime);
  for (int64_t i = 1; excess > 0 && i <= static_cast<int64_t>(SlotCount); ++i) {
    excess -= Granted[static_cast<size_t>(Slot + i) % SlotCount];
    time = std::max(time, SlotTime * i - inSlot);
  }
  return time;
}

double QuotaBucket::admittedPart(const AccountQuota &Quota,
                                 const QuotaRules &Rules, double RateFraction,
                                 TimePoint Now) const {
  double depth = Quota.BurstTokens + Rules.slack(Quota) * DepthPart;
  double demand = RecentDemand.perSecond(Now);
  // The bucket of a new home is low, and after a restart callers return at
  // once.
  if (Level >= depth * LowLevelPart || demand <= 0 ||
      Now - HomeSince < Rules.Window)
    return 1;
  std::chrono::duration<double> span = Rules.Window + Rules.leaseTime();
  double usable = maxGranted(Quota, Rules, RateFraction) / span.count();
  return std::min(1.0, AskingSurplus * usable / demand);
}

QuotaGrant QuotaBucket::grant(const AccountQuota &Quota,
                              const QuotaRules &Rules, const QuotaAsk &Ask,
                              double RateFraction, TimePoint Now) {
  if (Ask.ReturnedTokens > 0)
    giveBack(Ask.ReturnedTokens, Ask.ReturnedAgo, Now);
  refill(Quota, Rules, RateFraction, Now);
  Demand.add(static_cast<double>(Ask.OfferedTokens), Now);
  RecentDemand.add(static_cast<double>(Ask.OfferedTokens), Now);
  QuotaGrant result;
  result.AdmittedPart = admittedPart(Quota, Rules, RateFraction, Now);
  result.Lifetime = Rules.leaseTime();
  double demand = Demand.perSecond(Now);
  result.DemandShare =
      demand > 0 ? std::clamp(Ask.DemandPerSecond / demand, 0.0, 1.0) : 0;
  double depth = Quota.BurstTokens + Rules.slack(Quota) * DepthPart;
  double most = maxGranted(Quota, Rules, std::clamp(RateFraction, 0.0, 1.0));
  double free = most - granted();
  auto wanted = static_cast<double>(Ask.WantedTokens);
  // One that is larger than the bucket is granted from a full one.
  double needed = std::min(wanted, depth);
  if (Level < needed || free < wanted) {
    result.RetryAfter =
        timeUntil(needed, most, Quota.TokensPerSecond * RateFraction, Now);
    return result;
  }
  double extra =
      std::max(0.0, std::min({static_cast<double>(Ask.ExtraTokens),
                              (Level - wanted) * ExtraPart, free - wanted}));
  result.Tokens = Ask.WantedTokens + static_cast<uint64_t>(extra);
  Level -= static_cast<double>(result.Tokens);
  Granted[static_cast<size_t>(Slot) % SlotCount] +=
      static_cast<double>(result.Tokens);
  return result;
}

} // namespace crocusspur::gateway
