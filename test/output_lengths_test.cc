#include "output_lengths.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace crocusspur::internal;

// Guards against a prior by which every output ends at once or never.
TEST_CASE(
    "OutputLengths starts with a uniform distribution up to the maximum") {
  OutputLengths lengths;
  CHECK(lengths.endProbability(100, 0, 50) == doctest::Approx(0.5));
  CHECK(lengths.endProbability(100, 50, 75) == doctest::Approx(0.5));
  CHECK(lengths.endProbability(100, 50, 100) == 1);
  CHECK(lengths.endProbability(100, -20, 0) == 0);
  CHECK(lengths.mean(100) == doctest::Approx(50));
}

// Guards against a histogram that is too coarse or biased.
TEST_CASE("OutputLengths learns the probability that a running output ends") {
  OutputLengths lengths;
  std::mt19937_64 random(1);
  std::exponential_distribution<> length(1 / 120.0);
  for (int i = 0; i < 3000; ++i)
    lengths.add(static_cast<uint32_t>(std::ceil(length(random))));
  for (double soFar : {0.0, 60.0, 240.0})
    CHECK(lengths.endProbability(4096, soFar, soFar + 40) ==
          doctest::Approx(1 - std::exp(-40 / 120.0)).epsilon(0.1));
  CHECK(lengths.mean(4096) == doctest::Approx(120).epsilon(0.1));
}

// Guards against an overlong decode that is expected to end at once.
TEST_CASE("OutputLengths doesn't expect an unseen length to end at once") {
  OutputLengths lengths;
  for (int i = 0; i < 1000; ++i)
    lengths.add(50);
  // Buckets are 9% wide.
  CHECK(lengths.endProbability(1000, 40, 55) > 0.95);
  CHECK(lengths.endProbability(1000, 60, 70) < 0.05);
}
