// The configuration version in force: judges published documents in the order
// of their numbers, adopts what peers have in force, and never goes back.
#ifndef CROCUSSPUR_CONFIG_STATE_H
#define CROCUSSPUR_CONFIG_STATE_H

#include "crocusspur/config_document.h"
#include "crocusspur/errors.h"

#include <string>

namespace crocusspur::internal {

enum class ConfigOutcome : uint8_t {
  Activated,   // accepted and now in force
  Rejected,    // its base is not the highest accepted number below its own
  AlreadySeen, // already judged
  VersionGap,  // numbers between the last judged and this one are missing
};

class ConfigState {
public:
  // A document read from the platform.
  ConfigOutcome evaluatePublished(const ConfigPtr &Document);
  // A document that a peer has in force. Older ones are ignored.
  ConfigOutcome adoptFromPeer(const ConfigPtr &Document);

  // The first document of a fresh instance may be one that its peers have
  // refused. Until it is confirmed, any version that a peer has in force
  // replaces it, and peers must not be told of it.
  void setProvisional() { Provisional = Current != nullptr; }
  void confirm() { Provisional = false; }
  bool provisional() const { return Provisional; }

  // Null until one is in force.
  const ConfigPtr &current() const { return Current; }
  // Highest number with a verdict; the next to read is the one after it.
  uint64_t lastEvaluated() const { return LastEvaluated; }
  // Documents seen that have the number in force but another text. This breaks
  // the platform's contract; the one with the lower digest stays in force.
  uint64_t conflicts() const { return Conflicts; }

private:
  ConfigOutcome activate(const ConfigPtr &Document);
  // `Acceptable`: it would have been accepted in place of the one in force.
  ConfigOutcome resolveConflict(const ConfigPtr &Document, bool Acceptable);

  ConfigPtr Current;
  uint64_t LastEvaluated = 0;
  uint64_t Conflicts = 0;
  bool Provisional = false;
};

// What a patch would give, by the rule that judges published documents.
struct PatchResult {
  bool Accepted = false;
  ErrorKind Error = ErrorKind::BadPatch; // StaleBase or BadPatch
  uint64_t CurrentVersion = 0;
  ConfigPtr Result; // the document to publish, if accepted
  DiagnosticList Diagnostics;
};

// The patch is {"base":N,"patch_id":TEXT,"changes":OBJECT}. `changes` is merged
// into the document in force as by RFC 7396, except that the arrays groups,
// models, services and servers are merged by the `name` of their elements, and
// an element {"name":X,"remove":true} is removed. The result's number is the
// one after the version in force, or after `Judged` if that is higher because
// documents after the one in force were refused.
PatchResult evaluatePatch(const ConfigDocument &Active,
                          const std::string &PatchText,
                          uint64_t LastEvaluated = 0);

} // namespace crocusspur::internal

#endif
