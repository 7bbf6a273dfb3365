// Recorded traces: one JSON object per line, each an event or an action of the
// decision core, with times in microseconds since the start of the trace.
#ifndef CROCUSSPUR_TRACE_H
#define CROCUSSPUR_TRACE_H

#include "crocusspur/action.h"
#include "crocusspur/decision_core.h"
#include "crocusspur/event.h"

#include <boost/leaf/result.hpp>
#include <iosfwd>
#include <string>

namespace crocusspur {

// One line each, without a newline. Request bodies and stored responses are
// replaced by their length, so a trace contains no prompt and no response.
std::string formatEvent(const Event &Event, TimePoint Start);
std::string formatAction(const Action &Action, TimePoint At, TimePoint Start);

// Parses one event line. On failure the LEAF error carries a DiagnosticList.
boost::leaf::result<Event> parseEvent(const std::string &Line, TimePoint Start);

// First line of a trace: the options of the core that recorded it.
std::string formatOptions(const CoreOptions &Options, WallTime StartWall);
struct TraceHeader {
  CoreOptions Options;
  WallTime StartWall;
};
boost::leaf::result<TraceHeader> parseOptions(const std::string &Line);

struct ReplayResult {
  uint64_t Events = 0;
  uint64_t Actions = 0;
  uint64_t Differences = 0; // recorded actions that differ from replayed ones
};

// Feeds the events of a trace to a new core and writes the actions to `Out`
// as lines. Where the trace also has recorded actions, they are compared.
boost::leaf::result<ReplayResult> replayTrace(std::istream &In,
                                              std::ostream &Out);

} // namespace crocusspur

#endif
