#include "shard_scheduler.h"

#include "shard_time.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

// Assumed for requests of others, of which only the number is known.
static constexpr uint32_t AssumedMaxTokens = 256;

// Expected wait, in seconds, for the report of a server that is held until
// then.
static constexpr double ExpectedReportWait = 0.25;

// A group's mean output length is used from this number of samples on.
static constexpr double MinSamples = 20;

// Costs and times

double ShardScheduler::prefillSeconds(const ShardServer &Server,
                                      const ShardLease &Lease) const {
  double tokens = Lease.PromptTokens;
  if (!Lease.PrefixHashes.empty())
    tokens *= 1 - static_cast<double>(Affinity.cachedBlocks(
                      Server.Config.Name, Lease.PrefixHashes)) /
                      static_cast<double>(Lease.PrefixHashes.size());
  return tokens / std::max(1.0, Server.Config.PrefillTokensPerSecond);
}

double ShardScheduler::kvBytes(const ShardLease &Lease) const {
  if (Lease.KvBytes > 0)
    return static_cast<double>(Lease.KvBytes);
  return static_cast<double>(Lease.PromptTokens) * Servers.kvBytesPerToken();
}

OutputLengths &ShardScheduler::lengths(ShardLease &Lease) {
  if (!Lease.GroupLengths)
    Lease.GroupLengths = &Lengths[{Lease.Group, Lease.Class}];
  return *Lease.GroupLengths;
}

SlotCost ShardScheduler::cost(const ShardLease &Lease) const {
  double prefillRate = 0, interval = 0, prefills = 0, decodes = 0;
  for (const auto &[name, it] : Servers.all()) {
    if (!it.Live)
      continue;
    if (it.decodes()) {
      interval += Seconds(it.Config.TokenInterval).count();
      ++decodes;
    } else {
      prefillRate += it.Config.PrefillTokensPerSecond;
      ++prefills;
    }
  }
  SlotCost result;
  if (prefills > 0 && prefillRate > 0)
    result.Prefill = PrefillRatio * Lease.PromptTokens * prefills / prefillRate;
  // A group with few samples is assumed to be like the average of all.
  auto known = Lengths.find({Lease.Group, Lease.Class});
  bool fewSamples =
      known == Lengths.end() || known->second.samples() < MinSamples;
  double tokens =
      (fewSamples ? AllLengths : known->second).mean(Lease.MaxOutputTokens);
  if (decodes > 0)
    result.Decode = tokens * interval / decodes;
  // A request that runs alone occupies all slots of its server.
  if (Lease.RunAlone)
    result.Decode *= slotsPerDecodeServer();
  return result;
}

double ShardScheduler::slotsPerDecodeServer() const {
  double slots = 0, servers = 0;
  for (const auto &[name, it] : Servers.all())
    if (it.Live && it.decodes()) {
      slots += it.Estimate.slots();
      ++servers;
    }
  return servers > 0 ? std::max(1.0, slots / servers) : 1;
}

// Tokens per second of one decode on the server; the mean of all servers if the
// name is empty.
double ShardScheduler::tokenRate(const std::string &Server) const {
  double interval = 0, count = 0;
  for (const auto &[name, it] : Servers.all())
    if (it.decodes() && (Server.empty() || Server == name)) {
      interval += Seconds(it.Config.TokenInterval).count();
      ++count;
    }
  return count / std::max(1e-4, interval);
}

std::vector<RunningDecode>
ShardScheduler::running(const std::vector<ShardServer *> &Decodes,
                        TimePoint Now) {
  std::vector<double> rates;
  for (const ShardServer *it : Decodes)
    rates.push_back(tokenRate(it->Config.Name));
  std::vector<RunningDecode> found;
  found.reserve(Decoding.size());
  for (ShardLease &lease : Decoding) {
    auto at = std::find_if(Decodes.begin(), Decodes.end(),
                           [&](const ShardServer *It) {
                             return It->Config.Name == lease.DecodeServer;
                           });
    if (at == Decodes.end())
      continue;
    double rate = rates[static_cast<size_t>(at - Decodes.begin())];
    // Negative while the transfer lasts.
    double tokens = seconds(lease.DecodeStart, Now) * rate;
    found.push_back(
        {&lengths(lease), std::max(1U, lease.MaxOutputTokens), tokens, rate});
  }
  return found;
}

double ShardScheduler::evictionSeconds() const {
  return Seconds(Servers.evictionTime()).count();
}

double ShardScheduler::dueSeconds(const ShardLease &Lease,
                                  TimePoint Now) const {
  double eviction = evictionSeconds();
  if (Lease.Stage == LeaseStage::Ready)
    return seconds(Now, Lease.EvictAt) - (1 - EvictionFraction) * eviction;
  return std::max(0.0, seconds(Now, Lease.PrefillEnd)) +
         EvictionFraction * eviction;
}

std::vector<double> ShardScheduler::pending(const std::string &Group,
                                            TimePoint Now) const {
  std::vector<double> due;
  bool limited = !Servers.unrestricted(Group);
  for (const StageList *list : {&Prefilling, &Ready})
    for (const ShardLease &lease : *list) {
      if (!lease.DecodeServer.empty())
        continue; // its slot is already counted
      // Groups with a residency limit compete for their own servers only.
      if (limited && lease.Group != Group && Servers.unrestricted(lease.Group))
        continue;
      due.push_back(std::max(0.0, dueSeconds(lease, Now)));
    }
  return due;
}

// Number of results of a former owner that no entry instance has re-asserted
// yet.
uint32_t ShardScheduler::unknownResults() const {
  size_t sum = 0;
  for (const auto &[name, it] : Servers.all())
    if (!it.decodes() && it.CancelUnknown)
      sum += it.Estimate.unknownIds().size();
  return static_cast<uint32_t>(sum);
}

StartQuery ShardScheduler::startQuery(const std::string &Group, TimePoint Now) {
  auto decodes = Servers.usableServers(Group, ServerRole::Decode, Now);
  StartQuery query;
  uint32_t free = Servers.freeSlots(decodes, Now);
  uint32_t unknown = unknownResults();
  query.FreeSlots = free > unknown ? free - unknown : 0;
  query.Running = running(decodes, Now);
  query.Pending = pending(Group, Now);
  return query;
}

// Admission

// Results are placed in the order of this time.
TimePoint ShardScheduler::placementDeadline(const ShardLease &Lease) const {
  TimePoint evict = Lease.Stage == LeaseStage::Ready
                        ? Lease.EvictAt
                        : Lease.PrefillEnd + Servers.evictionTime();
  return Lease.MayWait ? evict : std::min(evict, Lease.Deadline);
}

ShardScheduler::WaitEstimate
ShardScheduler::estimateWaits(const std::string &Group, TimePoint Now,
                              TimePoint Deadline) {
  WaitEstimate waits;
  StartQuery query = startQuery(Group, Now);
  static const OutputLengths NothingLearned;
  bool held = false;
  for (const ShardServer *it :
       Servers.usableServers(Group, ServerRole::Decode, Now)) {
    waits.DecodeSlots += it->Estimate.slots();
    held |= it->Estimate.held();
    for (uint32_t i = 0; i < it->Estimate.foreign(Now); ++i)
      query.Running.push_back(
          {&NothingLearned, AssumedMaxTokens, 0, tokenRate(it->Config.Name)});
  }
  // Requests in prefill will decode and end as well.
  for (StageList *list : {&Prefilling, &Ready})
    for (ShardLease &it : *list) {
      double rate = tokenRate(it.DecodeServer);
      double wait = std::max(0.0, seconds(Now, it.PrefillEnd));
      query.Running.push_back(
          {&lengths(it), std::max(1U, it.MaxOutputTokens), -wait * rate, rate});
    }
  // Results that are placed before one with this deadline.
  double before = 0;
  for (const StageList *list : {&Prefilling, &Ready})
    for (const ShardLease &it : *list)
      before += it.DecodeServer.empty() && placementDeadline(it) < Deadline;
  double missing = 1.0 + before - static_cast<double>(query.FreeSlots);
  waits.SlotWait = secondsUntilFree(query.Running, missing, MaxWaitSeconds);
  if (held)
    waits.SlotWait = std::min(waits.SlotWait, ExpectedReportWait);
  auto prefills = Servers.usableServers(Group, ServerRole::Prefill, Now);
  for (const ShardServer *it : prefills)
    waits.PrefillSlots += it->Estimate.slots();
  if (prefills.empty() || Servers.freeSlots(prefills, Now) > 0)
    return waits;
  waits.PrefillWait = MaxWaitSeconds;
  for (const ShardLease &it : Prefilling)
    waits.PrefillWait =
        std::min(waits.PrefillWait, std::max(0.0, seconds(Now, it.PrefillEnd)));
  if (Prefilling.empty())
    waits.PrefillWait = ExpectedReportWait;
  return waits;
}

double ShardScheduler::firstOutputSeconds(const WaitEstimate &Waits,
                                          const ShardLease &Lease,
                                          const SlotCost &Ahead,
                                          TimePoint Now) {
  auto prefills = Servers.usableServers(Lease.Group, ServerRole::Prefill, Now);
  auto decodes = Servers.usableServers(Lease.Group, ServerRole::Decode, Now);
  if (decodes.empty())
    return MaxWaitSeconds;
  double slot =
      Waits.SlotWait + Ahead.Decode / std::max(1.0, Waits.DecodeSlots);
  double prefill = 0, transfer = 0;
  if (!prefills.empty()) {
    slot =
        std::max(slot, Waits.PrefillWait +
                           Ahead.Prefill / std::max(1.0, Waits.PrefillSlots));
    prefill = MaxWaitSeconds;
    transfer = MaxWaitSeconds;
    for (const ShardServer *from : prefills) {
      prefill = std::min(prefill, PrefillRatio * prefillSeconds(*from, Lease));
      for (const ShardServer *to : decodes)
        transfer = std::min(
            transfer, Servers.transferSeconds(*from, *to, kvBytes(Lease), Now));
    }
  }
  double local = PrefillRatio * prefillSeconds(*decodes.front(), Lease);
  double token = Seconds(decodes.front()->Config.TokenInterval).count();
  if (prefills.empty() || transfer > local)
    return slot + local + token;
  // The prefill runs during the wait for the slot, so the longer of the two
  // counts.
  double start = Waits.PrefillWait +
                 Ahead.Prefill / std::max(1.0, Waits.PrefillSlots) + prefill;
  return std::max(slot, start) + transfer + token;
}

// Seconds until a server is empty for a request that runs alone.
double ShardScheduler::runAloneWait(const ShardLease &Lease, TimePoint Now) {
  double shortest = MaxWaitSeconds;
  for (ShardServer *it :
       Servers.usableServers(Lease.Group, ServerRole::Decode, Now, true)) {
    if (RunAloneId == Lease.Id && it->ReservedFor != Lease.Id)
      continue;
    auto decodes = running({it}, Now);
    double count = static_cast<double>(decodes.size()) - 0.5;
    shortest =
        std::min(shortest, secondsUntilFree(decodes, count, MaxWaitSeconds));
  }
  return shortest;
}

// Seconds to the first output of a request that is placed ahead of the queue.
double ShardScheduler::firstOutputAheadOfQueue(const ShardLease &Lease,
                                               TimePoint Now) {
  if (!Lease.RunAlone)
    return firstOutputSeconds(estimateWaits(Lease.Group, Now, Lease.Deadline),
                              Lease, {}, Now);
  WaitEstimate waits;
  waits.SlotWait = runAloneWait(Lease, Now);
  waits.DecodeSlots = 1;
  return firstOutputSeconds(waits, Lease, {}, Now);
}

Milliseconds ShardScheduler::drainTime(const std::string &Group,
                                       TimePoint Now) {
  SlotCost backlog = Queue.backlog(Group);
  WaitEstimate waits = estimateWaits(Group, Now, Now);
  double share = Queue.activeShare(Group);
  double wait =
      std::max(backlog.Decode / std::max(1.0, waits.DecodeSlots),
               waits.PrefillSlots > 0 ? backlog.Prefill / waits.PrefillSlots
                                      : 0) /
      share;
  return std::max(Milliseconds(1), milliseconds(wait));
}

void ShardScheduler::refuse(CoreContext &Context, ShardLease &Lease,
                            ErrorKind Kind, Milliseconds RetryAfter) {
  Refusal refusal;
  refusal.Id = Lease.Id;
  refusal.Shard = Shard;
  refusal.Attempt = Lease.Attempt;
  refusal.Kind = Kind;
  refusal.RetryAfter = RetryAfter;
  DecisionRecord decision;
  decision.Kind = DecisionKind::Shed;
  decision.Id = Lease.Id;
  decision.Group = Lease.Group;
  decision.Subject = Shard;
  decision.Error = Kind;
  decision.Value = Seconds(RetryAfter).count();
  std::string to = Lease.Entry;
  endLease(Context, Lease);
  refusal.QueueLength = queueLength();
  Context.send(std::move(to), std::move(refusal));
  Context.record(std::move(decision));
}

bool ShardScheduler::refuseIfLate(CoreContext &Context, ShardLease &Lease,
                                  double FirstOutput) {
  if (Lease.MayWait || Lease.OutputTokens > 0)
    return false;
  double late = FirstOutput - seconds(Context.Now, Lease.Deadline);
  if (late <= 0)
    return false;
  // The same request can be admitted once the backlog has shrunk by this time.
  refuse(Context, Lease, ErrorKind::DeadlineUnreachable,
         std::max(Milliseconds(1), milliseconds(late)));
  return true;
}

void ShardScheduler::admit(CoreContext &Context, ShardLeasePtr Lease) {
  addLease(Lease);
  recordInteractive(*Lease, Context.Now);
  if (!usesReservations(Context.Options.Policy)) {
    if (auto chosen = planUnreserved(Context, *Lease))
      start(Context, *Lease, *chosen);
    else
      refuse(Context, *Lease, ErrorKind::NoServer, Context.Options.LeasePeriod);
    return;
  }
  setGroup(Lease->Group, Lease->Class);
  if (Servers.usableServers(Lease->Group, ServerRole::Decode, Context.Now, true)
          .empty() &&
      !Lease->MayWait) {
    refuse(Context, *Lease, ErrorKind::NoServer, Context.Options.LeasePeriod);
    return;
  }
  if (Queue.size(Lease->Group) >= Servers.group(Lease->Group).MaxQueued) {
    refuse(Context, *Lease, ErrorKind::GroupQueueFull,
           drainTime(Lease->Group, Context.Now));
    return;
  }
  Lease->Cost = cost(*Lease);
  double first =
      Lease->RunAlone
          ? firstOutputAheadOfQueue(*Lease, Context.Now)
          : firstOutputSeconds(
                estimateWaits(Lease->Group, Context.Now, Lease->Deadline),
                *Lease, Queue.costAhead(Lease->Group), Context.Now);
  if (refuseIfLate(Context, *Lease, first))
    return;
  Queue.push(*Lease);
}

void ShardScheduler::refuseUnreachable(CoreContext &Context) {
  std::map<std::string, WaitEstimate> estimates;
  std::vector<std::pair<ShardLeasePtr, double>> checked;
  Queue.forEach([&](QueuedItem &Item, const SlotCost &Ahead) {
    auto &lease = static_cast<ShardLease &>(Item);
    if (lease.MayWait)
      return;
    auto it = estimates.find(lease.Group);
    if (it == estimates.end())
      it = estimates
               .emplace(lease.Group,
                        estimateWaits(lease.Group, Context.Now, lease.Deadline))
               .first;
    checked.emplace_back(
        &lease, firstOutputSeconds(it->second, lease, Ahead, Context.Now));
  });
  for (const auto &[lease, first] : checked)
    refuseIfLate(Context, *lease, first);
  for (const ShardLeasePtr &lease : std::vector(Requeued))
    refuseIfLate(Context, *lease, firstOutputAheadOfQueue(*lease, Context.Now));
}

} // namespace crocusspur::internal
