// Decides what may follow the events of a stream that its caller has: which run
// may speak, which of its events are passed on, and whether the stream is
// complete, may go on elsewhere or must end when a run does. The same for runs
// at servers and for runs that another instance passes on. Does no I/O.
//
// docs/design/streams.md has a table of the ways in which a run ends.
#ifndef CROCUSSPUR_GATEWAY_STREAM_PROGRESS_H
#define CROCUSSPUR_GATEWAY_STREAM_PROGRESS_H

#include "event_splitter.h"
#include "gateway/decisions/event_order.h"
#include "gateway/decisions/server_registry.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crocusspur::gateway {

// Why a run doesn't go on with the stream.
enum class RunFault : uint8_t {
  None,
  Left,         // another run has begun, or this one was given up
  IdNotBeyond,  // an event's id isn't beyond the last one
  IdsMissing,   // events between the last one and its first one are missing,
                // or may be, as that has no id
  OtherVersion, // its server is, or may be, of another version than the events
                // so far
  EventTooLong,
  OtherWeights, // other model weights than those of the events so far write it
};

constexpr size_t RunFaultCount = 7;

const char *nameOf(RunFault Fault); // name in logs and metrics

// Events of a run that the caller gets now.
struct PassedEvents {
  std::string Bytes;
  uint64_t Count = 0;
  // The run was given up, after these events.
  RunFault Fault = RunFault::None;
  std::string FaultyId; // of the event that shows it, if one does
};

enum class StreamEnd : uint8_t {
  Complete,
  MayContinue, // a run at a server of requiredVersion() may go on
  Incomplete   // nothing may follow the events so far
};

// Names a run of one stream.
using RunNumber = uint32_t;

// Version of the model's weights at a server, as its responses state it. It is
// not that of the server's software, and changes while the server runs.
using WeightVersion = uint64_t;

// How a run has ended.
enum class RunOutcome : uint8_t {
  Complete, // by the framing of its response
  BrokenOff
};

// Not thread-safe.
class StreamProgress {
public:
  // What an event states.
  struct EventHooks {
    // Its id; empty if it has none.
    std::function<std::string(std::string_view Event)> Id;
    // The weights that write it and what follows, if they change at it.
    std::function<std::optional<WeightVersion>(std::string_view Event)>
        Weights = [](std::string_view) { return std::nullopt; };
  };

  // `LastEventId`: of the last event that the caller has from before; empty if
  // it has none.
  StreamProgress(EventHooks Fields, std::string LastEventId);

  // The events that the caller has are of this version.
  void requireVersion(std::optional<VersionKey> Value) { Version = Value; }
  // The last event that the caller has was written by these weights.
  void requireWeights(std::optional<WeightVersion> Value) { Weights = Value; }

  // Begins a run and leaves the one before it: nothing that it still sends is
  // passed on. `RunVersion`: of the process at the other end of its connection,
  // as known when that was opened; nothing if it isn't known. `Confirmed`: that
  // process had said which one it is by then. `RunWeights`: as the head of its
  // response states them. A run that goes on by other weights is given up; if
  // they change within a run, its events are passed on as sent. What isn't
  // stated can't be told.
  RunNumber begin(std::optional<VersionKey> RunVersion, bool Confirmed = false,
                  std::optional<WeightVersion> RunWeights = std::nullopt);

  // Whether a response of this media type may be a run of the stream. Servers
  // of one service state the type alike; an error's text may come with the
  // status of a stream. `ContentType`: null if the response states none.
  bool acceptType(const std::string *ContentType);

  // A process of this version is known by now in place of the one that was
  // known when the run's connection was opened. Which of the two sends the
  // events can't be told unless the run is confirmed, so nothing may follow
  // them if the versions differ. If they are the same, nothing may follow
  // events that come after this: between the two there may have been a process
  // of another version that has left no trace. Returns false if the run was
  // given up.
  bool onServerReplaced(RunNumber Run, VersionKey NewVersion);
  // The process of the run has said which one it is.
  void confirm(RunNumber Run);
  // Nothing may follow the events so far: their version can't be told.
  void requireNothingFollows() { Uncertain = true; }

  // Adds bytes of the run's response. Only whole events are passed on.
  // `MaxEventBytes` bounds what is kept of one.
  PassedEvents add(RunNumber Run, std::string_view Bytes, size_t MaxEventBytes);

  // The run has ended. It is left unless the stream is complete.
  StreamEnd end(RunNumber Run, RunOutcome Outcome);
  // Bytes after the last whole event of the run.
  const std::string &rest() const { return Events.rest(); }
  // Whether they are a part of an event.
  bool insideEvent() const { return Events.insideEvent(); }
  // How the lines of the run end, and whether its bytes so far end with the
  // half of a line end.
  internal::LineEnd lineEnd() const { return Events.lineEnd(); }
  bool insideLineEnd() const { return Events.insideLineEnd(); }

  const std::string &lastEventId() const { return LastEventId; }
  // Events and comments that the caller got, and those before this run.
  uint64_t passed() const { return Passed; }
  uint64_t passedBeforeRun() const { return PassedBeforeRun; }
  // Whether the run goes on after events of other runs.
  bool continues() const { return ContinuesEvents; }
  // Whether the caller has an event, from this run or before.
  bool begun() const { return HasEvents; }
  bool runConfirmed() const { return Confirmed; }
  // The version of the events so far; nothing if there are none.
  std::optional<VersionKey> version() const { return Version; }
  // The weights that wrote the last event, if they are known.
  std::optional<WeightVersion> weights() const { return Weights; }
  // Whether the events so far may be of another version than that.
  bool versionUncertain() const { return Uncertain; }
  // Whether a run may go on with the stream: not after events of an uncertain
  // version, nor after one without an id, which a server would send again.
  bool mayContinue() const { return !Uncertain && !LastHasNoId; }

private:
  bool speaks(RunNumber Run) const { return Speaks && Run == Current; }
  void giveUp(RunFault Fault);
  // Decides on an event of the run; returns why it gives the run up, or None.
  RunFault judge(std::string_view Event);

  EventHooks Fields;
  std::string LastEventId;
  bool HasEvents = false; // the caller does, also from an earlier request
  EventOrder Order;
  // Media type of the first response with events; empty if it states none.
  std::optional<std::string> Type;
  std::optional<VersionKey> Version;
  std::optional<WeightVersion> Weights;
  bool Uncertain = false;
  bool LastHasNoId = false; // the last event with content
  int EmptyRuns = 0;        // complete ones that went on without an event
  uint64_t Passed = 0;

  // Of the latest run, the only one that may speak.
  RunNumber Current = 0;
  bool Speaks = false;
  RunFault LeftFor = RunFault::Left;
  std::optional<VersionKey> RunVersion;
  std::optional<WeightVersion> RunWeights;
  bool Confirmed = false;
  bool RunUncertain = false;
  bool IsReplacedBySame = false; // by a process of the run's version
  bool ContinuesEvents = false;
  bool RunHasEvents = false;
  uint64_t PassedBeforeRun = 0;
  internal::EventSplitter Events;
};

} // namespace crocusspur::gateway

#endif
