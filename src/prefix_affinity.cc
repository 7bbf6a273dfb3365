#include "prefix_affinity.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace crocusspur::internal {

// Bounds the memory for one server: when more than twice as many entries are
// known, only this many of the most recent uses are kept.
static constexpr size_t RetainedCacheEntries = 8192;

void PrefixAffinity::insert(Cache &Into, uint64_t Hash) {
  Into.LastUse[Hash] = ++Into.UseCount;
  if (Into.LastUse.size() <= 2 * RetainedCacheEntries)
    return;
  uint64_t oldest = Into.UseCount - RetainedCacheEntries;
  std::erase_if(Into.LastUse,
                [&](const auto &It) { return It.second <= oldest; });
}

void PrefixAffinity::onPrefill(const std::string &Server,
                               const std::vector<uint64_t> &PrefixHashes) {
  Cache &cache = Caches[Server];
  for (uint64_t it : PrefixHashes)
    insert(cache, it);
}

void PrefixAffinity::onEvents(const CacheEventsReported &Report) {
  Cache &cache = Caches[Report.Server];
  if (cache.SequenceKnown && Report.FirstSequence > cache.NextSequence)
    cache.LastUse.clear();
  uint64_t sequence = Report.FirstSequence;
  for (const CacheChange &it : Report.Changes) {
    bool seen = cache.SequenceKnown && sequence < cache.NextSequence;
    ++sequence;
    if (seen)
      continue;
    if (it.Added)
      insert(cache, it.PrefixHash);
    else
      cache.LastUse.erase(it.PrefixHash);
  }
  cache.NextSequence = std::max(cache.NextSequence, sequence);
  cache.SequenceKnown = true;
}

size_t
PrefixAffinity::cachedBlocks(const std::string &Server,
                             const std::vector<uint64_t> &PrefixHashes) const {
  auto it = Caches.find(Server);
  if (it == Caches.end())
    return 0;
  size_t count = 0;
  while (count < PrefixHashes.size() &&
         it->second.LastUse.count(PrefixHashes[count]))
    ++count;
  return count;
}

std::string
PrefixAffinity::choose(const std::vector<uint64_t> &PrefixHashes,
                       const std::vector<PrefillCandidate> &Candidates) const {
  if (Candidates.empty())
    return "";
  uint64_t total = 1; // the new prefill
  for (const PrefillCandidate &it : Candidates)
    total += it.Load;
  // 1.25 times the mean, rounded up so that one server is always within it.
  uint64_t bound =
      (5 * total + 4 * Candidates.size() - 1) / (4 * Candidates.size());
  uint64_t seed = PrefixHashes.empty() ? 0 : PrefixHashes.front();
  // Servers within the bound come first, ordered by cached blocks and
  // rendezvous weight. The others are ordered by load.
  using Rank = std::tuple<bool, uint64_t, size_t, uint64_t>;
  const PrefillCandidate *best = nullptr;
  Rank bestRank;
  for (const PrefillCandidate &it : Candidates) {
    if (!it.HasSlot)
      continue;
    bool within = it.Load + 1 <= bound && !PrefixHashes.empty();
    uint64_t weight = XXH64(it.Name.data(), it.Name.size(), seed);
    Rank rank{within, within ? 0 : UINT64_MAX - it.Load,
              within ? cachedBlocks(it.Name, PrefixHashes) : 0, weight};
    if (!best || rank > bestRank) {
      best = &it;
      bestRank = rank;
    }
  }
  return best ? best->Name : "";
}

} // namespace crocusspur::internal
