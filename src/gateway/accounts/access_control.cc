#include "gateway/accounts/access_control.h"

namespace crocusspur::gateway {

AccessVerdict AccessControl::check(CallerRequest &Request,
                                   const RouteDocument &Document,
                                   const PathRoute &Route) {
  if (Document.Accounts.empty())
    return AccessVerdict::Granted;
  if (!Request.KeyState) {
    Request.KeyState = Codec.TakeKey(Request);
    if (Request.KeyState == KeyPresence::Present)
      Request.KeyDigest = internal::sha256(Request.Key);
    Request.Key.clear();
  }
  AccessPolicy policy = this->policy();
  AccessQuery query;
  query.IsPublic = Route.Public;
  query.Presence = *Request.KeyState;
  query.Key = Request.KeyDigest;
  query.WasGranted = !Request.Account.empty();
  if (policy.FailClosed)
    query.Age = Age();
  AccessDecision decision = decideAccess(Document.Accounts, query, policy);
  if (decision.Verdict != AccessVerdict::Granted) {
    ++Refused[static_cast<size_t>(decision.Verdict)];
    return decision.Verdict;
  }
  Request.Account = decision.Account ? decision.Account->Name : "";
  return decision.Verdict;
}

void AccessControl::setPolicy(const AccessPolicy &Policy) {
  FailClosed.store(Policy.FailClosed);
  MaxAge.store(Policy.MaxAge);
}

std::string AccessControl::dump(const AccountTable &Accounts) const {
  AccessPolicy policy = this->policy();
  std::optional<Milliseconds> age = Age();
  std::string out =
      "{\"accounts\":" + std::to_string(Accounts.size()) +
      ",\"keys\":" + std::to_string(Accounts.keyCount()) +
      ",\"fail_closed\":" + (policy.FailClosed ? "true" : "false") +
      ",\"max_age_ms\":" + std::to_string(policy.MaxAge.count()) +
      ",\"age_ms\":" + (age ? std::to_string(age->count()) : "null") +
      ",\"refused\":{";
  for (size_t i = 1; i < AccessVerdictCount; ++i) {
    auto verdict = static_cast<AccessVerdict>(i);
    out += (i > 1 ? ",\"" : "\"") + std::string(nameOf(verdict)) +
           "\":" + std::to_string(refused(verdict));
  }
  return out + "}}";
}

} // namespace crocusspur::gateway
