#include "gateway/decisions/role_controller.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

// Four prefill and five decode servers in a burst of 22 prompts of 5,200 tokens
// per second; a prefill server processes 55,000 tokens per second.
PoolView burst() {
  PoolView pool;
  pool.PrefillServers = 4;
  pool.DecodeServers = 5;
  pool.Demand.PromptTokenRate = 22 * 5200;
  pool.Demand.ReservationRate = 22;
  pool.Demand.StarvedReservationRate = 9;
  pool.PrefillRate = 55000;
  return pool;
}

// Calls decide() every 500 ms and returns the stage of the first order.
std::optional<ServerStage> firstOrder(RoleController &Controller,
                                      const PoolView &Pool, int64_t FromMs,
                                      int64_t ToMs) {
  for (int64_t ms = FromMs; ms <= ToMs; ms += 500)
    if (auto change = Controller.decide(Pool, std::nullopt, at(ms)))
      return change->To;
  return std::nullopt;
}

} // namespace

TEST_CASE(
    "A spare prefill server changes to decode while decode memory is short") {
  RoleController controller;
  CHECK(firstOrder(controller, burst(), 0, 3000) == ServerStage::Decode);
}

TEST_CASE("The start of a burst doesn't cause an order") {
  RoleController controller;
  CHECK_FALSE(firstOrder(controller, burst(), 0, 1000).has_value());
  PoolView steady = burst();
  steady.Demand.StarvedReservationRate = 0;
  CHECK_FALSE(controller.decide(steady, std::nullopt, at(1500)).has_value());
  CHECK_FALSE(firstOrder(controller, burst(), 2000, 3000).has_value());
}

TEST_CASE("Prefill servers that the burst needs aren't changed") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 3;
  CHECK_FALSE(firstOrder(controller, pool, 0, 10000).has_value());
}

TEST_CASE("One spare prefill server is kept at any demand") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 2;
  pool.Demand.PromptTokenRate = 100;
  CHECK_FALSE(firstOrder(controller, pool, 0, 10000).has_value());
}

TEST_CASE("Orders keep a minimum interval") {
  RoleController controller;
  REQUIRE(firstOrder(controller, burst(), 0, 3000).has_value());
  for (int64_t ms = 3500; ms < 11500; ms += 500)
    CHECK_FALSE(controller.decide(burst(), at(1500), at(ms)).has_value());
  CHECK(controller.decide(burst(), at(1500), at(11500)).has_value());
}

TEST_CASE("A decode server changes to prefill when prefill is overloaded") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 1;
  pool.DecodeServers = 8;
  pool.Demand.StarvedReservationRate = 0;
  auto change = controller.decide(pool, std::nullopt, Start);
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Prefill);
}

TEST_CASE("No order is issued before the prefill rate is known") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillRate = 0;
  CHECK_FALSE(firstOrder(controller, pool, 0, 10000).has_value());
}

TEST_CASE("Demand is the maximum of the last half minute") {
  DemandMeter meter;
  for (int64_t ms = 0; ms < 4000; ms += 100)
    meter.onPrompt(5200, at(ms));
  CHECK(meter.rates(at(3999)).PromptTokenRate == doctest::Approx(52000));
  CHECK(meter.rates(at(20000)).PromptTokenRate == doctest::Approx(52000));
  CHECK(meter.rates(at(60000)).PromptTokenRate == doctest::Approx(0));
}

TEST_CASE("Reservations with a long wait or no grant count as starved") {
  DemandMeter meter;
  meter.onReservationEnded(Milliseconds(1), true, Start);
  meter.onReservationEnded(Milliseconds(200), true, Start);
  meter.onReservationEnded(Milliseconds(1), false, Start);
  StageDemand demand = meter.rates(Start);
  CHECK(demand.ReservationRate == doctest::Approx(0.75));
  CHECK(demand.StarvedReservationRate == doctest::Approx(0.5));
}

TEST_CASE("High decode memory use at the usual demand causes an order") {
  RoleController controller;
  PoolView steady = burst();
  steady.Demand.PromptTokenRate = 10 * 5200;
  steady.Demand.StarvedReservationRate = 0;
  steady.DecodeUtilization = 0.6;
  CHECK_FALSE(firstOrder(controller, steady, 0, 2500).has_value());
  auto change = controller.decide(steady, std::nullopt, at(3000));
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Decode);
}

TEST_CASE("Prefill servers that a burst will need aren't changed before it") {
  RoleController controller;
  PoolView steady = burst();
  steady.PrefillServers = 3;
  steady.Demand.PromptTokenRate = 10 * 5200;
  steady.Demand.StarvedReservationRate = 0;
  steady.DecodeUtilization = 0.6;
  CHECK_FALSE(firstOrder(controller, steady, 0, 10000).has_value());
}

// 21 prefill and 39 decode servers with memory for about six requests each.
TEST_CASE("In a large pool several spare servers change at once") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 21;
  pool.DecodeServers = 39;
  pool.Demand.PromptTokenRate = 63 * 5200;
  pool.Demand.ReservationRate = 63;
  pool.Demand.StarvedReservationRate = 25;
  for (int64_t ms = 0; ms < 1500; ms += 500)
    CHECK_FALSE(controller.decide(pool, std::nullopt, at(ms)).has_value());
  auto change = controller.decide(pool, std::nullopt, at(1500));
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Decode);
  CHECK(change->Servers == 5);
  CHECK_FALSE(controller.decide(pool, at(1500), at(4000)).has_value());
  CHECK(controller.decide(pool, at(1500), at(4500)).has_value());
}

// Usual demand for 90 servers: 82 prompts per second, which need 12 servers for
// prefill and the memory of 41 for decode.
TEST_CASE("Spare servers change until a burst would use both stages equally") {
  RoleController controller;
  PoolView pool;
  pool.PrefillServers = 31;
  pool.DecodeServers = 59;
  pool.Demand.PromptTokenRate = 82 * 5200;
  pool.Demand.ReservationRate = 82;
  pool.PrefillRate = 40000;
  pool.DecodeUtilization = 0.69;
  for (int64_t ms = 0; ms < 3000; ms += 500)
    CHECK_FALSE(controller.decide(pool, std::nullopt, at(ms)).has_value());
  auto change = controller.decide(pool, std::nullopt, at(3000));
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Decode);
  CHECK(change->Servers == 7);
  pool.PrefillServers = 20;
  pool.DecodeServers = 70;
  pool.DecodeUtilization = 0.58;
  for (int64_t ms = 6000; ms < 20000; ms += 500)
    CHECK_FALSE(controller.decide(pool, at(3000), at(ms)).has_value());
}

// Usual demand that needs the memory of 63 of 70 decode servers, and 12 of 20
// prefill servers. Capacity for a burst of twice that demand in the prefill
// servers alone is useless.
TEST_CASE("Servers change while decode has the higher utilization") {
  RoleController controller;
  PoolView pool;
  pool.PrefillServers = 20;
  pool.DecodeServers = 70;
  pool.Demand.PromptTokenRate = 82 * 5200;
  pool.Demand.ReservationRate = 82;
  pool.PrefillRate = 40000;
  pool.DecodeUtilization = 0.9;
  CHECK(firstOrder(controller, pool, 0, 5000) == ServerStage::Decode);
}

// Five prefill servers are left for demand that needs 20. Waiting prompts hold
// their decode memory, so it is short too.
TEST_CASE("Servers change back to prefill although decode memory is short") {
  RoleController controller;
  PoolView pool;
  pool.PrefillServers = 5;
  pool.DecodeServers = 85;
  pool.Demand.PromptTokenRate = 150 * 5200;
  pool.Demand.ReservationRate = 150;
  pool.Demand.StarvedReservationRate = 75;
  pool.PrefillRate = 40000;
  pool.DecodeUtilization = 0.97;
  auto change = controller.decide(pool, std::nullopt, Start);
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Prefill);
  CHECK(change->Servers == 7);
}
