#include "crash_tracker.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

// One instance with a guard, and the reports that it sent.
struct GuardHost {
  CoreOptions Options;
  ConfigDocument Config;
  InstanceList List;
  TimePoint Now{std::chrono::hours(1)};
  ActionList Out;
  CrashTracker Guard;
  uint64_t Next = 1;

  explicit GuardHost(const std::string &Name = "e1") {
    Options.Instance = Name;
    for (const char *it : {"e1", "e2"}) {
      List.Instances.emplace_back();
      List.Instances.back().Name = it;
    }
  }
  CoreContext context() { return {Now, {}, Options, Config, List, Out}; }
  CrashVerdict verdictFor(uint64_t Fingerprint) {
    return Guard.verdictFor(Now, Fingerprint);
  }
  void pass(Milliseconds Time) {
    Now += Time;
    CoreContext context = this->context();
    Guard.onTimer(context);
  }
  RequestId start(uint64_t Fingerprint, bool Alone = false,
                  const std::string &Server = "s") {
    RequestId id{1, Next++};
    pass(Milliseconds(1));
    Guard.onStarted(id, Server, Fingerprint, Alone);
    pass(Milliseconds(1));
    return id;
  }
  void end(const RequestId &Id, bool Broken, bool Completed = true) {
    CoreContext context = this->context();
    Guard.onEnded(context, Id, Broken, Completed);
  }
  void crash(uint64_t Epoch) {
    pass(Milliseconds(1000)); // a server needs longer than that to restart
    CoreContext context = this->context();
    Guard.onServerCrashed(context, "s", Epoch);
  }
  // Takes the reports that the other host has sent.
  void receiveFrom(GuardHost &Other) {
    for (const Action &it : Other.Out)
      if (const auto *sent = std::get_if<SendToPeer>(&it)) {
        CoreContext context = this->context();
        Guard.onReport(context, Other.Options.Instance,
                       std::get<CrashReport>(sent->Message));
      }
    Other.Out.clear();
  }
};

} // namespace

// Guards against a request that goes on crashing servers after the second.
TEST_CASE("CrashGuard refuses a request that crashed a server while alone") {
  GuardHost host;
  auto culprit = host.start(7), beside = host.start(8);
  host.end(culprit, true);
  host.end(beside, true);
  CHECK(host.verdictFor(7) == CrashVerdict::Run);
  host.crash(1);
  CHECK(host.verdictFor(7) == CrashVerdict::RunAlone);
  CHECK(host.verdictFor(8) == CrashVerdict::RunAlone);
  host.end(host.start(7, true), true);
  host.crash(2);
  CHECK(host.verdictFor(7) == CrashVerdict::Refuse);
  host.end(host.start(8, true), false);
  CHECK(host.verdictFor(8) == CrashVerdict::Run);
}

// Guards against refusing a request that only ran beside the cause.
TEST_CASE("CrashGuard never refuses a request for crashes beside others") {
  GuardHost host;
  for (uint64_t epoch = 1; epoch <= 5; ++epoch) {
    auto culprit = host.start(epoch * 100), innocent = host.start(8);
    host.end(culprit, true);
    host.end(innocent, true);
    host.crash(epoch);
  }
  CHECK(host.verdictFor(8) == CrashVerdict::RunAlone);
}

// Guards against blaming a lone request when a second owner in a partition had
// placed another one on the same server.
TEST_CASE("CrashGuard takes back a refusal when another request ran too") {
  GuardHost here, there("e2");
  here.end(here.start(7), true);
  here.crash(1);
  here.end(here.start(7, true), true);
  there.end(there.start(9), true);
  here.crash(2);
  CHECK(here.verdictFor(7) == CrashVerdict::Refuse);
  there.receiveFrom(here);
  here.receiveFrom(there);
  CHECK(here.verdictFor(7) == CrashVerdict::RunAlone);
  CHECK(there.verdictFor(7) == CrashVerdict::RunAlone);
  CHECK(here.verdictFor(9) == CrashVerdict::RunAlone);
}

// Guards against a crashing request that is sent to another instance.
TEST_CASE("CrashGuard shares suspects and refusals with peers") {
  GuardHost here, there("e2");
  there.end(there.start(7), true);
  here.crash(1);
  there.receiveFrom(here); // knows that the broken run met a crash
  here.receiveFrom(there);
  CHECK(here.verdictFor(7) == CrashVerdict::RunAlone);
  here.end(here.start(7, true), true);
  here.crash(2);
  there.receiveFrom(here);
  CHECK(there.verdictFor(7) == CrashVerdict::Refuse);
}

// Guards against counting one crash twice and against runs on the new process.
TEST_CASE("CrashGuard counts a crash once and only what it broke") {
  GuardHost host;
  host.end(host.start(7), true);
  host.crash(1);
  host.crash(1);
  auto later = host.start(5);
  CHECK(host.verdictFor(5) == CrashVerdict::Run);
  host.end(later, true); // began after the crash
  CHECK(host.verdictFor(5) == CrashVerdict::Run);
  auto slow = host.start(6);
  host.crash(2);                 // the connection stays open
  host.pass(Milliseconds(5000)); // found dead by the progress time-out
  host.end(slow, true);
  CHECK(host.verdictFor(6) == CrashVerdict::RunAlone);
}

// Guards against a broken connection that is taken for a crash much later.
TEST_CASE("CrashGuard ignores broken connections without a crash") {
  GuardHost host;
  host.end(host.start(7), true);
  host.pass(Milliseconds(10500));
  host.crash(1);
  CHECK(host.verdictFor(7) == CrashVerdict::Run);
}

// Guards against clearing a suspect by a run that did not finish.
TEST_CASE("CrashGuard keeps a suspect whose run alone was cancelled") {
  GuardHost host;
  host.end(host.start(7), true);
  host.crash(1);
  host.end(host.start(7, true), false, false);
  CHECK(host.verdictFor(7) == CrashVerdict::RunAlone);
}

// Guards against tables that grow without bound and refusals without end.
TEST_CASE("CrashGuard forgets crashes after ten minutes and bounds tables") {
  GuardHost host;
  for (uint64_t epoch = 1; epoch <= 1100; ++epoch) {
    host.end(host.start(epoch), true);
    host.crash(epoch);
  }
  CHECK(host.verdictFor(1) == CrashVerdict::Run); // made room for newer ones
  CHECK(host.verdictFor(1100) == CrashVerdict::RunAlone);
  host.pass(Milliseconds(600000 + 10));
  CHECK(host.verdictFor(1100) == CrashVerdict::Run);
  CHECK(host.Guard.dump(host.Now).find("\"crashes\":[]") != std::string::npos);
}

// Guards against a popular request that stays suspected while it ends well on
// other servers.
TEST_CASE("CrashGuard clears a suspect by any run that completes") {
  GuardHost host;
  auto elsewhere = host.start(7, false, "t");
  host.end(host.start(7), true);
  host.crash(1);
  CHECK(host.verdictFor(7) == CrashVerdict::RunAlone);
  host.end(elsewhere, false);
  CHECK(host.verdictFor(7) == CrashVerdict::Run);
  host.end(host.start(7), true);
  host.crash(2);
  CHECK(host.verdictFor(7) == CrashVerdict::RunAlone);
}

// Guards against a suspect that each instance has to clear for itself.
TEST_CASE("CrashGuard tells its peers what has cleared a suspect") {
  GuardHost here, there("e2");
  here.end(here.start(7), true);
  here.crash(1);
  there.receiveFrom(here);
  CHECK(there.verdictFor(7) == CrashVerdict::RunAlone);
  here.end(here.start(7), false);
  there.receiveFrom(here);
  CHECK(there.verdictFor(7) == CrashVerdict::Run);
}

// Guards against fresh instances that let a known cause crash more servers, and
// against crashes that are passed on for ever.
TEST_CASE("CrashGuard tells a fresh instance of crashes and of their age") {
  GuardHost here, fresh("e2");
  here.end(here.start(7), true);
  here.crash(1);
  here.Out.clear();
  here.pass(Milliseconds(300000));
  fresh.Now = here.Now;
  CoreContext context = here.context();
  here.Guard.onPeerUp(context, "e2");
  fresh.receiveFrom(here);
  CHECK(fresh.verdictFor(7) == CrashVerdict::RunAlone);
  fresh.pass(Milliseconds(300010));
  CHECK(fresh.verdictFor(7) == CrashVerdict::Run);
}
