#include "trace_recorder.h"

#include "crocusspur/trace.h"
#include "runtime.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

Settings settingsOf(const std::string &Path) {
  Settings values;
  values.RecordPath = Path;
  values.Core.Instance = "e1";
  return values;
}

std::vector<std::string> linesOf(const std::string &Path) {
  std::vector<std::string> lines;
  std::ifstream in(Path);
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

const std::string Path = CROCUSSPUR_BUILD_DIR "/trace_recorder_test.jsonl";

Event timerAt(int Milli) {
  Event event;
  event.At = std::chrono::steady_clock::now() + Milliseconds(Milli);
  event.Body = TimerFired{};
  return event;
}

template <typename F> bool parses(F Run) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(Run());
        return true;
      },
      [] { return false; });
}

} // namespace

// Guards against lines that are lost, reordered or unreadable.
TEST_CASE("TraceRecorder writes every event and action as a line") {
  Kernel kernel(settingsOf(Path));
  auto plugin = makeTraceRecorder();
  REQUIRE(plugin->start(kernel));
  TraceSink *sink = kernel.find<TraceSink>();
  REQUIRE(sink);
  for (int i = 0; i < 1000; ++i) {
    Event event = timerAt(i);
    sink->onEvent(event);
    sink->onAction(SetReadiness{true}, event.At);
  }
  plugin->stop();
  std::vector<std::string> lines = linesOf(Path);
  REQUIRE(lines.size() == 2001);
  CHECK(parses([&] { return parseOptions(lines[0]); }));
  TimePoint start;
  for (size_t i = 1; i < lines.size(); i += 2)
    REQUIRE(parses([&] { return parseEvent(lines[i], start); }));
  std::remove(Path.c_str());
}

// Guards against recording without a trace file in the settings.
TEST_CASE("TraceRecorder provides nothing without a path") {
  Kernel kernel(settingsOf(""));
  auto plugin = makeTraceRecorder();
  REQUIRE(plugin->start(kernel));
  CHECK(kernel.find<TraceSink>() == nullptr);
  plugin->stop();
}

// Guards against a trace with a gap, whose replay would give other decisions.
TEST_CASE("TraceRecorder stops recording when its ring is full") {
  Kernel kernel(settingsOf(Path));
  auto plugin = makeTraceRecorder(2);
  REQUIRE(plugin->start(kernel));
  TraceSink *sink = kernel.find<TraceSink>();
  REQUIRE(sink);
  // The times are consecutive, so that a gap is detected.
  Event event = timerAt(0);
  TimePoint first = event.At;
  for (int i = 0; i < 200000; ++i) {
    event.At = first + Microseconds(i);
    sink->onEvent(event);
  }
  plugin->stop();
  std::vector<std::string> lines = linesOf(Path);
  REQUIRE(lines.size() > 1);
  CHECK(lines.size() < 200001);
  TimePoint expected;
  for (size_t i = 1; i < lines.size(); ++i) {
    TimePoint at;
    REQUIRE(parses([&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(parsed, parseEvent(lines[i], TimePoint()));
      at = parsed.At;
      return {};
    }));
    if (i > 1)
      REQUIRE(at == expected);
    expected = at + Microseconds(1);
  }
  std::remove(Path.c_str());
}

// Guards against a process that runs although its trace can't be written.
TEST_CASE("TraceRecorder doesn't start without its file") {
  Kernel kernel(settingsOf("/nonexistent/trace.jsonl"));
  CHECK_FALSE(makeTraceRecorder()->start(kernel));
}
