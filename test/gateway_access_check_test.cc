#include "account_samples.h"
#include "gateway/decisions/accounts/access_check.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

const AccountTable &table() {
  static const AccountTable Table({test::accountOf("stores", {"k-1"})});
  return Table;
}

AccessQuery queryWith(const std::string &Key) {
  AccessQuery query;
  query.Presence = KeyPresence::Present;
  query.Key = internal::sha256(Key);
  query.Age = Milliseconds(100);
  return query;
}

AccessVerdict verdictOf(const AccessQuery &Query, AccessPolicy Policy = {}) {
  return decideAccess(table(), Query, Policy).Verdict;
}

} // namespace

TEST_CASE("A known key names its account; others are refused with the reason") {
  AccessDecision known = decideAccess(table(), queryWith("k-1"), {});
  CHECK(known.Verdict == AccessVerdict::Granted);
  REQUIRE(known.Account);
  CHECK(known.Account->Name == "stores");
  CHECK(verdictOf(queryWith("k-2")) == AccessVerdict::KeyUnknown);
  AccessQuery removed = queryWith("k-2");
  removed.WasGranted = true;
  CHECK(verdictOf(removed) == AccessVerdict::KeyRemoved);
  AccessQuery query;
  CHECK(verdictOf(query) == AccessVerdict::KeyMissing);
  query.Presence = KeyPresence::Malformed;
  CHECK(verdictOf(query) == AccessVerdict::KeyMalformed);
}

TEST_CASE("A public route needs no key but names the account of a known one") {
  for (const char *key : {"k-1", "k-2"}) {
    AccessQuery query = queryWith(key);
    query.IsPublic = true;
    query.Age.reset(); // public routes depend on no key
    AccessDecision decision =
        decideAccess(table(), query, {true, Milliseconds(1)});
    CHECK(decision.Verdict == AccessVerdict::Granted);
    CHECK((decision.Account != nullptr) == (std::string(key) == "k-1"));
  }
  AccessQuery query;
  query.IsPublic = true;
  CHECK(verdictOf(query) == AccessVerdict::Granted);
}

TEST_CASE("Without accounts nothing is refused, however old the knowledge") {
  AccessDecision decision =
      decideAccess(AccountTable(), AccessQuery(), {true, Milliseconds(1)});
  CHECK(decision.Verdict == AccessVerdict::Granted);
  CHECK(decision.Account == nullptr);
}

// Guards against an instance that accepts keys that were removed long ago, and
// against one that refuses its callers since the store is away, contrary to the
// settings.
TEST_CASE("Old knowledge refuses callers only if the settings say so") {
  AccessPolicy closed{true, Milliseconds(5000)};
  AccessPolicy open{false, Milliseconds(5000)};
  for (const char *key : {"k-1", "k-2"}) {
    AccessQuery query = queryWith(key);
    query.Age = Milliseconds(5000);
    CHECK(verdictOf(query, closed) == verdictOf(query, open));
    query.Age = Milliseconds(5001);
    CHECK(verdictOf(query, closed) == AccessVerdict::Unconfirmed);
    CHECK(verdictOf(query, open) == verdictOf(queryWith(key)));
    query.Age.reset(); // never confirmed
    CHECK(verdictOf(query, closed) == AccessVerdict::Unconfirmed);
    CHECK(verdictOf(query, open) == verdictOf(queryWith(key)));
  }
}
