#include "gateway/decisions/placement/prefill_shards.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

uint64_t hashOf(const std::string &Id) {
  return XXH64(Id.data(), Id.size(), 0);
}

} // namespace

std::vector<std::vector<size_t>>
shardsOf(const std::vector<DispatchServer> &Servers) {
  std::vector<std::pair<uint64_t, size_t>> order;
  for (size_t i = 0; i < Servers.size(); ++i)
    order.emplace_back(hashOf(Servers[i].Id), i);
  std::ranges::sort(order);
  size_t n = (order.size() + MaxServersPerShard - 1) / MaxServersPerShard;
  std::vector<std::vector<size_t>> shards(n);
  for (size_t i = 0; i < order.size(); ++i)
    shards[i * n / order.size()].push_back(order[i].second);
  return shards;
}

std::optional<size_t> drawShard(const std::vector<DispatchServer> &Servers,
                                const std::vector<std::vector<size_t>> &Shards,
                                const std::set<std::string> &Excluded,
                                double Draw) {
  std::vector<double> capacities;
  for (const std::vector<size_t> &shard : Shards) {
    double capacity = 0;
    for (size_t i : shard) {
      const DispatchServer &it = Servers[i];
      if (it.Usable && it.UnitMs > 0 && !Excluded.contains(it.Id))
        capacity += 1 / it.UnitMs;
    }
    capacities.push_back(capacity);
  }
  double rest = Draw * std::reduce(capacities.begin(), capacities.end());
  std::optional<size_t> found;
  for (size_t i = 0; i < capacities.size(); ++i) {
    if (capacities[i] <= 0)
      continue;
    found = i;
    rest -= capacities[i];
    if (rest < 0)
      break;
  }
  return found;
}

std::string shardKey(const std::string &Service, size_t Shard) {
  return "prefill:" + Service + ":" + std::to_string(Shard);
}

} // namespace crocusspur::gateway
