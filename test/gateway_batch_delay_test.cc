#include "gateway/gateway_runtime.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

TEST_CASE("The batch delay grows with the fleet") {
  constexpr Milliseconds Limit{3000};
  CHECK(batchDelayFor(0, Limit) == Milliseconds(400));
  CHECK(batchDelayFor(8, Limit) == Milliseconds(400));
  CHECK(batchDelayFor(68, Limit) == Milliseconds(680));
  CHECK(batchDelayFor(400, Limit) == Milliseconds(1000));
}

TEST_CASE("The batch delay is at most half of a leaving server's time limit") {
  CHECK(batchDelayFor(400, Milliseconds(1200)) == Milliseconds(600));
  CHECK(batchDelayFor(8, Milliseconds(500)) == Milliseconds(250));
}
