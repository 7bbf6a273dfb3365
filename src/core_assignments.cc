#include "core_state.h"

#include <algorithm>
#include <utility>

namespace crocusspur {

using internal::CoreContext;
using internal::ShardOwner;

// Selects the owners again after a change of the membership or of the reachable
// peers.
void DecisionCore::State::updateOwners(ActionList &Out) {
  const ConfigDocument &config =
      *(Config.current() ? Config.current() : NoConfig);
  if (std::exchange(MembershipChanged, false))
    Shards.updateMembership(config, List ? *List : *NoList);
  // During a pause the selection is left to endPause(): requests must see every
  // change of owner, and a paused instance doesn't report any to them.
  if (Paused || !List || !Config.current())
    return;
  bool changed = Shards.selectOwners([this](const std::string &Instance) {
    return Peers.isReachable(Instance, Now);
  });
  stopOwning(Out);
  for (const auto &it : Shards.owners())
    if (it.second == Options.Instance && !Owned.count(it.first))
      beginOwning(it.first, Out);
  if (changed) {
    CoreContext context = this->context(Out);
    Requests.onOwnersChanged(context);
  }
}

void DecisionCore::State::beginOwning(const std::string &Shard,
                                      ActionList &Out) {
  CoreContext context = this->context(Out);
  auto owner = std::make_unique<ShardOwner>(Shard);
  // Always assume a previous owner, even if the list has no other instance: it
  // may have stopped before this one started. Under policies without shard
  // owners, each instance knows only its own requests and must not cancel those
  // of others.
  owner->startOwnership(context, internal::usesShardOwners(Options.Policy));
  Owned[Shard] = std::move(owner);
  Out.push_back(DecisionRecord{
      DecisionKind::OwnershipGained, {}, "", Shard, ErrorKind::Internal, 0});
}

void DecisionCore::State::stopOwning(ActionList &Out) {
  std::erase_if(Owned, [&](const auto &Item) {
    if (Shards.ownerOf(Item.first) == Options.Instance)
      return false;
    Out.push_back(DecisionRecord{DecisionKind::OwnershipLost,
                                 {},
                                 "",
                                 Item.first,
                                 ErrorKind::Internal,
                                 0});
    return true;
  });
}

void DecisionCore::State::updatePolled(ActionList &Out) {
  if (!Config.current())
    return;
  std::vector<std::string> servers = Shards.polledServers(*Config.current());
  if (PolledSent && servers == Polled)
    return;
  PolledSent = true;
  Polled = std::move(servers);
  std::erase_if(ServerStatuses, [&](const auto &Item) {
    return !std::binary_search(Polled.begin(), Polled.end(), Item.first);
  });
  Out.push_back(SetPolledServers{Polled});
}

void DecisionCore::State::onHeartbeat(const std::string &From,
                                      uint64_t Incarnation,
                                      const Heartbeat &Message,
                                      ActionList &Out) {
  Peers.onHeartbeat(From, Message, Now);
  // Zero: the peer hasn't received any.
  if (Paused && Message.Echo != 0 &&
      static_cast<int64_t>(Message.Echo - LastNumberBeforePause) > 0)
    ListAfterPause = std::max(ListAfterPause.value_or(0), Message.ListSequence);
  CoreContext context = this->context(Out);
  Keys.onHeartbeat(context, From, Incarnation, Message);
  for (const LeaseSummary &it : Message.Leases) {
    auto owner = Owned.find(it.Shard);
    if (owner != Owned.end())
      owner->second->onHeartbeat(context, From, it);
  }
  requestNewerVersions(From, Out);
}

void DecisionCore::State::sendHeartbeat(const std::string &To,
                                        std::vector<LeaseSummary> Leases,
                                        ActionList &Out) {
  CoreContext context = this->context(Out);
  Heartbeat message;
  if (activeVersion() != 0) {
    message.ConfigVersion = Config.current()->Version;
    message.ConfigDigest = Config.current()->Digest;
  }
  message.ListSequence = List ? List->Sequence : 0;
  message.Draining = Draining;
  message.ReadsPlatform = ReadingPlatform.value_or(false);
  message.Leases = std::move(Leases);
  Keys.fillHeartbeat(context, To, message);
  Out.push_back(SendToPeer{To, std::move(message)});
}

void DecisionCore::State::sendHeartbeats(ActionList &Out) {
  auto leases = Requests.leasesByOwner();
  for (const std::string &it : Peers.linkedPeers()) {
    auto held = leases.find(it);
    sendHeartbeat(
        it, held == leases.end() ? std::vector<LeaseSummary>() : held->second,
        Out);
  }
  // Leases that this instance holds from itself are renewed like those of
  // peers.
  CoreContext context = this->context(Out);
  for (const LeaseSummary &it : leases[Options.Instance]) {
    auto owner = Owned.find(it.Shard);
    if (owner != Owned.end())
      owner->second->onHeartbeat(context, Options.Instance, it);
  }
}

void DecisionCore::State::onInstanceStopped(const std::string &Instance,
                                            ActionList &Out) {
  CoreContext context = this->context(Out);
  for (auto &it : Owned)
    it.second->onInstanceStopped(context, Instance);
}

void DecisionCore::State::onLoad(const LoadReported &Report, ActionList &Out) {
  detectCrash(Report, Out);
  CoreContext context = this->context(Out);
  for (auto &it : Owned) {
    const ModelConfig *model = context.Config.findModelOfShard(it.first);
    if (!model)
      continue;
    for (const ShardConfig &shard : model->Shards)
      if (shard.Name == it.first &&
          std::count(shard.Servers.begin(), shard.Servers.end(),
                     Report.Server) > 0)
        it.second->onLoad(context, Report);
  }
}

// Detects a crash: the server becomes unreachable or reports a new epoch.
void DecisionCore::State::detectCrash(const LoadReported &Report,
                                      ActionList &Out) {
  CoreContext context = this->context(Out);
  ServerStatus &status = ServerStatuses[Report.Server];
  bool restarted =
      Report.Reachable && status.Epoch != 0 && Report.Epoch != status.Epoch;
  // An instance that has just started to poll hasn't seen the server alive, but
  // requests of this entry may have run on it. The previous poller's crash
  // report may have been lost with its link.
  bool vanished =
      !Report.Reachable &&
      (status.Reachable ||
       (status.Epoch == 0 && Crashes.hasBrokenRun(Report.Server, Now)));
  if ((restarted || vanished) && !status.CrashCounted) {
    status.CrashCounted = true;
    Crashes.onServerCrashed(context, Report.Server, status.Epoch);
  }
  status.Reachable = Report.Reachable;
  if (!Report.Reachable)
    return;
  if (Report.Epoch != status.Epoch)
    status.CrashCounted = false;
  status.Epoch = Report.Epoch;
}

void DecisionCore::State::onCacheEvents(const CacheEventsReported &Report,
                                        ActionList &Out) {
  CoreContext context = this->context(Out);
  for (auto &it : Owned)
    it.second->onCacheEvents(context, Report);
}

} // namespace crocusspur
