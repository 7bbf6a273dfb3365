#include "received_stream.h"

#include <algorithm>
#include <sstream>

namespace crocusspur::soak {
namespace {

// Returns the text up to the end of the event that begins at `At`.
std::string eventTextAt(const std::string &Body, size_t At) {
  size_t end = Body.find("\n\n", At);
  return Body.substr(At, end == std::string::npos ? end : end + 2 - At);
}

// In one line, for violations.
std::string describe(const std::string &Text) {
  if (Text.empty())
    return "nothing";
  if (std::optional<StreamEvent> event = parseEvent(Text))
    return std::to_string(event->Number) + " of " + event->RequestId +
           " (server " + event->Server + " " + event->Version + ", run " +
           std::to_string(event->Run) + ")";
  std::string line = Text.substr(0, 80);
  std::replace(line.begin(), line.end(), '\n', '|');
  return "\"" + line + "\"";
}

} // namespace

std::string textOf(const StreamEvent &Event) {
  return "id: " + std::to_string(Event.Number) + "\ndata: " + Event.RequestId +
         " " + Event.Server + " " + Event.Version + " " +
         std::to_string(Event.Run) + " " + std::to_string(Event.Number) +
         "\n\n";
}

std::optional<StreamEvent> parseEvent(const std::string &Text) {
  std::istringstream in(Text);
  std::string idName, dataName;
  StreamEvent event;
  int id = 0;
  in >> idName >> id >> dataName >> event.RequestId >> event.Server >>
      event.Version >> event.Run >> event.Number;
  if (!in || id != event.Number || textOf(event) != Text)
    return std::nullopt;
  return event;
}

std::string
ReceivedStream::faultOf(const std::optional<StreamEvent> &Event) const {
  if (!Event)
    return "foreign or cut text";
  if (Event->RequestId != RequestId)
    return "an event of another stream";
  if (Event->Run != Last.Run && Runs.contains(Event->Run))
    return "an event of a run that was left";
  if (Event->Number <= Last.Number)
    return "an event twice or out of order";
  if (Event->Number > Last.Number + 1)
    return "a missing event";
  if (Event->Number > StreamEvents)
    return "an event beyond the last one";
  return "";
}

void ReceivedStream::accept(const StreamEvent &Event) {
  if (VersionChange.empty() && !Last.Version.empty() &&
      Event.Version != Last.Version) {
    ChangedRuns = {Last.Run, Event.Run};
    VersionChange = "answer " + std::to_string(Answers) + " of " + RequestId +
                    ": " + describe(textOf(Last)) + ", then " +
                    describe(textOf(Event));
  }
  Runs.insert(Event.Run);
  Last = Event;
}

std::string ReceivedStream::add(const std::string &Body, bool WholeBody) {
  ++Answers;
  std::string where =
      " in answer " + std::to_string(Answers) + " of " + RequestId;
  std::string before = Last.Number > 0 ? textOf(Last) : "";
  for (size_t at = 0; at < Body.size();) {
    std::string text = eventTextAt(Body, at);
    at += text.size();
    std::optional<StreamEvent> event = parseEvent(text);
    if (std::string fault = faultOf(event); !fault.empty()) {
      Over = true;
      return fault + where + ": " + describe(before) + ", then " +
             describe(text) + ", then " + describe(eventTextAt(Body, at));
    }
    accept(*event);
    before = text;
  }
  Over = WholeBody;
  if (WholeBody && Last.Number < StreamEvents)
    return "looks complete before the last event" + where + ": " +
           describe(before) + " is the last";
  return "";
}

} // namespace crocusspur::soak
