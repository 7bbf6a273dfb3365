#include "gateway/decisions/placement/knee_table.h"

#include "virtual_time.h"

#include <doctest/doctest.h>
#include <random>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

namespace {

PaceSample sampleOf(double Ms, double Work = 1) {
  return {{"x", 1, "10.0.0.1:80", "v1"},
          ServerStage::Whole,
          Work,
          Milliseconds(static_cast<int64_t>(Ms)),
          0};
}

double kneeOf(const KneeTable &Table, int64_t Ms) {
  auto found = Table.estimate("x", 1, ServerStage::Whole, at(Ms));
  return found ? found->Knee : 0;
}

// 80 calls in 4 s at loads of 0 to 15, which take `Pace` times as long, and
// 2.2 times that above `Knee`; large ones have five times the work.
void addCalls(KneeTable &Table, uint64_t Seed, double Pace, double Knee,
              int64_t FromMs = 0) {
  std::mt19937_64 random(Seed);
  std::uniform_int_distribution<int> drawLoad(0, 15);
  std::lognormal_distribution<double> noise(0, 0.2);
  for (int i = 0; i < 80; ++i) {
    double load = drawLoad(random);
    double work = i % 7 == 0 ? 5 : 1;
    double ms = 100 * work * Pace * noise(random) * (load > Knee ? 2.2 : 1);
    Table.add(sampleOf(ms, work), load, at(FromMs + i * 50));
  }
}

} // namespace

// Guards against estimates that follow the noise of single calls, the size of
// requests or the pace of the server.
TEST_CASE("The knee of a server is found by its durations at low load") {
  int missed = 0;
  int wrong = 0;
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    double pace = seed % 3 == 0 ? 0.6 : seed % 3 == 1 ? 1.0 : 5.0;
    KneeTable table;
    addCalls(table, seed, pace, 8);
    double knee = kneeOf(table, 4000);
    missed += knee < 6 || knee > 12 ? 1 : 0;
    KneeTable none;
    addCalls(none, seed, pace, 1000);
    wrong += kneeOf(none, 4000) > 0 ? 1 : 0;
  }
  MESSAGE("of 500: missed " << missed << ", wrong " << wrong);
  CHECK(missed <= 25);
  CHECK(wrong <= 10);
}

// A server that has recovered would be avoided above its former knee for ever.
TEST_CASE("Fast calls above the knee end it") {
  KneeTable table;
  addCalls(table, 3, 1, 4);
  REQUIRE(kneeOf(table, 4000) > 0);
  CHECK(table.takeChanges(at(4000)).size() == 1);
  addCalls(table, 4, 1, 1000, 4000);
  CHECK(kneeOf(table, 8000) == 0);
  CHECK(table.takeChanges(at(8000)).size() == 1);
}

// Instances that don't call a server would not know its knee.
TEST_CASE("A peer's evidence gives the same knee") {
  KneeTable table;
  addCalls(table, 3, 1, 8);
  PaceSummary summary{"x", 1, ServerStage::Whole, 100, 80, Milliseconds(50)};
  table.fill(summary, at(4000));
  KneeTable other;
  other.merge(summary, at(4010));
  CHECK(kneeOf(other, 4010) ==
        doctest::Approx(kneeOf(table, 4000)).epsilon(0.1));
  // Older evidence of a peer replaces nothing.
  addCalls(other, 4, 1, 1000, 5000);
  double knee = kneeOf(other, 9000);
  for (LoadBand &it : summary.Bands)
    it.Age += Milliseconds(5000);
  other.merge(summary, at(9000));
  CHECK(kneeOf(other, 9000) == knee);
  PaceSettings off;
  off.Knee = false;
  table.setSettings(off);
  CHECK(kneeOf(table, 4000) == 0);
}
