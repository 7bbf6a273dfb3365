#include "start_rule.h"

#include <doctest/doctest.h>

using namespace crocusspur::internal;

// Guards against a wrong tail of the distribution.
TEST_CASE(
    "shortageProbability is the tail of the Poisson binomial distribution") {
  std::vector<double> fair(4, 0.5);
  CHECK(shortageProbability(fair, 0) == 0);
  CHECK(shortageProbability(fair, 1) == doctest::Approx(1 / 16.0));
  CHECK(shortageProbability(fair, 2) == doctest::Approx(5 / 16.0));
  CHECK(shortageProbability(fair, 5) == 1);
  CHECK(shortageProbability({0.9, 0.2}, 1) == doctest::Approx(0.08));
  CHECK(shortageProbability({0.9, 0.2}, 2) == doctest::Approx(0.82));
}

// Guards against a rule that considers one result instead of all pending ones.
TEST_CASE("startRuleAllows counts every result that needs a slot") {
  OutputLengths lengths; // uniform up to the maximum
  StartQuery query;
  query.FreeSlots = 1;
  query.NewDue = 1;
  CHECK(startRuleAllows(query));
  query.Pending = {1};
  CHECK_FALSE(startRuleAllows(query));
  // Certain to end within the second.
  query.Running.push_back({&lengths, 40, 10, 40});
  CHECK(startRuleAllows(query));
  query.Pending = {1, 1};
  CHECK_FALSE(startRuleAllows(query));
}

// Guards against a short prefill that takes the slot of a longer one.
TEST_CASE("startRuleAllows protects results that are due later") {
  OutputLengths lengths;
  StartQuery query;
  query.FreeSlots = 1;
  query.NewDue = 0.5;
  query.Pending = {2};
  CHECK_FALSE(startRuleAllows(query));
  query.Running.push_back({&lengths, 40, 0, 40}); // ends within one second
  CHECK(startRuleAllows(query));
}

// Guards against a bound that is off by a factor.
TEST_CASE("startRuleAllows applies the bound") {
  OutputLengths lengths;
  StartQuery query;
  query.NewDue = 0.5;
  for (int i = 0; i < 6; ++i)
    query.Running.push_back({&lengths, 40, 0, 40}); // ends with p = 0.5
  query.MaxShortageProbability = 0.02;
  CHECK(startRuleAllows(query)); // 1/64
  query.MaxShortageProbability = 0.01;
  CHECK_FALSE(startRuleAllows(query));
}

// Guards against a wait estimate that ignores the running decodes.
TEST_CASE("secondsUntilFree returns the time of the expected ends") {
  OutputLengths lengths;
  std::vector<RunningDecode> running(4, {&lengths, 40, 0, 40});
  CHECK(secondsUntilFree(running, 0, 10) == 0);
  CHECK(secondsUntilFree(running, 2, 10) == doctest::Approx(0.5).epsilon(0.02));
  CHECK(secondsUntilFree(running, 5, 10) == 10);
}
