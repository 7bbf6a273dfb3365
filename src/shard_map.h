// Determines which instance owns each shard, which polls each service, and
// which read the platform, as seen from this instance. Instances with the same
// lists and reachable peers get the same results.
#ifndef CROCUSSPUR_SHARD_MAP_H
#define CROCUSSPUR_SHARD_MAP_H

#include "crocusspur/config_document.h"
#include "crocusspur/decision_core.h"
#include "crocusspur/instance_list.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Returns true if the placement policy has one owner for each shard. With other
// policies every instance places its own requests.
bool usesShardOwners(PlacementPolicy Policy);

class ShardMap {
public:
  explicit ShardMap(const CoreOptions &Options) : Options(Options) {}

  // Recomputes the ranking of the live listed instances for every shard and
  // service.
  void updateMembership(const ConfigDocument &Config, const InstanceList &List);
  // Selects the first reachable instance of each ranking. Returns true if an
  // owner changed.
  bool selectOwners(const std::function<bool(const std::string &)> &Reachable);

  // Empty if the shard is unknown.
  const std::string &ownerOf(const std::string &Shard) const;
  const std::map<std::string, std::string> &owners() const { return Owners; }
  // Servers of the shards that this instance owns and of the services that it
  // polls, sorted and without duplicates.
  std::vector<std::string> polledServers(const ConfigDocument &Config) const;
  // Returns true if this instance is one of the platform readers of its failure
  // domain.
  bool isPlatformReader() const { return PlatformReader; }

private:
  const std::string &firstReachable(
      const std::vector<std::string> &Ranking,
      const std::function<bool(const std::string &)> &Reachable) const;

  bool isRankedAsReader(const InstanceList &List) const;

  const CoreOptions &Options;
  bool PlatformReader = false;
  std::map<std::string, std::vector<std::string>> ShardRankings;   // by shard
  std::map<std::string, std::vector<std::string>> ServiceRankings; // by service
  std::map<std::string, std::string> Owners;
  std::map<std::string, std::string> ServicePollers;
};

} // namespace crocusspur::internal

#endif
