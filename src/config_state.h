// The active configuration version. Evaluates published documents in order of
// version, adopts the active versions of peers, and never returns to an older
// version.
#ifndef CROCUSSPUR_CONFIG_STATE_H
#define CROCUSSPUR_CONFIG_STATE_H

#include "crocusspur/config_document.h"
#include "crocusspur/errors.h"

#include <string>

namespace crocusspur::internal {

enum class ConfigOutcome : uint8_t {
  Activated,   // accepted and now active
  Rejected,    // its base isn't the highest accepted version below its own
  AlreadySeen, // already evaluated
  VersionGap,  // versions between the last evaluated one and this are missing
};

class ConfigState {
public:
  // A document read from the platform.
  ConfigOutcome evaluatePublished(const ConfigPtr &Document);
  // A document that is active at a peer. Older ones are ignored.
  ConfigOutcome adoptFromPeer(const ConfigPtr &Document);

  // The first document of a newly started instance may be one that its peers
  // have rejected. Until it's confirmed, it's replaced by any version that is
  // active at a peer, and must not be sent to peers.
  void setProvisional() { Provisional = Current != nullptr; }
  void confirm() { Provisional = false; }
  bool provisional() const { return Provisional; }

  // Null until a version is active.
  const ConfigPtr &current() const { return Current; }
  // Highest version evaluated; the next document to read is the one after it.
  uint64_t lastEvaluated() const { return LastEvaluated; }
  // Number of documents seen with the active version's number but another text.
  // They violate the platform's contract; the document with the lower digest
  // stays active.
  uint64_t conflicts() const { return Conflicts; }

private:
  ConfigOutcome activate(const ConfigPtr &Document);
  // `Acceptable`: the document would have been accepted instead of the active
  // one.
  ConfigOutcome resolveConflict(const ConfigPtr &Document, bool Acceptable);

  ConfigPtr Current;
  uint64_t LastEvaluated = 0;
  uint64_t Conflicts = 0;
  bool Provisional = false;
};

// Result of applying a patch, by the same rule as for published documents.
struct PatchResult {
  bool Accepted = false;
  ErrorKind Error = ErrorKind::BadPatch; // StaleBase or BadPatch
  uint64_t CurrentVersion = 0;
  ConfigPtr Result; // the document to publish, if accepted
  DiagnosticList Diagnostics;
};

// The patch is {"base":N,"patch_id":TEXT,"changes":OBJECT}. `changes` is merged
// into the active document as in RFC 7396, except that the arrays groups,
// models, services and servers are merged by the `name` of their elements, and
// an element {"name":X,"remove":true} is removed. The result's version is one
// above the active version, or one above `LastEvaluated` if that is higher
// because documents after the active one were rejected.
PatchResult evaluatePatch(const ConfigDocument &Active,
                          const std::string &PatchText,
                          uint64_t LastEvaluated = 0);

} // namespace crocusspur::internal

#endif
