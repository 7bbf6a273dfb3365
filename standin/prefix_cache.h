// Model of an engine's prefix cache: limited memory, eviction of the least
// recently used blocks, and change events that are published late and with
// gaps. Not thread-safe.
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

struct PrefixCacheOptions {
  uint64_t MemoryBytes = 8000000000;
  std::chrono::milliseconds EventLag{500};
  double EventLoss = 0.02; // fraction of events that are never published
  uint64_t Seed = 1;       // selects the lost events
};

class PrefixCache {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit PrefixCache(PrefixCacheOptions Options) : Options(Options) {}

  // Returns the number of leading blocks of the prompt that are cached.
  size_t match(const std::vector<std::string> &Blocks) const;
  // Caches all blocks, each of `BlockBytes` bytes.
  void insert(const std::vector<std::string> &Blocks, uint64_t BlockBytes,
              TimePoint Now);
  // Returns the response body of GET /v1/cache_events.
  std::string eventsJson(uint64_t After, TimePoint Now) const;

private:
  struct Block {
    std::string Prefix;
    uint64_t Bytes = 0;
  };
  struct Event {
    uint64_t Sequence = 0;
    TimePoint Time;
    std::string Prefix;
    bool Added = false;
  };

  void recordEvent(const std::string &Prefix, bool Added, TimePoint Now);
  bool isLost(uint64_t Sequence) const;

  PrefixCacheOptions Options;
  std::list<Block> Blocks; // least recently used first
  std::unordered_map<std::string, std::list<Block>::iterator> Index;
  uint64_t UsedBytes = 0;
  std::deque<Event> Events;
  uint64_t LastSequence = 0;
};

} // namespace standin

#endif
