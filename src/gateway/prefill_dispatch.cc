#include "gateway/prefill_dispatch.h"

#include "gateway/member_codec.h"
#include "json_text.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// As for the homes of quotas.
constexpr Milliseconds MinQuietPause{100};
constexpr Milliseconds MaxQuietPause{1600};
// While one request asks a quiet owner again, others don't wait for it.
constexpr Milliseconds ProbeTime{50};
// Owners ignore older reports.
constexpr Milliseconds ReportLifetime{3000};
constexpr size_t MaxUnsent = 64; // reports for one service

Milliseconds since(TimePoint At, TimePoint Now) {
  return std::chrono::duration_cast<Milliseconds>(Now - At);
}

} // namespace

const char *nameOf(DispatchOutcome Outcome) {
  switch (Outcome) {
  case DispatchOutcome::Assigned:
    return "assigned";
  case DispatchOutcome::OwnerQuiet:
    return "owner_quiet";
  case DispatchOutcome::Unanswered:
    return "unanswered";
  case DispatchOutcome::NoServer:
    return "no_server";
  case DispatchOutcome::NotUsable:
    return "not_usable";
  case DispatchOutcome::AtLimit:
    return "at_limit";
  case DispatchOutcome::Inactive:
    break;
  }
  return "inactive";
}

DispatchedPrefill PrefillDispatch::choose(const ServerQuery &Query,
                                          uint64_t Tokens, double Draw) {
  DispatchedPrefill result;
  if (!Sharing.Ask || Sharing.Instances() < MinInstancesToDispatch)
    return result;
  DispatchServers servers = Directory.dispatchServers(Query.Service);
  if (!servers.Differ || servers.All.size() < MinServersToDispatch)
    return result;
  std::vector<std::vector<size_t>> shards = shardsOf(servers.All);
  std::optional<size_t> shard =
      drawShard(servers.All, shards, Query.ExcludedIds, Draw);
  result.Outcome = DispatchOutcome::NoServer;
  if (!shard)
    return result;
  KeyOwner owner = Sharing.FindOwner(shardKey(Query.Service, *shard));
  if (!owner.Known)
    return result;
  result.Owner = owner.Name;
  if (!owner.Address.empty() && !mayAsk(owner.Address)) {
    result.Outcome = DispatchOutcome::OwnerQuiet;
    return result;
  }
  PrefillAsk ask;
  ask.Service = Query.Service;
  ask.Shard = static_cast<uint32_t>(*shard);
  ask.Tokens = Tokens;
  for (size_t i : shards[*shard])
    if (Query.ExcludedIds.contains(servers.All[i].Id))
      ask.Excluded.push_back(servers.All[i].Id);
  ask.Reports = takeReports(Query.Service, servers, shards[*shard]);
  std::optional<PrefillAssignment> assigned;
  if (owner.Address.empty()) {
    assigned = decide(ask);
  } else {
    assigned = Sharing.Ask(owner.Address, ask);
    onAsked(owner.Address, assigned.has_value());
  }
  result.Outcome = DispatchOutcome::Unanswered;
  if (!assigned)
    return result;
  result.Outcome = DispatchOutcome::NoServer;
  if (assigned->ServerId.empty())
    return result;
  result.Outcome = DispatchOutcome::NotUsable;
  result.Server =
      Directory.chosen(Query, assigned->ServerId, assigned->StartedAt);
  if (!result.Server)
    return result;
  result.Outcome = DispatchOutcome::Assigned;
  result.Wait = assigned->Wait;
  result.Duration = assigned->Duration;
  return result;
}

bool PrefillDispatch::mayAsk(const std::string &Address) {
  std::lock_guard lock(Mutex);
  auto it = QuietOwners.find(Address);
  TimePoint now = Clock::now();
  if (it != QuietOwners.end() && it->second.Until > now)
    return false;
  if (it != QuietOwners.end())
    it->second.Until = now + ProbeTime;
  ++Counts.Asked;
  return true;
}

void PrefillDispatch::onAsked(const std::string &Address, bool Answered) {
  std::lock_guard lock(Mutex);
  ++(Answered ? Counts.Answered : Counts.Unanswered);
  if (Answered) {
    QuietOwners.erase(Address);
    return;
  }
  TimePoint now = Clock::now();
  std::erase_if(QuietOwners, [&](const auto &It) {
    return now - It.second.Until > 10 * MaxQuietPause;
  });
  QuietOwner &owner = QuietOwners[Address];
  owner.Pause = std::clamp(2 * owner.Pause, MinQuietPause, MaxQuietPause);
  owner.Until = now + owner.Pause;
}

void PrefillDispatch::onPlaced(bool ByOwner) {
  std::lock_guard lock(Mutex);
  ++(ByOwner ? Counts.ByOwner : Counts.ByInstance);
}

void PrefillDispatch::onPrefillEnded(const ServerChoice &Server,
                                     uint64_t Tokens, Milliseconds Taken,
                                     const std::optional<ServerLoad> &Load,
                                     const DispatchedPrefill &Placement) {
  Completed item{{Server.Id, Server.StartedAt, Tokens, Taken, Milliseconds(0),
                  std::nullopt},
                 Clock::now()};
  if (Load)
    item.Report.Remaining = Load->Running + Load->Waiting;
  std::lock_guard lock(Mutex);
  if (Placement.Server) {
    Counts.Expected += Placement.expected();
    Counts.Measured += Taken;
  }
  if (Placement.Outcome == DispatchOutcome::Inactive)
    return;
  std::vector<Completed> &unsent = Unsent[Server.Service];
  if (unsent.size() >= MaxUnsent)
    unsent.erase(unsent.begin());
  unsent.push_back(std::move(item));
}

std::vector<PrefillReport>
PrefillDispatch::takeReports(const std::string &Service,
                             const DispatchServers &Servers,
                             const std::vector<size_t> &Shard) {
  std::vector<PrefillReport> taken;
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  std::erase_if(Unsent[Service], [&](Completed &It) {
    if (now - It.At > ReportLifetime)
      return true;
    if (taken.size() >= MaxPrefillReports ||
        std::ranges::none_of(Shard, [&](size_t I) {
          return Servers.All[I].Id == It.Report.ServerId;
        }))
      return false;
    It.Report.Age = since(It.At, now);
    taken.push_back(std::move(It.Report));
    return true;
  });
  return taken;
}

PrefillAssignment PrefillDispatch::decide(const PrefillAsk &Ask) {
  DispatchServers servers = Directory.dispatchServers(Ask.Service);
  std::vector<std::vector<size_t>> shards = shardsOf(servers.All);
  if (Ask.Shard >= shards.size())
    return {};
  std::vector<DispatchServer> candidates;
  for (size_t i : shards[Ask.Shard])
    candidates.push_back(std::move(servers.All[i]));
  std::lock_guard lock(Mutex);
  ++Counts.Decided;
  return Dispatchers[Ask.Service].assign(Ask, candidates, Clock::now());
}

PrefillDispatch::Counters PrefillDispatch::counters() const {
  std::lock_guard lock(Mutex);
  return Counts;
}

std::string PrefillDispatch::dump() const {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  std::string out = "{\"quiet_owners\":" + std::to_string(QuietOwners.size()) +
                    ",\"decided\":" + std::to_string(Counts.Decided) +
                    ",\"services\":{";
  const char *separator = "";
  for (const auto &[service, dispatcher] : Dispatchers) {
    out += separator + internal::jsonString(service) + ":[";
    const char *comma = "";
    for (const PrefillDispatcher::Queue &it : dispatcher.queues(now)) {
      out += comma;
      out += "{\"server\":" + internal::jsonString(it.ServerId) +
             ",\"assigned\":" + std::to_string(it.Assigned) +
             ",\"unit_ms\":" + std::to_string(it.UnitMs) +
             ",\"report_age_ms\":" + std::to_string(it.ReportAge.count()) + "}";
      comma = ",";
    }
    out += "]";
    separator = ",";
  }
  return out + "}}";
}

} // namespace crocusspur::gateway
