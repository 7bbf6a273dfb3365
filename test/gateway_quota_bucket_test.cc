#include "gateway/decisions/accounts/fleet_memory.h"
#include "gateway/decisions/accounts/lease_account.h"
#include "gateway/decisions/accounts/quota_bucket.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

const AccountQuota Quota{10000, 20000, 200};
const QuotaRules Rules;

QuotaAsk wanting(uint64_t Tokens, uint64_t Extra = 0) {
  QuotaAsk ask;
  ask.WantedTokens = Tokens;
  ask.ExtraTokens = Extra;
  return ask;
}

// Tokens granted from `FromMs` to `ToMs` in pieces of 500, one each ms.
double grantedBetween(QuotaBucket &Bucket, int64_t FromMs, int64_t ToMs,
                      double Part = 1) {
  double sum = 0;
  for (int64_t ms = FromMs; ms < ToMs; ++ms)
    sum += static_cast<double>(
        Bucket.grant(Quota, Rules, wanting(500), Part, at(ms)).Tokens);
  return sum;
}

Member member(const std::string &Name, bool Leaving = false) {
  Member item;
  item.Name = Name;
  item.Leaving = Leaving;
  return item;
}

} // namespace

// Two homes of one account would grant twice its rate.
TEST_CASE("QuotaBucket of a new home is empty and grants part of the rate") {
  QuotaBucket bucket(at(0));
  CHECK(bucket.grant(Quota, Rules, wanting(500), 1, at(0)).Tokens == 0);
  double first = grantedBetween(bucket, 1, 1000);
  CHECK(first >= 2000);
  CHECK(first <= 4000);
  grantedBetween(bucket, 1000, 10000);
  double later = grantedBetween(bucket, 10000, 11000);
  CHECK(later >= 9000);
  CHECK(later <= 10500);
}

TEST_CASE("QuotaBucket of a home that knows half of the fleet grants half") {
  QuotaBucket bucket(at(-60000));
  grantedBetween(bucket, 0, 10000, 0.5);
  double granted = grantedBetween(bucket, 10000, 14000, 0.5);
  CHECK(granted >= 19000);
  CHECK(granted <= 21000);
}

// Otherwise leases of a nearly empty bucket would lie unused at one instance
// while others have to refuse requests.
TEST_CASE("QuotaBucket grants little in advance when it is nearly empty") {
  QuotaBucket bucket(at(-60000));
  CHECK(bucket.grant(Quota, Rules, wanting(500, 2000), 1, at(0)).Tokens ==
        2500);
  grantedBetween(bucket, 1, 1000);
  QuotaGrant grant =
      bucket.grant(Quota, Rules, wanting(500, 2000), 1, at(1100));
  CHECK(grant.Tokens >= 500);
  CHECK(grant.Tokens <= 800);
}

TEST_CASE("QuotaBucket says when tokens for the request are available") {
  QuotaBucket bucket(at(-60000));
  grantedBetween(bucket, 0, 1000);
  QuotaGrant denied = bucket.grant(Quota, Rules, wanting(5000), 1, at(1000));
  CHECK(denied.Tokens == 0);
  CHECK(denied.RetryAfter >= Milliseconds(400));
  CHECK(denied.RetryAfter <= Milliseconds(520));
  CHECK(bucket
            .grant(Quota, Rules, wanting(5000), 1,
                   at(1000 + denied.RetryAfter.count()))
            .Tokens == 5000);
}

TEST_CASE("QuotaBucket grants returned tokens again") {
  QuotaBucket bucket(at(-60000));
  grantedBetween(bucket, 0, 1000);
  bucket.giveBack(4000, Milliseconds(300), at(1000));
  CHECK(bucket.grant(Quota, Rules, wanting(4000), 1, at(1000)).Tokens == 4000);
}

// A peer that returns more than it got must not raise the quota.
TEST_CASE("QuotaBucket takes back no more than it has granted") {
  QuotaBucket bucket(at(-60000));
  grantedBetween(bucket, 0, 1000);
  bucket.giveBack(1000000000, Milliseconds(500), at(1000));
  bucket.giveBack(1000000000, Milliseconds(9000000), at(1000));
  CHECK(grantedBetween(bucket, 1000, 9000) <= Rules.allowed(Quota));
}

TEST_CASE("QuotaBucket grants a request that is larger than its depth") {
  QuotaBucket bucket(at(-60000));
  CHECK(bucket.grant(Quota, Rules, wanting(60000), 1, at(0)).Tokens == 60000);
  CHECK(bucket.grant(Quota, Rules, wanting(500), 1, at(1000)).Tokens == 0);
}

TEST_CASE("LeaseAccount asks for one request where requests are rare") {
  LeaseAccount account;
  account.onRequest(6000, at(0));
  QuotaAsk ask = account.ask(6000, at(0));
  CHECK(ask.WantedTokens == 6000);
  CHECK(ask.ExtraTokens == 0);
  CHECK(ask.OfferedTokens == 6000);
}

// One exchange for each request would cost more than the request.
TEST_CASE("LeaseAccount asks once a second where requests are frequent") {
  LeaseAccount account;
  int asked = 0;
  int waited = 0;
  for (int64_t ms = 0; ms < 20000; ms += 10) {
    account.onRequest(200, at(ms));
    bool ready = account.take(200, at(ms));
    if (ready && !account.needsLease(at(ms)))
      continue;
    ++asked;
    waited += ready ? 0 : 1;
    uint64_t tokens = ready ? 0 : 200;
    QuotaAsk ask = account.ask(tokens, at(ms));
    account.onLease(tokens,
                    {ask.WantedTokens + ask.ExtraTokens, Rules.leaseTime()}, 61,
                    at(ms), at(ms));
  }
  CHECK(asked <= 40);
  CHECK(waited <= 20); // while the demand isn't known yet
}

// A frozen instance must not use old tokens when it goes on.
TEST_CASE("LeaseAccount returns tokens that it hasn't used in time") {
  LeaseAccount account;
  CHECK(account.onLease(100, {1100, Rules.leaseTime()}, 8, at(0), at(5)));
  CHECK(account.take(400, at(1000)));
  CHECK_FALSE(account.take(400, at(1251)));
  CHECK(account.hasReturn(at(2000)));
  QuotaAsk ask = account.ask(0, at(2000));
  CHECK(ask.ReturnedTokens == 600);
  CHECK(ask.ReturnedAgo == Milliseconds(2000));
  CHECK(account.ask(0, at(2001)).ReturnedTokens == 0);
}

TEST_CASE("LeaseAccount counts the lease from the time at which it asked") {
  LeaseAccount account;
  account.onLease(100, {1100, Rules.leaseTime()}, 8, at(0), at(1240));
  CHECK_FALSE(account.take(100, at(1255)));
}

TEST_CASE("LeaseAccount doesn't ask again for what was denied") {
  LeaseAccount account;
  account.onLease(6000, {0, Milliseconds(0), Milliseconds(30)}, 61, at(0),
                  at(0));
  CHECK(account.deniedFor(6000, at(1)) > Milliseconds(200));
  CHECK(account.deniedFor(200, at(1)) == Milliseconds(0));
  CHECK(account.deniedFor(6000, at(300)) == Milliseconds(0));
}

TEST_CASE("LeaseAccount admits by its part of the demand without the home") {
  LeaseAccount account;
  // 5,000 tokens per second at this instance, of 10,000 that the account sends
  // to the fleet: half of the rate is half of that.
  for (int64_t ms = 0; ms < 60000; ms += 100)
    account.onRequest(500, at(ms));
  account.onLease(500, {500, Rules.leaseTime(), Milliseconds(0), 0.5}, 61,
                  at(60000), at(60000));
  CHECK(account.localPart(Quota, 61, at(60000)) ==
        doctest::Approx(0.5).epsilon(0.03));
  // The home's statement is too old.
  for (int64_t ms = 60000; ms < 100000; ms += 100)
    account.onRequest(500, at(ms));
  CHECK(account.localPart(Quota, 61, at(100000)) < 0.02);
}

// The part of the fleet that is cut off still uses quotas.
TEST_CASE("FleetMemory expects instances that vanished, not those that left") {
  FleetMemory memory(at(0));
  memory.update({member("b"), member("c"), member("d", true)}, at(1000));
  CHECK(memory.view(1, true).Alive == 4);
  memory.update({member("b")}, at(20000));
  FleetView view = memory.view(1, true);
  CHECK(view.Alive == 2);
  CHECK(view.Expected == 3);
  CHECK(view.ChangedAt == at(20000));
  memory.update({member("b")}, at(30000));
  CHECK(memory.view(1, true).ChangedAt == at(20000));
  memory.update({member("b")}, at(20000 + 31 * 60000));
  CHECK(memory.view(1, true).Expected == 2);
}
