#include "shard_scheduler.h"

#include "shard_time.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

// Chance that an interactive request arriving now finds no slot within
// InteractiveWaitBound, which other prefills may not push higher.
static constexpr double InteractiveMissBound = 0.01;

// Interactive requests are provided for this long after the last one came.
static constexpr Milliseconds InteractiveMemory{5000};

// Memory of the measured rate of interactive requests.
static constexpr double RateSeconds = 2;

// Start of prefills

ShardServer *
ShardScheduler::choosePrefill(CoreContext &Context, const ShardLease &Lease,
                              const std::vector<ShardServer *> &Of) const {
  std::vector<PrefillCandidate> candidates;
  for (const ShardServer *it : Of)
    candidates.push_back({it->Config.Name, it->Estimate.load(Context.Now),
                          it->Estimate.free(Context.Now) > 0});
  std::string name = Affinity.choose(Lease.PrefixHashes, candidates);
  for (ShardServer *it : Of)
    if (it->Config.Name == name)
      return it;
  return nullptr;
}

// The comparison policies without reservation pick in turn or by the last
// report, whatever was granted since.
ShardServer *
ShardScheduler::chooseUnreserved(CoreContext &Context,
                                 const std::vector<ShardServer *> &Of) {
  if (Of.empty())
    return nullptr;
  size_t first = Turn++ % Of.size();
  ShardServer *best = Of[first];
  if (Context.Options.Policy == PlacementPolicy::RoundRobin)
    return best;
  for (size_t i = 1; i < Of.size(); ++i) {
    ShardServer *it = Of[(first + i) % Of.size()];
    if (it->Estimate.reportedLoad() < best->Estimate.reportedLoad())
      best = it;
  }
  return best;
}

std::optional<ShardScheduler::Plan>
ShardScheduler::planUnreserved(CoreContext &Context, ShardLease &Lease) {
  if (Lease.Tries++ >= UnreservedTries)
    return std::nullopt;
  Plan with;
  with.Prefill = chooseUnreserved(
      Context, Servers.usable(Lease.Group, ServerRole::Prefill, Context.Now));
  auto decodes = Servers.usable(Lease.Group, ServerRole::Decode, Context.Now);
  if (decodes.empty())
    return std::nullopt;
  if (!with.Prefill)
    with.Prefill = with.Decode = chooseUnreserved(Context, decodes);
  return with;
}

std::optional<ShardScheduler::Plan>
ShardScheduler::planAlone(CoreContext &Context, ShardLease &Lease) {
  if (AloneId != RequestId{} && AloneId != Lease.Id)
    return std::nullopt;
  ShardServer *chosen = nullptr;
  for (auto *it :
       Servers.usable(Lease.Group, ServerRole::Decode, Context.Now, true)) {
    if (it->ReservedFor == Lease.Id) {
      chosen = it;
      break;
    }
    if (!chosen ||
        it->Estimate.load(Context.Now) < chosen->Estimate.load(Context.Now))
      chosen = it;
  }
  if (!chosen)
    return std::nullopt;
  // Gets no new work until it is empty.
  reserve(*chosen, Lease.Id);
  if (chosen->Estimate.free(Context.Now) == 0 ||
      chosen->Estimate.load(Context.Now) > 0)
    return std::nullopt;
  return Plan{chosen, chosen};
}

void ShardScheduler::reserve(ShardServer &Server, const RequestId &Id) {
  if (Server.ReservedFor != Id)
    release(Id);
  AloneId = Id;
  Server.ReservedFor = Id;
}

void ShardScheduler::release(const RequestId &Id) {
  if (AloneId != Id)
    return;
  AloneId = {};
  for (auto &[name, server] : Servers.all())
    if (server.ReservedFor == Id)
      server.ReservedFor = {};
}

// Number of interactive requests to leave slots for, as long as their groups
// stay within their share. They keep arriving while a slot is waited for;
// twice the bound kept 99% of them in time with nine decode servers at twice
// the capacity in long requests (worst of eight seeds 99.6%), and 96% of the
// slots in use.
size_t ShardScheduler::expectedInteractive(CoreContext &Context) const {
  double window = Seconds(Context.Options.InteractiveWaitBound).count();
  double slots = 0;
  for (const auto &[name, it] : Servers.all())
    if (it.Live && it.decodes())
      slots += it.Estimate.slots();
  double sum = Servers.onlineShare();
  double most = sum > 0 ? slots * Servers.interactiveShare() / sum : slots;
  double expected = std::ceil(InteractiveRate * 2 * window);
  return static_cast<size_t>(std::max(1.0, std::min(expected, most)));
}

// Interactive requests that arrive now must find a slot before their deadline
// although nothing can be taken away from what has started.
bool ShardScheduler::leavesRoomForInteractive(CoreContext &Context,
                                              const ShardLease &Lease,
                                              StartQuery Question) {
  if (Lease.Class == RequestClass::Interactive ||
      LastInteractive == TimePoint{} ||
      Context.Now > LastInteractive + InteractiveMemory)
    return true;
  double window = Seconds(Context.Options.InteractiveWaitBound).count();
  Question.Pending.push_back(Question.NewDue);
  Question.NewDue =
      std::max(window, std::min(InteractiveTimeLeft,
                                window + InteractivePrefill +
                                    EvictionPart * evictionSeconds()));
  Question.Pending.insert(Question.Pending.end(),
                          expectedInteractive(Context) - 1, Question.NewDue);
  Question.MaxShortageProbability =
      std::max(InteractiveMissBound, Question.MaxShortageProbability);
  return startRuleAllows(Question);
}

void ShardScheduler::noteInteractive(const ShardLease &Lease, TimePoint Now) {
  if (Lease.Class != RequestClass::Interactive)
    return;
  // Rate over the last seconds, with an exponentially falling weight.
  double gap =
      LastInteractive == TimePoint{} ? 1e6 : seconds(LastInteractive, Now);
  InteractiveRate =
      InteractiveRate * std::exp(-gap / RateSeconds) + 1 / RateSeconds;
  LastInteractive = Now;
  InteractiveTimeLeft = seconds(Now, Lease.Deadline);
}

bool ShardScheduler::mayStartPrefill(CoreContext &Context,
                                     const ShardLease &Lease, double Due) {
  StartQuery ask = question(Lease.Group, Context.Now);
  ask.NewDue = std::max(0.0, Due);
  ask.MaxShortageProbability = Context.Options.PrefillWasteBound;
  // After a takeover only slots that are free by the reports are granted.
  if (TakingOver)
    ask.Running.clear();
  if (!startRuleAllows(ask))
    return false;
  // A group with a residency limit must leave the slots of earlier results of
  // the other groups alone as well.
  if (!Servers.unrestricted(Lease.Group)) {
    StartQuery whole = question("", Context.Now);
    whole.NewDue = ask.NewDue;
    whole.MaxShortageProbability = ask.MaxShortageProbability;
    if (!startRuleAllows(whole))
      return false;
  }
  return leavesRoomForInteractive(Context, Lease, std::move(ask));
}

std::optional<ShardScheduler::Plan>
ShardScheduler::planOnDecode(CoreContext &Context, ShardLease &Lease,
                             const std::vector<ShardServer *> &Decodes) {
  ShardServer *on = Servers.bestDecode(Decodes, nullptr, 0, Context.Now);
  if (!on)
    return std::nullopt;
  if (Context.Options.Policy == PlacementPolicy::Pool &&
      !mayStartPrefill(Context, Lease, 0))
    return std::nullopt;
  return Plan{on, on};
}

std::optional<ShardScheduler::Plan> ShardScheduler::plan(CoreContext &Context,
                                                         ShardLease &Lease) {
  TimePoint now = Context.Now;
  if (!ownerPolicy(Context.Options.Policy))
    return planUnreserved(Context, Lease);
  if (Lease.RunAlone)
    return planAlone(Context, Lease);
  auto decodes = Servers.usable(Lease.Group, ServerRole::Decode, now);
  auto prefills = Servers.usable(Lease.Group, ServerRole::Prefill, now);
  if (decodes.empty())
    return std::nullopt;
  if (prefills.empty())
    return planOnDecode(Context, Lease, decodes);
  ShardServer *from = choosePrefill(Context, Lease, prefills);
  if (!from)
    return std::nullopt;
  double bytes = kvBytes(Lease);
  ShardServer *to = Servers.bestDecode(decodes, from, bytes, now);
  const ShardServer &target = to ? *to : *decodes.front();
  double transfer = Servers.transferSeconds(*from, target, bytes, now);
  if (transfer > PrefillRatio * prefillSeconds(target, Lease))
    return planOnDecode(Context, Lease, decodes);
  if (Context.Options.Policy != PlacementPolicy::Pool)
    return to ? std::optional(Plan{from, to}) : std::nullopt;
  // The import has to begin before the eviction, so the wait for the links
  // shortens the time in which a slot can become free.
  double linkWait =
      std::max(from->Link.backlogSeconds(now), target.Link.backlogSeconds(now));
  double due = PrefillRatio * prefillSeconds(*from, Lease) +
               EvictionPart * evictionSeconds() - linkWait;
  if (!mayStartPrefill(Context, Lease, due))
    return std::nullopt;
  return Plan{from, nullptr};
}

void ShardScheduler::start(CoreContext &Context, ShardLease &Lease,
                           const Plan &With) {
  TimePoint now = Context.Now;
  bool local = With.Prefill == With.Decode;
  setStage(Lease, LeaseStage::Prefilling);
  Lease.PrefillServer = With.Prefill->Config.Name;
  Lease.DecodeServer = With.Decode ? With.Decode->Config.Name : "";
  Lease.PrefillStart = now;
  Lease.PrefillEstimate = prefillSeconds(*With.Prefill, Lease);
  Lease.PrefillEnd = after(now, PrefillRatio * Lease.PrefillEstimate);
  Lease.PrefillUnused = true;
  Lease.KvBytes = 0;
  if (Lease.Class == RequestClass::Interactive)
    InteractivePrefill = PrefillRatio * Lease.PrefillEstimate;
  With.Prefill->Estimate.granted(Lease.Id, now);
  Lease.touch(Lease.PrefillServer);
  if (With.Decode)
    With.Decode->Estimate.granted(Lease.Id, now);
  if (!local)
    Affinity.onPrefill(Lease.PrefillServer, Lease.PrefixHashes);
  PrefillGrant grant;
  grant.Id = Lease.Id;
  grant.Shard = Shard;
  grant.Attempt = Lease.Attempt;
  grant.PrefillServer = Lease.PrefillServer;
  grant.DecodeServer = local ? Lease.DecodeServer : "";
  grant.Fence = Fence;
  grant.QueueLength = queueLength();
  Context.send(Lease.Entry, std::move(grant));
  note(Context, DecisionKind::PrefillStarted, Lease, Lease.PrefillServer,
       seconds(Lease.ArrivedAt, now));
}

// Only what concerns this one request may make it step aside for others; the
// pool's lack of slots stops the queue, so that order is kept.
bool ShardScheduler::eligible(CoreContext &Context, const QueuedItem &Item) {
  const auto &lease = static_cast<const ShardLease &>(Item);
  if (lease.RunAlone)
    return AloneId == RequestId{};
  if (Servers.unrestricted(lease.Group))
    return true;
  return plan(Context, const_cast<ShardLease &>(lease)).has_value();
}

void ShardScheduler::startWaiting(CoreContext &Context) {
  for (const ShardLeasePtr &lease : std::vector(Again)) {
    if (awaitsReport(*lease, Context.Now))
      continue;
    auto with = plan(Context, *lease);
    if (!with)
      continue;
    std::erase(Again, lease);
    start(Context, *lease, *with);
  }
  for (;;) {
    QueuedItem *item = Queue.next(
        [&](const QueuedItem &Item) { return eligible(Context, Item); });
    if (!item)
      return;
    auto &lease = static_cast<ShardLease &>(*item);
    auto with = plan(Context, lease);
    if (!with && !lease.RunAlone)
      return;
    lease.Lookahead = lease.Paid = Queue.take(lease);
    lease.Charged = true;
    if (with)
      start(Context, lease, *with);
    else
      Again.emplace_back(&lease); // until a server has been drained for it
  }
}

} // namespace crocusspur::internal
