#include "shard_scheduler.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

using Seconds = std::chrono::duration<double>;

// Part of the eviction time that the start rule counts on. The rest covers the
// way of the grant and errors of the estimates.
static constexpr double EvictionPart = 0.9;

// Chance that an interactive request arriving now finds no slot within
// InteractiveWaitBound, which other prefills may not push higher.
static constexpr double InteractiveMissBound = 0.01;

// Interactive requests are provided for this long after the last one came.
static constexpr Milliseconds InteractiveMemory{5000};

// Waits longer than this are all reported as this.
static constexpr double LongestWait = 120;

// Assumed for the work of others, of which only the number is known.
static constexpr uint32_t TypicalMaxTokens = 256;

// Expected wait for a report of a server that gets nothing before it.
static constexpr double ReportWait = 0.25;

// Memory of the measured rate of interactive requests.
static constexpr double RateSeconds = 2;

// What was learned since a request came changes its cost this often.
static constexpr Milliseconds RepricePeriod{1000};

// Policies without reservation learn of a full server only from its refusal.
// They try another server at once and then again after each period, which
// bounds the messages at overload.
static constexpr uint32_t UnreservedTries = 2;
static constexpr Milliseconds UnreservedPeriod{250};

// Slot seconds that a request is charged in advance, which stands for the use
// of the near future by what a group has started. With 0.5 s, shares over ten
// seconds stayed within 4% for outputs of mean 0.5 s and 3 s; with 1 s and 2 s
// they were off by up to 6% and 11%.
static constexpr double Lookahead = 0.5;

// Samples below which a group's mean output length isn't relied on.
static constexpr double FewSamples = 20;

// Greatest difference between the server's and this owner's time of an
// eviction.
static constexpr Milliseconds EvictionMargin{100};

// A measured prefill time changes the correction of estimates by this part.
static constexpr double RatioGain = 0.1;

static double seconds(TimePoint From, TimePoint To) {
  return Seconds(To - From).count();
}

static TimePoint after(TimePoint From, double Amount) {
  return From + std::chrono::duration_cast<TimePoint::duration>(
                    Seconds(std::min(Amount, 1e6)));
}

static Milliseconds milliseconds(double Amount) {
  return Milliseconds(
      static_cast<int64_t>(std::ceil(std::min(Amount, LongestWait) * 1000)));
}

void ShardScheduler::note(CoreContext &Context, NoteKind Kind,
                          const ShardLease &Lease, const std::string &Subject,
                          double Value) const {
  Note entry;
  entry.Kind = Kind;
  entry.Id = Lease.Id;
  entry.Group = Lease.Group;
  entry.Subject = Subject;
  entry.Value = Value;
  Context.note(std::move(entry));
}

void ShardScheduler::sync(const CoreContext &Context) {
  if (!Servers.sync(Context))
    return;
  for (const auto &[name, group] : Servers.groups())
    Queue.setGroup(name, group.Share, group.Class);
  double slots = 0;
  for (const auto &[name, server] : Servers.all())
    if (server.Live && server.decodes())
      slots += server.Estimate.slots();
  Queue.setLookahead(Lookahead);
  Queue.setInteractiveLead(
      slots * Seconds(Context.Options.InteractiveWaitBound).count());
}

ShardLeasePtr ShardScheduler::find(const RequestId &Id) const {
  auto it = Leases.find(Id);
  return it == Leases.end() ? nullptr : it->second;
}

ShardScheduler::~ShardScheduler() {
  for (const auto &[id, lease] : Leases)
    unlink(*lease);
}

void ShardScheduler::begin(const ShardLeasePtr &Lease) {
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
  return static_cast<uint32_t>(Queue.size() + Again.size());
}

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

OutputLengths &ShardScheduler::lengths(const ShardLease &Lease) {
  return Lengths[{Lease.Group, Lease.Class}];
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
  std::vector<RunningDecode> found;
  for (const ShardLease &lease : Decoding) {
    auto at = std::find_if(On.begin(), On.end(), [&](const ShardServer *It) {
      return It->Config.Name == lease.DecodeServer;
    });
    if (at == On.end())
      continue;
    double rate = tokenRate(lease.DecodeServer);
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

StartQuestion ShardScheduler::question(const std::string &Group,
                                       TimePoint Now) {
  auto decodes = Servers.usable(Group, ServerRole::Decode, Now);
  StartQuestion ask;
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
  StartQuestion ask = question(Group, Now);
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
  for (const StageList *list : {&Prefilling, &Ready})
    for (const ShardLease &it : *list) {
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
  Note entry;
  entry.Kind = NoteKind::Shed;
  entry.Id = Lease.Id;
  entry.Group = Lease.Group;
  entry.Subject = Shard;
  entry.Error = Kind;
  entry.Value = Seconds(RetryAfter).count();
  std::string to = Lease.Entry;
  drop(Context, Lease);
  answer.QueueLength = queueLength();
  Context.send(std::move(to), std::move(answer));
  Context.note(std::move(entry));
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
  if (!Servers.groups().count(Lease->Group))
    Queue.setGroup(Lease->Group, 1, Lease->Class);
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
  double share = 0, sum = 0, slots = 0;
  for (const auto &[name, group] : Servers.groups()) {
    if (group.Class == RequestClass::Batch)
      continue;
    sum += group.Share;
    share += group.Class == RequestClass::Interactive ? group.Share : 0;
  }
  for (const auto &[name, it] : Servers.all())
    if (it.Live && it.decodes())
      slots += it.Estimate.slots();
  double most = sum > 0 ? slots * share / sum : slots;
  double expected = std::ceil(InteractiveRate * 2 * window);
  return static_cast<size_t>(std::max(1.0, std::min(expected, most)));
}

// Interactive requests that arrive now must find a slot before their deadline
// although nothing can be taken away from what has started.
bool ShardScheduler::leavesRoomForInteractive(CoreContext &Context,
                                              const ShardLease &Lease,
                                              StartQuestion Question) {
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
  Question.Bound = std::max(InteractiveMissBound, Question.Bound);
  return mayStart(Question);
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
  StartQuestion ask = question(Lease.Group, Context.Now);
  ask.NewDue = std::max(0.0, Due);
  ask.Bound = Context.Options.PrefillWasteBound;
  // After a takeover only slots that are free by the reports are granted.
  if (TakingOver)
    ask.Running.clear();
  if (!mayStart(ask))
    return false;
  // A group with a residency limit must leave the slots of earlier results of
  // the other groups alone as well.
  if (!Servers.unrestricted(Lease.Group)) {
    StartQuestion whole = question("", Context.Now);
    whole.NewDue = ask.NewDue;
    whole.Bound = ask.Bound;
    if (!mayStart(whole))
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
  note(Context, NoteKind::PrefillStarted, Lease, Lease.PrefillServer,
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

// Placement of results

void ShardScheduler::grantDecode(CoreContext &Context, ShardLease &Lease,
                                 ShardServer &On) {
  TimePoint now = Context.Now;
  ShardServer *from = Servers.find(Lease.PrefillServer);
  double transfer = 0;
  if (from && from != &On) {
    transfer = Servers.transferSeconds(*from, On, kvBytes(Lease), now);
    from->Link.add(kvBytes(Lease), now);
    On.Link.add(kvBytes(Lease), now);
  }
  setStage(Lease, LeaseStage::Decoding);
  Lease.DecodeServer = On.Config.Name;
  Lease.DecodeGranted = now;
  Lease.DecodeStart = after(now, transfer);
  On.Estimate.granted(Lease.Id, now);
  Lease.touch(Lease.DecodeServer);
  Context.send(Lease.Entry, DecodeGrant{Lease.Id, Shard, Lease.Attempt,
                                        Lease.DecodeServer, Fence});
  note(Context, NoteKind::DecodeStarted, Lease, Lease.DecodeServer,
       seconds(Lease.PrefillEnd, now));
}

bool ShardScheduler::placeResult(CoreContext &Context, ShardLease &Lease) {
  auto decodes = Servers.usable(Lease.Group, ServerRole::Decode, Context.Now);
  ShardServer *on = nullptr;
  if (!ownerPolicy(Context.Options.Policy)) {
    if (Lease.Tries++ < UnreservedTries)
      on = chooseUnreserved(Context, decodes);
  } else {
    on = Servers.bestDecode(decodes, Servers.find(Lease.PrefillServer),
                            kvBytes(Lease), Context.Now);
  }
  if (on)
    grantDecode(Context, Lease, *on);
  return on != nullptr;
}

void ShardScheduler::expireResult(CoreContext &Context, ShardLease &Lease) {
  wastePrefill(Context, Lease);
  queueAgain(Context, Lease);
}

void ShardScheduler::placeResults(CoreContext &Context) {
  std::vector<ShardLeasePtr> ready;
  for (ShardLease &it : Ready)
    ready.emplace_back(&it);
  std::stable_sort(ready.begin(), ready.end(),
                   [this](const ShardLeasePtr &A, const ShardLeasePtr &B) {
                     return placeBy(*A) < placeBy(*B);
                   });
  for (const ShardLeasePtr &it : ready) {
    if (Context.Now >= it->EvictAt)
      expireResult(Context, *it);
    else
      placeResult(Context, *it);
  }
}

void ShardScheduler::schedule(CoreContext &Context) {
  placeResults(Context);
  startWaiting(Context);
}

void ShardScheduler::onTimer(CoreContext &Context) {
  if (Context.Now >= TriesResetAt + UnreservedPeriod) {
    TriesResetAt = Context.Now;
    for (ShardLease &it : Ready)
      it.Tries = 0;
    for (const ShardLeasePtr &it : Again)
      it->Tries = 0;
  }
  if (Context.Now >= RepricedAt + RepricePeriod) {
    RepricedAt = Context.Now;
    Queue.reprice([this](const QueuedItem &Item) {
      return cost(static_cast<const ShardLease &>(Item));
    });
  }
  chargeUse(Context.Now);
  refuseUnreachable(Context);
  schedule(Context);
}

// Waits again without a charge; the group has paid for the first placement.
void ShardScheduler::queueAgain(CoreContext &Context, ShardLease &Lease) {
  setStage(Lease, LeaseStage::Waiting);
  Lease.PrefillServer.clear();
  Lease.DecodeServer.clear();
  if (Lease.queued())
    return;
  note(Context, NoteKind::Replaced, Lease, Shard);
  release(Lease.Id);
  if (!refuseIfLate(Context, Lease, firstOutputAgain(Lease, Context.Now)))
    Again.emplace_back(&Lease);
}

// Ends of stages

void ShardScheduler::leavePrefill(CoreContext &Context, ShardLease &Lease) {
  if (Lease.Stage != LeaseStage::Prefilling)
    return;
  Lease.Measured.Prefill += seconds(Lease.PrefillStart, Context.Now);
  if (Lease.prefillsOnDecodeServer())
    return;
  if (ShardServer *it = Servers.find(Lease.PrefillServer))
    it->Estimate.ended(Lease.Id, Context.Now);
}

void ShardScheduler::leaveDecode(CoreContext &Context, ShardLease &Lease) {
  if (Lease.Stage == LeaseStage::Decoding)
    Lease.Measured.Decode += seconds(Lease.DecodeGranted, Context.Now);
  if (ShardServer *it = Servers.find(Lease.DecodeServer))
    it->Estimate.ended(Lease.Id, Context.Now);
  Lease.DecodeServer.clear();
}

// Slot seconds used so far.
double ShardScheduler::usedSeconds(const ShardLease &Lease,
                                   TimePoint Now) const {
  double used = Lease.Measured.total();
  if (Lease.Stage == LeaseStage::Prefilling)
    used += seconds(Lease.PrefillStart, Now);
  if (Lease.Stage == LeaseStage::Decoding)
    used += seconds(Lease.DecodeGranted, Now);
  return Lease.RunAlone ? used * slotsPerDecodeServer() : used;
}

// Groups pay for what their requests use as time passes. Paying whole
// estimates at the start kept shares in the long run only: one output of 25 s
// upset them for as long.
void ShardScheduler::chargeUse(TimePoint Now) {
  for (const StageList *list : {&Prefilling, &Ready, &Decoding})
    for (const ShardLease &it : *list) {
      if (!it.Charged)
        continue;
      auto &lease = const_cast<ShardLease &>(it);
      double due = usedSeconds(lease, Now) + lease.Lookahead;
      Queue.correct(lease.Group, due - lease.Paid);
      lease.Paid = due;
    }
}

// The entry tells of the import only at the end, so a decode whose transfer is
// over is taken to have used the result.
void ShardScheduler::usedIfImported(ShardLease &Lease, TimePoint Now) const {
  if (Lease.Stage == LeaseStage::Decoding && Now > Lease.DecodeStart)
    Lease.PrefillUnused = false;
}

void ShardScheduler::wastePrefill(CoreContext &Context, ShardLease &Lease) {
  if (!Lease.PrefillUnused)
    return;
  Lease.PrefillUnused = false;
  note(Context, NoteKind::PrefillWasted, Lease, Lease.PrefillServer,
       Lease.Measured.Prefill);
}

void ShardScheduler::prefillDone(CoreContext &Context, ShardLease &Lease,
                                 uint64_t KvBytes) {
  if (Lease.Stage != LeaseStage::Prefilling)
    return;
  leavePrefill(Context, Lease);
  double measured = seconds(Lease.PrefillStart, Context.Now);
  if (Lease.PrefillEstimate > 0) {
    double ratio = std::clamp(measured / Lease.PrefillEstimate, 0.1, 10.0);
    PrefillRatio += RatioGain * (ratio - PrefillRatio);
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
    server->Estimate.refusedFull(Context.Now);
  else if (server)
    server->Estimate.failed(Context.Now);
  if (ServerFull)
    Lease.PrefillUnused = false; // refused before it ran
  wastePrefill(Context, Lease);
  queueAgain(Context, Lease);
}

void ShardScheduler::decodeLost(CoreContext &Context, ShardLease &Lease,
                                const DecodeLost &Message) {
  // Of a request that also prefills on its decode server, the entry only knows
  // the decode.
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
  // The message doesn't tell an evicted result from a server that failed after
  // the import; the time of the eviction does.
  bool evicted = !Message.ServerFull && !Message.ResultAlive &&
                 Message.OutputTokens == 0 &&
                 Context.Now + EvictionMargin >= Lease.EvictAt;
  if (server && Message.ServerFull)
    server->Estimate.refusedFull(Context.Now);
  else if (server && !evicted)
    server->Estimate.failed(Context.Now);
  Lease.OutputTokens = Message.OutputTokens;
  if (Message.ResultAlive && Context.Now < Lease.EvictAt) {
    setStage(Lease, LeaseStage::Ready);
    note(Context, NoteKind::Replaced, Lease, Message.Server);
    return;
  }
  if (evicted || Message.ServerFull)
    wastePrefill(Context, Lease);
  Lease.PrefillUnused = false;
  queueAgain(Context, Lease);
}

void ShardScheduler::placeAgain(CoreContext &Context, ShardLease &Lease) {
  if (Lease.queued() || Lease.Stage == LeaseStage::Waiting)
    return;
  usedIfImported(Lease, Context.Now);
  leavePrefill(Context, Lease);
  leaveDecode(Context, Lease);
  wastePrefill(Context, Lease);
  queueAgain(Context, Lease);
}

void ShardScheduler::drop(CoreContext &Context, ShardLease &Lease) {
  ShardLeasePtr keep = &Lease;
  leavePrefill(Context, Lease);
  leaveDecode(Context, Lease);
  unlink(Lease);
  std::erase(Again, keep);
  if (Lease.Charged)
    Queue.correct(Lease.Group, usedSeconds(Lease, Context.Now) - Lease.Paid);
  wastePrefill(Context, Lease);
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
  drop(Context, Lease);
}

void ShardScheduler::lapse(CoreContext &Context, ShardLease &Lease) {
  for (const std::string &it : Lease.Touched)
    Context.Out.push_back(CancelAtServer{Lease.Id, it, Fence});
  note(Context, NoteKind::LeaseLapsed, Lease, Lease.Entry);
  usedIfImported(Lease, Context.Now);
  drop(Context, Lease);
}

// Leases of a former owner

void ShardScheduler::adopt(CoreContext &Context, ShardLeasePtr Lease,
                           const LeaseEntry &From) {
  TimePoint now = Context.Now;
  begin(Lease);
  setStage(*Lease, From.Stage);
  Lease->PrefillServer = From.PrefillServer;
  Lease->PrefillStart = Lease->PrefillEnd = now;
  Lease->EvictAt = now + Servers.evictionTime();
  Lease->DecodeGranted = Lease->DecodeStart = now;
  Lease->Cost = cost(*Lease);
  for (const std::string &it : {From.PrefillServer, From.DecodeServer})
    if (!it.empty())
      Lease->touch(it);
  ShardServer *prefill = Servers.find(From.PrefillServer);
  ShardServer *decode = Servers.find(From.DecodeServer);
  switch (From.Stage) {
  case LeaseStage::Waiting:
    if (!Servers.groups().count(Lease->Group))
      Queue.setGroup(Lease->Group, 1, Lease->Class);
    Queue.push(*Lease);
    break;
  case LeaseStage::Prefilling:
    Lease->PrefillUnused = true;
    if (prefill) {
      Lease->PrefillEnd =
          after(now, PrefillRatio * prefillSeconds(*prefill, *Lease));
      prefill->Estimate.adopted(Lease->Id);
    }
    if (From.DecodeServer == From.PrefillServer)
      Lease->DecodeServer = From.DecodeServer;
    break;
  case LeaseStage::Ready:
    Lease->PrefillUnused = true;
    break;
  case LeaseStage::Decoding:
    Lease->DecodeServer = From.DecodeServer;
    if (decode)
      decode->Estimate.adopted(Lease->Id);
    break;
  }
}

void ShardScheduler::repeatGrant(CoreContext &Context,
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
