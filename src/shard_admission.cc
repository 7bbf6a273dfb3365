#include "shard_scheduler.h"

#include "shard_time.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

// Assumed for the work of others, of which only the number is known.
static constexpr uint32_t TypicalMaxTokens = 256;

// Expected wait for a report of a server that gets nothing before it.
static constexpr double ReportWait = 0.25;

// Samples below which a group's mean output length isn't relied on.
static constexpr double FewSamples = 20;

// Costs and times

double ShardScheduler::prefillSeconds(const ShardServer &On,
                                      const ShardLease &Lease) const {
  double tokens = Lease.PromptTokens;
  if (!Lease.PrefixHashes.empty())
    tokens *= 1 - static_cast<double>(Affinity.cachedBlocks(
                      On.Config.Name, Lease.PrefixHashes)) /
                      static_cast<double>(Lease.PrefixHashes.size());
  return tokens / std::max(1.0, On.Config.PrefillTokensPerSecond);
}

double ShardScheduler::kvBytes(const ShardLease &Lease) const {
  if (Lease.KvBytes > 0)
    return static_cast<double>(Lease.KvBytes);
  return static_cast<double>(Lease.PromptTokens) * Servers.kvBytesPerToken();
}

OutputLengths &ShardScheduler::lengths(ShardLease &Lease) {
  if (!Lease.Learned)
    Lease.Learned = &Lengths[{Lease.Group, Lease.Class}];
  return *Lease.Learned;
}

Work ShardScheduler::cost(const ShardLease &Lease) const {
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
  Work work;
  if (prefills > 0 && prefillRate > 0)
    work.Prefill = PrefillRatio * Lease.PromptTokens * prefills / prefillRate;
  // A group that is new is taken to be like all others.
  auto known = Lengths.find({Lease.Group, Lease.Class});
  bool fresh = known == Lengths.end() || known->second.samples() < FewSamples;
  double tokens =
      (fresh ? AllLengths : known->second).mean(Lease.MaxOutputTokens);
  if (decodes > 0)
    work.Decode = tokens * interval / decodes;
  // A request that runs alone occupies all slots of its server.
  if (Lease.RunAlone)
    work.Decode *= slotsPerDecodeServer();
  return work;
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

// Tokens a second of one decode on the server; the mean of all when empty.
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
ShardScheduler::running(const std::vector<ShardServer *> &On, TimePoint Now) {
  std::vector<double> rates;
  for (const ShardServer *it : On)
    rates.push_back(tokenRate(it->Config.Name));
  std::vector<RunningDecode> found;
  found.reserve(Decoding.size());
  for (ShardLease &lease : Decoding) {
    auto at = std::find_if(On.begin(), On.end(), [&](const ShardServer *It) {
      return It->Config.Name == lease.DecodeServer;
    });
    if (at == On.end())
      continue;
    double rate = rates[static_cast<size_t>(at - On.begin())];
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
    return seconds(Now, Lease.EvictAt) - (1 - EvictionPart) * eviction;
  return std::max(0.0, seconds(Now, Lease.PrefillEnd)) +
         EvictionPart * eviction;
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

// Results of a former owner that no entry has re-asserted yet.
uint32_t ShardScheduler::unknownResults() const {
  size_t sum = 0;
  for (const auto &[name, it] : Servers.all())
    if (!it.decodes() && it.Sweep)
      sum += it.Estimate.unknownIds().size();
  return static_cast<uint32_t>(sum);
}

StartQuery ShardScheduler::question(const std::string &Group, TimePoint Now) {
  auto decodes = Servers.usable(Group, ServerRole::Decode, Now);
  StartQuery ask;
  uint32_t free = Servers.freeSlots(decodes, Now);
  uint32_t unknown = unknownResults();
  ask.FreeSlots = free > unknown ? free - unknown : 0;
  ask.Running = running(decodes, Now);
  ask.Pending = pending(Group, Now);
  return ask;
}

// Admission

// Results are placed in this order.
TimePoint ShardScheduler::placeBy(const ShardLease &Lease) const {
  TimePoint evict = Lease.Stage == LeaseStage::Ready
                        ? Lease.EvictAt
                        : Lease.PrefillEnd + Servers.evictionTime();
  return Lease.MayWait ? evict : std::min(evict, Lease.Deadline);
}

ShardScheduler::Outlook ShardScheduler::outlook(const std::string &Group,
                                                TimePoint Now,
                                                TimePoint Deadline) {
  Outlook at;
  StartQuery ask = question(Group, Now);
  static const OutputLengths NothingLearned;
  bool held = false;
  for (const ShardServer *it : Servers.usable(Group, ServerRole::Decode, Now)) {
    at.DecodeSlots += it->Estimate.slots();
    held |= it->Estimate.held();
    for (uint32_t i = 0; i < it->Estimate.foreign(Now); ++i)
      ask.Running.push_back(
          {&NothingLearned, TypicalMaxTokens, 0, tokenRate(it->Config.Name)});
  }
  // Prefills under way will decode and end as well.
  for (StageList *list : {&Prefilling, &Ready})
    for (ShardLease &it : *list) {
      double rate = tokenRate(it.DecodeServer);
      double wait = std::max(0.0, seconds(Now, it.PrefillEnd));
      ask.Running.push_back(
          {&lengths(it), std::max(1U, it.MaxOutputTokens), -wait * rate, rate});
    }
  // Results that are placed before one that is due at the deadline.
  double before = 0;
  for (const StageList *list : {&Prefilling, &Ready})
    for (const ShardLease &it : *list)
      before += it.DecodeServer.empty() && placeBy(it) < Deadline;
  double missing = 1.0 + before - static_cast<double>(ask.FreeSlots);
  at.SlotWait = secondsUntilFree(ask.Running, missing, LongestWait);
  if (held)
    at.SlotWait = std::min(at.SlotWait, ReportWait);
  auto prefills = Servers.usable(Group, ServerRole::Prefill, Now);
  for (const ShardServer *it : prefills)
    at.PrefillSlots += it->Estimate.slots();
  if (prefills.empty() || Servers.freeSlots(prefills, Now) > 0)
    return at;
  at.PrefillWait = LongestWait;
  for (const ShardLease &it : Prefilling)
    at.PrefillWait =
        std::min(at.PrefillWait, std::max(0.0, seconds(Now, it.PrefillEnd)));
  if (Prefilling.empty())
    at.PrefillWait = ReportWait;
  return at;
}

double ShardScheduler::firstOutputSeconds(const Outlook &At,
                                          const ShardLease &Lease,
                                          const Work &Ahead, TimePoint Now) {
  auto prefills = Servers.usable(Lease.Group, ServerRole::Prefill, Now);
  auto decodes = Servers.usable(Lease.Group, ServerRole::Decode, Now);
  if (decodes.empty())
    return LongestWait;
  double slot = At.SlotWait + Ahead.Decode / std::max(1.0, At.DecodeSlots);
  double prefill = 0, transfer = 0;
  if (!prefills.empty()) {
    slot = std::max(slot, At.PrefillWait +
                              Ahead.Prefill / std::max(1.0, At.PrefillSlots));
    prefill = LongestWait;
    transfer = LongestWait;
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
  // The prefill starts ahead of the slot, so the longer of the two counts.
  double start =
      At.PrefillWait + Ahead.Prefill / std::max(1.0, At.PrefillSlots) + prefill;
  return std::max(slot, start) + transfer + token;
}

// Seconds until the server that a request would have alone is empty.
double ShardScheduler::aloneWait(const ShardLease &Lease, TimePoint Now) {
  double shortest = LongestWait;
  for (ShardServer *it :
       Servers.usable(Lease.Group, ServerRole::Decode, Now, true)) {
    if (AloneId == Lease.Id && it->ReservedFor != Lease.Id)
      continue;
    auto decodes = running({it}, Now);
    double count = static_cast<double>(decodes.size()) - 0.5;
    shortest =
        std::min(shortest, secondsUntilFree(decodes, count, LongestWait));
  }
  return shortest;
}

// For a request that is ahead of the queue.
double ShardScheduler::firstOutputAgain(const ShardLease &Lease,
                                        TimePoint Now) {
  if (!Lease.RunAlone)
    return firstOutputSeconds(outlook(Lease.Group, Now, Lease.Deadline), Lease,
                              {}, Now);
  Outlook at;
  at.SlotWait = aloneWait(Lease, Now);
  at.DecodeSlots = 1;
  return firstOutputSeconds(at, Lease, {}, Now);
}

Milliseconds ShardScheduler::drainTime(const std::string &Group,
                                       TimePoint Now) {
  Work backlog = Queue.backlog(Group);
  Outlook at = outlook(Group, Now, Now);
  double share = Queue.activeShare(Group);
  double wait =
      std::max(backlog.Decode / std::max(1.0, at.DecodeSlots),
               at.PrefillSlots > 0 ? backlog.Prefill / at.PrefillSlots : 0) /
      share;
  return std::max(Milliseconds(1), milliseconds(wait));
}

void ShardScheduler::refuse(CoreContext &Context, ShardLease &Lease,
                            ErrorKind Kind, Milliseconds RetryAfter) {
  Refusal answer;
  answer.Id = Lease.Id;
  answer.Shard = Shard;
  answer.Attempt = Lease.Attempt;
  answer.Kind = Kind;
  answer.RetryAfter = RetryAfter;
  DecisionRecord entry;
  entry.Kind = DecisionKind::Shed;
  entry.Id = Lease.Id;
  entry.Group = Lease.Group;
  entry.Subject = Shard;
  entry.Error = Kind;
  entry.Value = Seconds(RetryAfter).count();
  std::string to = Lease.Entry;
  drop(Context, Lease);
  answer.QueueLength = queueLength();
  Context.send(std::move(to), std::move(answer));
  Context.record(std::move(entry));
}

bool ShardScheduler::refuseIfLate(CoreContext &Context, ShardLease &Lease,
                                  double FirstOutput) {
  if (Lease.MayWait || Lease.OutputTokens > 0)
    return false;
  double late = FirstOutput - seconds(Context.Now, Lease.Deadline);
  if (late <= 0)
    return false;
  // Once the backlog has shrunk by this time, the same request fits.
  refuse(Context, Lease, ErrorKind::DeadlineUnreachable,
         std::max(Milliseconds(1), milliseconds(late)));
  return true;
}

void ShardScheduler::admit(CoreContext &Context, ShardLeasePtr Lease) {
  begin(Lease);
  noteInteractive(*Lease, Context.Now);
  if (!ownerPolicy(Context.Options.Policy)) {
    if (auto with = planUnreserved(Context, *Lease))
      start(Context, *Lease, *with);
    else
      refuse(Context, *Lease, ErrorKind::NoServer, Context.Options.LeasePeriod);
    return;
  }
  setGroup(Lease->Group, Lease->Class);
  if (Servers.usable(Lease->Group, ServerRole::Decode, Context.Now, true)
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
  double first = Lease->RunAlone
                     ? firstOutputAgain(*Lease, Context.Now)
                     : firstOutputSeconds(
                           outlook(Lease->Group, Context.Now, Lease->Deadline),
                           *Lease, Queue.ahead(Lease->Group), Context.Now);
  if (refuseIfLate(Context, *Lease, first))
    return;
  Queue.push(*Lease);
}

void ShardScheduler::refuseUnreachable(CoreContext &Context) {
  std::map<std::string, Outlook> outlooks;
  std::vector<std::pair<ShardLeasePtr, double>> checked;
  Queue.forEach([&](QueuedItem &Item, const Work &Ahead) {
    auto &lease = static_cast<ShardLease &>(Item);
    if (lease.MayWait)
      return;
    auto it = outlooks.find(lease.Group);
    if (it == outlooks.end())
      it = outlooks
               .emplace(lease.Group,
                        outlook(lease.Group, Context.Now, lease.Deadline))
               .first;
    checked.emplace_back(
        &lease, firstOutputSeconds(it->second, lease, Ahead, Context.Now));
  });
  for (const auto &[lease, first] : checked)
    refuseIfLate(Context, *lease, first);
  for (const ShardLeasePtr &lease : std::vector(Again))
    refuseIfLate(Context, *lease, firstOutputAgain(*lease, Context.Now));
}

} // namespace crocusspur::internal
