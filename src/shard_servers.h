// The backend servers and groups of one shard as configuration, list and
// estimates show them, and the choice between servers.
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
  bool CancelUnknown = false; // unknown requests are to be cancelled

  bool reserved() const { return ReservedFor != RequestId{}; }
  bool decodes() const { return Config.Role == ServerRole::Decode; }
};

class ShardServers {
public:
  explicit ShardServers(std::string Shard) : Shard(std::move(Shard)) {}

  // Takes over changes of the configuration and the list. Returns true if
  // there were any. The configuration must last until the next call.
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

  // Live, reachable servers of the role where the group may run. `Reserved`
  // includes the ones that are reserved for a request that runs alone.
  std::vector<ShardServer *> usableServers(const std::string &Group,
                                           ServerRole Role, TimePoint Now,
                                           bool Reserved = false);
  // True if the group may use every server of the shard.
  bool unrestricted(const std::string &Group) const;

  uint32_t freeSlots(const std::vector<ShardServer *> &Candidates,
                     TimePoint Now) const;
  // The server with a free slot that can start soonest: shortest transfer from
  // the source (may be null), then lowest part of slots used. Null if no slot
  // is free.
  ShardServer *bestDecode(const std::vector<ShardServer *> &Candidates,
                          const ShardServer *Source, double Bytes,
                          TimePoint Now) const;
  // Seconds for the KV cache to get from one server to the other.
  double transferSeconds(const ShardServer &From, const ShardServer &To,
                         double Bytes, TimePoint Now) const;

private:
  void sumShares();
  uint32_t slotsFor(const CoreContext &Context,
                    const ServerConfig &Config) const;

  std::string Shard;
  std::map<std::string, ShardServer> Servers;
  // Of the last sync(), which comes before every use. A copy of all groups in
  // each shard took 2 MB; an instance without peers owns every shard.
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
