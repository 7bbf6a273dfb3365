#include "shard_map.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusspur::internal {
namespace {

std::vector<std::string> liveInstances(const InstanceList &List) {
  std::vector<std::string> names;
  for (const InstanceEntry &it : List.Instances)
    if (it.State == MemberState::Live)
      names.push_back(it.Name);
  return names;
}

} // namespace

bool usesShardOwners(PlacementPolicy Policy) {
  return Policy == PlacementPolicy::HoldSlot || Policy == PlacementPolicy::Pool;
}

void ShardMap::updateMembership(const ConfigDocument &Config,
                                const InstanceList &List) {
  PlatformReader = isRankedAsReader(List);
  std::vector<std::string> live = liveInstances(List);
  ShardRankings.clear();
  ServiceRankings.clear();
  for (const ModelConfig &model : Config.Models)
    for (const ShardConfig &it : model.Shards)
      ShardRankings[it.Name] = rankByRendezvous(it.Name, live);
  for (const ServiceConfig &it : Config.Services)
    ServiceRankings[it.Name] = rankByRendezvous("service:" + it.Name, live);
}

// Falls back to this instance if no listed instance is reachable: ownership
// only improves efficiency, and without an owner no request would be served.
const std::string &ShardMap::firstReachable(
    const std::vector<std::string> &Ranking,
    const std::function<bool(const std::string &)> &Reachable) const {
  for (const std::string &it : Ranking)
    if (it == Options.Instance || Reachable(it))
      return it;
  return Options.Instance;
}

bool ShardMap::selectOwners(
    const std::function<bool(const std::string &)> &Reachable) {
  bool shared = usesShardOwners(Options.Policy);
  bool changed = std::erase_if(Owners, [&](const auto &Item) {
                   return !ShardRankings.count(Item.first);
                 }) > 0;
  for (const auto &it : ShardRankings) {
    const std::string &first =
        shared ? firstReachable(it.second, Reachable) : Options.Instance;
    auto [owner, added] = Owners.try_emplace(it.first);
    changed |= added || owner->second != first;
    owner->second = first;
  }
  ServicePollers.clear();
  for (const auto &it : ServiceRankings)
    ServicePollers[it.first] = firstReachable(it.second, Reachable);
  return changed;
}

const std::string &ShardMap::ownerOf(const std::string &Shard) const {
  static const std::string Unknown;
  auto it = Owners.find(Shard);
  return it == Owners.end() ? Unknown : it->second;
}

std::vector<std::string>
ShardMap::polledServers(const ConfigDocument &Config) const {
  std::set<std::string> names;
  for (const ModelConfig &model : Config.Models)
    for (const ShardConfig &it : model.Shards)
      if (ownerOf(it.Name) == Options.Instance)
        names.insert(it.Servers.begin(), it.Servers.end());
  for (const ServiceConfig &it : Config.Services) {
    auto poller = ServicePollers.find(it.Name);
    if (poller != ServicePollers.end() && poller->second == Options.Instance)
      names.insert(it.Servers.begin(), it.Servers.end());
  }
  return {names.begin(), names.end()};
}

bool ShardMap::isRankedAsReader(const InstanceList &List) const {
  std::vector<std::string> names;
  const InstanceEntry *self = List.findInstance(Options.Instance);
  const std::string &domain =
      self ? self->FailureDomain : Options.FailureDomain;
  for (const InstanceEntry &it : List.Instances)
    if (it.State == MemberState::Live && it.FailureDomain == domain)
      names.push_back(it.Name);
  names = rankByRendezvous("platform:" + domain, std::move(names));
  names.resize(std::min<size_t>(names.size(), Options.WatchersPerDomain));
  return std::find(names.begin(), names.end(), Options.Instance) != names.end();
}

} // namespace crocusspur::internal
