#include "gateway/decisions/prefill_rate_estimator.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

TEST_CASE("Queued calls don't lower the prefill rate") {
  PrefillRateEstimator estimator;
  for (int i = 0; i < 60; ++i)
    estimator.add(5000, Milliseconds(i % 5 == 0 ? 125 : 400));
  CHECK(estimator.value() == doctest::Approx(40000));
}

// A caller's retry may reach a server that still has its prompt cached.
TEST_CASE("Cached prompts don't raise the prefill rate") {
  PrefillRateEstimator estimator;
  for (int i = 0; i < 60; ++i)
    estimator.add(5000, Milliseconds(125));
  for (int i = 0; i < 5; ++i)
    estimator.add(5000, Milliseconds(12));
  CHECK(estimator.value() == doctest::Approx(40000));
}

TEST_CASE("Short prompts don't count for the prefill rate") {
  PrefillRateEstimator estimator;
  estimator.add(300, Milliseconds(20));
  CHECK(estimator.value() == 0);
}

TEST_CASE("Wrong prefill rates of a few instances don't change the median") {
  std::vector<double> rates(60, 40000);
  rates.insert(rates.end(), {220000, 220000, 220000, 0, 0, 0, 0, 0});
  CHECK(medianPrefillRate(rates) == doctest::Approx(40000));
  CHECK(medianPrefillRate({0, 0}) == 0);
  CHECK(medianPrefillRate({}) == 0);
}
