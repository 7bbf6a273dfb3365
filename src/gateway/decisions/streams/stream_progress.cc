#include "gateway/decisions/streams/stream_progress.h"

#include <strings.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

constexpr std::string_view EventStreamType = "text/event-stream";
// Runs that go on with nothing but an end before that is taken for the
// stream's: a server whose program fails at once ends the body in the same way.
constexpr int EmptyRunsForEnd = 2;

} // namespace

const char *nameOf(RunFault Fault) {
  switch (Fault) {
  case RunFault::None:
    return "none";
  case RunFault::Left:
    return "left";
  case RunFault::IdNotBeyond:
    return "id_not_beyond";
  case RunFault::IdsMissing:
    return "ids_missing";
  case RunFault::OtherVersion:
    return "other_version";
  case RunFault::EventTooLong:
    return "event_too_long";
  case RunFault::OtherWeights:
    return "other_weights";
  }
  return "unknown";
}

StreamProgress::StreamProgress(EventHooks Fields, std::string LastEventId)
    : Fields(std::move(Fields)), LastEventId(std::move(LastEventId)),
      HasEvents(!this->LastEventId.empty()) {
  Order.accept(this->LastEventId);
}

RunNumber StreamProgress::begin(std::optional<VersionKey> RunVersion,
                                bool Confirmed,
                                std::optional<WeightVersion> RunWeights) {
  this->RunVersion = RunVersion;
  this->RunWeights = RunWeights;
  this->Confirmed = Confirmed;
  RunUncertain = IsReplacedBySame = false;
  ContinuesEvents = HasEvents;
  RunHasEvents = false;
  PassedBeforeRun = Passed;
  // A mark within the answer would be a part of the next field's name.
  Events = internal::EventSplitter(Passed > 0 ? internal::ByteOrderMark::Drop
                                              : internal::ByteOrderMark::Keep);
  Speaks = mayContinue();
  LeftFor = Uncertain ? RunFault::OtherVersion : RunFault::Left;
  return ++Current;
}

void StreamProgress::giveUp(RunFault Fault) {
  Speaks = false;
  LeftFor = Fault;
}

bool StreamProgress::acceptType(const std::string *ContentType) {
  std::string type =
      ContentType ? ContentType->substr(0, ContentType->find_first_of("; \t"))
                  : std::string();
  bool fits = type.empty() || (type.size() == EventStreamType.size() &&
                               strncasecmp(type.data(), EventStreamType.data(),
                                           type.size()) == 0);
  if (Type)
    return fits && type.empty() == Type->empty();
  if (fits)
    Type = type;
  return fits;
}

bool StreamProgress::onServerReplaced(RunNumber Run, VersionKey NewVersion) {
  if (!speaks(Run))
    return false;
  if (Confirmed)
    return true;
  if (NewVersion == RunVersion) {
    IsReplacedBySame = true;
    return true;
  }
  RunUncertain = true;
  Uncertain = Uncertain || RunHasEvents;
  if (continues())
    giveUp(RunFault::OtherVersion);
  return Speaks;
}

void StreamProgress::confirm(RunNumber Run) {
  Confirmed = Confirmed || speaks(Run);
}

RunFault StreamProgress::judge(std::string_view Event) {
  if (Passed == 0 && Event.starts_with(internal::ByteOrderMarkBytes))
    Event.remove_prefix(internal::ByteOrderMarkBytes.size());
  // Comments have no place in the order and no version.
  if (!internal::hasContent(Event))
    return RunFault::None;
  if (IsReplacedBySame) {
    RunUncertain = true;
    Uncertain = Uncertain || RunHasEvents;
    if (continues())
      return RunFault::OtherVersion;
  }
  if (std::optional<WeightVersion> changed = Fields.Weights(Event))
    RunWeights = changed;
  std::string id = Fields.Id(Event);
  if (!RunHasEvents && Version && RunVersion != Version)
    return RunFault::OtherVersion;
  if (!RunHasEvents && continues() && Weights && RunWeights &&
      RunWeights != Weights)
    return RunFault::OtherWeights;
  if (!RunHasEvents && continues() && (id.empty() || Order.leavesOut(id)))
    return RunFault::IdsMissing;
  if (!Order.accept(id))
    return RunFault::IdNotBeyond;
  if (!id.empty())
    LastEventId = id;
  LastHasNoId = id.empty();
  if (!Version)
    Version = RunVersion;
  Weights = RunWeights;
  // Nothing fits the events of a version that isn't known.
  if (RunUncertain || !RunVersion)
    Uncertain = true;
  RunHasEvents = HasEvents = true;
  return RunFault::None;
}

PassedEvents StreamProgress::add(RunNumber Run, std::string_view Bytes,
                                 size_t MaxEventBytes) {
  PassedEvents result;
  if (!speaks(Run)) {
    result.Fault = Run == Current ? LeftFor : RunFault::Left;
    return result;
  }
  Events.add(Bytes);
  std::string event;
  while (Speaks && Events.next(event)) {
    if (RunFault fault = judge(event); fault != RunFault::None) {
      giveUp(fault);
      result.FaultyId = Fields.Id(event);
      break;
    }
    ++Passed;
    ++result.Count;
    result.Bytes += event;
  }
  if (Speaks && Events.rest().size() > MaxEventBytes)
    giveUp(RunFault::EventTooLong);
  result.Fault = Speaks ? RunFault::None : LeftFor;
  return result;
}

StreamEnd StreamProgress::end(RunNumber Run, RunOutcome Outcome) {
  // A web server ends the body when the program behind it fails, so a part of
  // an event isn't the end, whatever the framing says.
  bool complete =
      speaks(Run) && Outcome == RunOutcome::Complete && !Events.insideEvent();
  if (complete && continues() && !RunHasEvents)
    complete =
        (!Version || RunVersion == Version) && ++EmptyRuns >= EmptyRunsForEnd;
  if (speaks(Run))
    giveUp(RunFault::Left);
  if (complete)
    return StreamEnd::Complete;
  return mayContinue() ? StreamEnd::MayContinue : StreamEnd::Incomplete;
}

} // namespace crocusspur::gateway
