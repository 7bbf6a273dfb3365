// Decides at which software version a stream may go on that a caller takes up
// again. A wrong version gives the caller a stream that doesn't fit together,
// so the stream is refused unless the version is known. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_STREAM_RESUMPTION_H
#define CROCUSSPUR_GATEWAY_STREAM_RESUMPTION_H

#include "gateway/decisions/server_registry.h"

#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// What one instance, this one or a peer, knows of a stream.
struct OriginKnowledge {
  // See StreamOriginTable::find().
  std::optional<VersionKey> Recorded;
  // The service's only version since the stream can have begun, as of the
  // instance's view; see VersionHistory::soleVersion().
  std::optional<VersionKey> SoleVersion;
};

struct ResumptionDecision {
  std::optional<VersionKey> Version; // nothing: the stream is refused
  const char *Basis = "";            // for the log
};

// `Own` is this instance's knowledge and `Peers` that of the peers that
// responded. `CurrentVersion` is the service's only version now, if the store
// has confirmed this instance's view since the request arrived. Only then a
// statement of the past says that there is no other version yet.
ResumptionDecision decideResumption(const OriginKnowledge &Own,
                                    const std::vector<OriginKnowledge> &Peers,
                                    std::optional<VersionKey> CurrentVersion);

// How long ago a stream can have begun whose caller has this much time left.
// `MaxTimeLeft`: the most time that a caller of the route has had.
Milliseconds maxStreamAge(Milliseconds MaxTimeLeft, Milliseconds TimeLeft);

} // namespace crocusspur::gateway

#endif
