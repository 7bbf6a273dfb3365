// Splits the bytes of an event stream (text/event-stream) at event boundaries,
// so that only whole events are forwarded. An empty line ends an event. Lines
// end with LF, CRLF or CR, as the format allows; which of them is a property of
// a stream and follows from its first line with a field.
#ifndef CROCUSSPUR_EVENT_SPLITTER_H
#define CROCUSSPUR_EVENT_SPLITTER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusspur::internal {

enum class LineEnd : uint8_t { Unknown, Lf, CrLf, Cr };

const char *nameOf(LineEnd Ends); // in logs

// What becomes of a byte order mark before the first event.
enum class ByteOrderMark : uint8_t {
  Keep, // as a part of the first event
  Drop  // for events that are joined to others
};

constexpr std::string_view ByteOrderMarkBytes = "\xEF\xBB\xBF";

// The id that the event's last id field states, as readers of the format find
// it; empty if it has none. An id with a control character is none: it couldn't
// be sent in a header field.
std::string eventId(std::string_view Event);
// Whether the event has a field other than the time after which to reconnect.
// Readers get nothing of an event without one.
bool hasContent(std::string_view Event);

class EventSplitter {
public:
  explicit EventSplitter(ByteOrderMark Mark = ByteOrderMark::Keep)
      : Mark(Mark) {}

  void add(std::string_view Bytes) { Pending += Bytes; }
  // Extracts the next whole event, including the empty line that ends it and
  // any empty lines before it. Returns false if there is none: a CR that may be
  // the half of a CRLF ends no line until the next byte has come. Examines each
  // byte once.
  bool next(std::string &Event);
  // Bytes after the last whole event.
  const std::string &rest() const { return Pending; }
  // Whether rest() holds a part of an event or of a line end, once next() has
  // returned false. A line without an empty line behind it is part of one, also
  // a comment, since events may begin with comments.
  bool insideEvent() const {
    return HasLine || !LineEmpty || Scanned < Pending.size();
  }
  // Drops what has been examined, for users that only ask insideEvent(): the
  // bytes of an event that doesn't end aren't kept.
  void dropExamined() {
    Pending.erase(0, Scanned);
    Scanned = 0;
  }
  // How the first line with a field ended.
  LineEnd lineEnd() const { return Ends; }
  // Whether rest() ends with a CR that may be the half of a CRLF.
  bool insideLineEnd() const {
    return Scanned < Pending.size() && Pending.back() == '\r';
  }

private:
  enum class Step : uint8_t { Character, End, LaterHalf, Undecided };

  bool passByteOrderMark();
  // What the next byte is; one or two bytes of a line end are passed at once.
  Step step();
  void learn(LineEnd Found);
  bool takeEvent(std::string &Event);

  ByteOrderMark Mark;
  std::string Pending;
  size_t Scanned = 0; // bytes of Pending that have been examined
  LineEnd Ends = LineEnd::Unknown;
  bool AtStart = true;      // no byte of the stream has been examined
  bool HasLine = false;     // Pending holds a line that isn't empty
  bool HasField = false;    // ... and isn't a comment
  bool LineEmpty = true;    // nothing of the current line has been seen
  bool AfterReturn = false; // the last byte was a CR that ended a line
};

} // namespace crocusspur::internal

#endif
