// Source of published routes and servers. The gateway reads through these
// hooks; an adapter makes the calls and decodes the responses. The hooks make
// no decisions and don't retry calls.
#ifndef CROCUSSPUR_GATEWAY_PUBLISHED_SOURCE_H
#define CROCUSSPUR_GATEWAY_PUBLISHED_SOURCE_H

#include "gateway/decisions/memory_budget.h"
#include "gateway/service_directory.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

enum class ReadStatus : uint8_t {
  Ok,
  HistoryCompacted, // changes after the revision were discarded; read all
  EraChanged, // the store came back from an older copy meanwhile; read all
  // More changes than a response may hold; read all, which comes in parts.
  ResponseTooLong,
  Unavailable, // no response, or an error status
};

struct PublishedUpdate {
  ReadStatus Status = ReadStatus::Unavailable;
  std::string Error; // why it is unavailable
  // The store's era as the response states it, also if it is an error. All
  // revisions of the update are of that era.
  std::optional<uint64_t> Era;
  StoreRevision Revision; // watch after this revision
  std::vector<ServerChange> Servers;
  RouteDocumentPtr Routes; // null: not in the response
  StoreRevision RoutesRevision;
  // The response holds a configuration that can't be used.
  bool IsRoutesInvalid = false;
  uint32_t InvalidServers = 0; // entries that name no usable server
  // A part of the list was read by an earlier call, which broke off.
  bool IsResumed = false;
};

// Polled while a call waits; returns true to cancel it.
using CancelCheck = std::function<bool()>;

// One reader with its own connection. Not thread-safe.
struct PublishedReader {
  std::function<PublishedUpdate(const CancelCheck &)> ReadAll;
  // Returns changes after the revision; waits at most `Wait` for one.
  std::function<PublishedUpdate(uint64_t After, Milliseconds Wait,
                                const CancelCheck &)>
      Watch;
};

// Passes the era that a response states on to the directory, and gives the
// update that of the latest response if it states none. Returns false for a
// response of an earlier era, which must not be used.
bool acceptEra(ServiceDirectory &Directory, PublishedUpdate &Update);

struct PublishedSource {
  // What a reader keeps of a response counts in the budget.
  std::function<PublishedReader(PublishedKind, MemoryBudget &)> MakeReader;
  // Decode documents that a peer forwards as published.
  std::function<std::optional<ServerEntry>(const std::string &Id,
                                           const std::string &Text)>
      ParseServer;
  std::function<RouteDocumentPtr(const std::string &Text)> ParseRoutes;
};

} // namespace crocusspur::gateway

#endif
