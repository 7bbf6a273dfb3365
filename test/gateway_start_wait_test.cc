#include "gateway/decisions/start_wait.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

// Guards against rejecting callers that return while an instance starts.
TEST_CASE("A request waits for the documents after a start") {
  StartWait wait(Start);
  CHECK(wait.join(Milliseconds(14000), at(100)) == at(700));
  CHECK(wait.join(std::nullopt, at(100)) == at(700));
  CHECK(wait.waiting() == 2);
}

// Guards against using up the time in which a caller could come back.
TEST_CASE("A caller with little time waits for a quarter of it") {
  StartWait wait(Start);
  CHECK(wait.join(Milliseconds(1200), at(100)) == at(400));
}

// Guards against holding requests at an instance that is cut off.
TEST_CASE("No request waits once the start is over") {
  StartWait wait(Start);
  CHECK(wait.join(Milliseconds(14000), at(2700)) == at(3000));
  CHECK_FALSE(wait.join(Milliseconds(14000), at(3000)).has_value());
}

// Guards against filling the memory of a small instance.
TEST_CASE("The number of requests that wait for a start is bounded") {
  StartWait wait(Start);
  size_t n = 0;
  while (n < 1000 && wait.join(std::nullopt, at(100)))
    ++n;
  CHECK(n == 64);
  wait.leave();
  CHECK(wait.join(std::nullopt, at(100)).has_value());
}
