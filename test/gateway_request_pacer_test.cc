#include "gateway/decisions/request_pacer.h"
#include "virtual_time.h"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

// Calls granted from `FromMs` to `ToMs` if one is asked for each millisecond.
int grantedBetween(RequestPacer &Pacer, double PerSecond, int64_t FromMs,
                   int64_t ToMs) {
  int granted = 0;
  for (int64_t ms = FromMs; ms < ToMs; ++ms)
    granted += Pacer.request(PerSecond, 1, Milliseconds(0), at(ms)).Granted;
  return granted;
}

} // namespace

TEST_CASE("RequestPacer grants the rate under any demand") {
  for (double rate : {0.3, 2.1, 8.0, 100.0}) {
    CAPTURE(rate);
    RequestPacer pacer(at(0), Milliseconds(0));
    int granted = grantedBetween(pacer, rate, 0, 40000);
    CHECK(granted >= std::floor(rate * 40));
    CHECK(granted <= std::ceil(rate * 40) + 1);
  }
}

TEST_CASE("RequestPacer keeps unused calls for a second") {
  RequestPacer pacer(at(0), Milliseconds(0));
  CHECK(grantedBetween(pacer, 4, 60000, 60001) == 1);
  CHECK(pacer.request(4, 3, Milliseconds(0), at(60001)).Granted);
  CHECK(grantedBetween(pacer, 4, 60002, 60240) == 1);
}

TEST_CASE("RequestPacer gives calls that may wait times of their own") {
  RequestPacer pacer(at(0), Milliseconds(0));
  CHECK(pacer.request(10, 1, Milliseconds(250), at(0)).Delay ==
        Milliseconds(0));
  CHECK(pacer.request(10, 1, Milliseconds(250), at(0)).Delay ==
        Milliseconds(100));
  CHECK(pacer.request(10, 1, Milliseconds(250), at(0)).Delay ==
        Milliseconds(200));
  PaceDecision late = pacer.request(10, 1, Milliseconds(250), at(0));
  CHECK_FALSE(late.Granted);
  CHECK(late.Delay == Milliseconds(300));
}

// A call that may wait longer goes first where there are too few.
TEST_CASE("RequestPacer denies calls that may wait less first") {
  RequestPacer pacer(at(0), Milliseconds(0));
  for (int i = 0; i < 2; ++i)
    pacer.request(10, 1, Milliseconds(150), at(0));
  CHECK_FALSE(pacer.request(10, 1, Milliseconds(75), at(20)).Granted);
  CHECK(pacer.request(10, 1, Milliseconds(150), at(60)).Granted == true);
}

// Only a response shows that a limit of zero has ended.
TEST_CASE("RequestPacer grants a call in four seconds at a limit of zero") {
  RequestPacer pacer(at(0), Milliseconds(0));
  CHECK(grantedBetween(pacer, 0, 0, 40000) == 10);
}

TEST_CASE("RequestPacer uses half of the rate at first") {
  RequestPacer pacer(at(0), Milliseconds(3000));
  CHECK(grantedBetween(pacer, 8, 0, 3000) <= 13);
  CHECK(grantedBetween(pacer, 8, 3000, 13000) >= 79);
}

TEST_CASE("RequestPacer moves given times to a changed rate") {
  RequestPacer pacer(at(0), Milliseconds(0));
  pacer.request(0.3, 1, Milliseconds(0), at(0));
  CHECK_FALSE(pacer.request(0.3, 1, Milliseconds(0), at(100)).Granted);
  CHECK(grantedBetween(pacer, 10, 100, 1100) >= 9);
}

TEST_CASE("RequestPacer counts calls without a permit and returned permits") {
  RequestPacer pacer(at(0), Milliseconds(0));
  pacer.charge(4, 3, at(0));
  PaceDecision decision = pacer.request(4, 1, Milliseconds(0), at(0));
  CHECK_FALSE(decision.Granted);
  CHECK(decision.Delay == Milliseconds(750));
  pacer.charge(4, -3, at(0));
  CHECK(pacer.request(4, 1, Milliseconds(0), at(0)).Granted);
  pacer.charge(4, 1000, at(0));
  CHECK(pacer.request(4, 1, Milliseconds(0), at(0)).Delay ==
        Milliseconds(4000));
}
