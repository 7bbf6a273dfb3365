#include "gateway/decisions/accounts/access_check.h"
#include "platform/published_entries.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::platform;

namespace {

std::string documentWith(const std::string &More) {
  return R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
         R"("path-prefix":"/x/","type":"idempotent","timeout-ms":3000,)"
         R"("service":"s1"},{"name":"open","host":"a.example",)"
         R"("path-prefix":"/open/","type":"idempotent","timeout-ms":3000,)"
         R"("service":"s1","public":true}],"services":[{"name":"s1"}])" +
         More + "}";
}

std::string withAccount(const std::string &Account) {
  return documentWith(R"(,"tenants":[)" + Account + "]");
}

// Places of the faults.
std::vector<std::string> faultsOf(const std::string &Text) {
  std::vector<Diagnostic> faults;
  RouteDocumentPtr document = readRouteDocument(Text, faults);
  CHECK((document == nullptr) == !faults.empty());
  std::vector<std::string> keys;
  for (const Diagnostic &it : faults) {
    keys.push_back(it.Key);
    CHECK(it.str().find("k-secret") == std::string::npos);
  }
  return keys;
}

} // namespace

TEST_CASE("A configuration's accounts, quotas and public routes are read") {
  RouteDocumentPtr document = parseRouteDocument(withAccount(
      R"({"name":"stores","api-keys":["k-1","k-2"],"priority":1,)"
      R"("unit":"token_stream","uncached-tokens":200,"rate-per-s":47000.5,)"
      R"("burst":94000,"contact":"x"},)"
      R"({"name":"small","api-keys":["k-3"],"priority":null},)"
      R"({"name":"locked","api-keys":[]})"));
  REQUIRE(document);
  const AccountTable &accounts = document->Accounts;
  CHECK(accounts.size() == 3);
  CHECK(accounts.keyCount() == 3);
  const ClientAccount *stores = accounts.findByKey("k-2");
  REQUIRE(stores);
  CHECK(stores->Name == "stores");
  CHECK(stores->Priority == 1U);
  CHECK(stores->Quota == AccountQuota{47000.5, 94000, 200});
  const ClientAccount *small = accounts.findByKey("k-3");
  REQUIRE(small);
  CHECK_FALSE(small->Priority.has_value());
  CHECK(small->Quota == AccountQuota());
  CHECK_FALSE(document->Routes[0].Public);
  CHECK(document->Routes[1].Public);
}

TEST_CASE("A configuration without accounts has an empty table") {
  for (const char *more : {"", R"(,"tenants":[])", R"(,"tenants":null)"}) {
    RouteDocumentPtr document = parseRouteDocument(documentWith(more));
    REQUIRE(document);
    CHECK(document->Accounts.empty());
  }
}

// Guards against a faulty account that is dropped or half applied, which would
// refuse its callers or lift its limit, and against keys in diagnostics.
TEST_CASE("A faulty account invalidates the configuration and is named") {
  const std::pair<const char *, const char *> faults[] = {
      {R"({"api-keys":["k-secret"]})", "tenants[0].name"},
      {R"({"name":7})", "tenants[0].name"},
      {R"({"name":"a","api-keys":"k-secret"})", "tenants[0].api-keys"},
      {R"({"name":"a","api-keys":["k-secret",7]})", "tenants[0].api-keys"},
      {R"({"name":"a","api-keys":["k-secret",""]})", "tenants[0].api-keys[1]"},
      {R"({"name":"a","api-keys":["k-secret "]})", "tenants[0].api-keys[0]"},
      {R"({"name":"a","api-keys":["k-secret","k-secret"]})",
       "tenants[0].api-keys[1]"},
      {R"({"name":"a","api-keys":["k-secret"]},)"
       R"({"name":"b","api-keys":["k-secret"]})",
       "tenants[1].api-keys[0]"},
      {R"({"name":"a"},{"name":"a"})", "tenants[1].name"},
      {R"({"name":"a","priority":-1})", "tenants[0].priority"},
      {R"({"name":"a","priority":1.5})", "tenants[0].priority"},
      {R"({"name":"a","priority":"1"})", "tenants[0].priority"},
      {R"({"name":"a","unit":7})", "tenants[0].unit"},
      {R"({"name":"a","rate-per-s":-1})", "tenants[0].rate-per-s"},
      {R"({"name":"a","rate-per-s":"9"})", "tenants[0].rate-per-s"},
      {R"({"name":"a","burst":-0.5})", "tenants[0].burst"},
      {R"({"name":"a","uncached-tokens":-3})", "tenants[0].uncached-tokens"},
      {R"({"name":"a","uncached-tokens":1e300})",
       "tenants[0].uncached-tokens"}};
  for (const auto &it : faults) {
    CAPTURE(it.first);
    CHECK(faultsOf(withAccount(it.first)) ==
          std::vector<std::string>{it.second});
  }
  CHECK(faultsOf(documentWith(R"(,"tenants":{"a":1})")) ==
        std::vector<std::string>{"tenants"});
  CHECK(faultsOf(documentWith(R"(,"tenants":["a"])")) ==
        std::vector<std::string>{"tenants"});
  CHECK(faultsOf("[]") == std::vector<std::string>{"file"});
}

// Guards against an account of a later contract that keeps a whole version from
// coming into force, whose callers are served without their limit, or whose
// name adds a field to requests.
TEST_CASE("Callers of an account that isn't supported are refused") {
  const std::pair<const char *, const char *> accounts[] = {
      {R"({"name":"a\r\nX: y","api-keys":["k-secret"]})", "tenants[0].name"},
      {R"({"name":" a","api-keys":["k-secret"]})", "tenants[0].name"},
      {R"({"name":"a","unit":"requests","api-keys":["k-secret"]})",
       "tenants[0].unit"}};
  for (const auto &it : accounts) {
    CAPTURE(it.first);
    RouteDocumentPtr document = parseRouteDocument(withAccount(it.first));
    REQUIRE(document);
    REQUIRE(document->Unsupported.size() == 1);
    CHECK(document->Unsupported[0].Key == it.second);
    AccessQuery query;
    query.Presence = KeyPresence::Present;
    query.Key = internal::sha256("k-secret");
    AccessDecision decision = decideAccess(document->Accounts, query, {});
    CHECK(decision.Verdict == AccessVerdict::AccountUnsupported);
    CHECK(mayBeGrantedLater(decision.Verdict));
    CHECK(decision.Account == nullptr);
  }
}
