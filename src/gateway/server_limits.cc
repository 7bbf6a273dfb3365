#include "gateway/server_limits.h"

#include "json_text.h"
#include "log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Bounds the log lines about statements that can't be parsed.
constexpr std::chrono::seconds MalformedLogPeriod{10};
// While the membership changes, two instances may both be owners for this long.
constexpr Milliseconds OwnerOverlap{3000};
// An owner that didn't respond isn't asked again for this long.
constexpr Milliseconds SilentOwnerPause{1000};
// Pause after a denial for calls that can't wait, for each instance that shares
// the limit, so that the owner gets 40 such requests a second at most.
constexpr Milliseconds AskPausePerSharer{25};
// Calls without a permit that are charged later.
constexpr int32_t MaxCharged = 8;
constexpr const char *OwnShare = "own share";

CallPermit permitOf(const PaceDecision &Decision, const ServerLimit &Limit,
                    const std::string &DecidedBy) {
  return {Decision.Granted, Decision.Delay, Limit, DecidedBy};
}

} // namespace

std::string limitText(double PerSecond) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f", PerSecond);
  return buf;
}

void ServerLimits::setChangeListener(std::function<void()> Listener) {
  ChangeListener.set(std::move(Listener));
}

// Called without the lock, so that the listener may take its own.
void ServerLimits::notify() { ChangeListener.call(); }

void ServerLimits::expire(TimePoint Now) {
  Table.expire(Now);
  std::erase_if(Servers,
                [&](const auto &It) { return !Table.find(It.first, Now); });
  std::erase_if(SilentOwners, [&](const auto &It) { return It.second <= Now; });
  Any.store(!Table.empty());
}

void ServerLimits::logChange(const std::string &ServerId,
                             std::optional<double> Former,
                             const std::string &Source, TimePoint Now) const {
  std::optional<ServerLimit> limit = Table.find(ServerId, Now);
  log(LogLevel::Info, "server_limits",
      limit ? "server stated a request limit" : "server lifted its limit",
      {{"server", ServerId},
       {"limit_per_s", limit ? limitText(*limit->PerSecond) : ""},
       {"former_per_s", Former ? limitText(*Former) : ""},
       {"source", Source},
       {"age_ms", limit ? std::to_string(limit->Age.count()) : ""}});
}

void ServerLimits::onResponse(const std::string &ServerId,
                              const StatedLimit &Limit, TimePoint SentAt) {
  if (!Limit.PerSecond && !Limit.Malformed && !Any.load())
    return;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    if (Limit.Malformed && now - MalformedLoggedAt >= MalformedLogPeriod) {
      MalformedLoggedAt = now;
      log(LogLevel::Warn, "server_limits",
          Limit.PerSecond
              ? "ignored an invalid request limit beside a valid one"
              : "ignored an invalid request limit",
          {{"server", ServerId}});
    }
    std::optional<ServerLimit> former = Table.find(ServerId, now);
    if (!Table.onResponse(ServerId, Limit, SentAt, now))
      return;
    logChange(ServerId, former ? former->PerSecond : std::nullopt, Instance,
              now);
    expire(now);
  }
  notify();
}

std::vector<ServerLimit> ServerLimits::known() const {
  if (!Any.load())
    return {};
  std::lock_guard lock(Mutex);
  return Table.known(Clock::now());
}

void ServerLimits::merge(const std::vector<ServerLimit> &Items,
                         const std::string &Peer) {
  if (Items.empty())
    return;
  bool changed = false;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    for (const ServerLimit &it : Items) {
      std::optional<ServerLimit> former = Table.find(it.ServerId, now);
      if (!Table.merge(it, now))
        continue;
      changed = true;
      logChange(it.ServerId, former ? former->PerSecond : std::nullopt, Peer,
                now);
    }
    expire(now);
  }
  if (changed)
    notify();
}

PaceDecision ServerLimits::decideAsOwner(const ServerLimit &Limit,
                                         uint32_t Calls, int32_t Charged,
                                         Milliseconds MaxDelay, TimePoint Now) {
  std::optional<RequestPacer> &pacer = Servers[Limit.ServerId].OwnerPacer;
  if (!pacer)
    pacer.emplace(Now, OwnerOverlap);
  if (Charged != 0)
    pacer->charge(*Limit.PerSecond, Charged, Now);
  return pacer->request(*Limit.PerSecond, Calls, MaxDelay, Now);
}

PaceDecision ServerLimits::decideByShare(const ServerLimit &Limit,
                                         uint32_t Calls, Milliseconds MaxDelay,
                                         TimePoint Now) {
  ++Counts.OwnShare;
  ServerState &state = Servers[Limit.ServerId];
  double rate = *Limit.PerSecond / std::max(sharers(), 1U);
  if (!state.SharePacer) {
    state.SharePacer.emplace(Now, Milliseconds(0));
    // Its first slot comes after a whole interval, since all instances may
    // begin at the same time.
    state.SharePacer->charge(rate, 1, Now);
  }
  if (state.Charged != 0)
    state.SharePacer->charge(rate, std::exchange(state.Charged, 0), Now);
  return state.SharePacer->request(rate, Calls, MaxDelay, Now);
}

CallPermit ServerLimits::askOwner(std::unique_lock<internal::OuterMutex> &Lock,
                                  const KeyOwner &Owner,
                                  PermitRequest Request) {
  const std::string &server = Request.Limit.ServerId;
  Request.Charged = std::exchange(Servers[server].Charged, 0);
  Lock.unlock();
  std::optional<PaceDecision> decision;
  if (Sharing.AskOwner)
    decision = Sharing.AskOwner(Owner.Address, Request);
  Lock.lock();
  if (decision)
    return permitOf(*decision, Request.Limit, Owner.Name);
  TimePoint now = Clock::now();
  charge(server, Request.Charged);
  if (SilentOwners.insert_or_assign(Owner.Address, now + SilentOwnerPause)
          .second)
    log(LogLevel::Warn, "server_limits",
        "the owner of a server's limit didn't respond; using the own share",
        {{"server", server},
         {"owner", Owner.Name},
         {"limit_per_s", limitText(*Request.Limit.PerSecond)},
         {"sharers", std::to_string(sharers())}});
  return permitOf(
      decideByShare(Request.Limit, Request.Calls, Request.MaxDelay, now),
      Request.Limit, OwnShare);
}

CallPermit ServerLimits::acquire(const std::string &ServerId, uint32_t Calls,
                                 Milliseconds MaxDelay) {
  if (!Any.load())
    return {true, Milliseconds(0), std::nullopt, ""};
  std::unique_lock lock(Mutex);
  TimePoint now = Clock::now();
  expire(now);
  std::optional<ServerLimit> limit = Table.find(ServerId, now);
  if (!limit)
    return {true, Milliseconds(0), std::nullopt, ""};
  ServerState &state = Servers[ServerId];
  TimePoint askAt = MaxDelay == Milliseconds(0) ? state.AskAgainAt
                                                : state.NextFree - MaxDelay;
  if (askAt > now) {
    ++Counts.Denied;
    return {false,
            std::max(Milliseconds(1),
                     std::chrono::ceil<Milliseconds>(state.NextFree - now)),
            limit, state.DeniedBy};
  }
  KeyOwner owner{Instance, "", true};
  if (Sharing.FindOwner)
    owner = Sharing.FindOwner(ServerId);
  CallPermit permit;
  if (!owner.Known || SilentOwners.contains(owner.Address))
    permit =
        permitOf(decideByShare(*limit, Calls, MaxDelay, now), *limit, OwnShare);
  else if (owner.Address.empty())
    permit =
        permitOf(decideAsOwner(*limit, Calls, std::exchange(state.Charged, 0),
                               MaxDelay, now),
                 *limit, owner.Name);
  else
    permit = askOwner(lock, owner, {*limit, Calls, 0, MaxDelay});
  if (permit.Granted) {
    ++(permit.Delay > Milliseconds(0) ? Counts.Delayed : Counts.Granted);
    return permit;
  }
  ++Counts.Denied;
  // The state may have been replaced while the owner was asked.
  ServerState &denied = Servers[ServerId];
  now = Clock::now();
  denied.NextFree = now + permit.Delay;
  denied.DeniedBy = permit.DecidedBy;
  denied.AskAgainAt =
      std::max(denied.NextFree,
               now + AskPausePerSharer * static_cast<int64_t>(sharers()));
  return permit;
}

PaceDecision ServerLimits::decide(const PermitRequest &Request) {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  Table.merge(Request.Limit, now);
  expire(now);
  std::optional<ServerLimit> limit = Table.find(Request.Limit.ServerId, now);
  if (!limit)
    return {true, Milliseconds(0)};
  return decideAsOwner(*limit, Request.Calls, Request.Charged, Request.MaxDelay,
                       now);
}

void ServerLimits::charge(const std::string &ServerId, int32_t Calls) {
  int32_t &charged = Servers[ServerId].Charged;
  charged = std::clamp(charged + Calls, -MaxCharged, MaxCharged);
}

void ServerLimits::release(const std::string &ServerId, uint32_t Calls) {
  if (!Any.load() || Calls == 0)
    return;
  std::lock_guard lock(Mutex);
  if (Table.find(ServerId, Clock::now()))
    charge(ServerId, -static_cast<int32_t>(Calls));
}

void ServerLimits::onUnpermittedCall(const std::string &ServerId) {
  if (!Any.load())
    return;
  std::lock_guard lock(Mutex);
  if (!Table.find(ServerId, Clock::now()))
    return;
  ++Counts.Unpermitted;
  charge(ServerId, 1);
}

ServerLimits::Counters ServerLimits::counters() const {
  std::lock_guard lock(Mutex);
  return Counts;
}

std::vector<ServerLimit> ServerLimits::active() const {
  std::lock_guard lock(Mutex);
  std::vector<ServerLimit> all = Table.known(Clock::now());
  std::erase_if(all, [](const ServerLimit &It) { return !It.PerSecond; });
  return all;
}

std::optional<ServerLimit>
ServerLimits::find(const std::string &ServerId) const {
  if (!Any.load())
    return std::nullopt;
  std::lock_guard lock(Mutex);
  return Table.find(ServerId, Clock::now());
}

std::string ServerLimits::dump() const {
  std::string out = "[";
  const char *separator = "";
  for (const ServerLimit &it : active()) {
    out += separator + std::string("{\"server\":") +
           internal::jsonString(it.ServerId) +
           ",\"limit_per_s\":" + limitText(*it.PerSecond) +
           ",\"age_ms\":" + std::to_string(it.Age.count()) +
           ",\"source\":" + internal::jsonString(it.Source) + "}";
    separator = ",";
  }
  return out + "]";
}

} // namespace crocusspur::gateway
