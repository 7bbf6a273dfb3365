#include "gateway/decisions/placement/pace_table.h"

#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

namespace {

constexpr double PromptTokens = 5200;

PaceSample sampleOf(const std::string &Id, int64_t Ms,
                    double Work = PromptTokens, uint32_t Running = 0,
                    int64_t StartedAt = 1) {
  return {{Id, StartedAt, "10.0.0.1:80", "v1"},
          ServerStage::Prefill,
          Work,
          Milliseconds(Ms),
          Running};
}

// Five servers of the usual pace and one that takes `Ms`, with ten samples.
PaceTable tableWith(int64_t Ms) {
  PaceTable table;
  for (int i = 0; i < 10; ++i) {
    for (const char *it : {"a", "b", "c", "d", "e"})
      table.add(sampleOf(it, 100), at(i * 100));
    table.add(sampleOf("x", Ms), at(i * 100));
  }
  return table;
}

double paceOf(const PaceTable &Table, int64_t Ms, const char *Id = "x") {
  return Table.pace(Id, ServerStage::Prefill, at(Ms));
}

} // namespace

// A server five times slower kept its share of calls.
TEST_CASE("The pace of a server is relative to the median of its stage") {
  CHECK(paceOf(tableWith(160), 1000) == doctest::Approx(1.6));
  CHECK(paceOf(tableWith(60), 1000) == doctest::Approx(0.6));
  CHECK(paceOf(tableWith(160), 1000, "a") == doctest::Approx(1));
  CHECK(paceOf(tableWith(160), 1000, "unknown") == 1);
  CHECK(tableWith(500).pace("x", ServerStage::Decode, at(1000)) == 1);
}

// Otherwise noise would change the choices among equal servers.
TEST_CASE("Paces within the dead band don't change the placement") {
  auto placement = [](const PaceTable &Table) {
    return Table.placementPace("x", ServerStage::Prefill, at(1000));
  };
  CHECK(placement(tableWith(125)) == 1);
  CHECK(placement(tableWith(80)) == 1);
  CHECK(placement(tableWith(500)) == doctest::Approx(5 / 1.3));
  PaceTable off = tableWith(500);
  off.setSettings({false, 1.3, 10});
  CHECK(placement(off) == 1);
  PaceTable bounded = tableWith(500);
  bounded.setSettings({true, 1, 2});
  CHECK(placement(bounded) == doctest::Approx(2));
}

// A burst that slows all servers must not exclude any of them.
TEST_CASE("If all servers become slow, no pace changes") {
  PaceTable table = tableWith(100);
  for (int i = 0; i < 30; ++i) {
    for (const char *it : {"a", "b", "c", "d", "e", "x"})
      table.add(sampleOf(it, 500), at(1000 + i * 100));
    CHECK(paceOf(table, 1000 + i * 100) == doctest::Approx(1).epsilon(0.3));
  }
  CHECK(table.expected("x", ServerStage::Prefill, PromptTokens, at(4000))
            ->count() > 450);
}

// Large requests take long everywhere.
TEST_CASE("A slow answer to a large request is no evidence of slowness") {
  PaceTable table = tableWith(100);
  for (int i = 0; i < 5; ++i)
    table.add(sampleOf("x", 1000, 10 * PromptTokens), at(1000 + i * 100));
  CHECK(paceOf(table, 1500) == doctest::Approx(1).epsilon(0.02));
  for (int i = 0; i < 5; ++i) // mostly overhead of the call
    table.add(sampleOf("x", 40, 50), at(1500 + i * 100));
  CHECK(paceOf(table, 2000) == doctest::Approx(1).epsilon(0.02));
}

// Instances would send all calls to another server, which then looks slow.
TEST_CASE("Requests beside it don't make a server look slow") {
  PaceTable table;
  for (int i = 0; i < 200; ++i)
    for (const char *it : {"a", "b", "c"}) {
      // "a" is the busiest; the time grows with the requests at the server.
      uint32_t others = static_cast<uint32_t>(i % 4) + (*it == 'a' ? 3 : 0);
      table.add(sampleOf(it, 100 * (1 + others), PromptTokens, others),
                at(i * 100));
    }
  CHECK(paceOf(table, 20000, "a") < 1.25);
}

TEST_CASE("A server that starts again under its id is unknown") {
  PaceTable table = tableWith(500);
  REQUIRE(paceOf(table, 1000) > 4);
  table.add(sampleOf("x", 100, PromptTokens, 0, 2), at(1000));
  CHECK(table.isUnknown("x", ServerStage::Prefill));
  CHECK(paceOf(table, 1000) == 1);
}

// A server that gets no calls would be taken for slow for ever.
TEST_CASE("Without evidence a pace returns to its long-term average") {
  PaceTable table;
  for (int i = 0; i < 300; ++i)
    for (const char *it : {"a", "b", "c", "x"})
      table.add(sampleOf(it, *it == 'x' && i >= 280 ? 500 : 100), at(i * 100));
  CHECK(paceOf(table, 30000) > 4);
  CHECK(paceOf(table, 34000) < 2.6);
  CHECK(paceOf(table, 40000) < 1.5);
}

// The figure changes at once, durations show a change only when calls end.
TEST_CASE("A reported slowdown changes the pace before the next call ends") {
  PaceTable table = tableWith(100);
  ServerProcess x{"x", 1, "10.0.0.1:80", "v1"};
  table.onReportedSlowdown(x, ServerStage::Prefill, 1, at(1000));
  table.add(sampleOf("x", 100), at(1000));
  table.onReportedSlowdown(x, ServerStage::Prefill, 5, at(2000));
  CHECK(paceOf(table, 2000) == doctest::Approx(5).epsilon(0.05));
  // The figure counts only while it is recent.
  CHECK(paceOf(table, 4000) == doctest::Approx(1).epsilon(0.05));
  for (double it : {0.0, -1.0, 1e300 * 1e300, 0.0 / 1.0})
    table.onReportedSlowdown(x, ServerStage::Prefill, it, at(5000));
  CHECK(paceOf(table, 5000) == doctest::Approx(1).epsilon(0.05));
}

// The speed of the machine would count twice: in the figure and in durations.
TEST_CASE("A permanent part of the reported slowdown has no effect") {
  PaceTable table;
  ServerProcess x{"x", 1, "10.0.0.1:80", "v1"};
  for (int i = 0; i < 20; ++i) {
    for (const char *it : {"a", "b", "c"})
      table.add(sampleOf(it, 100), at(i * 100));
    table.onReportedSlowdown(x, ServerStage::Prefill, 1.6, at(i * 100));
    table.add(sampleOf("x", 160), at(i * 100));
  }
  CHECK(paceOf(table, 2000) == doctest::Approx(1.6).epsilon(0.05));
}

// Evidence that passes through several instances must not count twice or
// replace newer evidence.
TEST_CASE("The newer evidence of two instances counts") {
  PaceTable first = tableWith(100);
  PaceTable second = tableWith(500);
  std::vector<PaceSummary> known = second.changedSince(at(-1), at(2000), 100);
  REQUIRE(known.size() == 6);
  for (const PaceSummary &it : known) // of the same time
    CHECK_FALSE(first.merge(it, at(2000)));
  second.add(sampleOf("x", 500), at(2500));
  known = second.changedSince(at(2000), at(2600), 100);
  REQUIRE(known.size() == 1);
  CHECK(first.merge(known[0], at(2600)));
  CHECK_FALSE(first.merge(known[0], at(2601)));
  CHECK(paceOf(first, 2600) == doctest::Approx(5).epsilon(0.05));
  CHECK(second.changedSince(at(-1), at(2600), 2).size() == 2);
}

// A peer of another build may send anything.
TEST_CASE("Summaries that are no estimate are ignored") {
  PaceTable table = tableWith(100);
  for (double unit : {0.0, -1.0, 1e300 * 1e300})
    CHECK_FALSE(table.merge(
        {"x", 1, ServerStage::Prefill, unit, 5, Milliseconds(0)}, at(5000)));
  CHECK_FALSE(table.merge(
      {"x", 1, ServerStage::Prefill, 1, 5, Milliseconds(70000)}, at(5000)));
  CHECK(paceOf(table, 1000) == doctest::Approx(1));
}
