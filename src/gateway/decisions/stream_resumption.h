// Decides at which software version a stream may go on that a caller takes up
// again. A wrong version gives the caller a stream that doesn't fit together,
// so the stream is refused unless the version is known. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_STREAM_RESUMPTION_H
#define CROCUSSPUR_GATEWAY_STREAM_RESUMPTION_H

#include "gateway/decisions/server_registry.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// What one instance, this one or a peer, knows of a stream.
struct OriginKnowledge {
  // See StreamOriginTable::find().
  std::optional<VersionKey> Recorded;
  // Of the record: the process that began the stream, without an id if it is
  // certain, and the time since.
  ServerProcess Server{};
  Milliseconds RecordedAgo{0};
  VersionKey UnprovenVersion = 0; // see StreamOrigin

  // Whether it is known that nobody may go on.
  bool isFinal() const {
    return Recorded == VersionKey(0) && UnprovenVersion == 0;
  }
};

struct ResumptionDecision {
  std::optional<VersionKey> Version; // nothing: the stream is refused
  const char *Basis = "";            // for the log
  // Of the record, if that is the basis; see OriginKnowledge.
  ServerProcess Server{};
  Milliseconds RecordedAgo{0};
  // The version holds only if the stream is shown to have begun at `Server`.
  bool IsUnproven = false;
};

// `Own` is this instance's knowledge and `Peers` that of the peers that
// responded. `OnlyVersion`: of all servers that the service has had for
// MaxStreamAge, as this instance has seen without a gap up to a moment after
// the request arrived; see VersionHistory::soleVersion(). What peers have seen
// doesn't count: they may have missed the last changes.
ResumptionDecision
decideResumption(const OriginKnowledge &Own,
                 const std::vector<OriginKnowledge> &Peers,
                 std::optional<VersionKey> OnlyVersion = std::nullopt);

// Asks keepers by their number, in turn, until one knows that nobody may go on:
// one that was out of step may have missed that, so that another's record of a
// version doesn't end the questions. `Ask` returns nothing for a keeper that
// doesn't respond.
using AskKeeper = std::function<std::optional<OriginKnowledge>(size_t Keeper)>;
std::vector<OriginKnowledge> collectKnowledge(size_t Keepers,
                                              const AskKeeper &Ask);

// Whether one of them has a record, so that the only version doesn't matter.
bool isRecorded(const OriginKnowledge &Own,
                const std::vector<OriginKnowledge> &Peers);

// What is known of the process that an entry named for a server, now.
struct ProcessNow {
  // The server's entry; nothing if there is none.
  std::optional<ServerProcess> Entry;
  Milliseconds MaxEntryAge{0}; // the instance may have learned of it late
};

// Whether a stream that is recorded for a process can have begun at its
// successor, as a process serves before its entry is written.
enum class OriginDoubt : uint8_t {
  None,
  // The server knows: if it is another process by now, the stream may have
  // begun at that one.
  AskServer,
  // The entry names a process of another version, which may have begun it.
  Wrong
};

OriginDoubt doubtOrigin(const ServerProcess &Recorded, Milliseconds RecordedAgo,
                        const ProcessNow &Now);

// How far back the history of a service's versions has to reach where a stream
// has no record. The caller's time left, the route's time-out and other
// callers' deadlines don't bound a stream's age: a stream that its route's
// time-out has ended can be taken up until its caller gives up.
inline constexpr std::chrono::minutes MaxStreamAge{30};

// How long a record of a stream is needed: as long as its caller can come back
// with it. `TimeLeft`: until the caller's own deadline, whatever the route
// allows; nothing if the caller has stated none.
Milliseconds originLifetime(std::optional<Milliseconds> TimeLeft);

} // namespace crocusspur::gateway

#endif
