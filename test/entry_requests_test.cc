#include "entry_requests.h"

#include "core_samples.h"
#include "retry_budget.h"

#include <doctest/doctest.h>
#include <utility>

using namespace crocusspur;
using namespace crocusspur::internal;
using namespace crocusspur::test;

namespace {

const RequestId Id{7, 1};

// Requests of the entry "e1". The test takes the role of "o1", which owns every
// shard.
struct EntryDriver {
  explicit EntryDriver(const SampleOptions &Sample = {})
      : Config(parsedConfig(sampleConfigText(Sample))),
        List(parsedList(sampleListText(1, 1, Sample))) {}

  CoreContext context() {
    Out.clear();
    return {Now, WallTime(std::chrono::hours(1)), Options, *Config, *List, Out};
  }

  void arrive(const RequestId &Of = Id, RequestSpec Spec = modelSpec()) {
    CoreContext at = context();
    Requests.onArrived(at, RequestArrived{Of, std::move(Spec), ""});
  }

  void grantPrefill(const std::string &Server = "p1",
                    const std::string &Decode = "") {
    captureAttempt();
    CoreContext at = context();
    Requests.onPrefillGrant(
        at, "o1", PrefillGrant{Id, "summary-0", Attempt, Server, Decode, 5, 0});
  }

  void grantDecode(const std::string &Server = "d1") {
    captureAttempt();
    CoreContext at = context();
    Requests.onDecodeGrant(at, "o1",
                           DecodeGrant{Id, "summary-0", Attempt, Server, 5});
  }

  void finish(Stage At, StageOutcome Outcome, const std::string &Server,
              uint32_t Tokens = 0, const RequestId &Of = Id) {
    StageFinished body;
    body.Id = Of;
    body.Attempt = Dispatched;
    body.FinishedStage = At;
    body.Outcome = Outcome;
    body.Server = Server;
    body.OutputTokens = Tokens;
    body.HttpStatus = At == Stage::Service ? 200 : 0;
    CoreContext at = context();
    Requests.onStageFinished(at, body);
    captureAttempt();
    captureDispatch();
  }

  void progress(uint32_t Tokens) {
    CoreContext at = context();
    Requests.onStageProgress(at, StageProgress{Id, Dispatched, Tokens});
  }

  void cancel(const RequestId &Of = Id) {
    CoreContext at = context();
    Requests.onCancelled(at, RequestCancelled{Of});
  }

  void close(const RequestId &Of) {
    CoreContext at = context();
    Requests.onClosed(at, RequestClosed{Of, true});
  }

  void timer(Milliseconds After = Milliseconds{50}) {
    Now += After;
    CoreContext at = context();
    Requests.onTimer(at);
  }

  // Brings a model request to the given stage.
  void runTo(Stage At) {
    arrive();
    captureAttempt();
    grantPrefill();
    captureDispatch();
    if (At == Stage::Prefill)
      return;
    finish(Stage::Prefill, StageOutcome::Ok, "p1");
    grantDecode();
    captureDispatch();
  }

  // Capture the attempt numbers that the owner and the relay would return.
  void captureAttempt() {
    if (auto *message = sent<AcquireRequest>())
      Attempt = message->Attempt;
    if (auto *message = sent<PrefillLost>())
      Attempt = message->Attempt;
    if (auto *message = sent<DecodeLost>())
      Attempt = message->Attempt;
  }
  void captureDispatch() {
    if (auto *start = action<StartPrefill>())
      Dispatched = start->Attempt;
    if (auto *start = action<StartDecode>())
      Dispatched = start->Attempt;
    if (auto *start = action<StartService>())
      Dispatched = start->Attempt;
  }

  template <typename T> const T *action() const {
    for (const Action &it : Out)
      if (auto *item = std::get_if<T>(&it))
        return item;
    return nullptr;
  }
  template <typename T> const T *sent() const {
    for (const Action &it : Out)
      if (auto *item = std::get_if<SendToPeer>(&it))
        if (auto *message = std::get_if<T>(&item->Message))
          return message;
    return nullptr;
  }
  std::vector<std::string> cancelledAt() const {
    std::vector<std::string> servers;
    for (const Action &it : Out)
      if (auto *item = std::get_if<CancelAtServer>(&it))
        servers.push_back(item->Server);
    return servers;
  }
  // Returns "kind run" of the error response, or "none".
  std::string error() const {
    const AnswerError *item = action<AnswerError>();
    return item ? std::string(errorResponse(item->Kind).Name) + " " +
                      toString(item->Run)
                : "none";
  }
  std::string recorded() const {
    const DecisionRecord *item = action<DecisionRecord>();
    return item ? toString(item->Kind) : "none";
  }

  CoreOptions Options = sampleCoreOptions("e1", 7);
  ConfigPtr Config;
  InstanceListPtr List;
  TimePoint Now = TimePoint(std::chrono::hours(24));
  ActionList Out;
  uint32_t Attempt = 1;
  uint32_t Dispatched = 1;
  std::string OwnerName = "o1";
  KeyHome Keys{Options};
  CrashTracker Crashes;
  EntryRequests Requests{Keys, Crashes,
                         [this](const std::string &) { return OwnerName; }};
};

using Names = std::vector<std::string>;

} // namespace

// Guards against requests that are accepted without access to their target.
TEST_CASE("EntryRequests refuses requests that it may not serve") {
  EntryDriver entry;
  RequestSpec spec = modelSpec();
  spec.Group = "unknown";
  entry.arrive({7, 1}, spec);
  CHECK(entry.error() == "forbidden no");
  spec.Group = "bound";
  entry.arrive({7, 2}, spec);
  CHECK(entry.error() == "residency_violation no");
  spec = modelSpec();
  spec.Target = "unknown";
  entry.arrive({7, 3}, spec);
  CHECK(entry.error() == "not_found no");
  spec = serviceSpec(true);
  spec.Target = "unknown";
  entry.arrive({7, 4}, spec);
  CHECK(entry.error() == "not_found no");
}

// Guards against unbounded queues at the entry.
TEST_CASE("EntryRequests rejects over MaxRequests with a Retry-After") {
  EntryDriver entry;
  entry.Options.MaxRequests = 2;
  entry.arrive({7, 1});
  entry.arrive({7, 2});
  CHECK(entry.error() == "none");
  entry.arrive({7, 3});
  CHECK(entry.error() == "overloaded no");
  CHECK(entry.action<AnswerError>()->RetryAfter > Milliseconds{0});
  CHECK(entry.recorded() == "shed");
  entry.close({7, 3});
  entry.close({7, 1});
  entry.cancel({7, 2});
  entry.arrive({7, 4});
  CHECK(entry.error() == "none");
}

// Guards against work for servers that are all leaving.
TEST_CASE("EntryRequests refuses at once when no server is live") {
  EntryDriver entry;
  entry.List = parsedList(sampleListText(2, 1, {}, {"d1", "d2", "s1", "s2"}));
  entry.arrive({7, 1});
  CHECK(entry.error() == "no_server no");
  entry.arrive({7, 2}, serviceSpec(true));
  CHECK(entry.error() == "no_server no");
}

// Guards against a wrong order of the five messages of a simple request.
TEST_CASE("EntryRequests runs a model request through both stages") {
  EntryDriver entry;
  entry.arrive();
  const AcquireRequest *acquire = entry.sent<AcquireRequest>();
  REQUIRE(acquire);
  CHECK(acquire->Attempt == 1);
  CHECK(acquire->TimeLeft == Milliseconds{2000});
  CHECK(entry.recorded() == "admitted");
  entry.grantPrefill();
  const StartPrefill *prefill = entry.action<StartPrefill>();
  REQUIRE(prefill);
  CHECK(prefill->Server == "p1");
  CHECK(prefill->Fence == 5);
  CHECK(prefill->NotAfter == entry.Now + Milliseconds{500});
  entry.captureDispatch();
  entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
  REQUIRE(entry.sent<PrefillDone>());
  entry.grantDecode();
  const StartDecode *decode = entry.action<StartDecode>();
  REQUIRE(decode);
  CHECK(decode->Server == "d1");
  CHECK(decode->PrefillServer == "p1");
  CHECK(decode->Attempt > 1);
  entry.captureDispatch();
  entry.progress(3);
  entry.finish(Stage::Decode, StageOutcome::Ok, "d1", 64);
  const Finished *finished = entry.sent<Finished>();
  REQUIRE(finished);
  CHECK(finished->OutputTokens == 64);
  CHECK(finished->PrefillUsed);
  CHECK(int(finished->Reason) == int(FinishReason::Completed));
  CHECK(entry.recorded() == "completed");
  CHECK(entry.cancelledAt().empty());
  CHECK(entry.Requests.openRequests() == 1);
  entry.close(Id);
  CHECK(entry.Requests.openRequests() == 0);
}

// Guards against a transfer from a server to itself.
TEST_CASE("EntryRequests decodes at once when one server does both") {
  EntryDriver entry;
  entry.arrive();
  entry.grantPrefill("d1", "d1");
  CHECK_FALSE(entry.action<StartPrefill>());
  const StartDecode *decode = entry.action<StartDecode>();
  REQUIRE(decode);
  CHECK(decode->Server == "d1");
  CHECK(decode->PrefillServer == "d1");
}

// Guards against slots that stay reserved for unused grants.
TEST_CASE("EntryRequests rejects grants that it did not request") {
  EntryDriver entry;
  auto rejected = [&](const std::string &From, const RequestId &Of,
                      uint32_t Attempt) {
    CoreContext at = entry.context();
    entry.Requests.onPrefillGrant(
        at, From, PrefillGrant{Of, "summary-0", Attempt, "p1", "", 5, 0});
    const Finished *finished = entry.sent<Finished>();
    return finished && finished->Attempt == Attempt &&
           finished->Reason == FinishReason::Cancelled &&
           !entry.action<StartPrefill>();
  };
  entry.arrive();
  CHECK(rejected("o2", Id, 1));
  CHECK(rejected("o1", {7, 9}, 1));
  entry.grantPrefill();
  entry.captureDispatch();
  entry.finish(Stage::Prefill, StageOutcome::RefusedFull, "p1");
  CHECK(rejected("o1", Id, 1));
  entry.grantPrefill("p2");
  CHECK(entry.action<StartPrefill>());
  entry.cancel();
  CHECK(rejected("o1", Id, 2));
}

// Guards against a duplicate grant that releases the current placement.
TEST_CASE("EntryRequests ignores a duplicate grant") {
  EntryDriver entry;
  entry.runTo(Stage::Prefill);
  entry.grantPrefill();
  CHECK(entry.Out.empty());
}

// Guards against a request that waits forever because its owner has recorded it
// on another server.
TEST_CASE("EntryRequests corrects an owner with another placement") {
  EntryDriver entry;
  auto corrected = [&] {
    const Finished *finished = entry.sent<Finished>();
    const LeaseList *list = entry.sent<LeaseList>();
    return finished && list && list->Leases.size() == 1 &&
           list->Leases[0].PrefillServer == "p1";
  };
  SUBCASE("of the prefill") {
    entry.runTo(Stage::Prefill);
    entry.grantPrefill("p2");
  }
  SUBCASE("of the decode") {
    entry.runTo(Stage::Decode);
    entry.grantDecode("d2");
  }
  CHECK(corrected());
  CHECK_FALSE(entry.action<StartPrefill>());
  CHECK_FALSE(entry.action<StartDecode>());
}

// Guards against a report of a loss that the owner ignored or never received.
TEST_CASE("EntryRequests requests a lost placement again") {
  EntryDriver entry;
  RequestSpec spec = modelSpec();
  spec.Group = "dispatch";
  entry.arrive(Id, spec);
  entry.grantPrefill();
  entry.captureDispatch();
  entry.finish(Stage::Prefill, StageOutcome::RefusedFull, "p1");
  for (int i = 0; i < 2; ++i) {
    entry.timer(Milliseconds{1950});
    CHECK_FALSE(entry.sent<AcquireRequest>());
    entry.timer();
    REQUIRE(entry.sent<AcquireRequest>());
    CHECK(entry.sent<AcquireRequest>()->Attempt == 2);
  }
}

// Guards against a refused prefill that fails the request.
TEST_CASE("EntryRequests requests a new placement of a refused prefill") {
  EntryDriver entry;
  entry.runTo(Stage::Prefill);
  entry.finish(Stage::Prefill, StageOutcome::RefusedFull, "p1");
  const PrefillLost *lost = entry.sent<PrefillLost>();
  REQUIRE(lost);
  CHECK(lost->ServerFull);
  CHECK(lost->Server == "p1");
  CHECK(lost->Attempt == 2);
  CHECK(entry.error() == "none");
  entry.grantPrefill("p2");
  REQUIRE(entry.action<StartPrefill>());
  CHECK(entry.action<StartPrefill>()->Server == "p2");
}

// Guards against repeating a prefill whose result still exists.
TEST_CASE("EntryRequests keeps the result of a decode refused as full") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.finish(Stage::Decode, StageOutcome::RefusedFull, "d1");
  const DecodeLost *lost = entry.sent<DecodeLost>();
  REQUIRE(lost);
  CHECK(lost->ResultAlive);
  CHECK(lost->ServerFull);
  CHECK(entry.cancelledAt().empty());
  entry.grantDecode("d2");
  REQUIRE(entry.action<StartDecode>());
  CHECK(entry.action<StartDecode>()->Server == "d2");
  CHECK(entry.action<StartDecode>()->PrefillServer == "p1");
}

// Guards against waiting for a result that its server has evicted.
TEST_CASE("EntryRequests reports an evicted result as lost") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.finish(Stage::Decode, StageOutcome::RefusedOther, "d1");
  REQUIRE(entry.sent<DecodeLost>());
  CHECK_FALSE(entry.sent<DecodeLost>()->ResultAlive);
  CHECK(entry.cancelledAt() == Names{"p1"});
}

// Guards against memory held at both ends of a stalled transfer.
TEST_CASE("EntryRequests cancels both servers of a stalled transfer") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.finish(Stage::Decode, StageOutcome::TimedOut, "d1");
  CHECK(entry.cancelledAt() == Names{"d1", "p1"});
  REQUIRE(entry.sent<DecodeLost>());
  CHECK_FALSE(entry.sent<DecodeLost>()->ResultAlive);
}

// Guards against a broken stream that loses the tokens already sent.
TEST_CASE("EntryRequests resumes an idempotent decode after its output") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.progress(10);
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1", 12);
  CHECK(entry.cancelledAt() == Names{"d1"});
  entry.timer(Milliseconds{350});
  entry.captureAttempt();
  const DecodeLost *lost = entry.sent<DecodeLost>();
  REQUIRE(lost);
  CHECK(lost->OutputTokens == 12);
  CHECK_FALSE(lost->ResultAlive);
  // The output that the caller has received met the deadline.
  entry.timer(Milliseconds{5000});
  CHECK(entry.error() == "none");
  entry.grantPrefill("d2", "d2");
  CHECK(entry.action<StartDecode>());
}

// Guards against a caller that waits forever when no server is left (P2).
TEST_CASE("EntryRequests fails a broken stream that isn't resumed in time") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.progress(10);
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1", 12);
  entry.timer(Milliseconds{350});
  entry.timer(4 * entry.Options.ProgressTimeout - Milliseconds{351});
  CHECK(entry.error() == "none");
  entry.timer(Milliseconds{1});
  CHECK(entry.error() == "no_server yes");
}

// Guards against a wrong statement about execution (P3).
TEST_CASE("EntryRequests states exactly whether a request ran") {
  EntryDriver entry;
  entry.Options.RetryBudgetFloor = 0;
  SUBCASE("nothing sent") {
    entry.runTo(Stage::Prefill);
    entry.finish(Stage::Prefill, StageOutcome::NotSent, "p1");
    CHECK(entry.error() == "backend_unreachable no");
  }
  SUBCASE("refused before execution") {
    entry.runTo(Stage::Prefill);
    entry.finish(Stage::Prefill, StageOutcome::RefusedFence, "p1");
    CHECK(entry.error() == "backend_refused no");
  }
  SUBCASE("dispatched without outcome") {
    entry.runTo(Stage::Prefill);
    entry.finish(Stage::Prefill, StageOutcome::Failed, "p1");
    CHECK(entry.error() == "backend_failed unknown");
  }
  SUBCASE("prefilled, decode refused") {
    entry.runTo(Stage::Decode);
    entry.finish(Stage::Decode, StageOutcome::RefusedFull, "d1");
    CHECK(entry.error() == "backend_refused unknown");
    CHECK(entry.cancelledAt() == Names{"p1"});
  }
  SUBCASE("output reached the caller") {
    entry.runTo(Stage::Decode);
    entry.finish(Stage::Decode, StageOutcome::TimedOut, "d1", 3);
    CHECK(entry.error() == "backend_timeout yes");
  }
  CHECK(entry.recorded() == "failed");
  CHECK(entry.sent<Finished>());
}

// Guards against a second execution of what may run only once (P4).
TEST_CASE("EntryRequests never repeats a non-idempotent model request") {
  EntryDriver entry;
  RequestSpec spec = modelSpec();
  spec.Idempotent = false;
  entry.arrive(Id, spec);
  entry.grantPrefill();
  entry.captureDispatch();
  SUBCASE("a broken prefill fails it") {
    entry.finish(Stage::Prefill, StageOutcome::Failed, "p1");
    CHECK(entry.error() == "backend_failed unknown");
  }
  SUBCASE("a refused prefill is placed again") {
    entry.finish(Stage::Prefill, StageOutcome::RefusedFull, "p1");
    CHECK(entry.error() == "none");
  }
  SUBCASE("a refused decode keeps the result, a second prefill is refused") {
    entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
    entry.grantDecode();
    entry.captureDispatch();
    entry.finish(Stage::Decode, StageOutcome::RefusedFull, "d1");
    CHECK(entry.error() == "none");
    entry.grantPrefill("p2");
    CHECK_FALSE(entry.action<StartPrefill>());
    CHECK(entry.error() == "backend_refused unknown");
  }
  SUBCASE("an evicted result fails it") {
    entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
    entry.grantDecode();
    entry.captureDispatch();
    entry.finish(Stage::Decode, StageOutcome::RefusedOther, "d1");
    CHECK(entry.error() == "backend_refused unknown");
  }
}

// Guards against memory that stays held after the caller has cancelled (P1).
TEST_CASE("EntryRequests frees everything when the caller cancels") {
  EntryDriver entry;
  SUBCASE("waiting") {
    entry.arrive();
    entry.cancel();
    CHECK(entry.cancelledAt().empty());
  }
  SUBCASE("prefilling") {
    entry.runTo(Stage::Prefill);
    entry.cancel();
    CHECK(entry.cancelledAt() == Names{"p1"});
  }
  SUBCASE("between the stages") {
    entry.runTo(Stage::Prefill);
    entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
    entry.cancel();
    CHECK(entry.cancelledAt() == Names{"p1"});
  }
  SUBCASE("decoding") {
    entry.runTo(Stage::Decode);
    entry.cancel();
    CHECK(entry.cancelledAt() == Names{"p1", "d1"});
  }
  REQUIRE(entry.sent<Finished>());
  CHECK(int(entry.sent<Finished>()->Reason) == int(FinishReason::Cancelled));
  CHECK(entry.error() == "none");
  CHECK(entry.Requests.openRequests() == 0);
  CHECK(entry.Requests.leasesFrom("o1").empty());
}

// Guards against a cancel that reached the server before the request.
TEST_CASE("EntryRequests cancels again when a cancelled attempt reports") {
  EntryDriver entry;
  entry.runTo(Stage::Prefill);
  entry.cancel();
  entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
  CHECK(entry.cancelledAt() == Names{"p1"});
  entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
  CHECK(entry.Out.empty());
}

// Guards against late reports that change a request twice (P2).
TEST_CASE("EntryRequests counts only the first report of an attempt") {
  EntryDriver entry;
  entry.runTo(Stage::Prefill);
  entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
  CHECK(entry.sent<PrefillDone>());
  entry.finish(Stage::Prefill, StageOutcome::Failed, "p1");
  CHECK(entry.Out.empty());
  entry.grantDecode();
  entry.captureDispatch();
  uint32_t decode = std::exchange(entry.Dispatched, 1);
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1");
  CHECK(entry.Out.empty());
  entry.Dispatched = decode;
  entry.finish(Stage::Decode, StageOutcome::Ok, "d1");
  CHECK(entry.recorded() == "completed");
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1");
  CHECK(entry.Out.empty());
}

// Guards against retries that multiply the load on a failing fleet.
TEST_CASE("EntryRequests stops placing again when the budget is exhausted") {
  EntryDriver entry;
  entry.Options.RetryBudgetFloor = 2;
  entry.runTo(Stage::Prefill);
  for (int i = 0; i < 2; ++i) {
    entry.finish(Stage::Prefill, StageOutcome::RefusedFull, "p1");
    CHECK(entry.error() == "none");
    entry.grantPrefill();
    entry.captureDispatch();
  }
  entry.finish(Stage::Prefill, StageOutcome::RefusedFull, "p1");
  CHECK(entry.error() == "backend_refused no");
  CHECK(entry.action<AnswerError>()->RetryAfter > Milliseconds{0});
}

// Guards against a floor or a window that allows more retries.
TEST_CASE("RetryBudget allows a share of first attempts in ten seconds") {
  RetryBudget budget;
  TimePoint now(std::chrono::hours(24));
  for (int i = 0; i < 200; ++i)
    budget.onFirstAttempt(now);
  int taken = 0;
  while (budget.takeRetry(now, 0.1, 10))
    ++taken;
  CHECK(taken == 20);
  now += std::chrono::seconds(9);
  CHECK_FALSE(budget.takeRetry(now, 0.1, 10));
  now += std::chrono::seconds(1);
  CHECK(budget.firstAttempts(now) == 0);
  taken = 0;
  while (budget.takeRetry(now, 0.1, 10))
    ++taken;
  CHECK(taken == 10);
}

// Guards against a missing response when the owner is silent.
TEST_CASE("EntryRequests answers at the deadline when nothing was granted") {
  EntryDriver entry;
  entry.arrive();
  entry.timer(Milliseconds{1950});
  CHECK(entry.error() == "none");
  entry.timer();
  CHECK(entry.error() == "deadline_unreachable no");
  CHECK(entry.action<AnswerError>()->RetryAfter > Milliseconds{0});
  CHECK(entry.sent<Finished>());
}

// Guards against failing requests that may wait.
TEST_CASE("EntryRequests keeps a request that may wait past its target") {
  EntryDriver entry;
  RequestSpec spec = modelSpec();
  spec.Group = "dispatch";
  entry.arrive(Id, spec);
  entry.timer(Milliseconds{60000});
  CHECK(entry.error() == "none");
  entry.grantPrefill();
  CHECK(entry.action<StartPrefill>());
}

// Guards against a refusal that is delayed or loses its Retry-After.
TEST_CASE("EntryRequests passes on an owner's refusal immediately") {
  EntryDriver entry;
  entry.arrive();
  CoreContext at = entry.context();
  entry.Requests.onRefusal(at, "o1",
                           Refusal{Id, "summary-0", 1,
                                   ErrorKind::GroupQueueFull,
                                   Milliseconds{3400}, 9});
  CHECK(entry.error() == "group_queue_full no");
  CHECK(entry.action<AnswerError>()->RetryAfter == Milliseconds{3400});
  CHECK_FALSE(entry.sent<Finished>());
}

// Guards against failed requests while two instances disagree about an owner.
TEST_CASE("EntryRequests retries after a refusal as not ready") {
  EntryDriver entry;
  entry.arrive();
  CoreContext at = entry.context();
  entry.Requests.onRefusal(
      at, "o1",
      Refusal{Id, "summary-0", 1, ErrorKind::NotReady, Milliseconds{100}, 0});
  CHECK(entry.error() == "none");
  entry.timer();
  CHECK_FALSE(entry.sent<AcquireRequest>());
  entry.timer();
  CHECK(entry.sent<AcquireRequest>());
  entry.timer(Milliseconds{2000});
  CHECK(entry.error() == "deadline_unreachable no");
}

// Guards against new work on a leaving server (P5) when the owner's list lags.
TEST_CASE("EntryRequests starts nothing on a leaving server") {
  EntryDriver entry;
  entry.arrive();
  entry.List = parsedList(sampleListText(2, 1, {}, {"p1", "d1"}));
  entry.grantPrefill();
  CHECK_FALSE(entry.action<StartPrefill>());
  CHECK(entry.sent<ListOffer>());
  REQUIRE(entry.sent<PrefillLost>());
  entry.grantPrefill("p2");
  entry.captureDispatch();
  entry.finish(Stage::Prefill, StageOutcome::Ok, "p2");
  entry.grantDecode("d1");
  CHECK_FALSE(entry.action<StartDecode>());
  REQUIRE(entry.sent<DecodeLost>());
  CHECK(entry.sent<DecodeLost>()->ResultAlive);
  entry.grantDecode("d2");
  CHECK(entry.action<StartDecode>());
}

// Guards against prompts that leave the group's failure domains through an
// owner's error.
TEST_CASE("EntryRequests starts nothing on a server outside the group") {
  EntryDriver entry;
  entry.arrive();
  std::string text = sampleConfigText();
  std::string from = R"("name":"drivers")";
  text.replace(text.find(from), from.size(),
               from + R"(,"failure_domains":["hall-a"])");
  entry.Config = parsedConfig(text);
  entry.grantPrefill("p2"); // in hall-b
  CHECK_FALSE(entry.action<StartPrefill>());
  CHECK(entry.sent<PrefillLost>());
}

// Guards against requests that are lost with their owner.
TEST_CASE("EntryRequests moves to a new owner") {
  EntryDriver entry;
  auto change = [&] {
    entry.OwnerName = "o2";
    CoreContext at = entry.context();
    entry.Requests.onOwnersChanged(at);
  };
  auto receiver = [&](size_t Index) {
    return std::get<SendToPeer>(entry.Out.at(Index)).Instance;
  };
  SUBCASE("waiting requests are acquired again") {
    entry.arrive();
    change();
    CHECK(entry.sent<Finished>()); // to the former owner
    CHECK(receiver(0) == "o1");
    REQUIRE(entry.sent<AcquireRequest>());
    CHECK(receiver(1) == "o2");
  }
  SUBCASE("the others are reasserted") {
    entry.runTo(Stage::Decode);
    change();
    const LeaseList *list = entry.sent<LeaseList>();
    REQUIRE(list);
    REQUIRE(list->Leases.size() == 1);
    CHECK(int(list->Leases[0].Stage) == int(LeaseStage::Decoding));
    CHECK(list->Leases[0].DecodeServer == "d1");
    CHECK_FALSE(entry.sent<AcquireRequest>());
    entry.finish(Stage::Decode, StageOutcome::Ok, "d1");
    CHECK(receiver(0) == "o2");
  }
  SUBCASE("a result without a slot is announced") {
    entry.runTo(Stage::Prefill);
    entry.finish(Stage::Prefill, StageOutcome::Ok, "p1");
    change();
    CHECK(entry.sent<LeaseList>());
    CHECK(entry.sent<PrefillDone>());
  }
  CHECK(entry.Requests.leasesFrom("o1").empty());
}

// Guards against messages to an empty owner when an operator removes a shard.
TEST_CASE("EntryRequests fails requests that wait for a removed shard") {
  EntryDriver entry;
  auto remove = [&] {
    entry.OwnerName = "";
    CoreContext at = entry.context();
    entry.Requests.onOwnersChanged(at);
  };
  SUBCASE("waiting") {
    entry.arrive();
    remove();
    CHECK(entry.error() == "no_server no");
  }
  SUBCASE("decoding goes on") {
    entry.runTo(Stage::Decode);
    remove();
    CHECK(entry.error() == "none");
    entry.finish(Stage::Decode, StageOutcome::Ok, "d1");
    CHECK(entry.recorded() == "completed");
    CHECK_FALSE(entry.sent<Finished>());
  }
  SUBCASE("a lost decode fails") {
    entry.runTo(Stage::Decode);
    remove();
    entry.finish(Stage::Decode, StageOutcome::RefusedFull, "d1");
    CHECK(entry.error() == "no_server unknown");
  }
}

// Guards against "not run" for a ticket whose executor may have run it.
TEST_CASE("EntryRequests reports a home that it can't reach") {
  EntryDriver entry;
  CoreOptions other = sampleCoreOptions("e2", 9);
  KeyHome executor(other);
  // The executor has sent a heartbeat, so the ticket is forwarded.
  entry.List = parsedList(sampleListText(1, 2));
  Heartbeat heartbeat;
  CoreContext at = entry.context();
  entry.Keys.onListChanged(at);
  executor.fillHeartbeat(at, "e1", heartbeat);
  entry.Keys.onHeartbeat(at, "e2", 9, heartbeat);
  RequestSpec spec = serviceSpec(false);
  spec.IdempotencyKey = executor.makeTicket(1);
  entry.arrive(Id, spec);
  REQUIRE(entry.action<ForwardToHome>());
  CHECK(entry.action<ForwardToHome>()->Home == "e2");
  SUBCASE("not sent") {
    entry.finish(Stage::Service, StageOutcome::NotSent, "");
    CHECK(entry.error() == "outcome_unknown unknown");
  }
  SUBCASE("broken") {
    entry.finish(Stage::Service, StageOutcome::Failed, "");
    CHECK(entry.error() == "outcome_unknown unknown");
  }
  SUBCASE("cancelled") {
    entry.cancel();
    CHECK(entry.sent<ForwardCancel>());
  }
  SUBCASE("abandoned at the limit of a shutdown") {
    CoreContext context = entry.context();
    entry.Requests.abandonAll(context);
    CHECK(entry.error() == "shutting_down unknown");
    CHECK(entry.sent<ForwardCancel>());
  }
  SUBCASE("answered by the home") {
    entry.close(Id);
    CHECK(entry.recorded() == "completed");
    CHECK(entry.Requests.openRequests() == 0);
  }
}

// Guards against a digest that the owner can't compare.
TEST_CASE("EntryRequests summarizes its leases by owner and shard") {
  EntryDriver entry;
  entry.arrive({7, 1});
  entry.arrive({7, 2});
  auto leases = entry.Requests.leasesFrom("o1");
  REQUIRE(leases.size() == 1);
  CHECK(leases[0].Shard == "summary-0");
  CHECK(leases[0].Count == 2);
  std::hash<RequestId> hash;
  CHECK(leases[0].Digest == (hash({7, 1}) ^ hash({7, 2})));
  CHECK(entry.Requests.leasesFrom("o2").empty());
}

// Guards against dispatch by a process that has just resumed after a pause.
TEST_CASE("EntryRequests starts nothing while dispatch is held") {
  EntryDriver entry;
  entry.arrive();
  entry.Requests.holdDispatch();
  entry.grantPrefill();
  CHECK_FALSE(entry.action<StartPrefill>());
  entry.arrive({7, 2}, serviceSpec(true));
  CHECK_FALSE(entry.action<StartService>());
  entry.arrive({7, 3}, serviceSpec(true));
  entry.cancel({7, 3});
  entry.Now += Milliseconds{700};
  CoreContext at = entry.context();
  entry.Requests.releaseDispatch(at);
  REQUIRE(entry.action<StartPrefill>());
  CHECK(entry.action<StartPrefill>()->NotAfter ==
        entry.Now + Milliseconds{500});
  REQUIRE(entry.action<StartService>());
  CHECK(entry.action<StartService>()->Id == RequestId{7, 2});
}

// Guards against calls that pile up on one server of a service.
TEST_CASE("EntryRequests calls the server with the fewest calls") {
  EntryDriver entry;
  entry.arrive({7, 1}, serviceSpec(true));
  std::string first = entry.action<StartService>()->Server;
  entry.arrive({7, 2}, serviceSpec(true));
  std::string second = entry.action<StartService>()->Server;
  CHECK(first != second);
  entry.Dispatched = 1;
  entry.finish(Stage::Service, StageOutcome::Ok, second, 0, {7, 2});
  entry.arrive({7, 3}, serviceSpec(true));
  CHECK(entry.action<StartService>()->Server == second);
}

// Guards against a duplicate call, and against failing too early (P4).
TEST_CASE("EntryRequests retries a service call only where allowed") {
  EntryDriver entry;
  auto run = [&](bool Idempotent, StageOutcome Outcome) {
    entry.arrive(Id, serviceSpec(Idempotent));
    entry.captureDispatch();
    entry.finish(Stage::Service, Outcome, entry.action<StartService>()->Server);
  };
  SUBCASE("not sent") {
    run(false, StageOutcome::NotSent);
    CHECK(entry.action<StartService>());
    entry.finish(Stage::Service, StageOutcome::NotSent, "s2");
    CHECK(entry.error() == "backend_unreachable no");
  }
  SUBCASE("refused as full") {
    run(false, StageOutcome::RefusedFull);
    CHECK(entry.action<StartService>());
  }
  SUBCASE("failed, may not be repeated") {
    run(false, StageOutcome::Failed);
    CHECK_FALSE(entry.action<StartService>());
    CHECK(entry.error() == "backend_failed unknown");
    CHECK(entry.cancelledAt().size() == 1);
  }
  SUBCASE("failed, may be repeated") {
    run(true, StageOutcome::Failed);
    CHECK_FALSE(entry.action<StartService>());
    entry.timer(Milliseconds{350});
    CHECK(entry.action<StartService>());
    entry.captureDispatch();
    entry.finish(Stage::Service, StageOutcome::RefusedFull, "s2");
    CHECK(entry.error() == "backend_refused unknown");
  }
}

// Guards against a request that crashes several servers before the first crash
// is known (P8).
TEST_CASE("EntryRequests waits for a crash report before a retry") {
  EntryDriver entry;
  auto crash = [&](const std::string &Server, uint64_t Epoch) {
    CoreContext at = entry.context();
    entry.Crashes.onServerCrashed(at, Server, Epoch);
  };
  entry.runTo(Stage::Decode);
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1");
  CHECK_FALSE(entry.sent<DecodeLost>());
  entry.timer();
  CHECK(entry.Out.empty());
  crash("d1", 1);
  entry.timer();
  CHECK_FALSE(entry.sent<DecodeLost>());
  REQUIRE(entry.sent<AcquireRequest>());
  CHECK(entry.sent<AcquireRequest>()->RunAlone);
  CHECK(entry.sent<AcquireRequest>()->Attempt == 2);
  CHECK(entry.cancelledAt() == Names{"p1"});
  entry.grantPrefill("d2", "d2");
  REQUIRE(entry.action<StartDecode>());
  entry.captureDispatch();
  entry.finish(Stage::Decode, StageOutcome::Failed, "d2");
  entry.timer();
  CHECK(entry.Out.empty());
  crash("d2", 1);
  entry.timer();
  CHECK(entry.error() == "request_crashes_servers unknown");
  entry.arrive({7, 2});
  CHECK(entry.error() == "request_crashes_servers no");
}

// Guards against a dead server that uses up the retry budget of a service.
TEST_CASE("EntryRequests avoids a service server that can't be reached") {
  EntryDriver entry;
  entry.arrive(Id, serviceSpec(false));
  std::string dead = entry.action<StartService>()->Server;
  entry.captureDispatch();
  entry.finish(Stage::Service, StageOutcome::NotSent, dead);
  for (uint64_t i = 2; i < 6; ++i) {
    entry.arrive({7, i}, serviceSpec(false));
    CHECK(entry.action<StartService>()->Server != dead);
  }
  entry.Now += Milliseconds{1000};
  entry.arrive({7, 6}, serviceSpec(false));
  CHECK(entry.action<StartService>()->Server == dead);
}

// Guards against two homes that call different servers, so that no server sees
// the fencing tokens of both (P4).
TEST_CASE("EntryRequests calls a key's server with the home's fencing token") {
  EntryDriver entry;
  CoreContext start = entry.context();
  entry.Keys.onListChanged(start);
  auto settle = [&](Milliseconds Time) {
    for (TimePoint end = entry.Now + Time; entry.Now < end;
         entry.Now += entry.Options.HeartbeatPeriod) {
      CoreContext at = entry.context();
      entry.Keys.onTimer(at);
    }
  };
  settle(entry.Options.KeyRetention + Milliseconds(10000));
  for (uint64_t i = 1; i <= 8; ++i) {
    RequestSpec spec = serviceSpec(false);
    spec.IdempotencyKey = "booking-" + std::to_string(i);
    CAPTURE(spec.IdempotencyKey);
    std::string ranked =
        rankByRendezvous(spec.IdempotencyKey, {"s1", "s2"}).front();
    entry.arrive({7, i}, spec);
    REQUIRE(entry.action<StartService>());
    CHECK(entry.action<StartService>()->Server == ranked);
    CHECK(entry.action<StartService>()->Fence == entry.List->Sequence);
  }
}

// Guards against a repeated execution of a ticket at its own instance.
TEST_CASE("EntryRequests answers a repeated ticket from memory") {
  EntryDriver entry;
  RequestSpec spec = serviceSpec(false);
  spec.IdempotencyKey = entry.Keys.makeTicket(1);
  entry.arrive({7, 1}, spec);
  REQUIRE(entry.action<StartService>());
  entry.captureDispatch();
  entry.arrive({7, 2}, spec);
  CHECK(entry.error() == "key_in_progress yes");
  entry.finish(Stage::Service, StageOutcome::Ok, "s1", 0, {7, 1});
  entry.arrive({7, 3}, spec);
  CHECK_FALSE(entry.action<StartService>());
  REQUIRE(entry.action<AnswerStored>());
  CHECK(entry.action<AnswerStored>()->HttpStatus == 200);
  CHECK(entry.recorded() == "key_replayed");
}

// Guards against keys that stay blocked after a request that didn't run, and
// against a second run of one whose outcome is unknown.
TEST_CASE("EntryRequests updates the key's record when the request ends") {
  EntryDriver entry;
  entry.Options.RetryBudgetFloor = 0;
  RequestSpec spec = serviceSpec(false);
  spec.IdempotencyKey = entry.Keys.makeTicket(1);
  entry.arrive({7, 1}, spec);
  entry.captureDispatch();
  SUBCASE("not run") {
    entry.finish(Stage::Service, StageOutcome::NotSent, "s1");
    CHECK(entry.error() == "backend_unreachable no");
    entry.arrive({7, 2}, spec);
    CHECK(entry.action<StartService>());
  }
  SUBCASE("unknown") {
    entry.finish(Stage::Service, StageOutcome::Failed, "s1");
    entry.arrive({7, 2}, spec);
    CHECK(entry.error() == "outcome_unknown unknown");
  }
  SUBCASE("cancelled while it runs") {
    entry.cancel({7, 1});
    entry.arrive({7, 2}, spec);
    CHECK(entry.error() == "outcome_unknown unknown");
  }
}

// Guards against a first byte that is sent without a home lease.
TEST_CASE("EntryRequests refuses a key without a home lease as not run") {
  EntryDriver entry;
  RequestSpec spec = serviceSpec(false);
  spec.IdempotencyKey = "booking-1";
  entry.arrive(Id, spec);
  CHECK_FALSE(entry.action<StartService>());
  CHECK(entry.error() == "key_lease_missing no");
  CHECK(entry.recorded() == "key_refused");
}

// Guards against entries that all choose the same shard of a model.
TEST_CASE("EntryRequests prefers the shorter queue of two shards") {
  SampleOptions sample;
  EntryDriver entry(sample);
  std::string text = sampleConfigText(sample);
  std::string from = R"("servers":["p1","p2","d1","d2"]})";
  text.replace(text.find(from), from.size(),
               R"("servers":["p1","d1"]},{"name":"summary-1",)"
               R"("servers":["p2","d2"]})");
  entry.Config = parsedConfig(text);
  CoreContext at = entry.context();
  entry.Requests.onRefusal(
      at, "o1", Refusal{{7, 99}, "summary-0", 1, ErrorKind::Overloaded, {}, 8});
  for (uint64_t i = 1; i < 20; ++i) {
    entry.arrive({7, i});
    REQUIRE(entry.sent<AcquireRequest>());
    CHECK(entry.sent<AcquireRequest>()->Shard == "summary-1");
  }
}

// Guards against a shutdown that leaves work on servers.
TEST_CASE("EntryRequests abandons open requests at the shutdown limit") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  CoreContext at = entry.context();
  CHECK(entry.Requests.abandonAll(at) == 1);
  CHECK(entry.error() == "shutting_down unknown");
  CHECK(entry.cancelledAt() == Names{"p1", "d1"});
}

// Guards against a started stream that is refused because of the deadline of
// its first output when its server dies.
TEST_CASE("EntryRequests sends no deadline once output has started") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.progress(3);
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1", 3);
  CoreContext at = entry.context();
  entry.Crashes.onServerCrashed(at, "d1", 1);
  entry.timer();
  REQUIRE(entry.sent<AcquireRequest>());
  CHECK(entry.sent<AcquireRequest>()->RunAlone);
  CHECK(entry.sent<AcquireRequest>()->MayWait);
}

// Guards against suspects that still wait to run alone after the same content
// has completed, and against clearing one because of a prefill or a refusal.
TEST_CASE("EntryRequests requests a new placement for a cleared suspect") {
  EntryDriver entry;
  entry.runTo(Stage::Decode);
  entry.finish(Stage::Decode, StageOutcome::Failed, "d1");
  CoreContext at = entry.context();
  entry.Crashes.onServerCrashed(at, "d1", 1);
  entry.timer();
  REQUIRE(entry.sent<AcquireRequest>());
  uint32_t first = entry.sent<AcquireRequest>()->Attempt;
  auto runElsewhere = [&](uint64_t Number, bool Completed) {
    entry.Crashes.onStarted({7, Number}, "d2", modelSpec().Fingerprint, false);
    CoreContext end = entry.context();
    entry.Crashes.onEnded(end, {7, Number}, false, Completed);
    entry.timer();
  };
  runElsewhere(3, false);
  CHECK_FALSE(entry.sent<AcquireRequest>());
  runElsewhere(4, true);
  REQUIRE(entry.sent<AcquireRequest>());
  CHECK_FALSE(entry.sent<AcquireRequest>()->RunAlone);
  CHECK(entry.sent<AcquireRequest>()->Attempt > first);
}

// Guards against an owner that considers a request prefilling during its whole
// decode, and against a message per token.
TEST_CASE("EntryRequests reports the start of a local decode only once") {
  EntryDriver entry;
  entry.arrive();
  entry.grantPrefill("d1", "d1");
  entry.captureDispatch();
  entry.progress(1);
  REQUIRE(entry.sent<PrefillDone>());
  CHECK(entry.sent<PrefillDone>()->Attempt == 1);
  entry.progress(2);
  CHECK_FALSE(entry.sent<PrefillDone>());
}
