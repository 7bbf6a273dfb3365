#include "gateway/decisions/server_limit_table.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

std::optional<double> limitOf(const ServerLimitTable &Table, int64_t NowMs) {
  std::optional<ServerLimit> limit = Table.find("s1", at(NowMs));
  return limit ? limit->PerSecond : std::nullopt;
}

} // namespace

TEST_CASE("A limit is active until a later response comes without one") {
  ServerLimitTable table("g1");
  CHECK_FALSE(table.onResponse("s1", {}, at(0), at(5)));
  CHECK(table.onResponse("s1", {2.1}, at(10), at(20)));
  CHECK_FALSE(table.onResponse("s1", {2.1}, at(30), at(40)));
  CHECK(limitOf(table, 50) == 2.1);
  CHECK(table.find("s1", at(50))->Source == "g1");
  CHECK(table.find("s1", at(50))->Age == Milliseconds(10));
  CHECK_FALSE(table.find("s2", at(50)).has_value());
  CHECK(table.onResponse("s1", {}, at(60), at(70)));
  CHECK_FALSE(limitOf(table, 80).has_value());
}

TEST_CASE("A limit changes in both directions") {
  ServerLimitTable table("g1");
  table.onResponse("s1", {2.1}, at(0), at(10));
  CHECK(table.onResponse("s1", {8}, at(20), at(30)));
  CHECK(limitOf(table, 40) == 8);
  CHECK(table.onResponse("s1", {0}, at(50), at(60)));
  CHECK(limitOf(table, 70) == 0);
}

// Responses on different connections may overtake each other.
TEST_CASE("A late response doesn't lift or raise a limit") {
  ServerLimitTable table("g1");
  table.onResponse("s1", {2.1}, at(10), at(20));
  CHECK_FALSE(table.onResponse("s1", {}, at(0), at(30)));
  CHECK_FALSE(table.onResponse("s1", {9}, at(0), at(30)));
  CHECK(limitOf(table, 40) == 2.1);
  CHECK(table.onResponse("s1", {1}, at(0), at(30)));
  CHECK(limitOf(table, 40) == 1);
}

TEST_CASE("A malformed limit neither lifts nor sets one") {
  ServerLimitTable table("g1");
  CHECK_FALSE(table.onResponse("s1", {std::nullopt, true}, at(0), at(10)));
  CHECK(table.empty());
  table.onResponse("s1", {2.1}, at(20), at(30));
  CHECK_FALSE(table.onResponse("s1", {std::nullopt, true}, at(40), at(50)));
  CHECK(limitOf(table, 60) == 2.1);
  CHECK(table.onResponse("s1", {3, true}, at(70), at(80)));
}

TEST_CASE("Peers' reports count if they are newer") {
  ServerLimitTable table("g1");
  CHECK(table.merge({"s1", 2.1, Milliseconds(100), "g2"}, at(1000)));
  CHECK(table.find("s1", at(1000))->Source == "g2");
  CHECK_FALSE(table.merge({"s1", 5, Milliseconds(200), "g3"}, at(1000)));
  CHECK(limitOf(table, 1000) == 2.1);
  CHECK(table.merge({"s1", std::nullopt, Milliseconds(50), "g3"}, at(1000)));
  CHECK_FALSE(limitOf(table, 1000).has_value());
  CHECK_FALSE(table.merge({"s1", 2.1, Milliseconds(100), "g2"}, at(1000)));
  CHECK_FALSE(table.merge({"s2", std::nullopt, Milliseconds(0), "g2"}, at(0)));
}

TEST_CASE("Limits that nobody receives any more are forgotten") {
  ServerLimitTable table("g1");
  table.onResponse("s1", {2.1}, at(0), at(0));
  CHECK(limitOf(table, 59999) == 2.1);
  CHECK_FALSE(limitOf(table, 60000).has_value());
  CHECK(table.known(at(60000)).empty());
  table.expire(at(60000));
  CHECK(table.empty());
}

TEST_CASE("A peer is told of at most 64 limits, the latest") {
  ServerLimitTable table("g1");
  for (int i = 0; i < 100; ++i)
    table.onResponse("s" + std::to_string(i), {1}, at(i), at(i));
  std::vector<ServerLimit> all = table.known(at(100));
  CHECK(all.size() == 64);
  for (const ServerLimit &it : all)
    CHECK(it.Age <= Milliseconds(64));
}

TEST_CASE("The table of limits stays bounded and keeps the latest") {
  ServerLimitTable table("g1");
  for (int i = 0; i < 3000; ++i)
    table.merge({"s" + std::to_string(i), 1, Milliseconds(0), "g2"}, at(i));
  int kept = 0;
  for (int i = 0; i < 3000; ++i)
    kept += table.find("s" + std::to_string(i), at(3000)).has_value();
  CHECK(kept == 1024);
  CHECK(table.find("s2999", at(3000)).has_value());
}
