#include "event_splitter.h"

#include <algorithm>
#include <utility>

namespace crocusspur::internal {
namespace {

bool isControl(char It) {
  return static_cast<unsigned char>(It) < ' ' || It == 127;
}

// Removes the first line from the text and returns it without its end.
std::string_view takeLine(std::string_view &Text) {
  size_t n = std::min(Text.find_first_of("\r\n"), Text.size());
  std::string_view line = Text.substr(0, n);
  Text.remove_prefix(n);
  Text.remove_prefix(
      Text.starts_with("\r\n") ? 2 : std::min<size_t>(1, Text.size()));
  return line;
}

} // namespace

const char *nameOf(LineEnd Ends) {
  switch (Ends) {
  case LineEnd::Unknown:
    return "unknown";
  case LineEnd::Lf:
    return "lf";
  case LineEnd::CrLf:
    return "crlf";
  case LineEnd::Cr:
    return "cr";
  }
  return "unknown";
}

std::string eventId(std::string_view Event) {
  std::string id;
  while (!Event.empty()) {
    std::string_view line = takeLine(Event);
    size_t colon = std::min(line.find(':'), line.size());
    if (line.substr(0, colon) != "id")
      continue;
    line.remove_prefix(std::min(colon + 1, line.size()));
    while (line.starts_with(' '))
      line.remove_prefix(1);
    while (line.ends_with(' '))
      line.remove_suffix(1);
    if (std::none_of(line.begin(), line.end(), isControl))
      id = line;
  }
  return id;
}

bool hasContent(std::string_view Event) {
  while (!Event.empty()) {
    std::string_view line = takeLine(Event);
    if (!line.empty() && !line.starts_with(':') &&
        line.substr(0, line.find(':')) != "retry")
      return true;
  }
  return false;
}

bool EventSplitter::next(std::string &Event) {
  if (!passByteOrderMark())
    return false;
  while (Scanned < Pending.size()) {
    char c = Pending[Scanned];
    switch (step()) {
    case Step::Undecided:
      return false;
    case Step::LaterHalf:
      break;
    case Step::Character:
      HasField = HasField || (LineEmpty && c != ':');
      HasLine = true;
      LineEmpty = false;
      break;
    case Step::End:
      if (std::exchange(LineEmpty, true) && HasLine)
        return takeEvent(Event);
      break;
    }
  }
  return false;
}

// Returns false while it can't be told whether the stream begins with one.
bool EventSplitter::passByteOrderMark() {
  if (!AtStart)
    return true;
  size_t n = std::min(Pending.size(), ByteOrderMarkBytes.size());
  if (Pending.compare(0, n, ByteOrderMarkBytes, 0, n) == 0) {
    if (n < ByteOrderMarkBytes.size())
      return false;
    if (Mark == ByteOrderMark::Drop)
      Pending.erase(0, n);
    else
      Scanned = n;
  }
  AtStart = false;
  return true;
}

// Comments may come from a program before the server and have line ends of
// their own.
void EventSplitter::learn(LineEnd Found) {
  if (Ends == LineEnd::Unknown && HasField)
    Ends = Found;
}

EventSplitter::Step EventSplitter::step() {
  bool afterReturn = std::exchange(AfterReturn, false);
  char c = Pending[Scanned];
  if (c == '\r' && Ends != LineEnd::Cr) {
    if (Scanned + 1 == Pending.size())
      return Step::Undecided;
    if (Pending[Scanned + 1] == '\n') {
      learn(LineEnd::CrLf);
      Scanned += 2;
      return Step::End;
    }
    if (Ends != LineEnd::Unknown) {
      ++Scanned;
      return Step::Character;
    }
    learn(LineEnd::Cr);
  }
  ++Scanned;
  if (c == '\r') {
    AfterReturn = true;
    return Step::End;
  }
  if (c != '\n')
    return Step::Character;
  learn(LineEnd::Lf);
  return afterReturn ? Step::LaterHalf : Step::End;
}

// The examined bytes end with the empty line.
bool EventSplitter::takeEvent(std::string &Event) {
  if (AfterReturn && Scanned < Pending.size() && Pending[Scanned] == '\n') {
    ++Scanned;
    AfterReturn = false;
  }
  Event = Pending.substr(0, Scanned);
  Pending.erase(0, Scanned);
  Scanned = 0;
  HasLine = false;
  HasField = false;
  return true;
}

} // namespace crocusspur::internal
