#include "config_state.h"

#include <algorithm>
#include <utility>

namespace crocusspur::internal {

ConfigOutcome ConfigState::evaluatePublished(const ConfigPtr &Document) {
  if (!Current)
    return activate(Document);
  if (Document->Version == Current->Version)
    return resolveConflict(Document, Document->Base == Current->Base);
  if (Document->Version <= LastEvaluated)
    return ConfigOutcome::AlreadySeen;
  if (Document->Version > LastEvaluated + 1)
    return ConfigOutcome::VersionGap;
  LastEvaluated = Document->Version;
  return Document->Base == Current->Version ? activate(Document)
                                            : ConfigOutcome::Rejected;
}

ConfigOutcome ConfigState::adoptFromPeer(const ConfigPtr &Document) {
  if (std::exchange(Provisional, false) &&
      Document->Digest != Current->Digest) {
    LastEvaluated = Document->Version; // evaluate later documents again
    return activate(Document);
  }
  if (!Current || Document->Version > Current->Version)
    return activate(Document);
  if (Document->Version == Current->Version)
    return resolveConflict(Document, true);
  return ConfigOutcome::AlreadySeen;
}

ConfigOutcome ConfigState::activate(const ConfigPtr &Document) {
  Current = Document;
  LastEvaluated = std::max(LastEvaluated, Document->Version);
  return ConfigOutcome::Activated;
}

ConfigOutcome ConfigState::resolveConflict(const ConfigPtr &Document,
                                           bool Acceptable) {
  if (Document->Digest == Current->Digest)
    return ConfigOutcome::AlreadySeen;
  ++Conflicts;
  if (!Acceptable || Document->Digest > Current->Digest)
    return ConfigOutcome::AlreadySeen;
  return activate(Document);
}

} // namespace crocusspur::internal
