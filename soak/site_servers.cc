#include "site_servers.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

namespace crocusspur::soak {
namespace {

constexpr uint64_t MaxPauseMs = 50;      // between events
constexpr uint64_t MaxPartPauseMs = 400; // inside an event
constexpr uint64_t MaxSilenceMs = 3000;
constexpr unsigned BeginAgainPercent = 8; // of runs that are asked to go on
constexpr unsigned OtherTextPercent = 5;
constexpr unsigned MaxCopyPauseMs = 60;    // between an answer and its copy
constexpr unsigned LateFirstRangeMs = 400; // below the latest first event
constexpr unsigned MaxFailFirstMs = 900;   // from a run's begin to its failure
// Keeps the draws of the wide form apart from those of the faults.
constexpr uint64_t WideSeedOffset = 2000000;

enum class Framing : uint8_t { Chunks, Length, UntilClose };

enum class Break : uint8_t {
  None,
  Silence,   // goes on after it
  PartLater, // of an event
  Reset,
  Close,
  SoundEnd // of the body, inside an event
};

struct RunScript {
  std::vector<std::string> Pieces; // events and what stands before them
  Framing Frame = Framing::Chunks;
  Break Fault = Break::None;
  size_t FaultyPiece = 0;
  size_t FaultyByte = 0; // first one of the piece that isn't sent at once
  Milliseconds FaultPause{0};
  Milliseconds Pause{0};
  size_t total() const {
    size_t n = 0;
    for (const std::string &it : Pieces)
      n += it.size();
    return n;
  }
  size_t beforeFault() const {
    size_t n = FaultyByte;
    for (size_t i = 0; i < FaultyPiece; ++i)
      n += Pieces[i].size();
    return n;
  }
};

class SiteStreams {
public:
  explicit SiteStreams(SiteServerOptions Options)
      : Options(std::move(Options)), Random(this->Options.Seed),
        WideRandom(this->Options.Seed + WideSeedOffset) {}
  // Returns whether the connection stays open.
  bool respond(SoakServer &Server, const StreamCall &Call);

private:
  unsigned below(unsigned Below) {
    std::lock_guard lock(Mutex);
    return static_cast<unsigned>(Random() % Below);
  }
  unsigned wideBelow(unsigned Below) {
    std::lock_guard lock(Mutex);
    return static_cast<unsigned>(WideRandom() % Below);
  }
  // Ends the run before its first event, with or without a head, by a close or
  // a reset, if that is drawn. Returns whether it did.
  bool failFirst(const StreamCall &Call);
  // Time until the first event of a run; mostly 0.
  Milliseconds drawLateness(const StreamCall &Call);
  // `FirstTo`: greatest number of the first event's last token.
  RunScript drawScript(const std::string &Stream, uint64_t Run, int From,
                       int FirstTo);
  void drawBreak(RunScript &Script, size_t LastEventSize);

  const SiteServerOptions Options;
  std::mutex Mutex;
  std::mt19937_64 Random;
  std::mt19937_64 WideRandom;
};

Milliseconds SiteStreams::drawLateness(const StreamCall &Call) {
  if (wideBelow(100) >= Options.LateFirstPercent ||
      Call.Request.find(" " + Options.LatePath) == std::string::npos)
    return Milliseconds(0);
  return std::max(Options.LateFirst - Milliseconds(wideBelow(LateFirstRangeMs)),
                  Milliseconds(0));
}

bool SiteStreams::failFirst(const StreamCall &Call) {
  // Nothing is drawn without the option, so that other draws stay.
  if (Options.FailFirstPercent == 0 ||
      wideBelow(100) >= Options.FailFirstPercent)
    return false;
  if (wideBelow(2) == 0)
    sendText(Call.Fd, responseHead(200, Call.RequestId,
                                   "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked"));
  std::this_thread::sleep_for(Milliseconds(wideBelow(MaxFailFirstMs)));
  if (wideBelow(2) == 0)
    resetOnClose(Call.Fd);
  return true;
}

RunScript SiteStreams::drawScript(const std::string &Stream, uint64_t Run,
                                  int From, int FirstTo) {
  RunScript script;
  script.Frame = static_cast<Framing>(below(3));
  script.Pause = Options.LeastPause + Milliseconds(5 + below(MaxPauseMs));
  std::vector<size_t> sizes; // of the events alone, at the end of the pieces
  for (int from = From; from <= SiteTokens;) {
    int to = std::min(from == From ? FirstTo : SiteTokens,
                      from + static_cast<int>(below(MaxTokensPerEvent)));
    std::string text = textOf(
        {Stream, Options.Id, Options.Version, Run, from, to}, *Options.Form);
    sizes.push_back(text.size());
    std::string before = from == From ? byteOrderMarkOf(*Options.Form) : "";
    if (below(3) == 0)
      before += commentOf(*Options.Form);
    script.Pieces.push_back(before + text);
    from = to + 1;
  }
  if (!script.Pieces.empty() && below(100) < Options.BreakPercent) {
    script.FaultyPiece = below(static_cast<unsigned>(script.Pieces.size()));
    drawBreak(script, sizes[script.FaultyPiece]);
  }
  return script;
}

void SiteStreams::drawBreak(RunScript &Script, size_t LastEventSize) {
  static constexpr Break Breaks[] = {Break::Silence,  Break::PartLater,
                                     Break::Reset,    Break::Close,
                                     Break::SoundEnd, Break::SoundEnd};
  Script.Fault = Breaks[below(std::size(Breaks))];
  const std::string &piece = Script.Pieces[Script.FaultyPiece];
  size_t begin = piece.size() - LastEventSize;
  // Mostly inside the event: callers can't tell an end after a whole one from
  // the end of the stream.
  Script.FaultyByte =
      begin + 1 + below(static_cast<unsigned>(LastEventSize - 1));
  if (below(2) == 0) {
    // Inside a line end, or between two, mostly those of the event's end.
    size_t end = piece.size() - 1;
    if (below(3) == 0)
      end = std::max(begin, piece.rfind('\r', Script.FaultyByte)) + 1;
    Script.FaultyByte = std::clamp(end, begin + 1, piece.size() - 1);
  }
  // An end after a whole event that can be told from the end of the stream.
  bool visible =
      Script.Fault == Break::Silence || Script.Fault == Break::Reset ||
      (Script.Fault == Break::Close && Script.Frame != Framing::UntilClose);
  if (visible && below(3) == 0)
    Script.FaultyByte = piece.size();
  Script.FaultPause = Milliseconds(
      below(Script.Fault == Break::Silence ? MaxSilenceMs : MaxPartPauseMs));
}

std::string framed(const std::string &Data, Framing Frame) {
  return Frame == Framing::Chunks ? chunk(Data) : Data;
}

bool SiteStreams::respond(SoakServer &Server, const StreamCall &Call) {
  if (failFirst(Call))
    return false;
  std::string last = headerField(Call.Request, "Last-Event-Id");
  std::string first = headerField(Call.Request, "Resumes");
  int from = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  int firstTo = SiteTokens;
  if (unsigned n = last.empty() ? 100 : below(100); n < BeginAgainPercent) {
    // A first event with an id beyond the last one can't be told from that of
    // a run that goes on, as ids count tokens.
    firstTo = std::max(1, from - 1);
    from = 1;
  } else if (n < BeginAgainPercent + OtherTextPercent) {
    std::string text = "{\"error\":\"the output can't go on\"}";
    sendText(Call.Fd, responseHead(200, Call.RequestId,
                                   "Content-Type: application/json\r\n"
                                   "Content-Length: " +
                                       std::to_string(text.size())) +
                          text);
    return true;
  }
  RunScript script = drawScript(first.empty() ? Call.RequestId : first,
                                Call.Run, from, firstTo);
  std::string framing = "Transfer-Encoding: chunked";
  if (script.Frame == Framing::Length)
    framing =
        "Content-Length: " + std::to_string(script.Fault == Break::SoundEnd
                                                ? script.beforeFault()
                                                : script.total());
  if (script.Frame == Framing::UntilClose) {
    framing = "Connection: close";
    Server.markUnframed(Call.Fd);
  }
  std::string sent = responseHead(
      200, Call.RequestId, "Content-Type: text/event-stream\r\n" + framing);
  Milliseconds lateness = drawLateness(Call);
  bool lateHead = wideBelow(2) == 0;
  if (lateHead)
    std::this_thread::sleep_for(lateness);
  sendText(Call.Fd, sent);
  if (!lateHead)
    std::this_thread::sleep_for(lateness);
  bool keep = script.Frame != Framing::UntilClose;
  for (size_t i = 0; i < script.Pieces.size(); ++i) {
    std::string bytes = framed(script.Pieces[i], script.Frame);
    if (script.Fault != Break::None && i == script.FaultyPiece) {
      std::string part =
          framed(script.Pieces[i].substr(0, script.FaultyByte), script.Frame);
      sendText(Call.Fd, part);
      if (script.Fault == Break::SoundEnd) {
        if (script.Frame == Framing::Chunks)
          sendText(Call.Fd, "0\r\n\r\n");
        return keep;
      }
      if (script.Fault == Break::Reset) {
        std::this_thread::sleep_for(script.FaultPause / 10);
        resetOnClose(Call.Fd);
      }
      if (script.Fault == Break::Reset || script.Fault == Break::Close)
        return false;
      std::this_thread::sleep_for(script.FaultPause);
      std::string later = script.Pieces[i].substr(script.FaultyByte);
      if (later.empty()) // an empty chunk would end the body
        continue;
      bytes = framed(later, script.Frame);
    }
    sendText(Call.Fd, bytes);
    sent += bytes;
    std::this_thread::sleep_for(script.Pause);
  }
  if (script.Frame == Framing::Chunks) {
    sendText(Call.Fd, "0\r\n\r\n");
    sent += "0\r\n\r\n";
  }
  if (keep && script.Fault == Break::None &&
      wideBelow(100) < Options.CopyPercent) {
    std::this_thread::sleep_for(Milliseconds(wideBelow(MaxCopyPauseMs)));
    sendText(Call.Fd, sent);
  }
  return keep;
}

} // namespace

StreamHook makeSiteStreams(SiteServerOptions Options) {
  auto streams = std::make_shared<SiteStreams>(std::move(Options));
  return [streams](SoakServer &Server, const StreamCall &Call) {
    return streams->respond(Server, Call);
  };
}

} // namespace crocusspur::soak
