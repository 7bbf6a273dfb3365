#include "core_network_state.h"

#include <algorithm>

namespace crocusspur::test {

void CoreNetwork::begin(const Call &Item, TimePoint NotAfter) {
  if (Now > NotAfter)
    report(Item, StageOutcome::NotSent);
  else
    after(Options.Latency,
          [this, Item] { arriveAt(*Servers.at(Item.Server), Item); });
}

void CoreNetwork::arriveAt(Server &On, const Call &Item) {
  if (!On.Alive) {
    report(Item, StageOutcome::NotSent);
    return;
  }
  // A request that is sent again after a lost connection replaces its previous
  // run; a different one is refused by a full server.
  if (!On.Running.count(Item.Id) && On.Running.size() >= On.Slots) {
    report(Item, StageOutcome::RefusedFull);
    return;
  }
  if (Item.At == Stage::Decode && Item.Source != On.Name &&
      Servers.at(Item.Source)->Results.erase(Item.Id) == 0) {
    report(Item, StageOutcome::RefusedOther);
    return;
  }
  run(On, Item);
}

void CoreNetwork::run(Server &On, const Call &Item) {
  On.Results.erase(Item.Id);
  size_t index = Executions.size();
  Executions.push_back({Item.Id, Item.At, On.Name, Now, {}, false});
  ExecutionCalls.push_back(Item);
  On.Running[Item.Id] = index;
  uint64_t epoch = On.Epoch;
  if (On.Stalled) {
    after(Item.Timeout, [this, Item] { report(Item, StageOutcome::TimedOut); });
    return;
  }
  auto crasher = Crashers.find(CallerRequests.at(Item.Id).Spec.Fingerprint);
  if (crasher != Crashers.end())
    after(Milliseconds(5), [this, Item, epoch, crasher] {
      if (Servers.at(Item.Server)->Epoch != epoch)
        return;
      ++crasher->second;
      killServer(Item.Server);
    });
  Milliseconds base = Item.At == Stage::Prefill  ? Options.PrefillTime
                      : Item.At == Stage::Decode ? Options.DecodeTime
                                                 : Options.ServiceTime;
  Milliseconds time = addJitter(base);
  if (Item.At == Stage::Decode)
    after(time / 2, [this, Item, index] {
      if (!Executions[index].Ended)
        deliverLater(Item.Instance, Item.Incarnation,
                     StageProgress{Item.Id, Item.Attempt, 1});
    });
  after(time, [this, index] { finish(index); });
}

void CoreNetwork::finish(size_t Index) {
  if (Executions[Index].Ended)
    return;
  Server &on = *Servers.at(Executions[Index].Server);
  Executions[Index].Complete = true;
  const RequestId id = Executions[Index].Id;
  if (Executions[Index].At == Stage::Prefill) {
    on.Results[id] = Now;
    after(Options.EvictionTime, [this, &on, id, since = Now] {
      auto it = on.Results.find(id);
      if (it != on.Results.end() && it->second == since)
        on.Results.erase(it);
    });
  }
  end(on, Index, StageOutcome::Ok);
}

void CoreNetwork::end(Server &On, size_t Index, StageOutcome Outcome) {
  Executions[Index].Ended = Now;
  auto it = On.Running.find(Executions[Index].Id);
  if (it != On.Running.end() && it->second == Index)
    On.Running.erase(it);
  uint32_t tokens =
      Outcome == StageOutcome::Ok && Executions[Index].At == Stage::Decode
          ? CallerRequests.at(Executions[Index].Id).Spec.MaxOutputTokens
          : 0;
  report(ExecutionCalls[Index], Outcome, tokens);
}

void CoreNetwork::report(const Call &Item, StageOutcome Outcome,
                         uint32_t Tokens) {
  StageFinished body;
  body.Id = Item.Id;
  body.Attempt = Item.Attempt;
  body.FinishedStage = Item.At;
  body.Outcome = Outcome;
  body.Server = Item.Server;
  body.OutputTokens = Tokens;
  body.KvBytes = Item.At == Stage::Prefill ? 1000000 : 0;
  body.HttpStatus = Item.At == Stage::Service ? 200 : 0;
  after(Options.Latency, [=, this] {
    Node &to = node(Item.Instance);
    if (!to.Alive || to.Options.Incarnation != Item.Incarnation)
      return;
    bool completed = Outcome == StageOutcome::Ok && Item.At != Stage::Prefill;
    // A relay that has ended its response copies nothing more to the caller.
    if (completed && CallerRequests.at(Item.Id).Responses.empty()) {
      respond(Item.Instance, Item.Id,
              {true, false, ErrorKind::Internal, ExecutionState::Yes, {}, Now});
      Unreported.insert({Item.Instance, Item.Id});
    }
    deliver(to, body);
  });
}

void CoreNetwork::cancelAt(const CancelAtServer &Item) {
  Server &on = *Servers.at(Item.Server);
  on.Results.erase(Item.Id);
  auto it = on.Running.find(Item.Id);
  if (it != on.Running.end())
    end(on, it->second, StageOutcome::Failed);
}

void CoreNetwork::killServer(const std::string &Name) {
  Server &of = *Servers.at(Name);
  of.Alive = false;
  of.Epoch = ++Counter;
  of.Results.clear();
  for (const auto &it : std::map<RequestId, size_t>(of.Running))
    end(of, it.second, StageOutcome::Failed);
}

void CoreNetwork::restartServer(const std::string &Name) {
  if (Servers.at(Name)->Alive)
    killServer(Name);
  Servers.at(Name)->Alive = true;
}

bool CoreNetwork::serverAlive(const std::string &Name) const {
  return Servers.at(Name)->Alive;
}

void CoreNetwork::stallServer(const std::string &Name, bool Stalled) {
  Servers.at(Name)->Stalled = Stalled;
}

void CoreNetwork::addCrasher(uint64_t Fingerprint) {
  Crashers.emplace(Fingerprint, 0);
}

size_t CoreNetwork::crashesBy(uint64_t Fingerprint) const {
  return Crashers.at(Fingerprint);
}

// Records.

size_t CoreNetwork::executionsOf(const RequestId &Id, Stage At) const {
  return static_cast<size_t>(std::count_if(
      Executions.begin(), Executions.end(),
      [&](const Execution &It) { return It.Id == Id && It.At == At; }));
}

std::vector<HeldResource> CoreNetwork::held() const {
  std::vector<HeldResource> found;
  for (const auto &it : Servers) {
    for (const auto &run : it.second->Running)
      found.push_back({run.first, it.first, Executions[run.second].StartedAt});
    for (const auto &result : it.second->Results)
      found.push_back({result.first, it.first, result.second});
  }
  return found;
}

uint64_t CoreNetwork::configVersion(const std::string &Instance) const {
  return node(Instance).ConfigVersion;
}

uint64_t CoreNetwork::listSequence(const std::string &Instance) const {
  return node(Instance).ListSequence;
}

bool CoreNetwork::isReady(const std::string &Instance) const {
  return node(Instance).Ready;
}

size_t CoreNetwork::countDecisions(DecisionKind Kind) const {
  return static_cast<size_t>(
      std::count_if(Decisions.begin(), Decisions.end(),
                    [&](const auto &It) { return It.second.Kind == Kind; }));
}

std::string CoreNetwork::dump(const std::string &Instance) const {
  return node(Instance).Core->dumpState(Now);
}

} // namespace crocusspur::test
