// Records of the software versions at which streams began, kept by several
// instances so that a caller can take its stream up at any of them. All
// functions are thread-safe.
//
// The instance that runs a stream keeps a record and sends it to a few keepers,
// chosen by the stream's key, before the server's first event is likely to
// arrive. An instance at which the stream is taken up asks the keepers.
#ifndef CROCUSSPUR_GATEWAY_STREAM_ORIGINS_H
#define CROCUSSPUR_GATEWAY_STREAM_ORIGINS_H

#include "checked_mutex.h"
#include "gateway/decisions/stream_origin_table.h"
#include "gateway/decisions/stream_resumption.h"
#include "gateway/decisions/streams/servers_reading.h"
#include "gateway/process_proofs.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// How the sending of one record to its keepers goes. Thread-safe.
class RecordDelivery {
public:
  struct State {
    size_t Confirmed = 0;
    size_t Failed = 0;  // keepers that were silent or refused
    size_t Pending = 0; // keepers that have neither confirmed nor failed
  };

  explicit RecordDelivery(size_t Keepers) { Current.Pending = Keepers; }
  // Called once for each keeper.
  void onKeeperEnded(bool Confirmed);
  // Waits until no keeper is pending.
  State await(Milliseconds MaxTime);

private:
  internal::LeafMutex Mutex;
  internal::ConditionVariable Ended;
  State Current;
};

using RecordDeliveryPtr = std::shared_ptr<RecordDelivery>;

class StreamOrigins {
public:
  explicit StreamOrigins(uint64_t Incarnation) : Incarnation(Incarnation) {}

  struct Hooks {
    // Asks the keepers, until one knows that nobody may go on. Returns what
    // those that responded know.
    std::function<std::vector<OriginKnowledge>(StreamKey)> AskKeepers;
    // Reads what has changed of the servers from the store and applies it.
    // Returns whether all changes up to now are known then, without a gap.
    std::function<bool()> CatchUpServers;
    // Begins to send the record to all that may be asked, each independently of
    // the others and of records from before. Doesn't wait.
    std::function<RecordDeliveryPtr(const StreamOrigin &)> SendToAll;
    // Reads what has changed of the servers since the last change that is
    // known, and applies it.
    std::function<ServersReading()> ReadServerChanges = nullptr;
  };
  // Without hooks there are no peers and no store. Set before the object is
  // used by several threads.
  void setHooks(Hooks Value) { Connected = std::move(Value); }

  // Records the version at which a run of this instance begins a stream, or
  // goes on with it, and sends the record to its keepers soon.
  // `Server`: see StreamOrigin.
  void record(StreamKey Stream, VersionKey Version, Milliseconds Lifetime,
              const ServerProcess &Server = {});
  // Records that nobody may go on with the stream, and begins to send that to
  // its keepers at once. Returns null if there are no peers.
  RecordDeliveryPtr recordUncertain(StreamKey Stream, Milliseconds Lifetime);
  // The same if the process that began the stream can't be shown at the moment;
  // see StreamOrigin. `RunAge`: since the run was sent.
  RecordDeliveryPtr recordUnproven(StreamKey Stream, VersionKey Version,
                                   Milliseconds Lifetime,
                                   const ServerProcess &Server,
                                   Milliseconds RunAge);
  // Records that such a stream is shown to be of the version, and begins to
  // send that.
  void recordProven(StreamKey Stream, VersionKey Version,
                    Milliseconds Lifetime);
  // Adds a record of another instance.
  void add(const StreamOrigin &Record);
  std::optional<VersionKey> find(StreamKey Stream) const;
  // What this instance's records say of the stream.
  OriginKnowledge knowledgeOf(StreamKey Stream) const;

  std::vector<OriginKnowledge> askKeepers(StreamKey Stream) const;
  bool catchUpServers() const;
  // Without a hook nothing has changed.
  ServersReading readServerChanges() const;

  // The instance stops: what it keeps is to be sent to instances that stay.
  void handOver();
  struct Unsent {
    std::vector<StreamOrigin> Records;
    bool IsHandOver = false; // records of all instances
    bool IsLast = false;     // the instance is about to exit
  };
  // What the processes at which streams run have said of themselves.
  ProcessProofs &processes() { return Processes; }

  // Waits for records that haven't been sent and returns them. After stop()
  // returns what is to be handed over since the last time, then nothing.
  std::optional<Unsent> takeUnsent();
  void stop();

  struct Counters {
    uint64_t Records = 0;
    uint64_t Dropped = 0; // not sent, since too many were waiting
    size_t Held = 0;      // of all instances, now
  };
  Counters counters() const;

private:
  // Adds a record of this instance, completed. Called with the lock.
  StreamOrigin addOwn(StreamOrigin Record);
  RecordDeliveryPtr sendToAll(const StreamOrigin &Record);

  const uint64_t Incarnation;
  ProcessProofs Processes;
  Hooks Connected;
  mutable internal::LeafMutex Mutex;
  internal::ConditionVariable Wake;
  StreamOriginTable Table;
  std::deque<StreamOrigin> Waiting; // to be sent
  uint64_t LastSequence = 0;
  Counters Counts;
  bool HandOverWanted = false;
  bool Stopped = false;
  bool LastTaken = false; // by takeUnsent()
};

} // namespace crocusspur::gateway

#endif
