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

// A whole answer whose first token came after `FirstMs`.
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

// Guards against policies that are compared on different requests.
TEST_CASE("Load trace is the same for the same seed") {
  std::vector<TrafficSource> sources = {traffic("drivers", 30),
                                        traffic("planners", 5)};
  std::string first = textOf(makeTrace(sources, 1));
  CHECK(first == textOf(makeTrace(sources, 1)));
  CHECK(first != textOf(makeTrace(sources, 2)));
}

// Guards against a load other than the scenario states.
TEST_CASE("Load trace has the rate and the lengths that were asked for") {
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
  // 1000 requests are expected, with a standard deviation of 32.
  CHECK(trace.size() == doctest::Approx(1000).epsilon(0.13));
  // Mean 20, of which the cut and the rounding take about 0.9.
  CHECK(tokens / static_cast<double>(trace.size()) ==
        doctest::Approx(19.1).epsilon(0.13));
}

// Guards against prefix traces in which no two prompts share anything.
TEST_CASE("Load trace gives prompts a common prefix") {
  TrafficSource source = traffic("drivers", 10);
  source.SharedPrefixes = 1;
  source.PrefixBytes = 2048;
  auto trace = makeTrace({source}, 1);
  REQUIRE(trace.size() > 1);
  CHECK(trace[0].Prompt.substr(0, 2048) == trace[1].Prompt.substr(0, 2048));
  CHECK(trace[0].Prompt != trace[1].Prompt);
}

// Guards against late, slow or broken answers that count as goodput.
TEST_CASE("Goodput needs both targets and a whole answer") {
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

// Guards against prefills under way that count as wasted, or as used.
TEST_CASE("Wasted prefill counts only results whose fate is known") {
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

// Guards against slot time outside of the window that is measured.
TEST_CASE("Slot seconds are cut at the window") {
  auto sums = slotSeconds(
      {decode("planners", 500, 1500), decode("planners", 1800, 9000),
       decode("drivers", 1900, 0, "running"), prefill("drivers", "imported")},
      {1000, 2000});
  CHECK(sums["planners"] == doctest::Approx(0.7));
  CHECK(sums["drivers"] == doctest::Approx(0.1));
}

// Guards against a bound that is met by answers that missed their targets.
TEST_CASE("Useful seconds leave out answers that miss their targets") {
  TimeWindow all{0, 100000};
  std::vector<RequestResult> results = {response("drivers", 100),
                                        response("drivers", 300)};
  // Eleven tokens, each an interval of 10 ms.
  CHECK(usefulSeconds(results, Targets, ms(10), all, "drivers") ==
        doctest::Approx(0.11));
  CHECK(usefulSeconds(results, Targets, ms(10), {1150, 100000}, "") ==
        doctest::Approx(0.05));
}

// Guards against a cost a token that counts tokens outside of the window.
TEST_CASE("Tokens within a window are counted by the pace of the answer") {
  std::vector<RequestResult> results = {response("drivers", 100)};
  CHECK(tokensWithin(results, {0, 100000}) == doctest::Approx(11));
  CHECK(tokensWithin(results, {1150, 100000}) == doctest::Approx(5.5));
}

// Guards against a deviation that is averaged away over the whole run.
TEST_CASE("Share deviation is the worst of all ten seconds") {
  std::vector<EngineRun> runs = {
      decode("planners", 0, 20000), decode("planners", 0, 20000),
      decode("auditors", 0, 10000), decode("drivers", 0, 20000)};
  TimeWindow first{0, 10000}, both{0, 20000};
  CHECK(shareDeviation(runs, Targets, "planners", first).value() ==
        doctest::Approx(0));
  // Without auditors, planners have three thirds instead of two.
  CHECK(shareDeviation(runs, Targets, "planners", both).value() ==
        doctest::Approx(0.5));
  CHECK(shareDeviation(runs, Targets, "auditors", both).value() ==
        doctest::Approx(1));
  CHECK_FALSE(shareDeviation(runs, Targets, "planners", {0, 9000}));
}
