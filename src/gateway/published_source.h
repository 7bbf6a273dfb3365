// Where routes and servers are published. The gateway reads through these
// hooks; an adapter makes the calls and decodes the answers. The hooks decide
// nothing and don't repeat calls.
#ifndef CROCUSSPUR_GATEWAY_PUBLISHED_SOURCE_H
#define CROCUSSPUR_GATEWAY_PUBLISHED_SOURCE_H

#include "gateway/service_directory.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

enum class ReadStatus : uint8_t {
  Ok,
  HistoryCompacted, // changes after the revision are not kept any more: read
                    // anew
  Unavailable,      // no answer, or a refusal
};

struct PublishedUpdate {
  ReadStatus Status = ReadStatus::Unavailable;
  std::string Fault;     // why it is unavailable
  uint64_t Revision = 0; // continue after this
  std::vector<ServerChange> Servers;
  RouteDocumentPtr Routes; // null: not in the answer
};

// Asked while a call waits; true gives the call up.
using CancelCheck = std::function<bool()>;

// One reader, with a connection of its own. For one thread.
struct PublishedReader {
  std::function<PublishedUpdate(const CancelCheck &)> ReadAll;
  // Changes after the revision; waits for one at most for `Wait`.
  std::function<PublishedUpdate(uint64_t After, Milliseconds Wait,
                                const CancelCheck &)>
      Watch;
};

struct PublishedSource {
  std::function<PublishedReader(PublishedKind)> MakeReader;
  // Decode what a peer passes on as it was published.
  std::function<std::optional<ServerEntry>(const std::string &Id,
                                           const std::string &Text)>
      ParseServer;
  std::function<RouteDocumentPtr(const std::string &Text)> ParseRoutes;
};

} // namespace crocusspur::gateway

#endif
