#include "gateway/decisions/accounts/access_check.h"

#include <array>

namespace crocusspur::gateway {
namespace {

struct VerdictTexts {
  const char *Name;
  const char *Reason;
};

constexpr std::array<VerdictTexts, AccessVerdictCount> Texts{{
    {"granted", ""},
    {"missing", "the request carries no key"},
    {"malformed", "the request's credentials aren't a single bearer key"},
    {"unknown", "no account holds the key"},
    {"removed", "the key was removed while the request waited"},
    {"unconfirmed", "this instance can't confirm that keys are still valid"},
    {"unsupported", "this instance doesn't support the account's settings"},
}};

} // namespace

const char *nameOf(AccessVerdict Verdict) {
  return Texts[static_cast<size_t>(Verdict)].Name;
}

const char *reasonOf(AccessVerdict Verdict) {
  return Texts[static_cast<size_t>(Verdict)].Reason;
}

bool mayBeGrantedLater(AccessVerdict Verdict) {
  return Verdict == AccessVerdict::Unconfirmed ||
         Verdict == AccessVerdict::AccountUnsupported;
}

AccessDecision decideAccess(const AccountTable &Accounts,
                            const AccessQuery &Query,
                            const AccessPolicy &Policy) {
  if (Accounts.empty())
    return {};
  AccessDecision decision;
  if (Query.Key)
    decision.Account = Accounts.findByDigest(*Query.Key);
  if (Query.IsPublic)
    return decision;
  // Before the key is looked at: it may be one that was added or removed since.
  if (Policy.FailClosed && (!Query.Age || *Query.Age > Policy.MaxAge))
    return {AccessVerdict::Unconfirmed, nullptr};
  if (decision.Account && !decision.Account->Supported)
    return {AccessVerdict::AccountUnsupported, nullptr};
  if (decision.Account)
    return decision;
  if (Query.Presence == KeyPresence::Missing)
    decision.Verdict = AccessVerdict::KeyMissing;
  else if (Query.Presence == KeyPresence::Malformed)
    decision.Verdict = AccessVerdict::KeyMalformed;
  else
    decision.Verdict = Query.WasGranted ? AccessVerdict::KeyRemoved
                                        : AccessVerdict::KeyUnknown;
  return decision;
}

} // namespace crocusspur::gateway
