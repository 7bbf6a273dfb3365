// Backend servers and groups of one shard, by the configuration, the instance
// list and the load estimates, and the choice between servers.
#ifndef CROCUSSPUR_SHARD_SERVERS_H
#define CROCUSSPUR_SHARD_SERVERS_H

#include "core_context.h"
#include "prefix_affinity.h"
#include "server_load_estimator.h"

#include <map>
#include <string>
#include <vector>

namespace crocusspur::internal {

struct ShardServer {
  ServerConfig Config;
  bool Live = false;
  ServerLoadEstimator Estimate;
  LinkLoadEstimator Link;
  // The request that runs here alone, or for which the server is drained.
  RequestId ReservedFor;
  TimePoint ReportedAt;       // arrival of the last load report
  bool CancelUnknown = false; // cancel unknown requests after the takeover

  bool reserved() const { return ReservedFor != RequestId{}; }
  bool decodes() const { return Config.Role == ServerRole::Decode; }
};

class ShardServers {
public:
  explicit ShardServers(std::string Shard) : Shard(std::move(Shard)) {}

  // Applies changes of the configuration and the instance list. Returns true if
  // there were any. The configuration must stay valid until the next call.
  bool sync(const CoreContext &Context);

  ShardServer *find(const std::string &Name);
  std::map<std::string, ShardServer> &all() { return Servers; }
  const std::map<std::string, ShardServer> &all() const { return Servers; }
  // The group's configuration; defaults for an unknown group.
  const GroupConfig &group(const std::string &Name) const;
  bool knowsGroup(const std::string &Name) const;
  // Sum of the shares of the interactive groups, and of all but batch groups.
  double interactiveShare() const { return InteractiveShare; }
  double onlineShare() const { return OnlineShare; }
  uint32_t kvBytesPerToken() const { return KvBytesPerToken; }
  Milliseconds evictionTime() const { return EvictionTime; }

  // Live, reachable servers of the role that the group may use. With
  // `Reserved`, includes servers that are reserved for a request that runs
  // alone.
  std::vector<ShardServer *> usableServers(const std::string &Group,
                                           ServerRole Role, TimePoint Now,
                                           bool Reserved = false);
  // Returns true if the group may use every server of the shard.
  bool unrestricted(const std::string &Group) const;

  uint32_t freeSlots(const std::vector<ShardServer *> &Candidates,
                     TimePoint Now) const;
  // Returns the server with a free slot that can start first: shortest transfer
  // from the source (may be null), then lowest fraction of used slots. Null if
  // no slot is free.
  ShardServer *bestDecode(const std::vector<ShardServer *> &Candidates,
                          const ShardServer *Source, double Bytes,
                          TimePoint Now) const;
  // Expected seconds until a KV cache has been transferred between the servers.
  double transferSeconds(const ShardServer &From, const ShardServer &To,
                         double Bytes, TimePoint Now) const;

private:
  void sumShares();
  uint32_t slotsFor(const CoreContext &Context,
                    const ServerConfig &Config) const;

  std::string Shard;
  std::map<std::string, ShardServer> Servers;
  // Set by sync(), which precedes every use. Not a copy: the groups would take
  // 2 MB in each shard, and an instance without peers owns every shard.
  const ConfigDocument *Config = nullptr;
  double InteractiveShare = 0;
  double OnlineShare = 0;
  uint32_t KvBytesPerToken = 131072;
  Milliseconds EvictionTime{800};
  uint64_t Version = 0;
  uint64_t Sequence = 0;
  bool Synced = false;
};

} // namespace crocusspur::internal

#endif
