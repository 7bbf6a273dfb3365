#include "gateway/stream_origins.h"

#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Some seconds of streams at one instance. Keepers that are slow for longer
// miss records; the streams can then only be taken up here.
constexpr size_t MaxUnsent = 1024;

} // namespace

void RecordDelivery::onKeeperEnded(bool Confirmed) {
  {
    std::lock_guard lock(Mutex);
    ++(Confirmed ? Current.Confirmed : Current.Failed);
    --Current.Pending;
  }
  Ended.notify_all();
}

RecordDelivery::State RecordDelivery::await(Milliseconds MaxTime) {
  std::unique_lock lock(Mutex);
  Ended.wait_for(lock, MaxTime, [this] { return Current.Pending == 0; });
  return Current;
}

StreamOrigin StreamOrigins::addOwn(StreamOrigin Record) {
  Record.Writer = Incarnation;
  Record.Sequence = ++LastSequence;
  Table.add(Record, Clock::now());
  ++Counts.Records;
  return Record;
}

void StreamOrigins::record(StreamKey Stream, VersionKey Version,
                           Milliseconds Lifetime, const ServerProcess &Server) {
  {
    std::lock_guard lock(Mutex);
    Waiting.push_back(addOwn({.Stream = Stream,
                              .Version = Version,
                              .Lifetime = Lifetime,
                              .Server = Server}));
    if (Waiting.size() > MaxUnsent) {
      Waiting.pop_front();
      ++Counts.Dropped;
    }
  }
  Wake.notify_one();
}

RecordDeliveryPtr StreamOrigins::sendToAll(const StreamOrigin &Record) {
  StreamOrigin complete;
  {
    std::lock_guard lock(Mutex);
    complete = addOwn(Record);
  }
  return Connected.SendToAll ? Connected.SendToAll(complete) : nullptr;
}

RecordDeliveryPtr StreamOrigins::recordUncertain(StreamKey Stream,
                                                 Milliseconds Lifetime) {
  return sendToAll(
      {.Stream = Stream, .Version = UncertainVersion, .Lifetime = Lifetime});
}

RecordDeliveryPtr StreamOrigins::recordUnproven(StreamKey Stream,
                                                VersionKey Version,
                                                Milliseconds Lifetime,
                                                const ServerProcess &Server,
                                                Milliseconds RunAge) {
  return sendToAll({.Stream = Stream,
                    .Version = UncertainVersion,
                    .Lifetime = Lifetime,
                    .Server = Server,
                    .Age = RunAge,
                    .UnprovenVersion = Version});
}

void StreamOrigins::recordProven(StreamKey Stream, VersionKey Version,
                                 Milliseconds Lifetime) {
  sendToAll({.Stream = Stream, .Version = Version, .Lifetime = Lifetime});
}

void StreamOrigins::add(const StreamOrigin &Record) {
  std::lock_guard lock(Mutex);
  Table.add(Record, Clock::now());
}

std::optional<VersionKey> StreamOrigins::find(StreamKey Stream) const {
  std::lock_guard lock(Mutex);
  return Table.find(Stream, Clock::now());
}

OriginKnowledge StreamOrigins::knowledgeOf(StreamKey Stream) const {
  std::lock_guard lock(Mutex);
  OriginKnowledge known;
  if (auto record = Table.findRecord(Stream, Clock::now())) {
    known.Recorded = record->Version;
    known.Server = record->Server;
    known.RecordedAgo = record->Age;
    known.UnprovenVersion = record->UnprovenVersion;
  }
  return known;
}

std::vector<OriginKnowledge> StreamOrigins::askKeepers(StreamKey Stream) const {
  return Connected.AskKeepers ? Connected.AskKeepers(Stream)
                              : std::vector<OriginKnowledge>();
}

bool StreamOrigins::catchUpServers() const {
  return Connected.CatchUpServers && Connected.CatchUpServers();
}

ServersReading StreamOrigins::readServerChanges() const {
  return Connected.ReadServerChanges ? Connected.ReadServerChanges()
                                     : ServersReading::changes();
}

void StreamOrigins::handOver() {
  {
    std::lock_guard lock(Mutex);
    HandOverWanted = true;
  }
  Wake.notify_all();
}

std::optional<StreamOrigins::Unsent> StreamOrigins::takeUnsent() {
  std::unique_lock lock(Mutex);
  Wake.wait(lock,
            [this] { return Stopped || HandOverWanted || !Waiting.empty(); });
  if (LastTaken)
    return std::nullopt;
  Unsent taken;
  taken.IsLast = LastTaken = Stopped;
  taken.IsHandOver = std::exchange(HandOverWanted, false) || Stopped;
  if (taken.IsHandOver) // own records that wait are among them
    taken.Records = Table.takeForHandOver(Clock::now());
  else
    taken.Records.assign(Waiting.begin(), Waiting.end());
  Waiting.clear();
  return taken;
}

void StreamOrigins::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopped = true;
  }
  Wake.notify_all();
}

StreamOrigins::Counters StreamOrigins::counters() const {
  std::lock_guard lock(Mutex);
  Counters counts = Counts;
  counts.Held = Table.size();
  return counts;
}

} // namespace crocusspur::gateway
