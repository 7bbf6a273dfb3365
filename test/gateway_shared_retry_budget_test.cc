#include "gateway/decisions/shared_retry_budget.h"

#include "gateway/decisions/member_table.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

const TimePoint LongAgo = TimePoint() + std::chrono::hours(1);
const TimePoint Start = LongAgo + std::chrono::hours(1);

uint32_t consumeAll(SharedRetryBudget &Budget, const std::string &Service,
                    uint32_t Instances, TimePoint Now) {
  uint32_t n = 0;
  while (n < 1000 && Budget.tryConsumeRetry(Service, Instances, Now))
    ++n;
  return n;
}

} // namespace

TEST_CASE("Instances that each use their share stay within the allowance") {
  // 56 retries in ten seconds for all instances, as in the smaller deployments.
  uint32_t sum = 0;
  for (int i = 0; i < 8; ++i) {
    SharedRetryBudget budget({0.2, 56}, LongAgo);
    sum += consumeAll(budget, "bays", 8, Start);
  }
  CHECK(sum > 0);
  CHECK(sum <= 56);
}

TEST_CASE(
    "An instance that knows no members gets no retries from the allowance") {
  SharedRetryBudget budget({0.2, 56}, LongAgo);
  CHECK(consumeAll(budget, "bays", 64, Start) == 0);
}

TEST_CASE("Own requests earn retries within the ratio") {
  SharedRetryBudget budget({0.2, 0}, LongAgo);
  for (int i = 0; i < 100; ++i)
    budget.onRequest("bays", Start);
  uint32_t n = consumeAll(budget, "bays", 8, Start);
  CHECK(n > 0);
  CHECK(n <= 20);
}

TEST_CASE("Each service has its own budget") {
  SharedRetryBudget budget({0.2, 0}, LongAgo);
  for (int i = 0; i < 100; ++i)
    budget.onRequest("bays", Start);
  CHECK(consumeAll(budget, "summaries", 8, Start) == 0);
}

TEST_CASE("Earned retries add to the share of the allowance") {
  SharedRetryBudget budget({0.2, 56}, LongAgo);
  for (int i = 0; i < 100; ++i)
    budget.onRequest("bays", Start);
  CHECK(consumeAll(budget, "bays", 8, Start) > 14);
}

// All processes are killed and restarted at once, so that two generations use
// their budgets within one window.
TEST_CASE("A restarted fleet stays within the allowance") {
  constexpr double Requests = 180; // for the service in ten seconds
  uint32_t sum = 0;
  for (int i = 0; i < 8; ++i) {
    SharedRetryBudget previous({0.2, 56}, LongAgo);
    SharedRetryBudget replacement({0.2, 56}, Start);
    for (int n = 0; n < static_cast<int>(Requests) / 16; ++n) {
      previous.onRequest("bays", Start);
      replacement.onRequest("bays", Start);
    }
    sum += consumeAll(previous, "bays", 8, Start) +
           consumeAll(replacement, "bays", 8, Start);
  }
  CHECK(sum <= 0.2 * Requests + 56);
}

// Each process meets one other first, then all. With the share of two it would
// use up what eight may use together.
TEST_CASE("A fleet stays within the allowance while its members find each "
          "other") {
  uint32_t sum = 0;
  for (int i = 0; i < 8; ++i) {
    SharedRetryBudget budget({0.2, 56}, Start);
    MemberTable members("g" + std::to_string(i), "10.0.0.1:1", 7);
    for (int ms = 0; ms < 10000; ms += 50) {
      TimePoint now = Start + Milliseconds(ms);
      for (int other = 0; other < 8; ++other) {
        bool known = other == (i + 1) % 8 ? ms >= 250 : ms >= 1250;
        if (other == i || !known)
          continue;
        Member member;
        member.Name = "g" + std::to_string(other);
        member.Address = "10.0.0.1:" + std::to_string(other + 2);
        members.onMemberSeen(member, now);
      }
      sum += budget.tryConsumeRetry("bays", members.budgetSharers(now), now);
    }
  }
  CHECK(sum > 0);
  CHECK(sum <= 56);
}

// Each process starts again every two seconds.
TEST_CASE("A fleet whose processes keep restarting stays within the "
          "allowance") {
  uint32_t sum = 0;
  for (int i = 0; i < 8; ++i)
    for (int start = 0; start < 10000; start += 2000) {
      SharedRetryBudget budget({0.2, 56}, Start + Milliseconds(start));
      MemberTable members("g" + std::to_string(i), "10.0.0.1:1", 7);
      for (int ms = start; ms < start + 2000; ms += 50) {
        TimePoint now = Start + Milliseconds(ms);
        for (int other = 0; other < 8 && ms >= start + 250; ++other) {
          Member member;
          member.Name = "g" + std::to_string(other);
          member.Address = "10.0.0.1:" + std::to_string(other + 2);
          members.onMemberSeen(member, now);
        }
        sum += budget.tryConsumeRetry("bays", members.budgetSharers(now), now);
      }
    }
  CHECK(sum <= 56);
}
