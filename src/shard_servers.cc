#include "shard_servers.h"

#include <algorithm>
#include <tuple>

namespace crocusspur::internal {

static bool listed(const std::vector<std::string> &Names,
                   const std::string &Name) {
  return Names.empty() ||
         std::find(Names.begin(), Names.end(), Name) != Names.end();
}

static bool mayUse(const GroupConfig &Group, const ServerConfig &Server) {
  return listed(Group.Regions, Server.Region) &&
         listed(Group.FailureDomains, Server.FailureDomain);
}

// With SplitSlots each live instance uses its own part of a server's decode
// slots. The remainder goes to the first instances in rendezvous order, so that
// the parts of all instances add up to the server's slots.
uint32_t ShardServers::slotsFor(const CoreContext &Context,
                                const ServerConfig &Config) const {
  if (Context.Options.Policy != PlacementPolicy::SplitSlots ||
      Config.Role != ServerRole::Decode)
    return Config.Slots;
  std::vector<std::string> names;
  for (const InstanceEntry &it : Context.List.Instances)
    if (it.State == MemberState::Live)
      names.push_back(it.Name);
  names = rankByRendezvous(Config.Name, std::move(names));
  auto own = std::find(names.begin(), names.end(), Context.Options.Instance);
  if (own == names.end())
    return 0;
  auto count = static_cast<uint32_t>(names.size());
  auto rank = static_cast<uint32_t>(own - names.begin());
  return Config.Slots / count + (rank < Config.Slots % count ? 1 : 0);
}

void ShardServers::sumShares() {
  InteractiveShare = OnlineShare = 0;
  for (const GroupConfig &it : Config->Groups) {
    if (it.Class == RequestClass::Batch)
      continue;
    OnlineShare += it.Share;
    InteractiveShare += it.Class == RequestClass::Interactive ? it.Share : 0;
  }
}

bool ShardServers::sync(const CoreContext &Context) {
  Config = &Context.Config;
  if (Synced && Version == Context.Config.Version &&
      Sequence == Context.List.Sequence)
    return false;
  Synced = true;
  Version = Context.Config.Version;
  Sequence = Context.List.Sequence;
  sumShares();
  for (auto &[name, server] : Servers)
    server.Live = false;
  std::vector<std::string> members;
  for (const ModelConfig &model : Context.Config.Models)
    for (const ShardConfig &shard : model.Shards)
      if (shard.Name == Shard) {
        members = shard.Servers;
        KvBytesPerToken = model.KvBytesPerToken;
        EvictionTime = model.EvictionTime;
      }
  for (const ServerConfig &it : Context.Config.Servers) {
    if (std::find(members.begin(), members.end(), it.Name) == members.end())
      continue;
    ShardServer &server = Servers[it.Name];
    server.Config = it;
    server.Live = Context.List.serverIsLive(it.Name);
    server.Estimate.setSlots(slotsFor(Context, it));
    server.Estimate.setIdsIncludeIdle(it.Role == ServerRole::Prefill);
    server.Link.setRate(it.LinkBytesPerSecond);
  }
  // A server that left the shard is kept while requests of this owner run
  // there.
  std::erase_if(Servers, [&](const auto &It) {
    return !It.second.Live && It.second.Estimate.own() == 0 &&
           std::find(members.begin(), members.end(), It.first) == members.end();
  });
  return true;
}

ShardServer *ShardServers::find(const std::string &Name) {
  auto it = Servers.find(Name);
  return it == Servers.end() ? nullptr : &it->second;
}

const GroupConfig &ShardServers::group(const std::string &Name) const {
  static const GroupConfig Unknown;
  const GroupConfig *it = Config ? Config->findGroup(Name) : nullptr;
  return it ? *it : Unknown;
}

bool ShardServers::knowsGroup(const std::string &Name) const {
  return Config && Config->findGroup(Name);
}

std::vector<ShardServer *> ShardServers::usableServers(const std::string &Group,
                                                       ServerRole Role,
                                                       TimePoint Now,
                                                       bool Reserved) {
  const GroupConfig &config = group(Group);
  std::vector<ShardServer *> found;
  for (auto &[name, it] : Servers)
    if (it.Live && it.Config.Role == Role && (Reserved || !it.reserved()) &&
        it.Estimate.reachable(Now) && mayUse(config, it.Config))
      found.push_back(&it);
  return found;
}

bool ShardServers::unrestricted(const std::string &Group) const {
  const GroupConfig &config = group(Group);
  return std::all_of(Servers.begin(), Servers.end(), [&](const auto &It) {
    return mayUse(config, It.second.Config);
  });
}

uint32_t ShardServers::freeSlots(const std::vector<ShardServer *> &Candidates,
                                 TimePoint Now) const {
  uint32_t sum = 0;
  for (const ShardServer *it : Candidates)
    sum += it->Estimate.free(Now);
  return sum;
}

double ShardServers::transferSeconds(const ShardServer &From,
                                     const ShardServer &To, double Bytes,
                                     TimePoint Now) const {
  if (From.Config.Name == To.Config.Name)
    return 0;
  double rate = std::min(From.Link.rate(), To.Link.rate());
  return std::max(From.Link.backlogSeconds(Now), To.Link.backlogSeconds(Now)) +
         (rate > 0 ? Bytes / rate : 0);
}

ShardServer *
ShardServers::bestDecode(const std::vector<ShardServer *> &Candidates,
                         const ShardServer *Source, double Bytes,
                         TimePoint Now) const {
  ShardServer *best = nullptr;
  std::tuple<double, double> bestScore;
  for (ShardServer *it : Candidates) {
    if (it->Estimate.free(Now) == 0)
      continue;
    double transfer = Source ? transferSeconds(*Source, *it, Bytes, Now) : 0;
    double used = static_cast<double>(it->Estimate.load(Now)) /
                  std::max(1U, it->Estimate.slots());
    std::tuple<double, double> score{transfer, used};
    if (!best || score < bestScore) {
      best = it;
      bestScore = score;
    }
  }
  return best;
}

} // namespace crocusspur::internal
