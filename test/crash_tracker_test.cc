#include "crash_tracker.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

// One instance with a tracker, and the reports that it has sent.
struct TestInstance {
  CoreOptions Options;
  ConfigDocument Config;
  InstanceList List;
  TimePoint Now{std::chrono::hours(1)};
  ActionList Out;
  CrashTracker Tracker;
  uint64_t Next = 1;

  explicit TestInstance(const std::string &Name = "e1") {
    Options.Instance = Name;
    for (const char *it : {"e1", "e2"}) {
      List.Instances.emplace_back();
      List.Instances.back().Name = it;
    }
  }
  CoreContext context() { return {Now, {}, Options, Config, List, Out}; }
  CrashVerdict verdictFor(uint64_t Fingerprint) {
    return Tracker.verdictFor(Now, Fingerprint);
  }
  void advance(Milliseconds Time) {
    Now += Time;
    CoreContext context = this->context();
    Tracker.onTimer(context);
  }
  RequestId start(uint64_t Fingerprint, bool Alone = false,
                  const std::string &Server = "s") {
    RequestId id{1, Next++};
    advance(Milliseconds(1));
    Tracker.onStarted(id, Server, Fingerprint, Alone);
    advance(Milliseconds(1));
    return id;
  }
  void end(const RequestId &Id, bool Broken, bool Completed = true) {
    CoreContext context = this->context();
    Tracker.onEnded(context, Id, Broken, Completed);
  }
  void crash(uint64_t Epoch) {
    advance(Milliseconds(1000)); // a server needs longer than that to restart
    CoreContext context = this->context();
    Tracker.onServerCrashed(context, "s", Epoch);
  }
  // Handles the reports that the other instance has sent.
  void receiveFrom(TestInstance &Other) {
    for (const Action &it : Other.Out)
      if (const auto *sent = std::get_if<SendToPeer>(&it)) {
        CoreContext context = this->context();
        Tracker.onReport(context, Other.Options.Instance,
                         std::get<CrashReport>(sent->Message));
      }
    Other.Out.clear();
  }
};

} // namespace

// Guards against a request that crashes more than two servers.
TEST_CASE("CrashTracker refuses a request that crashed a server while alone") {
  TestInstance instance;
  auto culprit = instance.start(7), bystander = instance.start(8);
  instance.end(culprit, true);
  instance.end(bystander, true);
  CHECK(instance.verdictFor(7) == CrashVerdict::Run);
  instance.crash(1);
  CHECK(instance.verdictFor(7) == CrashVerdict::RunAlone);
  CHECK(instance.verdictFor(8) == CrashVerdict::RunAlone);
  instance.end(instance.start(7, true), true);
  instance.crash(2);
  CHECK(instance.verdictFor(7) == CrashVerdict::Refuse);
  instance.end(instance.start(8, true), false);
  CHECK(instance.verdictFor(8) == CrashVerdict::Run);
}

// Guards against refusing a request that only ran beside the cause of a crash.
TEST_CASE("CrashTracker never refuses a request for crashes beside others") {
  TestInstance instance;
  for (uint64_t epoch = 1; epoch <= 5; ++epoch) {
    auto culprit = instance.start(epoch * 100), innocent = instance.start(8);
    instance.end(culprit, true);
    instance.end(innocent, true);
    instance.crash(epoch);
  }
  CHECK(instance.verdictFor(8) == CrashVerdict::RunAlone);
}

// Guards against refusing a request that ran alone in its owner's view when a
// second owner in a partition had placed another one on the same server.
TEST_CASE("CrashTracker revokes a refusal when another request ran too") {
  TestInstance local, remote("e2");
  local.end(local.start(7), true);
  local.crash(1);
  local.end(local.start(7, true), true);
  remote.end(remote.start(9), true);
  local.crash(2);
  CHECK(local.verdictFor(7) == CrashVerdict::Refuse);
  remote.receiveFrom(local);
  local.receiveFrom(remote);
  CHECK(local.verdictFor(7) == CrashVerdict::RunAlone);
  CHECK(remote.verdictFor(7) == CrashVerdict::RunAlone);
  CHECK(local.verdictFor(9) == CrashVerdict::RunAlone);
}

// Guards against a crashing request that is retried at another instance.
TEST_CASE("CrashTracker shares suspects and refusals with peers") {
  TestInstance local, remote("e2");
  remote.end(remote.start(7), true);
  local.crash(1);
  remote.receiveFrom(local); // learns that its broken run was a crash
  local.receiveFrom(remote);
  CHECK(local.verdictFor(7) == CrashVerdict::RunAlone);
  local.end(local.start(7, true), true);
  local.crash(2);
  remote.receiveFrom(local);
  CHECK(remote.verdictFor(7) == CrashVerdict::Refuse);
}

// Guards against counting one crash twice, and against counting runs of the
// restarted process.
TEST_CASE("CrashTracker counts a crash once and only the runs it broke") {
  TestInstance instance;
  instance.end(instance.start(7), true);
  instance.crash(1);
  instance.crash(1);
  auto later = instance.start(5);
  CHECK(instance.verdictFor(5) == CrashVerdict::Run);
  instance.end(later, true); // started after the crash
  CHECK(instance.verdictFor(5) == CrashVerdict::Run);
  auto slow = instance.start(6);
  instance.crash(2);                    // the connection stays open
  instance.advance(Milliseconds(5000)); // found dead by the progress timeout
  instance.end(slow, true);
  CHECK(instance.verdictFor(6) == CrashVerdict::RunAlone);
}

// Guards against a broken connection that is attributed to a much later crash.
TEST_CASE("CrashTracker ignores broken connections without a crash") {
  TestInstance instance;
  instance.end(instance.start(7), true);
  instance.advance(Milliseconds(10500));
  instance.crash(1);
  CHECK(instance.verdictFor(7) == CrashVerdict::Run);
}

// Guards against clearing a suspect because of a run that didn't finish.
TEST_CASE("CrashTracker keeps a suspect whose run alone was cancelled") {
  TestInstance instance;
  instance.end(instance.start(7), true);
  instance.crash(1);
  instance.end(instance.start(7, true), false, false);
  CHECK(instance.verdictFor(7) == CrashVerdict::RunAlone);
}

// Guards against tables that grow without bound and refusals that never expire.
TEST_CASE("CrashTracker expires crashes after ten minutes and bounds tables") {
  TestInstance instance;
  for (uint64_t epoch = 1; epoch <= 1100; ++epoch) {
    instance.end(instance.start(epoch), true);
    instance.crash(epoch);
  }
  CHECK(instance.verdictFor(1) == CrashVerdict::Run); // evicted by newer ones
  CHECK(instance.verdictFor(1100) == CrashVerdict::RunAlone);
  instance.advance(Milliseconds(600000 + 10));
  CHECK(instance.verdictFor(1100) == CrashVerdict::Run);
  CHECK(instance.Tracker.dump(instance.Now).find("\"crashes\":[]") !=
        std::string::npos);
}

// Guards against a popular request that stays a suspect while it completes on
// other servers.
TEST_CASE("CrashTracker clears a suspect by any run that completes") {
  TestInstance instance;
  auto elsewhere = instance.start(7, false, "t");
  instance.end(instance.start(7), true);
  instance.crash(1);
  CHECK(instance.verdictFor(7) == CrashVerdict::RunAlone);
  instance.end(elsewhere, false);
  CHECK(instance.verdictFor(7) == CrashVerdict::Run);
  instance.end(instance.start(7), true);
  instance.crash(2);
  CHECK(instance.verdictFor(7) == CrashVerdict::RunAlone);
}

// Guards against a suspect that each instance has to clear separately.
TEST_CASE("CrashTracker reports cleared suspects to its peers") {
  TestInstance local, remote("e2");
  local.end(local.start(7), true);
  local.crash(1);
  remote.receiveFrom(local);
  CHECK(remote.verdictFor(7) == CrashVerdict::RunAlone);
  local.end(local.start(7), false);
  remote.receiveFrom(local);
  CHECK(remote.verdictFor(7) == CrashVerdict::Run);
}

// Guards against new instances that let a known cause crash more servers, and
// against crashes that never expire because they are passed on.
TEST_CASE("CrashTracker sends crashes with their age to a new instance") {
  TestInstance local, fresh("e2");
  local.end(local.start(7), true);
  local.crash(1);
  local.Out.clear();
  local.advance(Milliseconds(300000));
  fresh.Now = local.Now;
  CoreContext context = local.context();
  local.Tracker.onPeerUp(context, "e2");
  fresh.receiveFrom(local);
  CHECK(fresh.verdictFor(7) == CrashVerdict::RunAlone);
  fresh.advance(Milliseconds(300010));
  CHECK(fresh.verdictFor(7) == CrashVerdict::Run);
}
