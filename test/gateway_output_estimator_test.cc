#include "gateway/decisions/output_estimator.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <random>
#include <vector>

using namespace crocusspur::gateway;

TEST_CASE("Without samples the caller's estimate or half of the allowed output "
          "is reserved") {
  OutputEstimator estimator;
  CHECK(estimator.tokensToReserve({5000, 1000, 0}, 0.7) == 450);
  CHECK(estimator.tokensToReserve({5000, 1000, 300}, 0.7) == 420);
  CHECK(estimator.tokensToReserve({5000, 1000, 900}, 0.7) == 1000);
}

TEST_CASE("Reservations cover the given fraction of the outputs") {
  OutputEstimator estimator;
  for (uint64_t i = 1; i <= 100; ++i)
    estimator.addSample({5000, 1000, 0}, i * 10);
  CHECK(estimator.tokensToReserve({5000, 1000, 0}, 0.7) ==
        doctest::Approx(700).epsilon(0.1));
  CHECK(estimator.tokensToReserve({5000, 500, 0}, 0.7) ==
        doctest::Approx(350).epsilon(0.1));
}

TEST_CASE("Reservations correct callers' estimates that are too low") {
  OutputEstimator estimator;
  for (int i = 0; i < 200; ++i)
    estimator.addSample({5000, 1000, 100}, 200);
  uint64_t reserved = estimator.tokensToReserve({5000, 1000, 100}, 0.7);
  CHECK(reserved >= 200);
  CHECK(reserved <= 220);
  CHECK(estimator.tokensToReserve({5000, 150, 100}, 0.7) == 150);
}

TEST_CASE("Implausible token counts don't break the estimate") {
  OutputEstimator estimator;
  constexpr uint64_t Implausible = std::numeric_limits<uint64_t>::max();
  estimator.addSample({5000, Implausible, Implausible}, 300);
  CHECK(estimator.tokensToReserve({5000, 1000, Implausible}, 0.7) == 1000);
  CHECK(estimator.tokensToReserve({5000, Implausible, 0}, 0.7) <=
        1'000'000'000);
}

namespace {

struct Reserved {
  double Tokens = 0;   // mean
  double Exceeded = 0; // fraction of the outputs
};

// Outputs have a median of 518 tokens and the spread of the users' sites;
// callers' estimates are off by a factor of 1.65 at one standard deviation.
Reserved simulate(bool WithEstimates) {
  std::mt19937_64 random(7);
  std::normal_distribution<double> length(std::log(518), 0.7);
  std::normal_distribution<double> error(0, 0.5);
  OutputEstimator estimator;
  Reserved result;
  constexpr int WarmupSamples = 500;
  constexpr int MeasuredSamples = 2000;
  for (int i = 0; i < WarmupSamples + MeasuredSamples; ++i) {
    double tokens = std::min(1260.0, std::exp(length(random)));
    GenerationSize size{5000, 1260, 0};
    if (WithEstimates)
      size.ExpectedOutputTokens =
          static_cast<uint64_t>(tokens * std::exp(error(random)));
    uint64_t reserved = estimator.tokensToReserve(size, 0.74);
    estimator.addSample(size, static_cast<uint64_t>(tokens));
    if (i < WarmupSamples)
      continue;
    result.Tokens += static_cast<double>(reserved) / MeasuredSamples;
    result.Exceeded +=
        tokens > static_cast<double>(reserved) ? 1.0 / MeasuredSamples : 0;
  }
  return result;
}

} // namespace

// In both cases about a quarter of the outputs exceed their reservation.
TEST_CASE("With callers' estimates the same coverage takes less memory") {
  Reserved withoutEstimates = simulate(false);
  Reserved withEstimates = simulate(true);
  CHECK(withoutEstimates.Exceeded == doctest::Approx(0.26).epsilon(0.15));
  CHECK(withEstimates.Exceeded == doctest::Approx(0.26).epsilon(0.15));
  CHECK_MESSAGE(withEstimates.Tokens < 0.95 * withoutEstimates.Tokens,
                withEstimates.Tokens, " tokens, without estimates ",
                withoutEstimates.Tokens);
}
