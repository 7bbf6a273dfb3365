#include "gateway/decisions/server_registry.h"

#include "gateway/decisions/placement/pace_choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

// Most calls end within this time, so older load reports are ignored.
constexpr Milliseconds LoadReportLifetime{400};
// Weight of the latest call in the moving average of failures, which covers
// about six calls.
constexpr double FailureWeight = 0.16;
// A server whose calls all fail counts as nine times as loaded.
constexpr double FailurePenalty = 8;
// Backoff for a server that is unreachable or doesn't respond, doubled with
// each consecutive failure.
constexpr Milliseconds MinPause{250};
constexpr Milliseconds MaxPause{4000};
// Backoff for a server that refused because it is full. Short, since slots
// become free within tens of milliseconds.
constexpr Milliseconds OverloadPause{25};
// Exclusion of a server that isn't in its registered stage. It ends earlier
// with the entry of the new stage, which a store that is away delays by
// seconds.
constexpr Milliseconds MisdirectedExclusion{10000};
// Time for which a prefill server that refuses prompts is a last resort. A
// change of stage takes seconds, and each refusal costs a request a retry.
constexpr Milliseconds StageRefusalPause{1000};
// Penalty for servers in another failure domain, in requests. It only decides
// between otherwise equal servers.
constexpr double OtherDomainPenalty = 0.05;
// Range of the random tie-breaker between equal servers, in requests.
constexpr double TieBreakSpread = 0.04;

// Pace of a server that has just started while others are known, so that it
// gets about half as many calls as they until some have ended.
constexpr double UnknownPace = 1.4;
// Around this part of its knee a server counts as above it with a probability
// that grows from 0 to 1 within the spread, to both sides. Below 1, since loads
// are known late, and since the load at the end of a slow call is nearer to the
// mean than that at its start, which makes knees look higher.
constexpr double KneeCenter = 0.8;
constexpr double KneeSpread = 0.15;
// The same in addition where the server's load is taken from the others'.
constexpr double UnknownLoadSpread = 0.35;
// Part of a stated rest by which its end is spread.
constexpr double RestSpread = 0.25;

Milliseconds pauseAfter(uint32_t ConsecutiveFailures) {
  auto factor = 1U << std::min(ConsecutiveFailures - 1, 5U);
  return std::min(MinPause * factor, MaxPause);
}

ServerChoice choiceOf(const ServerEntry &Entry) {
  return {Entry.Id,        Entry.Address, Entry.FailureDomain, Entry.Version,
          Entry.StartedAt, false,         Entry.Service};
}

} // namespace

const char *nameOf(ServerStage Stage) {
  switch (Stage) {
  case ServerStage::Prefill:
    return "prefill";
  case ServerStage::Decode:
    return "decode";
  case ServerStage::Whole:
    break;
  }
  return "whole";
}

ServerProcess processOf(const ServerEntry &Entry) {
  return {Entry.Id, Entry.StartedAt, Entry.Address, Entry.Version};
}

ServerProcess processOf(const ServerChoice &Server) {
  return {Server.Id, Server.StartedAt, Server.Address, Server.Version};
}

VersionKey versionKeyOf(std::string_view Version) {
  uint64_t hash = XXH64(Version.data(), Version.size(), 0);
  return hash == 0 ? 1 : hash;
}

void ServerRegistry::apply(const ServerEntry &Entry, TimePoint Now,
                           std::optional<TimePoint> WrittenAfter) {
  auto it = Servers.find(Entry.Id);
  bool restarted =
      it != Servers.end() && processOf(it->second.Entry) != processOf(Entry);
  if (it != Servers.end() && it->second.Entry.Address != Entry.Address)
    dropClaimsOf(Entry.Id);
  if (restarted)
    Servers.erase(it);
  Server &server =
      Servers
          .try_emplace(Entry.Id,
                       Server{.WrittenAfter = WrittenAfter.value_or(Now)})
          .first->second;
  if (server.Entry.Stage != Entry.Stage) {
    server.Load.reset();
    server.ExcludedUntil = TimePoint();
  }
  server.Entry = Entry;
  server.UsableUntil.reset();
  if (Entry.Leaving)
    Leaving.add({processOf(Entry)}, Now);
  server.Leaving = Leaving.contains(processOf(Entry));
  Leaving.expire(Now, [this](const ServerProcess &Process) {
    const ServerEntry *entry = find(Process.Id);
    return entry && processOf(*entry) == Process;
  });
}

bool ServerRegistry::addLeaving(const LeavingServer &Item, TimePoint Now) {
  if (!Leaving.add(Item, Now))
    return false;
  auto it = Servers.find(Item.Process.Id);
  if (it != Servers.end() && processOf(it->second.Entry) == Item.Process)
    it->second.Leaving = true;
  return true;
}

bool ServerRegistry::isLeaving(const std::string &Id) const {
  auto it = Servers.find(Id);
  return it != Servers.end() && it->second.Leaving;
}

void ServerRegistry::remove(const std::string &Id, TimePoint UsableUntil) {
  auto it = Servers.find(Id);
  if (it == Servers.end())
    return;
  dropClaimsOf(Id);
  if (it->second.Leaving)
    Servers.erase(it);
  else
    it->second.UsableUntil = UsableUntil;
}

void ServerRegistry::dropClaimsOf(const std::string &ClaimantId) {
  for (auto &[id, server] : Servers)
    if (server.ClaimantId == ClaimantId)
      server.ClaimantId.clear();
}

bool ServerRegistry::onAddressClaimed(const std::string &Id,
                                      const std::string &ClaimantId) {
  auto it = Servers.find(Id);
  if (it == Servers.end() || it->second.ClaimantId == ClaimantId ||
      it->second.DisprovedClaimants.contains(ClaimantId))
    return false;
  it->second.ClaimantId = ClaimantId;
  return true;
}

void ServerRegistry::onClaimDisproved(const ServerProcess &Process) {
  auto disproved = Servers.find(Process.Id);
  if (disproved == Servers.end() ||
      processOf(disproved->second.Entry) != Process)
    return;
  for (auto &[id, server] : Servers) {
    if (id == Process.Id || server.Entry.Address != Process.Address)
      continue;
    server.DisprovedClaimants.insert(Process.Id);
    if (server.ClaimantId == Process.Id)
      server.ClaimantId.clear();
  }
}

void ServerRegistry::expire(TimePoint Now) {
  std::erase_if(Servers, [&](const auto &It) {
    return It.second.UsableUntil && *It.second.UsableUntil < Now;
  });
}

void ServerRegistry::exclude(const std::string &Id, TimePoint Until) {
  auto it = Servers.find(Id);
  if (it != Servers.end())
    it->second.ExcludedUntil = std::max(it->second.ExcludedUntil, Until);
}

void ServerRegistry::onStageRefused(const std::string &Id, bool Misdirected,
                                    TimePoint Now) {
  if (Misdirected) {
    exclude(Id, Now + MisdirectedExclusion);
    return;
  }
  auto it = Servers.find(Id);
  if (it != Servers.end())
    it->second.AvoidUntil =
        std::max(it->second.AvoidUntil, Now + StageRefusalPause);
}

const ServerEntry *ServerRegistry::find(const std::string &Id) const {
  auto it = Servers.find(Id);
  return it == Servers.end() ? nullptr : &it->second.Entry;
}

Milliseconds ServerRegistry::maxEntryAge(const std::string &Id,
                                         TimePoint Now) const {
  auto it = Servers.find(Id);
  return it == Servers.end() ? Milliseconds(0)
                             : std::chrono::duration_cast<Milliseconds>(
                                   Now - it->second.WrittenAfter);
}

std::vector<ServerEntry>
ServerRegistry::sharingAddress(const ServerEntry &Entry) const {
  std::vector<ServerEntry> all;
  auto own = Servers.find(Entry.Id);
  for (const auto &[id, server] : Servers)
    if (id != Entry.Id && server.Entry.Address == Entry.Address &&
        (own == Servers.end() || !own->second.DisprovedClaimants.contains(id)))
      all.push_back(server.Entry);
  return all;
}

std::vector<ServerEntry> ServerRegistry::entries() const {
  std::vector<ServerEntry> all;
  for (const auto &[id, server] : Servers)
    if (!server.UsableUntil)
      all.push_back(server.Entry);
  return all;
}

uint32_t ServerRegistry::count(const std::string &Service,
                               ServerStage Stage) const {
  return static_cast<uint32_t>(
      std::count_if(Servers.begin(), Servers.end(), [&](const auto &It) {
        const ServerEntry &entry = It.second.Entry;
        return !It.second.UsableUntil && It.second.ClaimantId.empty() &&
               entry.Service == Service && entry.Stage == Stage &&
               !It.second.Leaving;
      }));
}

bool ServerRegistry::hasServer(const std::string &Service, ServerStage Stage,
                               TimePoint Now) const {
  return std::ranges::any_of(Servers, [&](const auto &It) {
    const auto &[id, server] = It;
    return server.Entry.Service == Service && server.Entry.Stage == Stage &&
           !server.Leaving &&
           (!server.UsableUntil || *server.UsableUntil >= Now);
  });
}

ServerRegistry::SendBar ServerRegistry::sendBar(const Server &Item,
                                                TimePoint Now) const {
  if (Item.Leaving)
    return SendBar::Leaving;
  if (Item.UsableUntil && *Item.UsableUntil < Now)
    return SendBar::Removed;
  if (Item.RestingUntil > Now)
    return SendBar::Resting;
  return Item.ExcludedUntil > Now ? SendBar::Excluded : SendBar::None;
}

const char *ServerRegistry::nameOf(SendBar Bar) {
  switch (Bar) {
  case SendBar::None:
    return "";
  case SendBar::Leaving:
    return "leaving";
  case SendBar::Removed:
    return "removed";
  case SendBar::Resting:
    return "resting";
  case SendBar::Excluded:
    return "excluded";
  }
  return "";
}

// A server that refuses requests while it changes its stage is asked
// nevertheless by those that hold a reservation there.
bool ServerRegistry::usable(const ServerChoice &Server, TimePoint Now) const {
  auto it = Servers.find(Server.Id);
  if (it == Servers.end() || it->second.Entry.StartedAt != Server.StartedAt ||
      it->second.Entry.Version != Server.Version)
    return false;
  SendBar bar = sendBar(it->second, Now);
  return bar == SendBar::None || bar == SendBar::Excluded;
}

void ServerRegistry::rest(const ServerProcess &Process, Milliseconds Time,
                          TimePoint Now) {
  auto it = Servers.find(Process.Id);
  if (it == Servers.end() || processOf(it->second.Entry) != Process)
    return;
  auto time = std::min(Time, MaxRest);
  std::uniform_real_distribution<double> draw(1, 1 + RestSpread);
  it->second.RestingUntil =
      std::max(it->second.RestingUntil,
               Now + Milliseconds(static_cast<int64_t>(
                         static_cast<double>(time.count()) * draw(Random))));
}

std::optional<TimePoint> ServerRegistry::restingUntil(const ServerQuery &Query,
                                                      TimePoint Now) const {
  std::optional<TimePoint> first;
  for (const auto &[id, server] : Servers) {
    if (!matches(server, Query))
      continue;
    SendBar bar = sendBar(server, Now);
    if (bar == SendBar::None)
      return std::nullopt;
    if (bar == SendBar::Resting)
      first = std::min(first.value_or(TimePoint::max()), server.RestingUntil);
  }
  return first;
}

bool ServerRegistry::matches(const Server &Item,
                             const ServerQuery &Query) const {
  const ServerEntry &entry = Item.Entry;
  return entry.Service == Query.Service && entry.Stage == Query.Stage &&
         !Query.ExcludedIds.contains(entry.Id) &&
         (!Query.Version || versionKeyOf(entry.Version) == *Query.Version);
}

double ServerRegistry::reportWeight(const Server &Item, TimePoint Now) {
  if (!Item.Load || Now - Item.LoadAt >= LoadReportLifetime)
    return 0;
  return 1 -
         std::chrono::duration<double>(Now - Item.LoadAt) / LoadReportLifetime;
}

double ServerRegistry::othersAtReport(const Server &Item) {
  return std::max(0.0, static_cast<double>(Item.Load->Running) +
                           Item.Load->Waiting - Item.OwnCallsAtLoad);
}

double ServerRegistry::loadOf(const Server &Item, TimePoint Now) const {
  double weight = reportWeight(Item, Now);
  return weight > 0 ? Item.OwnLoad + othersAtReport(Item) * weight
                    : Item.OwnLoad;
}

double ServerRegistry::placementPace(const Server &Item, TimePoint Now) const {
  auto it = Paces.find(Item.Entry.Service);
  return it == Paces.end()
             ? 1
             : it->second.placementPace(Item.Entry.Id, Item.Entry.Stage, Now);
}

bool ServerRegistry::usesKnees(const ServerQuery &Query, TimePoint Now) const {
  auto table = Knees.find(Query.Service);
  return PaceValues.Enabled && PaceValues.Knee && table != Knees.end() &&
         table->second.differ(Query.Stage, Now);
}

double ServerRegistry::meanOthers(const ServerQuery &Query,
                                  TimePoint Now) const {
  double sum = 0;
  double weights = 0;
  for (const auto &[id, server] : Servers) {
    double weight = matches(server, Query) ? reportWeight(server, Now) : 0;
    if (weight > 0)
      sum += weight * othersAtReport(server);
    weights += weight;
  }
  return weights > 0 ? sum / weights : 0;
}

bool ServerRegistry::drawAboveKnee(const Server &Item, double MeanOthers,
                                   TimePoint Now) {
  double knee = capacity(Item.Entry.Id, Now).Knee;
  if (knee <= 0)
    return false;
  double weight = reportWeight(Item, Now);
  double load = Item.OwnCalls + (1 - weight) * MeanOthers;
  if (weight > 0)
    load += weight * othersAtReport(Item);
  double spread = KneeSpread + (1 - weight) * UnknownLoadSpread;
  double excess = load / knee - KneeCenter;
  if (std::abs(excess) >= spread)
    return excess > 0;
  std::uniform_real_distribution<double> draw(-spread, spread);
  return draw(Random) < excess;
}

ServerCapacity ServerRegistry::capacity(const std::string &Id,
                                        TimePoint Now) const {
  auto it = Servers.find(Id);
  if (it == Servers.end())
    return {};
  const ServerEntry &entry = it->second.Entry;
  ServerCapacity capacity{static_cast<double>(entry.Slots), 0, {}, false};
  auto table = Knees.find(entry.Service);
  if (table == Knees.end())
    return capacity;
  std::optional<KneeEstimate> found =
      table->second.estimate(Id, entry.StartedAt, entry.Stage, Now);
  if (!found)
    return capacity;
  capacity.Samples = found->Samples;
  capacity.Age = found->Age;
  capacity.Known = found->Knee > 0;
  if (capacity.Known)
    capacity.Knee = found->Knee;
  return capacity;
}

double ServerRegistry::score(const Server &Item, TimePoint Now) const {
  double load = (loadOf(Item, Now) + 1) * placementPace(Item, Now);
  if (Item.Entry.Slots > 0 && Item.Entry.Stage == ServerStage::Whole)
    load = load / Item.Entry.Slots;
  load *= 1 + FailurePenalty * Item.FailureRate;
  if (Item.Entry.FailureDomain != OwnDomain)
    load += OtherDomainPenalty;
  return load;
}

std::vector<ServerChoice> ServerRegistry::rank(const ServerQuery &Query,
                                               TimePoint Now) {
  struct Candidate {
    int Class; // 0: healthy, 1: avoided, 2: entry removed
    bool AboveKnee;
    double Score;
    const Server *Item;
  };
  std::uniform_real_distribution<double> draw(0, TieBreakSpread);
  bool useKnees = usesKnees(Query, Now);
  double others = useKnees ? meanOthers(Query, Now) : 0;
  std::vector<Candidate> found;
  for (const auto &[id, server] : Servers) {
    if (sendBar(server, Now) != SendBar::None || !matches(server, Query))
      continue;
    bool isLastResort = server.UsableUntil || !server.ClaimantId.empty();
    int rankClass = isLastResort ? 2 : server.AvoidUntil > Now ? 1 : 0;
    bool above = useKnees && drawAboveKnee(server, others, Now);
    found.push_back(
        {rankClass, above, score(server, Now) + draw(Random), &server});
  }
  std::sort(found.begin(), found.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tuple(Left.Class, Left.AboveKnee, Left.Score) <
                     std::tuple(Right.Class, Right.AboveKnee, Right.Score);
            });
  std::vector<ServerChoice> choices;
  for (const Candidate &it : found) {
    choices.push_back(choiceOf(it.Item->Entry));
    choices.back().Failing =
        it.Class == 2 || (it.Class == 1 && it.Item->ConsecutiveFailures > 0);
  }
  return choices;
}

std::vector<ServerCandidate>
ServerRegistry::candidates(const ServerQuery &Query, TimePoint Now) const {
  std::vector<ServerCandidate> all;
  for (const auto &[id, server] : Servers) {
    if (!matches(server, Query))
      continue;
    ServerCandidate found;
    found.Choice = choiceOf(server.Entry);
    found.Bar = nameOf(sendBar(server, Now));
    found.LastResort = server.UsableUntil || !server.ClaimantId.empty();
    found.Avoided = server.AvoidUntil > Now;
    found.Full = server.Fullness.isFull(server.OwnCalls, Now);
    found.Load = loadOf(server, Now);
    found.FailureRate = server.FailureRate;
    found.Pace = placementPace(server, Now);
    found.Score = score(server, Now);
    found.Capacity = capacity(id, Now);
    all.push_back(std::move(found));
  }
  return all;
}

std::vector<ServerChoice>
ServerRegistry::rankSlowestFirst(const ServerQuery &Query, TimePoint Now) {
  std::vector<ServerChoice> all = rank(Query, Now);
  std::ranges::stable_sort(all, std::ranges::greater(),
                           [&](const ServerChoice &It) {
                             return placementPace(Servers.at(It.Id), Now);
                           });
  return all;
}

std::optional<ServerChoice> ServerRegistry::choose(const ServerQuery &Query,
                                                   TimePoint Now) {
  if (std::optional<ServerChoice> choice = chooseByPace(Query, Now))
    return choice;
  std::vector<ServerChoice> all = rank(Query, Now);
  if (all.empty())
    return std::nullopt;
  return all.front();
}

std::optional<ServerChoice>
ServerRegistry::chooseByPace(const ServerQuery &Query, TimePoint Now) {
  auto table = Paces.find(Query.Service);
  if (table == Paces.end())
    return std::nullopt;
  std::vector<PaceCandidate> candidates;
  std::vector<const Server *> found;
  bool useKnees = usesKnees(Query, Now);
  double others = useKnees ? meanOthers(Query, Now) : 0;
  bool differ = useKnees;
  for (const auto &[id, server] : Servers) {
    if (!isHealthy(server, Now) || !matches(server, Query))
      continue;
    double pace = placementPace(server, Now);
    differ = differ || pace != 1;
    if (table->second.isUnknown(id, server.Entry.Stage))
      pace = std::max(pace, UnknownPace);
    pace *= 1 + FailurePenalty * server.FailureRate;
    double load = loadOf(server, Now);
    if (server.Entry.Slots > 0 && server.Entry.Stage == ServerStage::Whole)
      load /= server.Entry.Slots;
    candidates.push_back(
        {pace, load, useKnees && drawAboveKnee(server, others, Now)});
    found.push_back(&server);
  }
  if (!differ)
    return std::nullopt;
  std::uniform_real_distribution<double> draw(0, 1);
  std::optional<size_t> i =
      gateway::chooseByPace(candidates, [&] { return draw(Random); });
  if (!i)
    return std::nullopt; // none is healthy
  return choiceOf(found[*i]->Entry);
}

bool ServerRegistry::isHealthy(const Server &Item, TimePoint Now) const {
  return sendBar(Item, Now) == SendBar::None && !Item.UsableUntil &&
         Item.ClaimantId.empty() && Item.AvoidUntil <= Now;
}

DispatchServers ServerRegistry::dispatchServers(const std::string &Service,
                                                TimePoint Now) const {
  DispatchServers found;
  auto table = Paces.find(Service);
  if (table == Paces.end() || !PaceValues.Enabled || !PaceValues.Dispatch)
    return found;
  const PaceTable &paces = table->second;
  for (const auto &[id, server] : Servers) {
    const ServerEntry &entry = server.Entry;
    if (entry.Service != Service || entry.Stage != ServerStage::Prefill ||
        server.Leaving || server.UsableUntil || !server.ClaimantId.empty())
      continue;
    found.Differ =
        found.Differ || paces.placementPace(id, ServerStage::Prefill, Now) != 1;
    double unit = paces.unitMs(id, ServerStage::Prefill, Now).value_or(0);
    if (paces.isUnknown(id, ServerStage::Prefill))
      unit *= UnknownPace;
    unit *= 1 + FailurePenalty * server.FailureRate;
    found.All.push_back({id, entry.StartedAt, unit, isHealthy(server, Now)});
  }
  return found;
}

std::optional<ServerChoice> ServerRegistry::chosen(const ServerQuery &Query,
                                                   const std::string &Id,
                                                   int64_t StartedAt,
                                                   TimePoint Now) const {
  auto it = Servers.find(Id);
  if (it == Servers.end() || it->second.Entry.StartedAt != StartedAt ||
      !isHealthy(it->second, Now) || !matches(it->second, Query))
    return std::nullopt;
  return choiceOf(it->second.Entry);
}

PaceTable &ServerRegistry::pacesOf(const std::string &Service) {
  auto [it, added] = Paces.try_emplace(Service);
  if (added)
    it->second.setSettings(PaceValues);
  return it->second;
}

KneeTable &ServerRegistry::kneesOf(const std::string &Service) {
  auto [it, added] = Knees.try_emplace(Service);
  if (added)
    it->second.setSettings(PaceValues);
  return it->second;
}

void ServerRegistry::onCallTimed(const ServerChoice &Server, double Work,
                                 Milliseconds Taken, TimePoint Now) {
  auto it = Servers.find(Server.Id);
  if (it == Servers.end() || processOf(it->second.Entry) != processOf(Server))
    return;
  const auto &item = it->second;
  PaceSample sample{processOf(item.Entry), item.Entry.Stage, Work, Taken, 0};
  if (item.Load && Now - item.LoadAt < LoadReportLifetime) {
    sample.Running = item.Load->Running + item.Load->Waiting;
    uint32_t since = std::max(item.OwnCalls, item.OwnCallsAtLoad);
    since -= item.OwnCallsAtLoad;
    kneesOf(item.Entry.Service)
        .add(sample, static_cast<double>(sample.Running) + since, Now);
  }
  pacesOf(item.Entry.Service).add(sample, Now);
}

void ServerRegistry::onReportedSlowdown(const ServerProcess &Process,
                                        double Factor, TimePoint Now) {
  auto it = Servers.find(Process.Id);
  if (it == Servers.end() || processOf(it->second.Entry) != Process)
    return;
  const ServerEntry &entry = it->second.Entry;
  pacesOf(entry.Service).onReportedSlowdown(Process, entry.Stage, Factor, Now);
}

bool ServerRegistry::mergePace(const PaceSummary &Item, TimePoint Now) {
  auto it = Servers.find(Item.ServerId);
  if (it == Servers.end() || it->second.Entry.StartedAt != Item.StartedAt ||
      it->second.Entry.Stage != Item.Stage)
    return false;
  kneesOf(it->second.Entry.Service).merge(Item, Now);
  return pacesOf(it->second.Entry.Service).merge(Item, Now);
}

std::vector<PaceSummary>
ServerRegistry::pacesChangedSince(TimePoint Since, TimePoint Now,
                                  size_t MaxCount) const {
  std::vector<PaceSummary> all;
  for (const auto &[service, table] : Paces) {
    auto knees = Knees.find(service);
    for (PaceSummary &it : table.changedSince(Since, Now, MaxCount)) {
      if (knees != Knees.end())
        knees->second.fill(it, Now);
      all.push_back(std::move(it));
    }
  }
  std::ranges::sort(all, isMoreUseful);
  if (all.size() > MaxCount)
    all.resize(MaxCount);
  return all;
}

void ServerRegistry::setPaceSettings(const PaceSettings &Value) {
  PaceValues = Value;
  for (auto &[service, table] : Paces)
    table.setSettings(Value);
  for (auto &[service, table] : Knees)
    table.setSettings(Value);
}

std::optional<Milliseconds>
ServerRegistry::expectedDuration(const std::string &Id, double Work,
                                 TimePoint Now) const {
  auto it = Servers.find(Id);
  if (it == Servers.end())
    return std::nullopt;
  auto table = Paces.find(it->second.Entry.Service);
  if (table == Paces.end())
    return std::nullopt;
  return table->second.expected(Id, it->second.Entry.Stage, Work, Now,
                                loadOf(it->second, Now));
}

std::vector<PaceChange> ServerRegistry::takePaceChanges(TimePoint Now) {
  std::vector<PaceChange> all;
  for (auto &[service, table] : Paces) {
    table.expire(Now);
    for (PaceChange &it : table.takeChanges(Now))
      all.push_back(std::move(it));
  }
  return all;
}

std::vector<KneeChange> ServerRegistry::takeKneeChanges(TimePoint Now) {
  std::vector<KneeChange> all;
  for (auto &[service, table] : Knees) {
    table.expire(Now);
    for (KneeChange &it : table.takeChanges(Now))
      all.push_back(std::move(it));
  }
  return all;
}

ServerRegistry::Fullness ServerRegistry::fullness(const ServerQuery &Query,
                                                  TimePoint Now) const {
  Fullness found;
  bool room = false;
  for (const auto &[id, server] : Servers) {
    if (!matches(server, Query) || sendBar(server, Now) != SendBar::None ||
        (server.AvoidUntil > Now && server.ConsecutiveFailures > 0))
      continue;
    if (server.Fullness.isFull(server.OwnCalls, Now))
      found.Full.insert(id);
    else
      room = true;
  }
  found.All = !room && !found.Full.empty();
  return found;
}

void ServerRegistry::callStarted(const std::string &Id, double Weight) {
  auto it = Servers.find(Id);
  if (it == Servers.end())
    return;
  it->second.OwnLoad += Weight;
  ++it->second.OwnCalls;
}

void ServerRegistry::callEnded(const std::string &Id, double Weight,
                               CallResult Result, TimePoint Now) {
  auto it = Servers.find(Id);
  if (it == Servers.end())
    return;
  Server &server = it->second;
  server.OwnLoad = std::max(0.0, server.OwnLoad - Weight);
  if (server.OwnCalls > 0)
    --server.OwnCalls;
  switch (Result) {
  case CallResult::Abandoned:
    return;
  case CallResult::Succeeded:
    server.FailureRate *= 1 - FailureWeight;
    server.ConsecutiveFailures = 0;
    server.AvoidUntil = TimePoint();
    server.Fullness.onSucceeded();
    return;
  case CallResult::Overloaded:
    server.Fullness.onRefused(Now);
    server.AvoidUntil = std::max(server.AvoidUntil, Now + OverloadPause);
    return;
  case CallResult::Failed:
    server.FailureRate += FailureWeight * (1 - server.FailureRate);
    return;
  case CallResult::Unreachable:
  case CallResult::TimedOut:
    server.FailureRate += FailureWeight * (1 - server.FailureRate);
    ++server.ConsecutiveFailures;
    server.AvoidUntil = Now + pauseAfter(server.ConsecutiveFailures);
    return;
  }
}

void ServerRegistry::onLoadReport(const std::string &Id, const ServerLoad &Load,
                                  TimePoint Now) {
  auto it = Servers.find(Id);
  if (it == Servers.end())
    return;
  it->second.Load = Load;
  it->second.LoadAt = Now;
  it->second.OwnCallsAtLoad = it->second.OwnCalls;
  it->second.Fullness.onReport(Load.Running + Load.Waiting, Now);
}

std::vector<ServerRegistry::Estimate>
ServerRegistry::estimates(TimePoint Now) const {
  std::vector<Estimate> all;
  for (const auto &[id, server] : Servers)
    all.push_back({id, server.OwnLoad, server.FailureRate,
                   server.AvoidUntil > Now || server.ExcludedUntil > Now ||
                       server.RestingUntil > Now ||
                       server.UsableUntil.has_value(),
                   server.Leaving});
  return all;
}

} // namespace crocusspur::gateway
