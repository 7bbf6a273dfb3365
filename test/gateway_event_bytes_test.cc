// Random streams in every form that the media type allows, split and broken off
// at every byte. What a caller gets of two runs must read like the stream for a
// reader that knows the stream's line end only, and for a reader of the format.
#include "gateway/decisions/streams/stream_progress.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;
using internal::LineEnd;

namespace {

constexpr size_t MaxEventBytes = 4096;
constexpr VersionKey Version = 101;
constexpr int Streams = 300;
const std::string Mark = "\xEF\xBB\xBF";

struct ReadEvent {
  std::string Id; // as the event states it
  std::string Data;
  bool operator==(const ReadEvent &) const = default;
};

// Splits text into lines; an unfinished last one is left out.
std::vector<std::string> linesOf(const std::string &Text, LineEnd Ends) {
  std::vector<std::string> lines;
  std::string line;
  for (size_t i = 0; i < Text.size(); ++i) {
    bool crLf = Text.compare(i, 2, "\r\n") == 0;
    size_t length = 0;
    if (Ends == LineEnd::CrLf)
      length = crLf ? 2 : 0;
    else if (Ends == LineEnd::Lf)
      length = Text[i] == '\n';
    else if (Ends == LineEnd::Cr)
      length = Text[i] == '\r';
    else // a reader of the format
      length = crLf ? 2 : Text[i] == '\r' || Text[i] == '\n';
    if (length == 0) {
      line += Text[i];
      continue;
    }
    lines.push_back(line);
    line.clear();
    i += length - 1;
  }
  return lines;
}

// `Ends`: the only line end that the reader knows; Unknown: it knows all.
std::vector<ReadEvent> read(std::string Text, LineEnd Ends) {
  if (Text.starts_with(Mark))
    Text.erase(0, Mark.size());
  std::vector<ReadEvent> events;
  ReadEvent event;
  bool hasField = false;
  for (const std::string &line : linesOf(Text, Ends)) {
    if (line.empty()) {
      if (hasField)
        events.push_back(event);
      event = ReadEvent();
      hasField = false;
      continue;
    }
    size_t colon = line.find(':');
    if (colon == 0)
      continue;
    bool hadField = std::exchange(hasField, true);
    std::string value = colon == line.npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' '))
      value.erase(0, 1);
    std::string name = line.substr(0, colon);
    if (name == "id" && value.find('\0') == value.npos)
      event.Id = value;
    else if (name == "data")
      event.Data += value + "/";
    else if (name == "retry")
      hasField = hadField;
    else if (name != "id")
      event.Data += "(" + name + ")";
  }
  return events;
}

class Stream {
public:
  Stream(uint64_t Seed, LineEnd Ends)
      : Random(Seed), Ends(Ends), End(textOf(Ends)), Events(2 + below(5)) {
    HasMark = below(4) == 0;
    for (int i = 1; i <= Events; ++i)
      Texts.push_back(eventText(i));
  }
  // A run from this event on, with what belongs before it.
  std::string run(int From) const {
    std::string text = HasMark ? Mark : "";
    for (int i = From; i <= Events; ++i)
      text += Texts[static_cast<size_t>(i - 1)];
    return text;
  }
  LineEnd lineEnd() const { return Ends; }
  int events() const { return Events; }

private:
  static std::string textOf(LineEnd Ends) {
    if (Ends == LineEnd::Lf)
      return "\n";
    return Ends == LineEnd::CrLf ? "\r\n" : "\r";
  }
  int below(int Below) {
    return static_cast<int>(Random() % static_cast<unsigned>(Below));
  }
  std::string eventText(int Id) {
    std::vector<std::string> lines{"id: " + std::to_string(Id),
                                   "data: token " + std::to_string(Id)};
    if (below(3) == 0)
      lines[0] = "id:" + std::to_string(Id);
    if (below(4) == 0)
      lines.insert(lines.begin(), "id: 0"); // the last one holds
    if (below(4) == 0)
      lines.push_back(std::string("id: 9\0", 6));
    if (below(4) == 0)
      lines.push_back("data");
    if (below(4) == 0)
      lines.push_back("weight-versions:4");
    if (below(4) == 0)
      lines.insert(lines.begin(), ": remark");
    if (below(4) == 0 && lines[0].starts_with("id"))
      std::swap(lines.front(), lines.back());
    // Only the last id line may state the number.
    auto last = std::find_if(lines.rbegin(), lines.rend(), [](auto &It) {
      return It.starts_with("id") && It.find('\0') == It.npos;
    });
    if (*last == "id: 0")
      *last = "id: " + std::to_string(Id);
    std::string text;
    for (const std::string &it : lines)
      text += it + End;
    text += End;
    if (below(4) == 0)
      text += End;
    if (below(5) == 0)
      text += ": ping" + End + End;
    if (below(5) == 0)
      text += "retry: 1000" + End + End;
    return text;
  }

  std::mt19937_64 Random;
  LineEnd Ends;
  std::string End;
  int Events;
  bool HasMark = false;
  std::vector<std::string> Texts;
};

// What a caller has of a run that ends at `Cut`, in two pieces, and of one that
// goes on.
struct Joined {
  std::string Bytes;
  bool FirstComplete = false; // the cut run looked like the whole stream
  RunFault Fault = RunFault::None;
};

Joined join(const Stream &Of, size_t Cut, size_t Piece, RunOutcome Outcome) {
  StreamProgress progress({internal::eventId}, "");
  Joined result;
  RunNumber run = progress.begin(Version);
  std::string first = Of.run(1).substr(0, Cut);
  for (const std::string &it : {first.substr(0, Piece), first.substr(Piece)})
    result.Bytes += progress.add(run, it, MaxEventBytes).Bytes;
  std::string rest = progress.rest();
  result.FirstComplete = progress.end(run, Outcome) == StreamEnd::Complete;
  if (result.FirstComplete) {
    result.Bytes += rest;
    return result;
  }
  run = progress.begin(Version);
  const std::string &last = progress.lastEventId();
  CHECK(last.find_first_not_of("0123456789") == last.npos);
  PassedEvents passed = progress.add(
      run, Of.run(last.empty() ? 1 : std::stoi(last) + 1), MaxEventBytes);
  result.Bytes += passed.Bytes + progress.rest();
  result.Fault = passed.Fault;
  return result;
}

void checkStream(const Stream &Of) {
  std::string whole = Of.run(1);
  std::vector<ReadEvent> expected = read(whole, LineEnd::Unknown);
  REQUIRE(expected.size() == static_cast<size_t>(Of.events()));
  std::mt19937_64 random(whole.size());
  for (size_t cut = 0; cut <= whole.size(); ++cut) {
    size_t piece = random() % (cut + 1);
    INFO("cut at ", cut, ", pieces end at ", piece);
    Joined joined =
        join(Of, cut, piece,
             random() % 2 ? RunOutcome::Complete : RunOutcome::BrokenOff);
    CHECK(joined.Fault == RunFault::None);
    // A body may end between two events, but not inside one or inside the line
    // that ends it.
    std::vector<ReadEvent> got = read(joined.Bytes, LineEnd::Unknown);
    if (joined.FirstComplete) {
      CHECK(joined.Bytes == whole.substr(0, cut));
      CHECK(got.size() == read(joined.Bytes, Of.lineEnd()).size());
      expected.resize(std::max(got.size(), expected.size()));
      CHECK(std::equal(got.begin(), got.end(), expected.begin()));
    } else {
      CHECK(got == expected);
      CHECK(read(joined.Bytes, Of.lineEnd()) == expected);
    }
  }
}

} // namespace

TEST_CASE(
    "Runs broken off at any byte join to events that every reader finds") {
  for (LineEnd it : {LineEnd::Lf, LineEnd::CrLf, LineEnd::Cr})
    for (uint64_t seed = 0; seed < Streams; ++seed) {
      CAPTURE(nameOf(it));
      CAPTURE(seed);
      checkStream(Stream(seed, it));
    }
}

// A raw CR in a line is a line end for some readers, so that the id that counts
// may stand behind it.
TEST_CASE("No event comes twice where a line holds a raw CR") {
  StreamProgress progress({internal::eventId}, "");
  RunNumber run = progress.begin(Version);
  progress.add(run, "data: x\nid: 1\n\ndata: y\rid: 2\n\n", MaxEventBytes);
  CHECK(progress.lastEventId() == "2");
  CHECK(progress.end(run, RunOutcome::BrokenOff) == StreamEnd::MayContinue);
}

// A proxy's comment with another line end stood before the events.
TEST_CASE("Comments with other line ends don't keep a run from going on") {
  for (const std::string &comment : {": ping\n\n", ": ping\r\n\r\n", "\n"})
    for (const std::string &end : {"\n", "\r\n", "\r"}) {
      CAPTURE(comment);
      CAPTURE(end);
      StreamProgress progress({internal::eventId}, "");
      RunNumber run = progress.begin(Version);
      std::string first = comment + "id: 1" + end + end;
      CHECK(progress.add(run, first, MaxEventBytes).Bytes == first);
      progress.end(run, RunOutcome::BrokenOff);
      run = progress.begin(Version);
      std::string second = comment + "id: 2" + end + end;
      CHECK(progress.add(run, second, MaxEventBytes).Bytes == second);
      CHECK(progress.end(run, RunOutcome::Complete) == StreamEnd::Complete);
    }
}
