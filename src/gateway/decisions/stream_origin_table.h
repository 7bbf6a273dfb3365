// At which software version streams began, as far as an instance knows: from
// its own runs and from other instances, which keep such records for each
// other. Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_STREAM_ORIGIN_TABLE_H
#define CROCUSSPUR_GATEWAY_STREAM_ORIGIN_TABLE_H

#include "gateway/decisions/server_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusspur::gateway {

// Identifies a stream on every instance: by the caller's request that brought
// its first event and by what it asked for, so that the id of a request for
// something else tells nothing.
using StreamKey = uint64_t;
StreamKey streamKeyOf(std::string_view Host, std::string_view Target,
                      std::string_view RequestId);

// Recorded for a stream that may hold events of two versions: nobody goes on
// with it, as after contradictory records.
inline constexpr VersionKey UncertainVersion = 0;

// One instance's record of a stream. A later record of the same writer replaces
// an earlier one, as a request without an event may run again elsewhere, unless
// that said that nobody may go on.
struct StreamOrigin {
  StreamKey Stream = 0;
  VersionKey Version = 0;
  uint64_t Writer = 0;      // incarnation of the instance
  uint64_t Sequence = 0;    // rises with the writer's records
  Milliseconds Lifetime{0}; // how much longer the stream can be taken up
  // The process that began the stream, as its entry named it; without an id if
  // that process has said itself which one it is.
  ServerProcess Server{};
  // Since the stream's first record, or since its run was sent if it is
  // unproven.
  Milliseconds Age{0};
  // With UncertainVersion: the version if the run that began the stream was at
  // `Server`, which couldn't be shown when it broke off. Whoever takes the
  // stream up has to show it. 0: nobody may go on.
  VersionKey UnprovenVersion = 0;

  // Whether nobody may go on, whatever becomes known.
  bool isFinal() const { return Version == 0 && UnprovenVersion == 0; }
  VersionKey possibleVersion() const {
    return Version != 0 ? Version : UnprovenVersion;
  }
};

class StreamOriginTable {
public:
  void add(const StreamOrigin &Record, TimePoint Now);
  // Returns the version, UncertainVersion if two instances recorded different
  // ones or if it is unproven, or nothing if there is no record.
  std::optional<VersionKey> find(StreamKey Stream, TimePoint Now) const;
  // The same with what the latest record says besides.
  struct Record {
    VersionKey Version = UncertainVersion;
    ServerProcess Server;
    Milliseconds Age{0}; // see StreamOrigin
    VersionKey UnprovenVersion = 0;
  };
  std::optional<Record> findRecord(StreamKey Stream, TimePoint Now) const;
  size_t size() const { return Streams.size(); }
  // Returns the records that were added or changed since the last call, to be
  // kept by other instances.
  std::vector<StreamOrigin> takeForHandOver(TimePoint Now);

private:
  struct State {
    StreamOrigin Latest; // its version is 0 after contradictory records
    TimePoint RecordedAt;
    TimePoint ExpiresAt;
    std::multimap<TimePoint, StreamKey>::iterator Expiry;
    bool HandedOver = false; // see takeForHandOver()
  };

  void expire(TimePoint Now);

  std::unordered_map<StreamKey, State> Streams;
  std::multimap<TimePoint, StreamKey> Expiries;
};

} // namespace crocusspur::gateway

#endif
