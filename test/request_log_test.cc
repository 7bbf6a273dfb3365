#include "request_log.h"

#include "metrics.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

RequestSummary finished() {
  RequestSummary item;
  item.Group = "drivers";
  item.Tokens = 11;
  item.ArrivedAt = TimePoint(Milliseconds(1000));
  item.PrefillAt = item.ArrivedAt + Milliseconds(20);
  item.FirstOutputAt = item.ArrivedAt + Milliseconds(300);
  item.FirstTokenAt = item.FirstOutputAt;
  item.LastTokenAt = item.ArrivedAt + Milliseconds(800);
  item.EndedAt = item.ArrivedAt + Milliseconds(900);
  return item;
}

void checkContains(const std::string &Text, const std::string &Line) {
  CHECK_MESSAGE(Text.find(Line) != std::string::npos, "expected line: ", Line,
                "\nactual text:\n", Text);
}

} // namespace

// Guards against times measured from the wrong moment, and against a mean
// interval that counts the first token as one.
TEST_CASE("RequestLog observes the times of a finished request") {
  Metrics metrics;
  reportFinished(finished(), &metrics);
  std::string text = metrics.render();
  checkContains(text, "prefill_wait_seconds_sum{group=\"drivers\"} 0.02\n");
  checkContains(text, "first_output_seconds_sum{group=\"drivers\"} 0.3\n");
  checkContains(text, "output_gap_seconds_sum{group=\"drivers\"} 0.05\n");
}

// Guards against a request that is counted both at its entry instance and at
// the home of its key.
TEST_CASE("RequestLog leaves forwarded requests to their entry instance") {
  Metrics metrics;
  RequestSummary item = finished();
  item.ForwardedBy = "e2";
  reportFinished(item, &metrics);
  CHECK(metrics.render().find("_count") == std::string::npos);
}

// Guards against values of requests that had no output.
TEST_CASE("RequestLog observes nothing that did not happen") {
  Metrics metrics;
  RequestSummary item;
  item.Tokens = 1;
  reportFinished(item, &metrics);
  CHECK(metrics.render().find("_count") == std::string::npos);
  reportFinished(item, nullptr);
}
