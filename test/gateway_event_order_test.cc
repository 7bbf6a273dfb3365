#include "gateway/decisions/event_order.h"

#include <doctest/doctest.h>

using namespace crocusspur::gateway;

TEST_CASE("Ids of events that aren't beyond the last one are out of order") {
  EventOrder order;
  CHECK(order.accept("4"));
  CHECK_FALSE(order.accept("4"));
  CHECK_FALSE(order.accept("3"));
  CHECK_FALSE(order.accept("0004"));
  CHECK(order.accept("10"));
  CHECK(order.accept("0011"));
  CHECK_FALSE(order.accept("9"));
}

TEST_CASE("Ids beyond all integer types keep their order") {
  EventOrder order;
  CHECK(order.accept("18446744073709551615"));
  CHECK(order.accept("18446744073709551616"));
  CHECK_FALSE(order.accept("18446744073709551615"));
  CHECK(order.accept("100000000000000000000000000"));
}

// Only numbers are known to increase.
TEST_CASE("Ids that are no numbers are accepted and don't reset the order") {
  EventOrder order;
  CHECK(order.accept("7"));
  for (const char *it : {"", "a7", "-1", "7.5", " 3", "0x2"})
    CHECK(order.accept(it));
  CHECK_FALSE(order.accept("7"));
  CHECK(order.accept("8"));
  EventOrder zero;
  CHECK(zero.accept("000"));
  CHECK_FALSE(zero.accept("0"));
}
