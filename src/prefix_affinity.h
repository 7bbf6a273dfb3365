// Chooses prefill servers so that prompts with a common prefix meet on the same
// server, bounded by load, and follows the servers' cache events.
#ifndef CROCUSSPUR_PREFIX_AFFINITY_H
#define CROCUSSPUR_PREFIX_AFFINITY_H

#include "crocusspur/event.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusspur::internal {

struct PrefillCandidate {
  std::string Name;
  uint32_t Load = 0;
  bool HasSlot = false;
};

class PrefixAffinity {
public:
  // A prefill of this prompt starts on the server, so its prefixes will be
  // cached there.
  void onPrefill(const std::string &Server,
                 const std::vector<uint64_t> &PrefixHashes);
  // Events that were seen before are skipped; after a gap, everything known of
  // the server is dropped, since evictions may have been missed.
  void onEvents(const CacheEventsReported &Report);
  void discard(const std::string &Server) { Caches.erase(Server); }

  // Name of the first server in order of preference that has a slot and a load
  // under 1.25 of the mean; if none has, the least loaded one with a slot.
  // Empty if no candidate has a slot.
  std::string choose(const std::vector<uint64_t> &PrefixHashes,
                     const std::vector<PrefillCandidate> &Candidates) const;
  // Number of leading prefix blocks that the server is believed to hold.
  size_t cachedBlocks(const std::string &Server,
                      const std::vector<uint64_t> &PrefixHashes) const;

private:
  struct Cache {
    std::unordered_map<uint64_t, uint64_t> LastUse;
    uint64_t UseCount = 0;
    uint64_t NextSequence = 0;
    bool SequenceKnown = false;
  };
  static void insert(Cache &Into, uint64_t Hash);

  std::map<std::string, Cache> Caches;
};

} // namespace crocusspur::internal

#endif
