#include "request_history.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace crocusspur::internal;

// An operator has only the id of a refused request, whose own lines don't name
// the earlier attempts that crashed servers.
TEST_CASE("RequestHistory adds the crashes under a request's content") {
  const std::string text =
      "{ \"timestamp\": \"10:00:01\", \"logger\": \"crash_monitor\", "
      "\"message\": \"crashed\", \"context_map\": { \"content\": \"c7\", "
      "\"request\": \"a1\" } }\n"
      "{ \"timestamp\": \"10:00:02\", \"logger\": \"crash_monitor\", "
      "\"message\": \"another\", \"context_map\": { \"content\": \"c8\" } "
      "}\n"
      "{ \"timestamp\": \"10:00:03\", \"logger\": \"request\", "
      "\"message\": \"finished\", \"context_map\": { \"content\": \"c7\", "
      "\"request\": \"a2\" } }\n";
  std::istringstream first(text);
  std::vector<HistoryEntry> history;
  collectHistory(first, "a2", history);
  REQUIRE(history.size() == 1);
  CHECK(history[0].Content == "c7");
  std::istringstream second(text);
  collectCrashes(second, {"c7"}, "a2", history);
  sortHistory(history);
  REQUIRE(history.size() == 2);
  CHECK(history[0].Message == "crashed");
  CHECK(history[0].Fields == "content=c7");
}

// Guards against lines of other requests and against lines in the wrong order.
TEST_CASE("RequestHistory orders a request's lines of several logs by time") {
  std::istringstream first(
      "  12.1 e1 { \"timestamp\": \"10:00:02\", \"logger\": \"request\", "
      "\"message\": \"finished\", \"context_map\": { \"instance\": \"e1\", "
      "\"request\": \"a1\", \"status\": \"200\" } }\n"
      "{ \"timestamp\": \"10:00:00\", \"message\": \"other\", "
      "\"context_map\": { \"request\": \"a12\" } }\n"
      "not json a1 {\n");
  std::istringstream second(
      "{ \"timestamp\": \"10:00:01\", \"message\": \"sent\", "
      "\"context_map\": { \"instance\": \"e2\", \"request\": \"a1\" } }\n"
      "{ \"timestamp\": \"10:00:01\", \"message\": \"no request: a1\" }\n");
  std::vector<HistoryEntry> history;
  collectHistory(first, "a1", history);
  collectHistory(second, "a1", history);
  sortHistory(history);
  REQUIRE(history.size() == 2);
  CHECK(history[0].Message == "sent");
  CHECK(history[0].Instance == "e2");
  CHECK(history[1].Message == "finished");
  CHECK(history[1].Fields == "status=200");
}
