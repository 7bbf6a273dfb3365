#include "gateway/decisions/fleet/propagation_budget.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

// Guards against waits that are fixed beside the bound, and add up to more than
// it in a larger fleet or under a tighter bound.
TEST_CASE("The waits on the way of a change add up to less than its bound") {
  for (int bound : {1000, 2000, 3000, 7000, 60000})
    for (size_t size : {2, 8, 16, 61, 295, 400}) {
      // All instances of a small fleet read.
      bool isSelective = size > 16;
      if (isSelective && bound < 2000)
        continue;
      CAPTURE(bound);
      CAPTURE(size);
      PropagationBudget budget = propagationBudget(
          {Milliseconds(bound), Milliseconds(60000)}, size, isSelective);
      CHECK(budget.Bound == Milliseconds(bound));
      CHECK(budget.worstCase() <= budget.Bound * 17 / 20);
      CHECK(budget.AskAge > Milliseconds(0));
      CHECK(budget.AskAge + 2 * budget.AskPeriod <= budget.TakeOverAge);
      CHECK(budget.BatchDelay <= budget.Bound / 5);
      CHECK(budget.MinWatchWait < budget.MaxWatchWait);
    }
}

TEST_CASE("The tighter bound decides") {
  CHECK(propagationBudget({Milliseconds(7000), Milliseconds(3000)}, 61, true)
            .Bound == Milliseconds(3000));
}

TEST_CASE("Changes gather for longer in a larger fleet") {
  PropagationBounds bounds{Milliseconds(7000), Milliseconds(7000)};
  CHECK(propagationBudget(bounds, 8, false).BatchDelay == Milliseconds(400));
  CHECK(propagationBudget(bounds, 68, true).BatchDelay == Milliseconds(680));
  CHECK(propagationBudget(bounds, 400, true).BatchDelay == Milliseconds(1400));
}

// Guards against a store that is overrun by a large fleet that it has failed.
TEST_CASE("The fleet's retries at a store don't grow with its size") {
  for (size_t size : {61, 400}) {
    PropagationBudget budget = propagationBudget({}, size, true);
    CHECK(static_cast<double>(size) * 1000 /
              static_cast<double>(budget.RetryPause.count()) <=
          16);
  }
}
