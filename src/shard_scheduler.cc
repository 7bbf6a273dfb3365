#include "shard_scheduler.h"

#include "shard_time.h"

#include <algorithm>

namespace crocusspur::internal {

// Interval at which the costs of queued requests are updated to what was
// learned since their arrival.
static constexpr Milliseconds CostUpdateInterval{1000};

// Maximum difference between the server's and this owner's time of an eviction.
static constexpr Milliseconds EvictionMargin{100};

// Slot seconds that a request is charged in advance, for the expected use of a
// group's running requests in the near future. With 0.5 s, shares over ten
// seconds stay within 4% for mean outputs of 0.5 s and 3 s; with 1 s and 2 s
// they deviate by up to 6% and 11%.
static constexpr double LookaheadSeconds = 0.5;

// Load reports are polled every 250 ms, so an older report is overdue. The wait
// for a new one ends after a second.
static constexpr Milliseconds MaxReportAge{300};
static constexpr Milliseconds MaxReportWait{1000};

// Weight of a new prefill time in the correction of the estimates.
static constexpr double PrefillRatioGain = 0.1;

void ShardScheduler::recordDecision(CoreContext &Context, DecisionKind Kind,
                                    const ShardLease &Lease,
                                    const std::string &Subject,
                                    double Value) const {
  DecisionRecord decision;
  decision.Kind = Kind;
  decision.Id = Lease.Id;
  decision.Group = Lease.Group;
  decision.Subject = Subject;
  decision.Value = Value;
  Context.record(std::move(decision));
}

void ShardScheduler::sync(const CoreContext &Context) {
  if (!Servers.sync(Context))
    return;
  Queue.forEachGroup([this](const std::string &Name) {
    if (Servers.knowsGroup(Name))
      setGroup(Name, RequestClass::Normal);
  });
  double slots = 0;
  for (const auto &[name, server] : Servers.all())
    if (server.Live && server.decodes())
      slots += server.Estimate.slots();
  Queue.setLookahead(LookaheadSeconds);
  Queue.setInteractiveLead(
      slots * Seconds(Context.Options.InteractiveWaitBound).count());
}

// Updates the queue's group. `Class` applies to a group that isn't in the
// configuration.
void ShardScheduler::setGroup(const std::string &Name, RequestClass Class) {
  const GroupConfig &group = Servers.group(Name);
  bool known = Servers.knowsGroup(Name);
  Queue.setGroup(Name, known ? group.Share : 1, known ? group.Class : Class);
}

ShardLeasePtr ShardScheduler::find(const RequestId &Id) const {
  auto it = Leases.find(Id);
  return it == Leases.end() ? nullptr : it->second;
}

ShardScheduler::~ShardScheduler() {
  for (const auto &[id, lease] : Leases)
    unlink(*lease);
}

void ShardScheduler::addLease(const ShardLeasePtr &Lease) {
  Leases[Lease->Id] = Lease;
  OnLease(*Lease, true);
}

void ShardScheduler::unlink(ShardLease &Lease) {
  if (Lease.queued())
    Queue.remove(Lease);
  setStage(Lease, LeaseStage::Waiting);
}

void ShardScheduler::setStage(ShardLease &Lease, LeaseStage Stage) {
  auto listOf = [&](LeaseStage Of) -> StageList * {
    switch (Of) {
    case LeaseStage::Waiting:
      return nullptr;
    case LeaseStage::Prefilling:
      return &Prefilling;
    case LeaseStage::Ready:
      return &Ready;
    case LeaseStage::Decoding:
      return &Decoding;
    }
    return nullptr;
  };
  if (Lease.StageHook.is_linked()) {
    StageList *from = listOf(Lease.Stage);
    from->erase(from->iterator_to(Lease));
  }
  Lease.Stage = Stage;
  if (StageList *to = listOf(Stage))
    to->push_back(Lease);
}

uint32_t ShardScheduler::queueLength() const {
  return static_cast<uint32_t>(Queue.size() + Requeued.size());
}

// Placement of results

void ShardScheduler::grantDecode(CoreContext &Context, ShardLease &Lease,
                                 ShardServer &Server) {
  TimePoint now = Context.Now;
  ShardServer *from = Servers.find(Lease.PrefillServer);
  double transfer = 0;
  if (from && from != &Server) {
    transfer = Servers.transferSeconds(*from, Server, kvBytes(Lease), now);
    from->Link.add(kvBytes(Lease), now);
    Server.Link.add(kvBytes(Lease), now);
  }
  setStage(Lease, LeaseStage::Decoding);
  Lease.DecodeServer = Server.Config.Name;
  Lease.DecodeGranted = now;
  Lease.DecodeStart = after(now, transfer);
  Server.Estimate.onGranted(Lease.Id, now);
  Lease.addUsedServer(Lease.DecodeServer);
  Context.send(Lease.Entry, DecodeGrant{Lease.Id, Shard, Lease.Attempt,
                                        Lease.DecodeServer, Fence});
  recordDecision(Context, DecisionKind::DecodeStarted, Lease,
                 Lease.DecodeServer, seconds(Lease.PrefillEnd, now));
}

bool ShardScheduler::placeResult(CoreContext &Context, ShardLease &Lease) {
  auto decodes =
      Servers.usableServers(Lease.Group, ServerRole::Decode, Context.Now);
  ShardServer *server = nullptr;
  if (!usesReservations(Context.Options.Policy)) {
    if (Lease.PlacementAttempts++ < MaxUnreservedAttempts)
      server = chooseUnreserved(Context, decodes);
  } else {
    server = Servers.bestDecode(decodes, Servers.find(Lease.PrefillServer),
                                kvBytes(Lease), Context.Now);
  }
  if (server)
    grantDecode(Context, Lease, *server);
  return server != nullptr;
}

void ShardScheduler::expireResult(CoreContext &Context, ShardLease &Lease) {
  recordWastedPrefill(Context, Lease);
  requeue(Context, Lease);
}

void ShardScheduler::recordLoss(ShardLease &Lease, const ShardServer &Server,
                                TimePoint Now) {
  Lease.LostOn = Server.Config.Name;
  Lease.LostAt = Now;
}

// An entry instance reports a loss 350 ms after the connection broke, when a
// poll of the server has shown any crash and the entry instance knows of it.
// After a pause of this owner there was no such poll, and the request could
// crash the next server before the first crash is known.
bool ShardScheduler::awaitsReport(ShardLease &Lease, TimePoint Now) {
  ShardServer *server =
      Lease.LostOn.empty() ? nullptr : Servers.find(Lease.LostOn);
  if (server && Now < Lease.LostAt + MaxReportWait &&
      Now > server->ReportedAt + MaxReportAge)
    return true;
  Lease.LostOn.clear();
  return false;
}

void ShardScheduler::placeResults(CoreContext &Context) {
  std::vector<ShardLeasePtr> ready;
  for (ShardLease &it : Ready)
    ready.emplace_back(&it);
  std::stable_sort(ready.begin(), ready.end(),
                   [this](const ShardLeasePtr &A, const ShardLeasePtr &B) {
                     return placementDeadline(*A) < placementDeadline(*B);
                   });
  for (const ShardLeasePtr &it : ready) {
    if (Context.Now >= it->EvictAt)
      expireResult(Context, *it);
    else if (!awaitsReport(*it, Context.Now))
      placeResult(Context, *it);
  }
}

void ShardScheduler::schedule(CoreContext &Context) {
  placeResults(Context);
  startWaiting(Context);
}

void ShardScheduler::onTimer(CoreContext &Context) {
  if (Context.Now >= AttemptsResetAt + UnreservedRetryInterval) {
    AttemptsResetAt = Context.Now;
    for (ShardLease &it : Ready)
      it.PlacementAttempts = 0;
    for (const ShardLeasePtr &it : Requeued)
      it->PlacementAttempts = 0;
  }
  if (Context.Now >= CostsUpdatedAt + CostUpdateInterval) {
    CostsUpdatedAt = Context.Now;
    Queue.updateCosts([this](const QueuedItem &Item) {
      return cost(static_cast<const ShardLease &>(Item));
    });
  }
  chargeUse(Context.Now);
  refuseUnreachable(Context);
  schedule(Context);
}

// Queues the request again without a charge, since its group was charged for
// the first placement.
void ShardScheduler::requeue(CoreContext &Context, ShardLease &Lease) {
  setStage(Lease, LeaseStage::Waiting);
  Lease.PrefillServer.clear();
  Lease.DecodeServer.clear();
  if (Lease.queued())
    return;
  recordDecision(Context, DecisionKind::Replaced, Lease, Shard);
  release(Lease.Id);
  if (!refuseIfLate(Context, Lease,
                    firstOutputAheadOfQueue(Lease, Context.Now)))
    Requeued.emplace_back(&Lease);
}

// Ends of stages

void ShardScheduler::leavePrefill(CoreContext &Context, ShardLease &Lease) {
  if (Lease.Stage != LeaseStage::Prefilling)
    return;
  Lease.CompletedUse.Prefill += seconds(Lease.PrefillStart, Context.Now);
  if (Lease.prefillsOnDecodeServer())
    return;
  if (ShardServer *it = Servers.find(Lease.PrefillServer))
    it->Estimate.onEnded(Lease.Id, Context.Now);
}

void ShardScheduler::leaveDecode(CoreContext &Context, ShardLease &Lease) {
  if (Lease.Stage == LeaseStage::Decoding)
    Lease.CompletedUse.Decode += seconds(Lease.DecodeGranted, Context.Now);
  if (ShardServer *it = Servers.find(Lease.DecodeServer))
    it->Estimate.onEnded(Lease.Id, Context.Now);
  Lease.DecodeServer.clear();
}

// Slot seconds used so far; a request that runs alone uses all slots of its
// server.
double ShardScheduler::usedSlotSeconds(const ShardLease &Lease,
                                       TimePoint Now) const {
  double used = Lease.CompletedUse.total();
  if (Lease.Stage == LeaseStage::Prefilling)
    used += seconds(Lease.PrefillStart, Now);
  if (Lease.Stage == LeaseStage::Decoding)
    used += seconds(Lease.DecodeGranted, Now);
  return Lease.RunAlone ? used * slotsPerDecodeServer() : used;
}

// Charges the groups for the slots that their requests use, as time passes.
// Charging whole estimates at the start would keep the shares in the long run
// only: one output of 25 s would distort them for as long.
void ShardScheduler::chargeUse(TimePoint Now) {
  for (const StageList *list : {&Prefilling, &Ready, &Decoding})
    for (const ShardLease &it : *list) {
      if (!it.ChargesGroup)
        continue;
      auto &lease = const_cast<ShardLease &>(it);
      double due = usedSlotSeconds(lease, Now) + lease.Lookahead;
      Queue.adjustCharge(lease.Group, due - lease.ChargedSeconds);
      lease.ChargedSeconds = due;
    }
}

// The entry instance reports the import only at the end, so a decode whose
// transfer is expected to be complete counts as having used the result.
void ShardScheduler::markUsedIfImported(ShardLease &Lease,
                                        TimePoint Now) const {
  if (Lease.Stage == LeaseStage::Decoding && Now > Lease.DecodeStart)
    Lease.PrefillUnused = false;
}

void ShardScheduler::recordWastedPrefill(CoreContext &Context,
                                         ShardLease &Lease) {
  if (!Lease.PrefillUnused)
    return;
  Lease.PrefillUnused = false;
  recordDecision(Context, DecisionKind::PrefillWasted, Lease,
                 Lease.PrefillServer, Lease.CompletedUse.Prefill);
}

// The request was prefilled on its decode server and has produced its first
// output.
void ShardScheduler::beginLocalDecode(ShardLease &Lease, TimePoint Now) {
  Lease.PrefillUnused = false;
  Lease.PrefillEnd = Lease.EvictAt = Now;
  Lease.DecodeGranted = Lease.DecodeStart = Now;
  setStage(Lease, LeaseStage::Decoding);
}

void ShardScheduler::prefillDone(CoreContext &Context, ShardLease &Lease,
                                 uint64_t KvBytes) {
  if (Lease.Stage != LeaseStage::Prefilling)
    return;
  leavePrefill(Context, Lease);
  if (Lease.prefillsOnDecodeServer()) {
    beginLocalDecode(Lease, Context.Now);
    return;
  }
  double measured = seconds(Lease.PrefillStart, Context.Now);
  if (Lease.PrefillEstimate > 0) {
    double ratio = std::clamp(measured / Lease.PrefillEstimate, 0.1, 10.0);
    PrefillRatio += PrefillRatioGain * (ratio - PrefillRatio);
  }
  Lease.KvBytes = KvBytes;
  Lease.PrefillEnd = Context.Now;
  Lease.EvictAt = Context.Now + Servers.evictionTime();
  setStage(Lease, LeaseStage::Ready);
  ShardServer *held = Servers.find(Lease.DecodeServer);
  if (held)
    grantDecode(Context, Lease, *held);
}

void ShardScheduler::prefillLost(CoreContext &Context, ShardLease &Lease,
                                 bool ServerFull) {
  if (Lease.Stage != LeaseStage::Prefilling)
    return;
  ShardServer *server = Servers.find(Lease.PrefillServer);
  leavePrefill(Context, Lease);
  leaveDecode(Context, Lease);
  if (server && ServerFull)
    server->Estimate.onRefusedFull(Context.Now);
  else if (server) {
    server->Estimate.onFailed(Context.Now);
    recordLoss(Lease, *server, Context.Now);
  }
  if (ServerFull)
    Lease.PrefillUnused = false; // refused before it ran
  recordWastedPrefill(Context, Lease);
  requeue(Context, Lease);
}

void ShardScheduler::decodeLost(CoreContext &Context, ShardLease &Lease,
                                const DecodeLost &Message) {
  // For a request that also prefills on its decode server, the entry instance
  // only knows of the decode.
  bool local =
      Lease.Stage == LeaseStage::Prefilling && Lease.prefillsOnDecodeServer();
  if ((Lease.Stage != LeaseStage::Decoding && !local) ||
      Lease.DecodeServer != Message.Server)
    return;
  ShardServer *server = Servers.find(Lease.DecodeServer);
  if (local && Message.ServerFull)
    Lease.PrefillUnused = false; // refused before it ran
  leavePrefill(Context, Lease);
  leaveDecode(Context, Lease);
  // The message doesn't distinguish an evicted result from a server that failed
  // after the import; the eviction time does.
  bool evicted = !Message.ServerFull && !Message.ResultAlive &&
                 Message.OutputTokens == 0 &&
                 Context.Now + EvictionMargin >= Lease.EvictAt;
  if (server && Message.ServerFull)
    server->Estimate.onRefusedFull(Context.Now);
  else if (server && !evicted)
    server->Estimate.onFailed(Context.Now);
  // After a pause of this owner, a crash looks like an eviction.
  if (server && !Message.ServerFull)
    recordLoss(Lease, *server, Context.Now);
  Lease.OutputTokens = Message.OutputTokens;
  if (Message.ResultAlive && Context.Now < Lease.EvictAt) {
    setStage(Lease, LeaseStage::Ready);
    recordDecision(Context, DecisionKind::Replaced, Lease, Message.Server);
    return;
  }
  if (evicted || Message.ServerFull)
    recordWastedPrefill(Context, Lease);
  Lease.PrefillUnused = false;
  requeue(Context, Lease);
}

void ShardScheduler::setRunAlone(ShardLease &Lease, bool Alone) {
  if (!Alone)
    release(Lease.Id); // a server that was being drained for it
  Lease.RunAlone = Alone;
}

void ShardScheduler::replacePlacement(CoreContext &Context, ShardLease &Lease) {
  if (Lease.queued() || Lease.Stage == LeaseStage::Waiting)
    return;
  markUsedIfImported(Lease, Context.Now);
  leavePrefill(Context, Lease);
  leaveDecode(Context, Lease);
  recordWastedPrefill(Context, Lease);
  requeue(Context, Lease);
}

void ShardScheduler::endLease(CoreContext &Context, ShardLease &Lease) {
  ShardLeasePtr keep = &Lease;
  leavePrefill(Context, Lease);
  leaveDecode(Context, Lease);
  unlink(Lease);
  std::erase(Requeued, keep);
  if (Lease.ChargesGroup)
    Queue.adjustCharge(Lease.Group, usedSlotSeconds(Lease, Context.Now) -
                                        Lease.ChargedSeconds);
  recordWastedPrefill(Context, Lease);
  release(Lease.Id);
  Leases.erase(Lease.Id);
  OnLease(Lease, false);
}

void ShardScheduler::finished(CoreContext &Context, ShardLease &Lease,
                              const Finished &Message) {
  if (Message.PrefillUsed || Message.OutputTokens > 0)
    Lease.PrefillUnused = false;
  if (Message.Reason == FinishReason::Completed) {
    lengths(Lease).add(Message.OutputTokens);
    AllLengths.add(Message.OutputTokens);
  }
  endLease(Context, Lease);
}

void ShardScheduler::expire(CoreContext &Context, ShardLease &Lease) {
  for (const std::string &it : Lease.UsedServers)
    Context.Out.push_back(CancelAtServer{Lease.Id, it, Fence});
  recordDecision(Context, DecisionKind::LeaseLapsed, Lease, Lease.Entry);
  markUsedIfImported(Lease, Context.Now);
  endLease(Context, Lease);
}

// Leases of a former owner

void ShardScheduler::adopt(CoreContext &Context, ShardLeasePtr Lease,
                           const LeaseEntry &Entry) {
  TimePoint now = Context.Now;
  addLease(Lease);
  setStage(*Lease, Entry.Stage);
  Lease->PrefillServer = Entry.PrefillServer;
  Lease->PrefillStart = Lease->PrefillEnd = now;
  Lease->EvictAt = now + Servers.evictionTime();
  Lease->DecodeGranted = Lease->DecodeStart = now;
  Lease->Cost = cost(*Lease);
  for (const std::string &it : {Entry.PrefillServer, Entry.DecodeServer})
    if (!it.empty())
      Lease->addUsedServer(it);
  ShardServer *prefill = Servers.find(Entry.PrefillServer);
  ShardServer *decode = Servers.find(Entry.DecodeServer);
  switch (Entry.Stage) {
  case LeaseStage::Waiting:
    setGroup(Lease->Group, Lease->Class);
    Queue.push(*Lease);
    break;
  case LeaseStage::Prefilling:
    Lease->PrefillUnused = true;
    if (prefill) {
      Lease->PrefillEnd =
          after(now, PrefillRatio * prefillSeconds(*prefill, *Lease));
      prefill->Estimate.onAdopted(Lease->Id);
    }
    if (Entry.DecodeServer == Entry.PrefillServer)
      Lease->DecodeServer = Entry.DecodeServer;
    break;
  case LeaseStage::Ready:
    Lease->PrefillUnused = true;
    break;
  case LeaseStage::Decoding:
    Lease->DecodeServer = Entry.DecodeServer;
    if (decode)
      decode->Estimate.onAdopted(Lease->Id);
    break;
  }
}

void ShardScheduler::resendGrant(CoreContext &Context,
                                 const ShardLease &Lease) {
  if (Lease.Stage == LeaseStage::Prefilling) {
    PrefillGrant grant;
    grant.Id = Lease.Id;
    grant.Shard = Shard;
    grant.Attempt = Lease.Attempt;
    grant.PrefillServer = Lease.PrefillServer;
    grant.DecodeServer =
        Lease.prefillsOnDecodeServer() ? Lease.DecodeServer : "";
    grant.Fence = Fence;
    grant.QueueLength = queueLength();
    Context.send(Lease.Entry, std::move(grant));
  } else if (Lease.Stage == LeaseStage::Decoding) {
    Context.send(Lease.Entry, DecodeGrant{Lease.Id, Shard, Lease.Attempt,
                                          Lease.DecodeServer, Fence});
  }
}

} // namespace crocusspur::internal
