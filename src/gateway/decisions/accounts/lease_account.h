// What one instance knows of a client account whose home is another instance:
// the tokens that it has leased, the demand of its own requests, and the share
// that it may use while the home doesn't respond. Does no I/O; callers pass the
// time.
//
// Answers two loads: an account with many requests at one instance, which costs
// one exchange a second instead of one for each request, and an account whose
// requests come one by one to 400 instances, for which no tokens are held.
#ifndef CROCUSSPUR_GATEWAY_LEASE_ACCOUNT_H
#define CROCUSSPUR_GATEWAY_LEASE_ACCOUNT_H

#include "gateway/decisions/accounts/quota_bucket.h"

#include <string>
#include <vector>

namespace crocusspur::gateway {

class LeaseAccount {
public:
  // Counts a request of a caller, admitted or not.
  void onRequest(uint64_t Tokens, TimePoint Now);
  // Takes tokens from the leases. Returns false if they are too few.
  bool take(uint64_t Tokens, TimePoint Now);
  // For how long the home isn't asked for so many tokens, since it had too few;
  // 0: it may be asked.
  Milliseconds deniedFor(uint64_t Tokens, TimePoint Now) const;

  // Returns what to ask the home for a request of so many tokens (0: for none)
  // and counts it as asked.
  QuotaAsk ask(uint64_t Tokens, TimePoint Now);
  // The response to ask(), which was sent at `AskedAt`; the lifetime of the
  // lease counts from then. Returns whether the request is admitted.
  // `Instances`: number of instances of the fleet.
  bool onLease(uint64_t Tokens, const QuotaGrant &Grant, uint32_t Instances,
               TimePoint AskedAt, TimePoint Now);

  // What the home has lately said; see QuotaBucket::admittedPart().
  void setAdmittedPart(double Value, TimePoint Now) {
    AdmittedPart = Value;
    AdmittedPartAt = Now;
  }
  double admittedPart(TimePoint Now) const;

  // Whether the leases will be used up soon, so that the home is to be asked
  // before a request has to wait.
  bool needsLease(TimePoint Now) const;
  // Whether unused tokens have waited long enough for a request that returns
  // them.
  bool hasReturn(TimePoint Now);
  // Whether nothing is leased and nothing is to be returned.
  bool isIdle(TimePoint Now) const { return Returned == 0 && leased(Now) == 0; }
  // A request that was admitted by a lease of this home has not run.
  void giveBack(uint64_t Tokens, TimePoint AdmittedAt, TimePoint Now);
  // The account has got another home, which didn't grant the leases.
  void onHomeChanged() { Returned = 0; }

  // The part of the requests at this instance that is admitted while the home
  // doesn't respond, such that all instances together use half of the rate.
  double localPart(const AccountQuota &Quota, uint32_t Instances,
                   TimePoint Now) const;
  // Tokens per second of this instance's requests.
  double demandPerSecond(TimePoint Now) const { return Demand.perSecond(Now); }
  // Of the account at all instances, as far as it is known.
  double accountDemand(TimePoint Now) const;
  uint64_t leased(TimePoint Now) const;

private:
  struct Lease {
    uint64_t Tokens;
    TimePoint GrantedAt;
    TimePoint ExpiresAt;
  };

  void expire(TimePoint Now);
  void addReturn(uint64_t Tokens, TimePoint GrantedAt);

  std::vector<Lease> Leases; // in order of their expiry
  uint64_t Returned = 0;
  TimePoint OldestReturned;
  TimePoint ReturnedSince;
  uint64_t Offered = 0; // since the last exchange
  uint64_t LastTokens = 0;
  TimePoint AskedAt;
  TimePoint DeniedUntil;
  uint64_t DeniedTokens = 0;
  double AdmittedPart = 1;
  TimePoint AdmittedPartAt;
  double Share = 0; // of the account's demand
  TimePoint ShareAt;
  TokenRate Recent{Milliseconds(2000)};
  TokenRate Demand{Milliseconds(5000)};
};

} // namespace crocusspur::gateway

#endif
