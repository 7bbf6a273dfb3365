#include "metrics.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

DecisionRecord decisionOf(DecisionKind Kind, ErrorKind Error) {
  DecisionRecord record;
  record.Kind = Kind;
  record.Group = "drivers";
  record.Error = Error;
  return record;
}

void checkContains(const std::string &Text, const std::string &Line) {
  CHECK_MESSAGE(Text.find(Line) != std::string::npos, "expected line: ", Line,
                "\nactual text:\n", Text);
}

} // namespace

// Guards against refusals that can't be distinguished by their reason.
TEST_CASE("Metrics counts decisions by kind and refusals by reason") {
  Metrics metrics;
  metrics.onDecision(decisionOf(DecisionKind::Admitted, ErrorKind::Internal));
  metrics.onDecision(
      decisionOf(DecisionKind::Shed, ErrorKind::DeadlineUnreachable));
  metrics.onDecision(
      decisionOf(DecisionKind::Shed, ErrorKind::DeadlineUnreachable));
  std::string text = metrics.render();
  checkContains(
      text, R"(crocusspur_decisions_total{kind="admitted",group="drivers"} 1)"
            "\n");
  checkContains(
      text,
      R"(crocusspur_refusals_total{reason="deadline_unreachable",group="drivers"} 2)"
      "\n");
}

// Guards against buckets that aren't cumulative or lose values out of range.
TEST_CASE("Metrics renders cumulative buckets that include outliers") {
  Metrics metrics;
  for (double value : {0.0001, 0.01, 0.01, 1000.0})
    metrics.observe("first_output_seconds", "drivers", value);
  std::string text = metrics.render();
  checkContains(text, R"(_bucket{group="drivers",le="0.0005"} 1)"
                      "\n");
  checkContains(text, R"(_bucket{group="drivers",le="100"} 3)"
                      "\n");
  checkContains(text, R"(_bucket{group="drivers",le="+Inf"} 4)"
                      "\n");
  checkContains(text, R"(first_output_seconds_count{group="drivers"} 4)"
                      "\n");
}

// Guards against a metric that is created by a typo.
TEST_CASE("Metrics ignores a histogram that isn't declared") {
  Metrics metrics;
  metrics.observe("frist_output_seconds", "drivers", 1);
  CHECK(metrics.render().find("frist") == std::string::npos);
}

// Guards against external text that breaks the line format.
TEST_CASE("Metrics escapes label values") {
  Metrics metrics;
  metrics.setGauge("config_age_seconds", "a\"b\nc", 2.5);
  checkContains(metrics.render(),
                "crocusspur_config_age_seconds{name=\"a\\\"b c\"} 2.5\n");
}
