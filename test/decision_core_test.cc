#include "crocusspur/decision_core.h"

#include "core_samples.h"

#include <doctest/doctest.h>
#include <utility>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

// One core in virtual time; keeps the actions of the last event.
struct CoreDriver {
  explicit CoreDriver(CoreOptions Options = sampleCoreOptions("e1", 7))
      : Core(std::move(Options)) {}

  ActionList &give(EventBody Body, Milliseconds After = Milliseconds{1}) {
    Now += After;
    Last.clear();
    Core.handle(Event{Now, WallTime(std::chrono::hours(1)), std::move(Body)},
                Last);
    All.insert(All.end(), Last.begin(), Last.end());
    return Last;
  }

  // Timer events every 50 ms for this long.
  void pass(Milliseconds Duration) {
    ActionList seen;
    for (Milliseconds it{0}; it < Duration; it += Milliseconds{50}) {
      give(TimerFired{}, Milliseconds{50});
      seen.insert(seen.end(), Last.begin(), Last.end());
    }
    Last = std::move(seen);
  }

  void start(int Instances = 1) {
    give(TimerFired{});
    give(ListPublished{parsedList(sampleListText(1, Instances))});
    give(ConfigPublished{parsedConfig(sampleConfigText())});
    reportLoad();
  }

  void reportLoad() {
    for (const char *it : {"p1", "p2", "d1", "d2", "s1", "s2"}) {
      LoadReported report;
      report.Server = it;
      report.Epoch = 1;
      report.Slots = 2;
      give(std::move(report));
    }
  }

  template <typename T> const T *last() const {
    for (auto it = Last.rbegin(); it != Last.rend(); ++it)
      if (auto *item = std::get_if<T>(&*it))
        return item;
    return nullptr;
  }

  template <typename T> size_t count() const {
    size_t n = 0;
    for (const Action &it : Last)
      n += std::holds_alternative<T>(it);
    return n;
  }

  DecisionCore Core;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  ActionList Last;
  ActionList All;
};

std::string kindOf(const Note *Entry) {
  return Entry ? toString(Entry->Kind) : "none";
}

StageFinished finished(const RequestId &Id, uint32_t Attempt, Stage At,
                       StageOutcome Outcome, const std::string &Server) {
  StageFinished body;
  body.Id = Id;
  body.Attempt = Attempt;
  body.At = At;
  body.Outcome = Outcome;
  body.Server = Server;
  return body;
}

} // namespace

// Guards against a core whose parts don't reach each other: a request of an
// instance that owns the shard itself must need no message on a link.
TEST_CASE("DecisionCore serves a model request through its own owner") {
  CoreDriver core;
  core.start();
  RequestId id{7, 1};
  core.give(RequestArrived{id, modelSpec(), ""});
  const StartPrefill *prefill = core.last<StartPrefill>();
  REQUIRE(prefill);
  CHECK(prefill->NotAfter - core.Now == Milliseconds{500});
  core.give(finished(id, prefill->Attempt, Stage::Prefill, StageOutcome::Ok,
                     prefill->Server));
  const StartDecode *decode = core.last<StartDecode>();
  REQUIRE(decode);
  core.give(StageProgress{id, decode->Attempt, 0});
  uint32_t attempt = decode->Attempt;
  core.give(finished(id, attempt, Stage::Decode, StageOutcome::Ok, "d1"));
  const Note *note = core.last<Note>();
  REQUIRE(note);
  CHECK(kindOf(note) == "completed");
  CHECK(core.count<SendToPeer>() == 0);
  core.give(RequestClosed{id, true});
}

// Guards against service calls that wait for an owner.
TEST_CASE("DecisionCore serves a service call directly") {
  CoreDriver core;
  core.start();
  RequestId id{7, 1};
  core.give(RequestArrived{id, serviceSpec(false), ""});
  const StartService *call = core.last<StartService>();
  REQUIRE(call);
  StageFinished done = finished(id, call->Attempt, Stage::Service,
                                StageOutcome::Ok, call->Server);
  done.HttpStatus = 201;
  core.give(done);
  CHECK(core.count<AnswerError>() == 0);
  const Note *note = core.last<Note>();
  REQUIRE(note);
  CHECK(kindOf(note) == "completed");
}
