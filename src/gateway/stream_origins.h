// Records of the software versions at which streams began, kept by several
// instances so that a caller can take its stream up at any of them. All
// functions are thread-safe.
//
// The instance that runs a stream keeps a record and sends it to a few keepers,
// chosen by the stream's key, before the server's first event is likely to
// arrive. An instance at which the stream is taken up asks the keepers.
#ifndef CROCUSSPUR_GATEWAY_STREAM_ORIGINS_H
#define CROCUSSPUR_GATEWAY_STREAM_ORIGINS_H

#include "gateway/decisions/stream_origin_table.h"
#include "gateway/decisions/stream_resumption.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// What an instance asks a keeper.
struct OriginQuery {
  StreamKey Stream = 0;
  std::string Service;
  Milliseconds MaxAge{0}; // the stream can't have begun longer ago
};

class StreamOrigins {
public:
  explicit StreamOrigins(uint64_t Incarnation) : Incarnation(Incarnation) {}

  struct Hooks {
    // Asks the keepers until one has a record. Returns what those that
    // responded know.
    std::function<std::vector<OriginKnowledge>(const OriginQuery &)> AskKeepers;
    // Reads the servers from the store and applies them. Returns false if it
    // doesn't respond.
    std::function<bool()> ConfirmServers;
  };
  // Without hooks there are no peers and no store. Set before the object is
  // used by several threads.
  void setHooks(Hooks Value) { Connected = std::move(Value); }

  // Records the version at which a run of this instance begins a stream, or
  // goes on with it, and sends the record to its keepers soon.
  void record(StreamKey Stream, VersionKey Version, Milliseconds Lifetime);
  // Adds a record of another instance.
  void add(const StreamOrigin &Record);
  std::optional<VersionKey> find(StreamKey Stream) const;

  std::vector<OriginKnowledge> askKeepers(const OriginQuery &Query) const;
  bool confirmServers() const;

  // Waits for records that haven't been sent and returns them; returns none
  // after stop().
  std::vector<StreamOrigin> takeUnsent();
  void stop();

  struct Counters {
    uint64_t Records = 0;
    uint64_t Dropped = 0; // not sent, since too many were waiting
  };
  Counters counters() const;

private:
  const uint64_t Incarnation;
  Hooks Connected;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  StreamOriginTable Table;
  std::deque<StreamOrigin> Unsent;
  uint64_t LastSequence = 0;
  Counters Counts;
  bool Stopped = false;
};

} // namespace crocusspur::gateway

#endif
