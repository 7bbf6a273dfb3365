// Divides the prefill servers of a service into shards, each with an instance
// that dispatches prefills to its servers. Does no I/O.
//
// Intended for 4 to 300 prefill servers and 8 to 400 instances with 0.09 of a
// core, of which none can decide for all of 250 prefills per second.
#ifndef CROCUSSPUR_GATEWAY_PREFILL_SHARDS_H
#define CROCUSSPUR_GATEWAY_PREFILL_SHARDS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// A prefill server as known to one instance.
struct DispatchServer {
  std::string Id;
  int64_t StartedAt = 0; // of its process
  double UnitMs = 0;     // time for one token of a prompt alone; 0: unknown
  bool Usable = true;    // whether the instance may send to it
};

// The prefill servers of a service, without those that leave.
struct DispatchServers {
  std::vector<DispatchServer> All; // ordered by id
  bool Differ = false;             // their paces differ for placement
};

inline constexpr size_t MaxServersPerShard = 10;
// With fewer, an owner can hardly do better than an instance by itself.
inline constexpr size_t MinServersToDispatch = 4;
inline constexpr size_t MinInstancesToDispatch = 8;

// Returns the shards, each with at most MaxServersPerShard servers as indices
// into the list. The same on all instances that know the same servers. A server
// that comes or goes moves few others to a neighbouring shard.
std::vector<std::vector<size_t>>
shardsOf(const std::vector<DispatchServer> &Servers);

// Returns a shard with a probability proportional to the capacity of its
// servers that are usable and not excluded; nothing if there are none. `Draw`:
// uniform in [0, 1).
std::optional<size_t> drawShard(const std::vector<DispatchServer> &Servers,
                                const std::vector<std::vector<size_t>> &Shards,
                                const std::set<std::string> &Excluded,
                                double Draw);

// Key of which the owner of a shard is the first instance in rendezvous order.
std::string shardKey(const std::string &Service, size_t Shard);

} // namespace crocusspur::gateway

#endif
