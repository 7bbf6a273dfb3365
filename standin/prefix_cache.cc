#include "prefix_cache.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace standin {
namespace {

constexpr size_t MaxEvents = 10000;
constexpr size_t MaxEventsPerResponse = 1000;

} // namespace

size_t PrefixCache::match(const std::vector<std::string> &Prompt) const {
  size_t n = 0;
  while (n < Prompt.size() && Index.count(Prompt[n]))
    ++n;
  return n;
}

void PrefixCache::insert(const std::vector<std::string> &Prompt,
                         uint64_t BlockBytes, TimePoint Now) {
  for (const std::string &it : Prompt) {
    if (auto known = Index.find(it); known != Index.end()) {
      Blocks.splice(Blocks.end(), Blocks, known->second);
      continue;
    }
    Blocks.push_back({it, BlockBytes});
    Index[it] = std::prev(Blocks.end());
    UsedBytes += BlockBytes;
    recordEvent(it, true, Now);
  }
  while (UsedBytes > Options.MemoryBytes) {
    Block oldest = Blocks.front();
    Blocks.pop_front();
    Index.erase(oldest.Prefix);
    UsedBytes -= oldest.Bytes;
    recordEvent(oldest.Prefix, false, Now);
  }
}

void PrefixCache::recordEvent(const std::string &Prefix, bool Added,
                              TimePoint Now) {
  Events.push_back({++LastSequence, Now, Prefix, Added});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

bool PrefixCache::isLost(uint64_t Sequence) const {
  uint64_t hash = XXH64(&Sequence, sizeof Sequence, Options.Seed);
  return static_cast<double>(hash >> 11) * 0x1.0p-53 < Options.EventLoss;
}

std::string PrefixCache::eventsJson(uint64_t After, TimePoint Now) const {
  std::string changes;
  uint64_t first = 0;
  size_t count = 0;
  for (const Event &it : Events) {
    if (it.Sequence <= After)
      continue;
    if (it.Time + Options.EventLag > Now || count == MaxEventsPerResponse)
      break;
    // A list of changes has no gaps, so it ends before a lost event.
    if (isLost(it.Sequence)) {
      if (first != 0)
        break;
      continue;
    }
    if (first == 0)
      first = it.Sequence;
    changes += std::string(count++ ? "," : "") + "{\"prefix\":\"" + it.Prefix +
               "\",\"added\":" + (it.Added ? "true" : "false") + "}";
  }
  if (first == 0)
    first = After + 1;
  return "{\"first\":" + std::to_string(first) + ",\"changes\":[" + changes +
         "]}";
}

} // namespace standin
