// Decides whether a request may run, by the key that it carries. Does no I/O;
// the caller passes the age of what it knows. Answers a load in which keys are
// removed while requests that carry them wait, and an instance may lose touch
// with the store that publishes the removal.
#ifndef CROCUSSPUR_GATEWAY_ACCESS_CHECK_H
#define CROCUSSPUR_GATEWAY_ACCESS_CHECK_H

#include "crocusspur/types.h"
#include "gateway/decisions/accounts/account_table.h"

#include <optional>

namespace crocusspur::gateway {

// What a request says of its key.
enum class KeyPresence : uint8_t {
  Missing,
  Malformed, // another form of credentials, or several that differ
  Present
};

// When an instance refuses callers since it may have missed that their keys
// were removed.
struct AccessPolicy {
  bool FailClosed = false;
  // Of the knowledge of the store. Readers of the store confirm theirs every
  // 2.5 s and tell peers each second.
  Milliseconds MaxAge{5000};

  bool operator==(const AccessPolicy &) const = default;
};

struct AccessQuery {
  bool IsPublic = false; // the route needs no key
  KeyPresence Presence = KeyPresence::Missing;
  std::optional<internal::Sha256Digest> Key; // set if it is present
  bool WasGranted = false;                   // by an earlier check
  // How long ago the store had the accounts; nothing: not known.
  std::optional<Milliseconds> Age;
};

enum class AccessVerdict : uint8_t {
  Granted,
  KeyMissing,
  KeyMalformed,
  KeyUnknown,
  KeyRemoved,  // known to an earlier check of the request
  Unconfirmed, // the knowledge is too old to tell
  AccountUnsupported
};
inline constexpr size_t AccessVerdictCount =
    static_cast<size_t>(AccessVerdict::AccountUnsupported) + 1;
// Whether the request may be granted elsewhere or later, so that its caller is
// to come back.
bool mayBeGrantedLater(AccessVerdict Verdict);

const char *nameOf(AccessVerdict Verdict); // name in logs and metrics
// Why the request is refused, for its caller. Says nothing of the key itself.
const char *reasonOf(AccessVerdict Verdict);

struct AccessDecision {
  AccessVerdict Verdict = AccessVerdict::Granted;
  const ClientAccount *Account = nullptr; // of the table; null: none
};

AccessDecision decideAccess(const AccountTable &Accounts,
                            const AccessQuery &Query,
                            const AccessPolicy &Policy);

} // namespace crocusspur::gateway

#endif
