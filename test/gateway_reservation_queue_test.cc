#include "gateway/decisions/reservation_queue.h"
#include "virtual_time.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

QueueEntry entryOf(int64_t OnTimeMs, uint32_t Priority = 0) {
  QueueEntry entry;
  entry.Priority = Priority;
  entry.OnTimeDeadline = at(OnTimeMs);
  entry.ExpiresAt = at(OnTimeMs);
  return entry;
}

} // namespace

TEST_CASE("The request with the earliest deadline goes first") {
  ReservationQueue queue(1);
  uint64_t later = queue.join(entryOf(600), Start);
  uint64_t sooner = queue.join(entryOf(500), Start);
  CHECK_FALSE(queue.tryStartAttempt(later, Start));
  CHECK(queue.tryStartAttempt(sooner, Start));
}

TEST_CASE("Priority takes precedence over the deadline") {
  ReservationQueue queue(1);
  uint64_t lower = queue.join(entryOf(500, 1), Start);
  uint64_t higher = queue.join(entryOf(600, 0), Start);
  CHECK_FALSE(queue.tryStartAttempt(lower, Start));
  CHECK(queue.tryStartAttempt(higher, Start));
}

// Guards against an account whose many requests keep the memory from another
// account of the same rank, and against fairness that overrides the rank.
TEST_CASE("The account that has received least goes first in its rank") {
  ReservationQueue queue(1);
  auto join = [&](const char *Account, int64_t OnTimeMs, uint32_t Priority) {
    QueueEntry entry = entryOf(OnTimeMs, Priority);
    entry.Account = Account;
    return queue.join(entry, Start);
  };
  uint64_t first = join("large", 500, 1);
  uint64_t second = join("large", 501, 1);
  REQUIRE(queue.tryStartAttempt(first, Start));
  queue.onGranted(first, Start);
  queue.leave(first);
  uint64_t other = join("small", 900, 1);
  CHECK_FALSE(queue.tryStartAttempt(second, Start));
  uint64_t urgent = join("large", 900, 0);
  CHECK_FALSE(queue.tryStartAttempt(other, Start));
  REQUIRE(queue.tryStartAttempt(urgent, Start));
  queue.leave(urgent);
  CHECK(queue.tryStartAttempt(other, Start));
}

TEST_CASE("Late requests let the others go first") {
  ReservationQueue queue(1);
  uint64_t late = queue.join(entryOf(-100), Start);
  uint64_t onTime = queue.join(entryOf(600), Start);
  CHECK_FALSE(queue.tryStartAttempt(late, Start));
  CHECK(queue.tryStartAttempt(onTime, Start));
}

TEST_CASE("The number of concurrent attempts is limited") {
  ReservationQueue queue(2);
  std::vector<uint64_t> tickets;
  for (int i = 0; i < 4; ++i)
    tickets.push_back(queue.join(entryOf(600), Start));
  int attempting = 0;
  for (uint64_t it : tickets)
    attempting += queue.tryStartAttempt(it, Start) ? 1 : 0;
  CHECK(attempting == 2);
}

TEST_CASE("After a refused attempt another request goes first") {
  ReservationQueue queue(1);
  uint64_t first = queue.join(entryOf(500), Start);
  uint64_t second = queue.join(entryOf(600), Start);
  REQUIRE(queue.tryStartAttempt(first, Start));
  queue.onAttemptEnded(first, Start);
  CHECK_FALSE(queue.tryStartAttempt(first, at(1)));
  CHECK(queue.tryStartAttempt(second, at(1)));
  queue.onAttemptEnded(second, at(1));
  CHECK(queue.tryStartAttempt(first, at(100)));
}

TEST_CASE("A request with no time left would time out") {
  ReservationQueue queue(1);
  CHECK(queue.wouldTimeOut(at(-1), Start));
  CHECK_FALSE(queue.wouldTimeOut(at(500), Start));
}

TEST_CASE("A new request would time out in a long queue without grants") {
  ReservationQueue queue(1);
  for (int i = 0; i < 12; ++i)
    queue.join(entryOf(600), Start);
  CHECK(queue.wouldTimeOut(at(500), Start));
}

TEST_CASE("Retry delays have jitter and stay within what callers honour") {
  CHECK(retryAfter(Milliseconds(0), Milliseconds(9000), 0) ==
        Milliseconds(2500));
  CHECK(retryAfter(Milliseconds(90000), Milliseconds(9000), 0) ==
        Milliseconds(5000));
  CHECK(retryAfter(Milliseconds(0), Milliseconds(9000), 0.99) >
        retryAfter(Milliseconds(0), Milliseconds(9000), 0));
  CHECK(retryAfter(Milliseconds(90000), Milliseconds(700), 0.5) ==
        Milliseconds(700));
}

namespace {

// Result of a simulated burst in virtual time. As on days of high load, prompts
// arrive for four seconds at twice the rate at which the decode servers free
// memory. Memory is granted to one request at a time; a grant is on time if it
// precedes the request's deadline.
struct BurstResult {
  int OnTime = 0;
  int Late = 0;
  Milliseconds LongestWait{0};
};

constexpr int64_t BurstMs = 4000;
constexpr int64_t ArrivalGapMs = 25; // 40 prompts per second
constexpr int64_t GrantGapMs = 50;   // memory for 20 prompts per second
constexpr int64_t OnTimeMs = 600;    // latest grant that meets the target

// Simulates the previous policy, a queue in order of arrival without refusals,
// for comparison.
BurstResult simulateArrivalOrder() {
  BurstResult result;
  std::deque<int64_t> waiting;
  for (int64_t ms = 0; ms < 4 * BurstMs; ++ms) {
    if (ms < BurstMs && ms % ArrivalGapMs == 0)
      waiting.push_back(ms);
    if (ms % GrantGapMs == 0 && !waiting.empty()) {
      int64_t waited = ms - waiting.front();
      waiting.pop_front();
      ++(waited <= OnTimeMs ? result.OnTime : result.Late);
      result.LongestWait = std::max(result.LongestWait, Milliseconds(waited));
    }
  }
  return result;
}

BurstResult simulateQueue() {
  BurstResult result;
  ReservationQueue queue(1);
  std::map<uint64_t, int64_t> waiting; // ticket to arrival time
  for (int64_t ms = 0; ms < 4 * BurstMs; ++ms) {
    if (ms < BurstMs && ms % ArrivalGapMs == 0) {
      QueueEntry entry = entryOf(ms + OnTimeMs);
      if (!queue.wouldTimeOut(entry.ExpiresAt, at(ms)))
        waiting[queue.join(entry, at(ms))] = ms;
    }
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (ms - it->second < OnTimeMs) {
        ++it;
        continue;
      }
      queue.leave(it->first); // refused with a retry delay
      it = waiting.erase(it);
    }
    if (ms % GrantGapMs != 0)
      continue;
    for (const auto &[ticket, arrived] : waiting) {
      if (!queue.tryStartAttempt(ticket, at(ms)))
        continue;
      queue.onGranted(at(ms));
      queue.leave(ticket);
      ++(ms - arrived <= OnTimeMs ? result.OnTime : result.Late);
      result.LongestWait =
          std::max(result.LongestWait, Milliseconds(ms - arrived));
      waiting.erase(ticket);
      break;
    }
  }
  return result;
}

} // namespace

// Callers of a route use timeouts of 11.9 to 14 s, and a refused caller returns
// after 2.5 s or more. If every caller with 300 ms less than the maximum
// counted as returning, most first attempts would wait until they are late.
TEST_CASE("Callers with short timeouts don't count as returning") {
  constexpr Milliseconds MaxTimeLeft{14000};
  int earlier = 0;
  for (Milliseconds first{11900}; first <= MaxTimeLeft;
       first += Milliseconds(100)) {
    CHECK_FALSE(isReturningCaller(first, MaxTimeLeft));
    earlier += first < MaxTimeLeft - Milliseconds(300) ? 1 : 0;
  }
  CHECK(earlier > 15); // of 22
  CHECK(isReturningCaller(MaxTimeLeft - Milliseconds(2600), MaxTimeLeft));
}

TEST_CASE("Refused callers with little time return sooner") {
  constexpr Milliseconds MaxTimeLeft{6000};
  CHECK_FALSE(isReturningCaller(Milliseconds(5000), MaxTimeLeft));
  CHECK(isReturningCaller(Milliseconds(4000), MaxTimeLeft));
}

// Without refusals nearly all requests are late once the backlog exceeds the
// latency target. Refusing requests that can't be on time keeps the others on
// time.
TEST_CASE("In a burst of twice the capacity all grants are on time") {
  BurstResult queue = simulateQueue();
  BurstResult arrivalOrder = simulateArrivalOrder();
  int capacity = static_cast<int>(BurstMs / GrantGapMs);
  CHECK(queue.Late == 0);
  CHECK_MESSAGE(queue.OnTime >= capacity * 95 / 100, "on time: ", queue.OnTime,
                " of ", capacity);
  CHECK_MESSAGE(queue.OnTime > 2 * arrivalOrder.OnTime, "queue: ", queue.OnTime,
                ", order of arrival: ", arrivalOrder.OnTime);
  CHECK(queue.LongestWait <= Milliseconds(OnTimeMs));
}

// Queues of other instances don't know that a request here is late, so late
// requests ask less often and leave them the memory.
TEST_CASE("Late requests ask less often") {
  ReservationQueue queue(3);
  uint64_t late = queue.join({0, at(0), at(5000)}, at(10));
  uint64_t onTime = queue.join({0, at(4000), at(4000)}, at(10));
  int lateAttempts = 0;
  int onTimeAttempts = 0;
  for (int64_t ms = 10; ms < 2010; ms += 10)
    for (uint64_t it : {late, onTime})
      if (queue.tryStartAttempt(it, at(ms))) {
        queue.onAttemptEnded(it, at(ms));
        ++(it == late ? lateAttempts : onTimeAttempts);
      }
  CHECK(onTimeAttempts == 50);
  CHECK(lateAttempts <= 13);
  CHECK(lateAttempts >= 12);
}
