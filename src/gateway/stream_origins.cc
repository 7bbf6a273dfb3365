#include "gateway/stream_origins.h"

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

StreamOrigin StreamOrigins::addOwn(StreamKey Stream, VersionKey Version,
                                   Milliseconds Lifetime,
                                   const ServerProcess &Server) {
  StreamOrigin record{Stream,         Version,  Incarnation,
                      ++LastSequence, Lifetime, Server};
  Table.add(record, Clock::now());
  ++Counts.Records;
  return record;
}

void StreamOrigins::record(StreamKey Stream, VersionKey Version,
                           Milliseconds Lifetime, const ServerProcess &Server) {
  {
    std::lock_guard lock(Mutex);
    Unsent.push_back(addOwn(Stream, Version, Lifetime, Server));
    if (Unsent.size() > MaxUnsent) {
      Unsent.pop_front();
      ++Counts.Dropped;
    }
  }
  Wake.notify_one();
}

RecordDeliveryPtr StreamOrigins::recordUncertain(StreamKey Stream,
                                                 Milliseconds Lifetime) {
  StreamOrigin record;
  {
    std::lock_guard lock(Mutex);
    record = addOwn(Stream, UncertainVersion, Lifetime, {});
  }
  return Connected.SendUncertain ? Connected.SendUncertain(record) : nullptr;
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

std::vector<StreamOrigin> StreamOrigins::takeUnsent() {
  std::unique_lock lock(Mutex);
  Wake.wait(lock, [this] { return Stopped || !Unsent.empty(); });
  std::vector<StreamOrigin> all;
  if (!Stopped)
    all.assign(Unsent.begin(), Unsent.end());
  Unsent.clear();
  return all;
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
