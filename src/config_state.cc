#include "config_state.h"

#include <algorithm>
#include <utility>

namespace crocusspur::internal {

ConfigVerdict ConfigState::judgePublished(const ConfigPtr &Document) {
  if (!Current)
    return putInForce(Document);
  if (Document->Version == Current->Version)
    return resolveConflict(Document, Document->Base == Current->Base);
  if (Document->Version <= Judged)
    return ConfigVerdict::Old;
  if (Document->Version > Judged + 1)
    return ConfigVerdict::Gap;
  Judged = Document->Version;
  return Document->Base == Current->Version ? putInForce(Document)
                                            : ConfigVerdict::Refused;
}

ConfigVerdict ConfigState::adoptFromPeer(const ConfigPtr &Document) {
  if (std::exchange(Provisional, false) &&
      Document->Digest != Current->Digest) {
    Judged = Document->Version; // what follows it is judged anew
    return putInForce(Document);
  }
  if (!Current || Document->Version > Current->Version)
    return putInForce(Document);
  if (Document->Version == Current->Version)
    return resolveConflict(Document, true);
  return ConfigVerdict::Old;
}

ConfigVerdict ConfigState::putInForce(const ConfigPtr &Document) {
  Current = Document;
  Judged = std::max(Judged, Document->Version);
  return ConfigVerdict::InForce;
}

ConfigVerdict ConfigState::resolveConflict(const ConfigPtr &Document,
                                           bool Acceptable) {
  if (Document->Digest == Current->Digest)
    return ConfigVerdict::Old;
  ++Conflicts;
  if (!Acceptable || Document->Digest > Current->Digest)
    return ConfigVerdict::Old;
  return putInForce(Document);
}

} // namespace crocusspur::internal
