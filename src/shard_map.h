// Which instance owns each shard, which polls each service, and which read the
// platform, as seen from this instance. The same lists and reachable peers
// give the same answers everywhere.
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

// True if a placement policy has one owner for each shard; with the others
// every instance places requests for itself.
bool usesShardOwners(PlacementPolicy Policy);

class ShardMap {
public:
  explicit ShardMap(const CoreOptions &Options) : Options(Options) {}

  // Ranks the listed live instances anew for every shard and service.
  void updateMembership(const ConfigDocument &Config, const InstanceList &List);
  // Chooses the first reachable instance in each rank. Returns true if an
  // owner changed.
  bool selectOwners(const std::function<bool(const std::string &)> &Reachable);

  // Empty if the shard is unknown.
  const std::string &ownerOf(const std::string &Shard) const;
  const std::map<std::string, std::string> &owners() const { return Owners; }
  // Servers of owned shards, and of services that this instance ranks first
  // for, in order and without repetition.
  std::vector<std::string> polledServers(const ConfigDocument &Config) const;
  // Whether this instance is one of the readers of its failure domain.
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
