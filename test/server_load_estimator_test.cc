#include "server_load_estimator.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

TimePoint at(int Ms) { return TimePoint{} + Milliseconds(100000 + Ms); }

bool unknown(const RequestId &) { return false; }

LoadReported report(uint32_t Running, int AgeMs,
                    std::vector<RequestId> Ids = {}) {
  LoadReported made;
  made.Server = "d0";
  made.Epoch = 1;
  made.Running = Running;
  made.Slots = 4;
  made.Age = Milliseconds(AgeMs);
  made.RequestIds = std::move(Ids);
  return made;
}

ServerLoadEstimator estimate() {
  ServerLoadEstimator made;
  made.setSlots(4);
  return made;
}

} // namespace

// Guards against counting both a grant and the report of it.
TEST_CASE("ServerLoadEstimator counts a request once, by grant or by report") {
  ServerLoadEstimator it = estimate();
  it.onGranted({1, 1}, at(0));
  it.onGranted({1, 1}, at(0));
  CHECK(it.load(at(0)) == 1);
  it.onReport(report(1, 500), unknown, at(600));
  CHECK(it.load(at(600)) == 1);
  it.onGranted({1, 2}, at(700));
  // The report is older than the second grant.
  it.onReport(report(1, 500), unknown, at(800));
  CHECK(it.load(at(800)) == 2);
  it.onEnded({1, 1}, at(900));
  // Still counted by the server when the report was measured.
  it.onReport(report(2, 500), unknown, at(1300));
  CHECK(it.load(at(1300)) == 1);
}

// Guards against requests of others that aren't counted, or are counted
// forever.
TEST_CASE(
    "ServerLoadEstimator counts requests of others until a later report") {
  ServerLoadEstimator counts = estimate();
  counts.onGranted({1, 1}, at(0));
  counts.onReport(report(3, 500), unknown, at(600));
  CHECK(counts.foreign(at(600)) == 2);
  counts.onReport(report(1, 500), unknown, at(1200));
  CHECK(counts.foreign(at(1200)) == 0);

  ServerLoadEstimator ids = estimate();
  ids.onGranted({1, 1}, at(0));
  ids.onReport(report(0, 500, {{1, 1}, {5, 5}}), unknown, at(100));
  CHECK(ids.foreign(at(100)) == 1);
  CHECK(ids.unknownIds() == std::vector<RequestId>{{5, 5}});
  ids.onAdopted({5, 5});
  CHECK(ids.foreign(at(100)) == 0);
  CHECK(ids.load(at(100)) == 2);
}

// Guards against grants on a server that keeps refusing, and against a server
// that counts as full forever.
TEST_CASE("ServerLoadEstimator counts a refusal as full until a newer report") {
  ServerLoadEstimator it = estimate();
  it.onGranted({1, 1}, at(0));
  it.onEnded({1, 1}, at(10));
  it.onRefusedFull(at(10));
  CHECK(it.free(at(20)) == 0);
  it.onReport(report(0, 500), unknown, at(300)); // measured before the refusal
  CHECK(it.free(at(300)) == 0);
  it.onReport(report(0, 200), unknown, at(400));
  CHECK(it.free(at(400)) == 4);
  it.onRefusedFull(at(500));
  CHECK(it.free(at(1600)) == 4);
}

// Guards against new requests on a failed server.
TEST_CASE("ServerLoadEstimator treats failed and unreachable servers alike") {
  ServerLoadEstimator it = estimate();
  it.onFailed(at(0));
  CHECK_FALSE(it.reachable(at(10)));
  it.onReport(report(0, 0), unknown, at(200));
  CHECK(it.reachable(at(200)));
  LoadReported down = report(0, 0);
  down.Reachable = false;
  it.onReport(down, unknown, at(300));
  CHECK_FALSE(it.reachable(at(5000)));
}

// Guards against a takeover that grants slots before a server has reported.
TEST_CASE("ServerLoadEstimator has no free slots while held for a report") {
  ServerLoadEstimator it = estimate();
  it.holdUntilReport();
  CHECK(it.free(at(0)) == 0);
  it.onReport(report(1, 0), unknown, at(100));
  CHECK(it.free(at(100)) == 3);
}

// Guards against a link that counts as idle while transfers use it.
TEST_CASE("LinkLoadEstimator drains bytes in flight at the rate of the link") {
  LinkLoadEstimator link;
  link.setRate(1000);
  link.add(500, at(0));
  link.add(500, at(0));
  CHECK(link.backlogSeconds(at(0)) == doctest::Approx(1));
  CHECK(link.bytesInFlight(at(400)) == doctest::Approx(600));
  CHECK(link.bytesInFlight(at(2000)) == 0);
}
