#include "gateway/decisions/admission_control.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

// Time constant of the weights of attempts; a quarter of a typical burst.
constexpr std::chrono::duration<double> TimeConstant{1.0};
// With a smaller weight of all attempts, their outcomes are chance.
constexpr double MinAttempts = 2;
// Attempts that are assumed in addition, with the chance of one attempt while
// twice the capacity is wanted, so that a few refusals don't rule out a grant.
constexpr double PriorAttempts = 1;
constexpr double PriorGrants = 0.3;
// Without an attempt for this long, the evidence is old.
constexpr Milliseconds EvidenceLifetime{500};
// Requests that are admitted for each one that is expected to be granted. The
// surplus finds out when more memory becomes free.
constexpr double AdmittedPerGrant = 1.3;
constexpr double MinAdmittedShare = 0.125;
// By which part a share moves towards what is wanted with each request. The
// chance rises only after a lower share has taken effect, so larger steps make
// the share oscillate.
constexpr double Step = 0.5;
// Attempts that are counted for one request.
constexpr int MaxAttemptsCounted = 100;

} // namespace

double AdmissionControl::decayed(double Value, TimePoint Now) const {
  std::chrono::duration<double> age = Now - UpdatedAt;
  return Value * std::exp(-age / TimeConstant);
}

void AdmissionControl::onAttempt(bool Granted, Milliseconds Taken,
                                 TimePoint Now) {
  Attempts = decayed(Attempts, Now) + 1;
  Grants = decayed(Grants, Now) + (Granted ? 1 : 0);
  UpdatedAt = Now;
  LastTaken = Taken;
  LastGranted = Granted;
}

double AdmissionControl::chance(const RankPosition &Rank,
                                TimePoint OnTimeDeadline, TimePoint Now) const {
  double refused = 1 - (Grants + PriorGrants) / (Attempts + PriorAttempts);
  double all = 1;
  TimePoint at = Now + firstAttemptDelay(Rank, OnTimeDeadline, Now);
  for (int n = 0; n < MaxAttemptsCounted && at <= OnTimeDeadline; ++n) {
    all *= refused;
    at += LastTaken;
    at += attemptInterval(Rank, OnTimeDeadline, at);
  }
  return 1 - all;
}

AdmissionDecision AdmissionControl::decide(const RankPosition &Rank,
                                           TimePoint OnTimeDeadline,
                                           double Draw, TimePoint Now) {
  double &share = AdmittedShares.try_emplace(Rank.Above, 1).first->second;
  if (Now - UpdatedAt > EvidenceLifetime) {
    share = 1;
    return {};
  }
  if (LastGranted || decayed(Attempts, Now) < MinAttempts)
    return {};
  AdmissionDecision decision;
  decision.Chance = chance(Rank, OnTimeDeadline, Now);
  double wanted = std::clamp(AdmittedPerGrant * share * decision.Chance,
                             MinAdmittedShare, 1.0);
  share += Step * (wanted - share);
  decision.AdmittedShare = share;
  decision.Admitted = Draw < share;
  return decision;
}

} // namespace crocusspur::gateway
