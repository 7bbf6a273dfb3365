#include "load_metrics.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocusspur::bench;

namespace {

TrafficSource traffic(const std::string &Group, double Rate) {
  TrafficSource source;
  source.Group = Group;
  source.RequestsPerSecond = Rate;
  source.Until = std::chrono::seconds(20);
  return source;
}

std::string textOf(const std::vector<PlannedRequest> &Trace) {
  std::string text;
  for (const PlannedRequest &it : Trace)
    text += std::to_string(it.At.count()) + " " + it.Group + " " +
            std::to_string(it.PromptTokens) + " " +
            std::to_string(it.OutputTokens) + " " + it.Prompt + "\n";
  return text;
}

Microseconds ms(int64_t Value) { return Microseconds(Value * 1000); }

const std::map<std::string, GroupTarget> Targets = {
    {"drivers", {2, ms(270), ms(15), false}},
    {"planners", {2, ms(5000), ms(15), true}},
    {"auditors", {1, ms(5000), ms(15), true}}};

// A complete response whose first token arrived after `FirstMs`.
RequestResult response(const std::string &Group, int64_t FirstMs,
                       uint32_t Tokens = 11, int64_t IntervalMs = 10) {
  RequestResult result;
  result.Group = Group;
  result.Status = 200;
  result.Complete = result.Ended = true;
  result.Tokens = Tokens;
  result.At = ms(1000);
  result.First = result.At + ms(FirstMs);
  result.Last = result.First + ms(IntervalMs * (Tokens - 1));
  return result;
}

RequestResult problem(const std::string &Group, const std::string &Execution) {
  RequestResult result;
  result.Group = Group;
  result.Status = 503;
  result.Kind = "overloaded";
  result.Execution = Execution;
  result.Ended = true;
  return result;
}

EngineRun prefill(const std::string &Group, const std::string &Outcome) {
  return {false, Group, Outcome, 0, 50};
}

EngineRun decode(const std::string &Group, double Started, double Ended,
                 const std::string &Outcome = "done") {
  return {true, Group, Outcome, Started, Ended};
}

} // namespace

// Guards against comparing policies on different requests.
TEST_CASE("Load trace is the same for the same seed") {
  std::vector<TrafficSource> sources = {traffic("drivers", 30),
                                        traffic("planners", 5)};
  std::string first = textOf(makeTrace(sources, 1));
  CHECK(first == textOf(makeTrace(sources, 1)));
  CHECK(first != textOf(makeTrace(sources, 2)));
}

// Guards against a load that differs from the scenario's.
TEST_CASE("Load trace has the requested rate and lengths") {
  auto trace = makeTrace({traffic("drivers", 50)}, 1);
  double tokens = 0;
  for (const PlannedRequest &it : trace) {
    CHECK(it.OutputTokens >= 1);
    CHECK(it.OutputTokens <= it.MaxTokens);
    CHECK(it.PromptTokens == 500);
    tokens += it.OutputTokens;
  }
  CHECK(
      std::is_sorted(trace.begin(), trace.end(),
                     [](const auto &A, const auto &B) { return A.At < B.At; }));
  CHECK(trace.back().At < std::chrono::seconds(20));
  // The expected number is 1000, with a standard deviation of 32.
  CHECK(trace.size() == doctest::Approx(1000).epsilon(0.13));
  // The mean of 20 is reduced by about 0.9 by the limit and by rounding down.
  CHECK(tokens / static_cast<double>(trace.size()) ==
        doctest::Approx(19.1).epsilon(0.13));
}

// Guards against prefix traces whose prompts have no prefix in common.
TEST_CASE("Load trace gives prompts a common prefix") {
  TrafficSource source = traffic("drivers", 10);
  source.SharedPrefixes = 1;
  source.PrefixBytes = 2048;
  auto trace = makeTrace({source}, 1);
  REQUIRE(trace.size() > 1);
  CHECK(trace[0].Prompt.substr(0, 2048) == trace[1].Prompt.substr(0, 2048));
  CHECK(trace[0].Prompt != trace[1].Prompt);
}

// Guards against counting late, slow or incomplete responses as goodput.
TEST_CASE("Goodput needs both targets and a complete response") {
  RequestResult broken = response("drivers", 100);
  broken.Complete = false;
  RequestResult open = response("drivers", 100);
  open.Complete = open.Ended = false;
  std::vector<RequestResult> results = {response("drivers", 270),
                                        response("drivers", 271),
                                        response("drivers", 10, 11, 16),
                                        response("drivers", 10, 1),
                                        problem("drivers", "no"),
                                        problem("drivers", "unknown"),
                                        broken,
                                        open,
                                        response("planners", 9000)};
  GroupCounts drivers = countResults(results, Targets, "drivers");
  CHECK(drivers.Requests == 7);
  CHECK(drivers.Open == 1);
  CHECK(drivers.Good == 2);
  CHECK(drivers.Refused == 1);
  CHECK(drivers.Failed == 2);
  CHECK(drivers.P50 == 100);
  CHECK(drivers.P99 == 271);
  // A group that may wait has no target for its first output.
  CHECK(countResults(results, Targets, "planners").Good == 1);
  CHECK(countResults(results, Targets, "").Requests == 8);
}

// Guards against counting prefills in progress as wasted or as used.
TEST_CASE("Wasted prefill counts only results with a final outcome") {
  std::vector<EngineRun> runs = {
      prefill("drivers", "imported"),  prefill("drivers", "evicted"),
      prefill("drivers", "cancelled"), prefill("planners", "superseded"),
      prefill("drivers", "running"),   prefill("drivers", "done"),
      decode("drivers", 0, 100)};
  PrefillCounts drivers = countPrefills(runs, "drivers");
  CHECK(drivers.Prefills == 3);
  CHECK(drivers.Wasted == 2);
  CHECK(countPrefills(runs, "").Wasted == 3);
}

// Guards against counting slot time outside of the measurement window.
TEST_CASE("Slot seconds are limited to the window") {
  auto sums = slotSeconds(
      {decode("planners", 500, 1500), decode("planners", 1800, 9000),
       decode("drivers", 1900, 0, "running"), prefill("drivers", "imported")},
      {1000, 2000});
  CHECK(sums["planners"] == doctest::Approx(0.7));
  CHECK(sums["drivers"] == doctest::Approx(0.1));
}

// Guards against counting responses that missed their targets toward the bound.
TEST_CASE("Useful seconds exclude responses that miss their targets") {
  TimeWindow all{0, 100000};
  std::vector<RequestResult> results = {response("drivers", 100),
                                        response("drivers", 300)};
  // Eleven tokens at intervals of 10 ms.
  CHECK(usefulSeconds(results, Targets, ms(10), all, "drivers") ==
        doctest::Approx(0.11));
  CHECK(usefulSeconds(results, Targets, ms(10), {1150, 100000}, "") ==
        doctest::Approx(0.05));
}

// Guards against a cost per token that counts tokens outside of the window.
TEST_CASE("Tokens within a window are counted at the rate of the response") {
  std::vector<RequestResult> results = {response("drivers", 100)};
  CHECK(tokensWithin(results, {0, 100000}) == doctest::Approx(11));
  CHECK(tokensWithin(results, {1150, 100000}) == doctest::Approx(5.5));
}

// Guards against averaging the deviation over the whole run, which hides short
// deviations.
TEST_CASE("Share deviation is the largest of all ten-second windows") {
  std::vector<EngineRun> runs = {
      decode("planners", 0, 20000), decode("planners", 0, 20000),
      decode("auditors", 0, 10000), decode("drivers", 0, 20000)};
  TimeWindow first{0, 10000}, both{0, 20000};
  CHECK(shareDeviation(runs, Targets, "planners", first).value() ==
        doctest::Approx(0));
  // Without the auditors, planners use three thirds of the slots instead of
  // two.
  CHECK(shareDeviation(runs, Targets, "planners", both).value() ==
        doctest::Approx(0.5));
  CHECK(shareDeviation(runs, Targets, "auditors", both).value() ==
        doctest::Approx(1));
  CHECK_FALSE(shareDeviation(runs, Targets, "planners", {0, 9000}));
}
