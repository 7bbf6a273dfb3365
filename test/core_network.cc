#include "core_network_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusspur::test {
namespace {

constexpr Milliseconds TickPeriod{50};

std::pair<std::string, std::string> pairOf(const std::string &A,
                                           const std::string &B) {
  return A < B ? std::pair(A, B) : std::pair(B, A);
}

} // namespace

CoreNetwork::CoreNetwork(NetworkOptions Given)
    : Options(std::move(Given)), Random(Options.Seed) {
  publishConfig(sampleConfigText(Options.Sample));
  publishList(sampleListText(1, Options.Instances, Options.Sample));
  for (const ServerConfig &it : Configs.begin()->second->Servers) {
    auto server = std::make_unique<Server>();
    server->Name = it.Name;
    server->Slots = it.Slots;
    server->Epoch = ++Counter;
    Servers[it.Name] = std::move(server);
  }
  for (const InstanceEntry &it : List->Instances) {
    auto made = std::make_unique<Node>();
    made->Name = it.Name;
    made->Options = Options.Core;
    made->Options.Instance = it.Name;
    made->Options.Region = it.Region;
    made->Options.FailureDomain = it.FailureDomain;
    Nodes[it.Name] = std::move(made);
  }
  for (auto &it : Nodes)
    start(*it.second);
  watchLinks();
}

CoreNetwork::~CoreNetwork() = default;

// Time.

void CoreNetwork::after(Milliseconds Delay, std::function<void()> Run) {
  EventQueue.push({Now + Delay, ++LastOrder, std::move(Run)});
}

Milliseconds CoreNetwork::addJitter(Milliseconds Base) {
  auto range = static_cast<uint64_t>(Base.count() / 2 + 1);
  return Base + Milliseconds(static_cast<int64_t>(Random() % range));
}

void CoreNetwork::runFor(Milliseconds Duration) {
  runUntil([] { return false; }, Duration);
}

bool CoreNetwork::runUntil(const std::function<bool()> &Condition,
                           Milliseconds Limit) {
  TimePoint end = Now + Limit;
  while (!Condition()) {
    if (EventQueue.empty() || EventQueue.top().At > end) {
      Now = end;
      return false;
    }
    ScheduledEvent next = EventQueue.top();
    EventQueue.pop();
    Now = next.At;
    next.Run();
  }
  return true;
}

bool CoreNetwork::runUntilReady(Milliseconds Limit) {
  return runUntil(
      [this] {
        return std::all_of(Nodes.begin(), Nodes.end(), [](const auto &It) {
          return It.second->Ready || !It.second->Alive;
        });
      },
      Limit);
}

// Instances.

CoreNetwork::Node &CoreNetwork::node(const std::string &Instance) const {
  return *Nodes.at(Instance);
}

void CoreNetwork::start(Node &Of) {
  Of.Options.Incarnation = ++Counter;
  Of.Core = std::make_unique<DecisionCore>(Of.Options);
  Of.Alive = true;
  Of.Stopped = Of.Ready = false;
  Of.Watch = true;
  Of.AfterVersion = Of.ReadSequence = 0;
  Of.ConfigVersion = Of.ListSequence = 0;
  Of.PausedSince = TimePoint::max();
  Of.Inbox.clear();
  Of.Polled.clear();
  fireTimer(Of.Name, Of.Options.Incarnation);
  pollServers(Of.Name, Of.Options.Incarnation);
}

void CoreNetwork::fireTimer(const std::string &Instance, uint64_t Incarnation) {
  Node &of = node(Instance);
  if (!of.Alive || of.Options.Incarnation != Incarnation)
    return;
  if (!of.paused()) {
    readPlatform(of);
    deliver(of, TimerFired{});
  }
  after(TickPeriod,
        [this, Instance, Incarnation] { fireTimer(Instance, Incarnation); });
}

void CoreNetwork::pollServers(const std::string &Instance,
                              uint64_t Incarnation) {
  Node &of = node(Instance);
  if (!of.Alive || of.Options.Incarnation != Incarnation)
    return;
  for (const std::string &it :
       of.paused() ? std::vector<std::string>() : of.Polled) {
    const Server &server = *Servers.at(it);
    LoadReported report;
    report.Server = it;
    report.Reachable = server.Alive;
    report.Epoch = server.Epoch;
    report.Running = static_cast<uint32_t>(server.Running.size());
    report.Slots = server.Slots;
    for (const auto &run : server.Running)
      report.RequestIds.push_back(run.first);
    for (const auto &result : server.Results)
      report.RequestIds.push_back(result.first);
    deliverLater(Instance, Incarnation, report);
  }
  after(Options.LoadPeriod,
        [this, Instance, Incarnation] { pollServers(Instance, Incarnation); });
}

void CoreNetwork::deliver(Node &To, EventBody Body) {
  if (!To.Alive)
    return;
  if (To.paused())
    To.Inbox.push_back(std::move(Body));
  else
    handle(To, std::move(Body));
}

void CoreNetwork::deliverLater(const std::string &Instance,
                               uint64_t Incarnation, EventBody Body) {
  after(Options.Latency, [=, this] {
    Node &to = node(Instance);
    if (to.Options.Incarnation == Incarnation)
      deliver(to, Body);
  });
}

WallTime CoreNetwork::wall() const {
  // It advances with the monotonic clock from an arbitrary start.
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      Now.time_since_epoch() + std::chrono::hours(480000)));
}

void CoreNetwork::handle(Node &To, EventBody Body) {
  if (auto *finished = std::get_if<StageFinished>(&Body))
    Unreported.erase({To.Name, finished->Id});
  if (auto *closed = std::get_if<RequestClosed>(&Body))
    Unreported.erase({To.Name, closed->Id});
  ActionList actions;
  To.Core->handle(Event{Now, wall(), std::move(Body)}, actions);
  for (const Action &it : actions)
    execute(To, it);
}

void CoreNetwork::execute(Node &Of, const Action &Item) {
  uint64_t incarnation = Of.Options.Incarnation;
  if (auto *prefill = std::get_if<StartPrefill>(&Item))
    begin({Of.Name, incarnation, prefill->Id, prefill->Attempt, Stage::Prefill,
           prefill->Server, "", prefill->Timeout},
          prefill->NotAfter);
  else if (auto *decode = std::get_if<StartDecode>(&Item))
    begin({Of.Name, incarnation, decode->Id, decode->Attempt, Stage::Decode,
           decode->Server, decode->PrefillServer, decode->Timeout},
          decode->NotAfter);
  else if (auto *service = std::get_if<StartService>(&Item))
    begin({Of.Name, incarnation, service->Id, service->Attempt, Stage::Service,
           service->Server, "", service->Timeout},
          service->NotAfter);
  else if (auto *forwarded = std::get_if<ForwardToHome>(&Item))
    forward(Of, *forwarded);
  else if (auto *error = std::get_if<AnswerError>(&Item))
    respond(Of.Name, error->Id,
            {false, false, error->Kind, error->Run, error->RetryAfter, Now});
  else if (auto *stored = std::get_if<AnswerStored>(&Item))
    respond(Of.Name, stored->Id,
            {false, true, ErrorKind::Internal, ExecutionState::Yes, {}, Now});
  else if (auto *cancelled = std::get_if<CancelAtServer>(&Item))
    after(Options.Latency, [this, it = *cancelled] { cancelAt(it); });
  else if (auto *message = std::get_if<SendToPeer>(&Item))
    send(Of.Name, *message);
  else if (auto *reading = std::get_if<SetPlatformReading>(&Item))
    std::tie(Of.Watch, Of.AfterVersion) =
        std::pair(reading->Watch, reading->AfterVersion);
  else if (auto *config = std::get_if<UseConfig>(&Item))
    Of.ConfigVersion = config->Document->Version;
  else if (auto *list = std::get_if<UseList>(&Item))
    Of.ListSequence = list->List->Sequence;
  else if (auto *polled = std::get_if<SetPolledServers>(&Item))
    Of.Polled = polled->Servers;
  else if (auto *ready = std::get_if<SetReadiness>(&Item))
    Of.Ready = ready->Ready;
  else if (auto *decision = std::get_if<DecisionRecord>(&Item))
    Decisions.emplace_back(Of.Name, *decision);
  else if (std::holds_alternative<ShutdownComplete>(Item)) {
    Of.Stopped = true;
    // Its last frames are sent before the process exits.
    after(Options.Latency, [this, name = Of.Name] { kill(name); });
  }
}

// Platform.

void CoreNetwork::publishConfig(const std::string &Text) {
  ConfigPtr document = parsedConfig(Text);
  Configs[document->Version] = document;
}

void CoreNetwork::publishList(const std::string &Text) {
  List = parsedList(Text);
}

void CoreNetwork::cutPlatform(const std::string &Instance, bool Cut) {
  node(Instance).PlatformCut = Cut;
}

void CoreNetwork::freezePlatform(const std::string &Instance, bool Frozen) {
  Node &of = node(Instance);
  of.FrozenList = Frozen ? List : nullptr;
  of.FrozenVersion = std::prev(Configs.end())->first;
}

void CoreNetwork::readPlatform(Node &Of) {
  if (!Of.Watch || Of.PlatformCut)
    return;
  const InstanceListPtr &list = Of.FrozenList ? Of.FrozenList : List;
  if (list->Sequence > Of.ReadSequence) {
    Of.ReadSequence = list->Sequence;
    deliver(Of, ListPublished{list});
  }
  auto end =
      Of.FrozenList ? Configs.upper_bound(Of.FrozenVersion) : Configs.end();
  auto next = Of.AfterVersion == 0 ? std::prev(end)
                                   : Configs.upper_bound(Of.AfterVersion);
  if (next == Configs.end() ||
      (end != Configs.end() && next->first >= end->first))
    return;
  Of.AfterVersion = next->first;
  deliver(Of, ConfigPublished{next->second});
}

// Links.

void CoreNetwork::send(const std::string &From, const SendToPeer &Item) {
  Link &link = Links[pairOf(From, Item.Instance)];
  if (link.Epoch == 0)
    return;
  if (link.Cut) {
    link.HeldBack.emplace_back(From, Item);
    return;
  }
  uint64_t incarnation = node(From).Options.Incarnation;
  after(Options.Latency, [=, this, epoch = link.Epoch] {
    if (Links[pairOf(From, Item.Instance)].Epoch == epoch)
      deliver(node(Item.Instance),
              PeerReceived{From, incarnation, Item.Message});
  });
}

// Closes links that have been silent for too long and opens those that can be.
void CoreNetwork::watchLinks() {
  for (auto a = Nodes.begin(); a != Nodes.end(); ++a)
    for (auto b = std::next(a); b != Nodes.end(); ++b) {
      Pair names(a->first, b->first);
      Link &link = Links[names];
      bool possible = a->second->Alive && b->second->Alive;
      bool silent = link.Cut || a->second->paused() || b->second->paused();
      if (!silent)
        link.SilentSince = TimePoint::max();
      else if (link.SilentSince == TimePoint::max())
        link.SilentSince = Now;
      if (link.Epoch != 0 && (!possible || (silent && Now - link.SilentSince >=
                                                          Options.LinkTimeout)))
        setLink(names, false);
      else if (link.Epoch == 0 && possible && !silent)
        setLink(names, true);
    }
  after(TickPeriod, [this] { watchLinks(); });
}

void CoreNetwork::setLink(const Pair &Names, bool Up) {
  Link &link = Links[Names];
  link.Epoch = Up ? ++Counter : 0;
  link.HeldBack.clear();
  auto notify = [&](const std::string &To, const std::string &Of) {
    deliver(node(To), PeerLinkChanged{Of, node(Of).Options.Incarnation, Up});
  };
  notify(Names.first, Names.second);
  notify(Names.second, Names.first);
  for (auto it = Homes.begin(); !Up && it != Homes.end();) {
    const CallerRequest &caller = CallerRequests.at(it->first);
    bool lost = pairOf(caller.Entry, it->second) == Names;
    if (lost)
      report({caller.Entry,
              node(caller.Entry).Options.Incarnation,
              caller.Id,
              0,
              Stage::Service,
              "",
              "",
              {}},
             StageOutcome::Failed);
    it = lost ? Homes.erase(it) : std::next(it);
  }
}

void CoreNetwork::cut(const std::string &A, const std::string &B) {
  Links[pairOf(A, B)].Cut = true;
}

void CoreNetwork::heal(const std::string &A, const std::string &B) {
  Link &link = Links[pairOf(A, B)];
  link.Cut = false;
  for (const auto &it : std::exchange(link.HeldBack, {}))
    send(it.first, it.second);
}

void CoreNetwork::kill(const std::string &Instance) {
  Node &of = node(Instance);
  of.Alive = of.Ready = false;
  for (auto &it : CallerRequests)
    if (it.second.Entry == Instance && it.second.Responses.empty())
      it.second.EntryDied = true;
  for (auto &it : Links)
    if (it.second.Epoch != 0 &&
        (it.first.first == Instance || it.first.second == Instance))
      setLink(it.first, false);
}

void CoreNetwork::restart(const std::string &Instance) {
  kill(Instance);
  start(node(Instance));
}

void CoreNetwork::pause(const std::string &Instance, Milliseconds Duration) {
  Node &of = node(Instance);
  of.PausedSince = Now;
  after(Duration, [this, Instance, incarnation = of.Options.Incarnation] {
    Node &of = node(Instance);
    if (of.Options.Incarnation != incarnation)
      return;
    of.PausedSince = TimePoint::max();
    // The timer's thread and the others wake in any order.
    bool timerFirst = Random() % 2 == 0;
    if (timerFirst)
      deliver(of, TimerFired{});
    for (EventBody &it : std::exchange(of.Inbox, {}))
      deliver(of, std::move(it));
  });
}

void CoreNetwork::shutdown(const std::string &Instance, Milliseconds Limit) {
  deliver(node(Instance), ShutdownRequested{Limit});
}

bool CoreNetwork::stopped(const std::string &Instance) const {
  return node(Instance).Stopped;
}

// Callers.

RequestId CoreNetwork::submit(const std::string &Instance, RequestSpec Spec) {
  Node &of = node(Instance);
  RequestId id{of.Options.Incarnation, ++LastSequence};
  CallerRequest caller;
  caller.Id = id;
  caller.Spec = Spec;
  caller.Entry = Instance;
  caller.SentAt = Now;
  caller.EntryDied = !of.Alive;
  CallerRequests[id] = std::move(caller);
  deliver(of, RequestArrived{id, std::move(Spec), ""});
  return id;
}

void CoreNetwork::cancel(const RequestId &Id) {
  CallerRequest &caller = CallerRequests.at(Id);
  if (!caller.Responses.empty() || caller.CancelledAt)
    return;
  caller.CancelledAt = Now;
  deliver(node(caller.Entry), RequestCancelled{Id});
  deliver(node(caller.Entry), RequestClosed{Id, false});
  auto home = Homes.find(Id);
  if (home == Homes.end())
    return;
  // The relay at the entry notifies the relay at the home.
  uint64_t incarnation = node(home->second).Options.Incarnation;
  deliverLater(home->second, incarnation, RequestCancelled{Id});
  deliverLater(home->second, incarnation, RequestClosed{Id, false});
}

std::string CoreNetwork::makeTicket(const std::string &Instance) {
  return node(Instance).Core->makeTicket(++Counter);
}

const CallerRequest &CoreNetwork::request(const RequestId &Id) const {
  return CallerRequests.at(Id);
}

void CoreNetwork::forward(Node &Of, const ForwardToHome &Item) {
  Call call{
      Of.Name,     Of.Options.Incarnation, Item.Id, 0, Stage::Service, "", "",
      Item.Timeout};
  if (Links[pairOf(Of.Name, Item.Home)].Epoch == 0) {
    report(call, StageOutcome::NotSent);
    return;
  }
  Homes[Item.Id] = Item.Home;
  deliverLater(
      Item.Home, node(Item.Home).Options.Incarnation,
      RequestArrived{Item.Id, CallerRequests.at(Item.Id).Spec, Of.Name});
}

// Called when a relay ends a response, and for the core's final responses.
void CoreNetwork::respond(const std::string &Instance, const RequestId &Id,
                          CallerResponse Response) {
  if (!Response.Complete && Unreported.count({Instance, Id}))
    return;
  CallerRequest &caller = CallerRequests.at(Id);
  Response.At = Now;
  deliverLater(Instance, node(Instance).Options.Incarnation,
               RequestClosed{Id, true});
  if (caller.Entry != Instance) {
    if (Homes.erase(Id) == 0)
      return; // the link to the entry broke
    if (Unreported.count({caller.Entry, Id}))
      return;
    Unreported.insert({caller.Entry, Id});
    deliverLater(caller.Entry, node(caller.Entry).Options.Incarnation,
                 RequestClosed{Id, true});
  }
  if (!caller.CancelledAt && !caller.EntryDied)
    caller.Responses.push_back(Response);
}

} // namespace crocusspur::test
