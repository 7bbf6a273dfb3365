#include "shard_owner.h"

#include "shard_scheduler.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <sstream>

namespace crocusspur::internal {

// A cancelled request that a server still reports after this time is cancelled
// again, since the first cancel may have been lost.
static constexpr Milliseconds CancelRetryDelay{500};

// Cancelled requests are kept for this long.
static constexpr Milliseconds CancelRetention{10000};

struct ShardOwner::State {
  explicit State(std::string Shard)
      : Shard(Shard), Scheduler(std::move(Shard),
                                [this](const ShardLease &Lease, bool Begins) {
                                  onLeaseChange(Lease, Begins);
                                }) {}

  // State of an instance that holds leases.
  struct EntryInstance {
    TimePoint RenewedAt;
    uint32_t Count = 0;
    uint64_t Digest = 0;
    uint32_t Mismatches = 0; // in a row
  };

  void onLeaseChange(const ShardLease &Lease, bool Begins);
  // Syncs the servers, runs the function and then the scheduler.
  template <typename F> void handle(CoreContext &Context, F Body);
  ShardLeasePtr findOrRequestLeases(CoreContext &Context,
                                    const std::string &Sender,
                                    const RequestId &Id);
  void expireLeasesOf(CoreContext &Context, const std::string &Instance);
  void expireOverdue(CoreContext &Context);
  void endTakeOver(CoreContext &Context);
  void cancelUnknown(CoreContext &Context, ShardServer &Server);
  void repeatCancels(CoreContext &Context, const ShardServer &Server);
  ShardLeasePtr makeLease(CoreContext &Context, const std::string &Sender,
                          const AcquireRequest &Message) const;
  ShardLeasePtr makeLease(CoreContext &Context, const std::string &Sender,
                          const LeaseEntry &Entry) const;
  void reconcile(CoreContext &Context, ShardLease &Lease,
                 const LeaseEntry &Entry);

  std::string Shard;
  ShardScheduler Scheduler;
  uint64_t Fence = 0;
  TimePoint TakeoverEnd{}; // zero outside a takeover
  std::map<std::string, EntryInstance> Entries;
  std::map<RequestId, TimePoint> Cancelled;
};

void ShardOwner::State::onLeaseChange(const ShardLease &Lease, bool Begins) {
  EntryInstance &entry = Entries[Lease.Entry];
  // The first lease counts as a renewal, since the entry instance has just sent
  // it.
  if (Begins && entry.Count == 0)
    entry.RenewedAt = std::max(entry.RenewedAt, Lease.ArrivedAt);
  entry.Count += Begins ? 1 : -1;
  entry.Digest ^= std::hash<RequestId>()(Lease.Id);
}

template <typename F>
void ShardOwner::State::handle(CoreContext &Context, F Body) {
  Scheduler.sync(Context);
  Body();
  Scheduler.schedule(Context);
}

// If this owner doesn't know the request, asks the sender for its lease list,
// through which the request is adopted.
ShardLeasePtr ShardOwner::State::findOrRequestLeases(CoreContext &Context,
                                                     const std::string &Sender,
                                                     const RequestId &Id) {
  ShardLeasePtr lease = Scheduler.find(Id);
  if (!lease)
    Context.send(Sender, LeaseListRequest{Shard});
  return lease;
}

ShardLeasePtr
ShardOwner::State::makeLease(CoreContext &Context, const std::string &Sender,
                             const AcquireRequest &Message) const {
  ShardLeasePtr lease = new ShardLease;
  lease->Id = Message.Id;
  lease->Entry = Sender;
  lease->Attempt = Message.Attempt;
  lease->Group = Message.Group;
  lease->Class = Message.Class;
  lease->PromptTokens = Message.PromptTokens;
  lease->MaxOutputTokens = std::max(1U, Message.MaxOutputTokens);
  lease->PrefixHashes = Message.PrefixHashes;
  lease->MayWait = Message.MayWait;
  lease->RunAlone = Message.RunAlone;
  lease->LostOn = Message.LostOn;
  lease->LostAt = Context.Now;
  lease->ArrivedAt = Context.Now;
  lease->Deadline = Context.Now + Message.TimeLeft;
  // A request that is placed again after its first output has no deadline left.
  if (Message.IsRetry && Message.TimeLeft <= Microseconds(0))
    lease->MayWait = true;
  return lease;
}

// A lease list holds less than the original AcquireRequest; the rest comes from
// the group's configuration.
ShardLeasePtr ShardOwner::State::makeLease(CoreContext &Context,
                                           const std::string &Sender,
                                           const LeaseEntry &Entry) const {
  const GroupConfig &group = Scheduler.servers().group(Entry.Group);
  AcquireRequest request;
  request.Id = Entry.Id;
  request.Group = Entry.Group;
  request.Class = group.Class;
  request.Attempt = Entry.Attempt;
  request.PromptTokens = Entry.PromptTokens;
  request.MaxOutputTokens = Entry.MaxOutputTokens;
  request.TimeLeft = group.FirstOutputTarget;
  request.MayWait = group.MayWait;
  return makeLease(Context, Sender, request);
}

void ShardOwner::State::expireLeasesOf(CoreContext &Context,
                                       const std::string &Instance) {
  std::vector<ShardLeasePtr> held;
  for (const auto &[id, lease] : Scheduler.leases())
    if (lease->Entry == Instance)
      held.push_back(lease);
  for (const ShardLeasePtr &it : held) {
    Cancelled[it->Id] = Context.Now;
    Scheduler.expire(Context, *it);
  }
}

void ShardOwner::State::expireOverdue(CoreContext &Context) {
  std::vector<std::string> overdue;
  for (const auto &[name, entry] : Entries)
    // This instance's own requests end with this owner.
    if (name != Context.Options.Instance && entry.Count > 0 &&
        Context.Now >= entry.RenewedAt + Context.Options.LeasePeriod)
      overdue.push_back(name);
  for (const std::string &it : overdue)
    expireLeasesOf(Context, it);
}

void ShardOwner::State::cancelUnknown(CoreContext &Context,
                                      ShardServer &Server) {
  for (const RequestId &it : Server.Estimate.unknownIds()) {
    if (!Cancelled.emplace(it, Context.Now).second)
      continue;
    Context.Out.push_back(CancelAtServer{it, Server.Config.Name, Fence});
    DecisionRecord decision;
    decision.Kind = DecisionKind::OrphanCancelled;
    decision.Id = it;
    decision.Subject = Server.Config.Name;
    Context.record(std::move(decision));
  }
}

void ShardOwner::State::endTakeOver(CoreContext &Context) {
  if (TakeoverEnd == TimePoint{} || Context.Now < TakeoverEnd)
    return;
  TakeoverEnd = {};
  Scheduler.setTakingOver(false);
  for (auto &[name, server] : Scheduler.servers().all()) {
    server.Estimate.endHold();
    cancelUnknown(Context, server);
  }
}

void ShardOwner::State::repeatCancels(CoreContext &Context,
                                      const ShardServer &Server) {
  for (const RequestId &it : Server.Estimate.unknownIds()) {
    auto found = Cancelled.find(it);
    if (found == Cancelled.end() ||
        Context.Now < found->second + CancelRetryDelay)
      continue;
    found->second = Context.Now;
    Context.Out.push_back(CancelAtServer{it, Server.Config.Name, Fence});
  }
}

void ShardOwner::State::reconcile(CoreContext &Context, ShardLease &Lease,
                                  const LeaseEntry &Entry) {
  Lease.Attempt = std::max(Lease.Attempt, Entry.Attempt);
  if (Lease.Stage == LeaseStage::Prefilling && Entry.Stage == LeaseStage::Ready)
    Scheduler.prefillDone(Context, Lease, Lease.KvBytes);
  else if (Entry.Stage < Lease.Stage)
    Scheduler.resendGrant(Context, Lease);
}

ShardOwner::ShardOwner(std::string Shard)
    : Impl(std::make_unique<State>(std::move(Shard))) {}

ShardOwner::~ShardOwner() = default;

void ShardOwner::startOwnership(CoreContext &Context, bool TakeOver) {
  auto wall =
      std::chrono::duration_cast<Milliseconds>(Context.Wall.time_since_epoch());
  Impl->Fence = std::max(static_cast<uint64_t>(wall.count()), Impl->Fence + 1);
  Impl->Scheduler.setFence(Impl->Fence);
  Impl->Scheduler.sync(Context);
  if (!TakeOver)
    return;
  Impl->TakeoverEnd = Context.Now + Context.Options.LeasePeriod;
  Impl->Scheduler.setTakingOver(true);
  for (auto &[name, server] : Impl->Scheduler.servers().all()) {
    server.Estimate.holdUntilReport();
    server.CancelUnknown = true;
  }
}

void ShardOwner::onAcquire(CoreContext &Context, const std::string &Sender,
                           const AcquireRequest &Message) {
  Impl->handle(Context, [&] {
    ShardLeasePtr lease = Impl->Scheduler.find(Message.Id);
    if (!lease) {
      Impl->Scheduler.admit(Context, Impl->makeLease(Context, Sender, Message));
    } else if (Message.Attempt > lease->Attempt) {
      lease->Attempt = Message.Attempt;
      Impl->Scheduler.setRunAlone(*lease, Message.RunAlone);
      lease->Deadline = Context.Now + Message.TimeLeft;
      lease->MayWait = Message.MayWait;
      Impl->Scheduler.replacePlacement(Context, *lease);
    } else if (Message.Attempt == lease->Attempt) {
      // A waiting request that was adopted from a lease list lacks these
      // fields.
      if (lease->Stage == LeaseStage::Waiting) {
        lease->Deadline = Context.Now + Message.TimeLeft;
        lease->PrefixHashes = Message.PrefixHashes;
        lease->MayWait = Message.MayWait;
      }
      Impl->Scheduler.resendGrant(Context, *lease);
    }
  });
}

void ShardOwner::onPrefillDone(CoreContext &Context, const std::string &Sender,
                               const PrefillDone &Message) {
  Impl->handle(Context, [&] {
    ShardLeasePtr lease =
        Impl->findOrRequestLeases(Context, Sender, Message.Id);
    if (!lease || Message.Attempt < lease->Attempt)
      return;
    lease->Attempt = Message.Attempt;
    Impl->Scheduler.prefillDone(Context, *lease, Message.KvBytes);
  });
}

void ShardOwner::onPrefillLost(CoreContext &Context, const std::string &Sender,
                               const PrefillLost &Message) {
  Impl->handle(Context, [&] {
    ShardLeasePtr lease =
        Impl->findOrRequestLeases(Context, Sender, Message.Id);
    if (!lease || Message.Attempt < lease->Attempt ||
        lease->PrefillServer != Message.Server)
      return;
    lease->Attempt = Message.Attempt;
    Impl->Scheduler.prefillLost(Context, *lease, Message.ServerFull);
  });
}

void ShardOwner::onDecodeLost(CoreContext &Context, const std::string &Sender,
                              const DecodeLost &Message) {
  Impl->handle(Context, [&] {
    ShardLeasePtr lease =
        Impl->findOrRequestLeases(Context, Sender, Message.Id);
    if (!lease || Message.Attempt < lease->Attempt)
      return;
    lease->Attempt = Message.Attempt;
    Impl->Scheduler.decodeLost(Context, *lease, Message);
  });
}

void ShardOwner::onFinished(CoreContext &Context, const std::string &,
                            const Finished &Message) {
  Impl->handle(Context, [&] {
    ShardLeasePtr lease = Impl->Scheduler.find(Message.Id);
    if (lease && Message.Attempt >= lease->Attempt)
      Impl->Scheduler.finished(Context, *lease, Message);
  });
}

void ShardOwner::onLeaseList(CoreContext &Context, const std::string &Sender,
                             const LeaseList &Message) {
  Impl->handle(Context, [&] {
    Impl->Entries[Sender].RenewedAt = Context.Now;
    Impl->Entries[Sender].Mismatches = 0;
    std::map<RequestId, const LeaseEntry *> listed;
    for (const LeaseEntry &it : Message.Leases)
      listed[it.Id] = &it;
    std::vector<ShardLeasePtr> missing;
    for (const auto &[id, lease] : Impl->Scheduler.leases())
      if (lease->Entry == Sender && !listed.count(id))
        missing.push_back(lease);
    for (const ShardLeasePtr &it : missing) {
      Impl->Cancelled[it->Id] = Context.Now;
      Impl->Scheduler.expire(Context, *it);
    }
    for (const auto &[id, entry] : listed) {
      Impl->Cancelled.erase(id);
      if (ShardLeasePtr lease = Impl->Scheduler.find(id))
        Impl->reconcile(Context, *lease, *entry);
      else
        Impl->Scheduler.adopt(Context, Impl->makeLease(Context, Sender, *entry),
                              *entry);
    }
  });
}

void ShardOwner::onHeartbeat(CoreContext &Context, const std::string &Sender,
                             const LeaseSummary &Summary) {
  State::EntryInstance &entry = Impl->Entries[Sender];
  entry.RenewedAt = Context.Now;
  if (entry.Count == Summary.Count && entry.Digest == Summary.Digest) {
    entry.Mismatches = 0;
    return;
  }
  // A single mismatch is normal while messages are in flight.
  if (++entry.Mismatches < 2)
    return;
  entry.Mismatches = 0;
  Context.send(Sender, LeaseListRequest{Impl->Shard});
}

void ShardOwner::onInstanceStopped(CoreContext &Context,
                                   const std::string &Instance) {
  Impl->handle(Context, [&] { Impl->expireLeasesOf(Context, Instance); });
}

void ShardOwner::onLoad(CoreContext &Context, const LoadReported &Report) {
  Impl->handle(Context, [&] {
    ShardServer *server = Impl->Scheduler.servers().find(Report.Server);
    if (!server)
      return;
    server->ReportedAt = Context.Now;
    auto known = [&](const RequestId &Id) {
      return Impl->Scheduler.find(Id) != nullptr;
    };
    if (server->Estimate.onReport(Report, known, Context.Now))
      Impl->Scheduler.onServerRestarted(Report.Server);
    if (!Report.Reachable)
      return;
    if (Impl->TakeoverEnd != TimePoint{})
      return;
    if (server->CancelUnknown)
      Impl->cancelUnknown(Context, *server);
    server->CancelUnknown = false;
    Impl->repeatCancels(Context, *server);
  });
}

void ShardOwner::onCacheEvents(CoreContext &Context,
                               const CacheEventsReported &Report) {
  Impl->Scheduler.sync(Context);
  Impl->Scheduler.onCacheEvents(Report);
}

void ShardOwner::onTimer(CoreContext &Context) {
  Impl->handle(Context, [&] {
    Impl->expireOverdue(Context);
    Impl->endTakeOver(Context);
    std::erase_if(Impl->Entries, [&](const auto &It) {
      return It.second.Count == 0 &&
             Context.Now > It.second.RenewedAt + CancelRetention;
    });
    std::erase_if(Impl->Cancelled, [&](const auto &It) {
      return Context.Now > It.second + CancelRetention;
    });
    Impl->Scheduler.onTimer(Context);
  });
}

uint32_t ShardOwner::queueLength() const {
  return Impl->Scheduler.queueLength();
}

static const char *stageName(LeaseStage Stage) {
  switch (Stage) {
  case LeaseStage::Waiting:
    return "waiting";
  case LeaseStage::Prefilling:
    return "prefilling";
  case LeaseStage::Ready:
    return "ready";
  case LeaseStage::Decoding:
    return "decoding";
  }
  return "";
}

static Poco::JSON::Array dumpServers(const ShardServers &Servers,
                                     TimePoint Now) {
  Poco::JSON::Array all;
  for (const auto &[name, server] : Servers.all()) {
    Poco::JSON::Object item;
    item.set("name", name);
    item.set("role", server.decodes() ? "decode" : "prefill");
    item.set("live", server.Live);
    item.set("reachable", server.Estimate.reachable(Now));
    item.set("slots", server.Estimate.slots());
    item.set("own", server.Estimate.own());
    item.set("foreign", server.Estimate.foreign(Now));
    item.set("link_bytes_in_flight", server.Link.bytesInFlight(Now));
    item.set("reserved", server.reserved());
    all.add(item);
  }
  return all;
}

static Poco::JSON::Array
dumpLeases(const std::map<RequestId, ShardLeasePtr> &Leases, TimePoint Now) {
  Poco::JSON::Array all;
  for (const auto &[id, lease] : Leases) {
    Poco::JSON::Object item;
    item.set("request", id.str());
    item.set("entry", lease->Entry);
    item.set("group", lease->Group);
    item.set("attempt", lease->Attempt);
    item.set("stage", stageName(lease->Stage));
    item.set("prefill_server", lease->PrefillServer);
    item.set("decode_server", lease->DecodeServer);
    auto age = std::chrono::duration_cast<Milliseconds>(Now - lease->ArrivedAt);
    item.set("age_ms", static_cast<int64_t>(age.count()));
    all.add(item);
  }
  return all;
}

std::string ShardOwner::dump(TimePoint Now) const {
  Poco::JSON::Object root;
  root.set("shard", Impl->Shard);
  root.set("fence", Impl->Fence);
  root.set("takeover", Impl->TakeoverEnd != TimePoint{});
  root.set("queued", queueLength());
  root.set("servers", dumpServers(Impl->Scheduler.servers(), Now));
  root.set("leases", dumpLeases(Impl->Scheduler.leases(), Now));
  std::ostringstream text;
  root.stringify(text);
  return text.str();
}

} // namespace crocusspur::internal
