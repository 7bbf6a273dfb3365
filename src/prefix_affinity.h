// Chooses prefill servers so that prompts with a common prefix go to the same
// server, within a load bound, and tracks the servers' prefix caches by their
// cache events.
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
  // Records that a prefill of this prompt starts on the server, which will then
  // cache its prefixes.
  void onPrefill(const std::string &Server,
                 const std::vector<uint64_t> &PrefixHashes);
  // Skips events that were seen before. After a gap, discards everything known
  // about the server, since evictions may have been missed.
  void onEvents(const CacheEventsReported &Report);
  void discard(const std::string &Server) { Caches.erase(Server); }

  // Returns the most preferred server that has a free slot and a load under
  // 1.25 times the mean; if there is none, the least loaded one with a free
  // slot. Empty if no candidate has a free slot.
  std::string choose(const std::vector<uint64_t> &PrefixHashes,
                     const std::vector<PrefillCandidate> &Candidates) const;
  // Number of leading prefix blocks that the server is expected to hold.
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
