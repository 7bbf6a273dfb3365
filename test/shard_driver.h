// Runs one ShardOwner in virtual time with fake engines, message latency,
// delayed load reports and evicted prefill results.
#ifndef CROCUSSPUR_SHARD_DRIVER_H
#define CROCUSSPUR_SHARD_DRIVER_H

#include "shard_owner.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::internal {

struct FakeRequest {
  AcquireRequest Acquire;
  uint32_t Output = 1; // tokens that the engine will generate
  double Arrived = 0;
  double FirstOutput = -1;
  double Ended = -1;
  double Granted = -1; // first prefill grant
  double DecodeFrom = -1;
  bool Completed = false;
  std::vector<Refusal> Refusals;
  std::string PrefillServer;
  bool EntryStopped = false; // the entry instance has crashed
};

struct FakeServer {
  std::set<RequestId> Running;
  std::map<RequestId, double> Results; // time of eviction
  std::deque<std::pair<double, uint32_t>> History;
  double LinkFree = 0;
  uint32_t Epoch = 1;
  bool Failed = false;
};

class ShardDriver {
public:
  ConfigDocument Config;
  InstanceList List;
  CoreOptions Options;
  ShardOwner Owner{"s0"};
  std::map<RequestId, FakeRequest> Requests;
  std::map<std::string, FakeServer> Engines;
  std::map<std::string, std::vector<LeaseEntry>>
      RequestedLeaseLists; // by asked instance
  std::vector<CancelAtServer> Cancels;
  std::map<DecisionKind, uint32_t> Decisions;
  std::vector<std::pair<double, SendToPeer>> Sent;
  bool KeepSent = false;
  double Now = 0;
  double Latency = 0.001;
  double EvictionSeconds = 0.8;
  double ReportAge = 0.5;

  ShardDriver(uint32_t Prefills, uint32_t Decodes, uint32_t Slots = 4) {
    Options.Instance = "e1";
    Config.Version = 1;
    List.Sequence = 1;
    for (const char *it : {"e1", "e2", "e3"})
      List.Instances.push_back({it, MemberState::Live, "r", "d", ""});
    ModelConfig model;
    model.Name = "m";
    model.KvBytesPerToken = 20000;
    model.Shards.push_back({"s0", {}});
    Config.Models.push_back(model);
    for (uint32_t i = 0; i < Prefills; ++i)
      addServer("p" + std::to_string(i), ServerRole::Prefill, Slots);
    for (uint32_t i = 0; i < Decodes; ++i)
      addServer("d" + std::to_string(i), ServerRole::Decode, Slots);
  }

  void addServer(const std::string &Name, ServerRole Role, uint32_t Slots) {
    ServerConfig server;
    server.Name = Name;
    server.Role = Role;
    server.Slots = Slots;
    server.PrefillTokensPerSecond = Role == ServerRole::Prefill ? 10000 : 1000;
    Config.Servers.push_back(server);
    Config.Models[0].Shards[0].Servers.push_back(Name);
    List.Servers.push_back({Name, MemberState::Live});
    Engines[Name];
  }
  void addGroup(const std::string &Name, double Share, RequestClass Class,
                bool MayWait = false, uint32_t MaxQueued = 1000) {
    GroupConfig group;
    group.Name = Name;
    group.Share = Share;
    group.Class = Class;
    group.MayWait = MayWait;
    group.MaxQueued = MaxQueued;
    Config.Groups.push_back(group);
  }
  void setState(const std::string &Server, MemberState State) {
    for (ServerEntry &it : List.Servers)
      if (it.Name == Server)
        it.State = State;
    ++List.Sequence;
  }

  void at(double When, std::function<void()> Body) {
    Events.push({When, Order++, std::move(Body)});
  }
  void runUntil(double End) {
    while (!Events.empty() && Events.top().When <= End) {
      Event next = Events.top();
      Events.pop();
      Now = next.When;
      next.Body();
    }
    Now = End;
  }
  // Calls the owner and executes its actions.
  void call(const std::function<void(CoreContext &)> &Body) {
    ActionList out;
    CoreContext context{time(),  WallTime{} + std::chrono::hours(500000),
                        Options, Config,
                        List,    out};
    Body(context);
    for (Action &it : out)
      execute(it);
  }
  TimePoint time(double Offset = 0) const {
    return TimePoint{} + std::chrono::hours(1) +
           std::chrono::microseconds(
               static_cast<int64_t>((Now + Offset) * 1e6));
  }

  void begin(bool TakeOver = false) {
    call(
        [&](CoreContext &Context) { Owner.startOwnership(Context, TakeOver); });
    at(Now + 0.05, [this] { tick(); });
    at(Now + 0.25, [this] { reportLoads(); });
    at(Now + 0.5, [this] { heartbeat(); });
  }

  RequestId submit(const std::string &Group, uint32_t Prompt, uint32_t Max,
                   uint32_t Output, double TimeLeft, bool MayWait = false,
                   bool Alone = false) {
    AcquireRequest message;
    message.Id = {7, ++LastSequence};
    message.Shard = "s0";
    message.Group = Group;
    for (const GroupConfig &it : Config.Groups)
      if (it.Name == Group)
        message.Class = it.Class;
    message.PromptTokens = Prompt;
    message.MaxOutputTokens = Max;
    message.TimeLeft = Microseconds(static_cast<int64_t>(TimeLeft * 1e6));
    message.MayWait = MayWait;
    message.RunAlone = Alone;
    FakeRequest &request = Requests[message.Id];
    request.Acquire = message;
    request.Output = Output;
    request.Arrived = Now;
    acquire(request);
    return message.Id;
  }
  void acquire(FakeRequest &Request) {
    call([&](CoreContext &Context) {
      Owner.onAcquire(Context, "e2", Request.Acquire);
    });
  }
  void report(const std::string &Name) {
    FakeServer &server = Engines[Name];
    LoadReported report;
    report.Server = Name;
    report.Reachable = !server.Failed;
    report.Epoch = server.Epoch;
    report.Age = Milliseconds(static_cast<int64_t>(ReportAge * 1000));
    for (const auto &[when, count] : server.History)
      if (when <= Now - ReportAge)
        report.Running = count;
    report.RequestIds = {server.Running.begin(), server.Running.end()};
    for (const auto &[id, evict] : server.Results)
      report.RequestIds.push_back(id);
    call([&](CoreContext &Context) { Owner.onLoad(Context, report); });
  }
  double count(DecisionKind Kind) const {
    auto it = Decisions.find(Kind);
    return it == Decisions.end() ? 0 : it->second;
  }

private:
  struct Event {
    double When;
    uint64_t Seq;
    std::function<void()> Body;
    bool operator<(const Event &Other) const {
      return std::tie(When, Seq) > std::tie(Other.When, Other.Seq);
    }
  };

  void tick() {
    call([&](CoreContext &Context) { Owner.onTimer(Context); });
    at(Now + 0.05, [this] { tick(); });
  }
  void reportLoads() {
    for (const auto &[name, server] : Engines)
      report(name);
    at(Now + 0.25, [this] { reportLoads(); });
  }
  void heartbeat() {
    LeaseSummary summary;
    summary.Shard = "s0";
    bool alive = false;
    for (const auto &[id, it] : Requests) {
      alive |= !it.EntryStopped;
      if (it.Ended >= 0 || it.EntryStopped)
        continue;
      ++summary.Count;
      summary.Digest ^= std::hash<RequestId>()(id);
    }
    if (alive)
      call([&](CoreContext &Context) {
        Owner.onHeartbeat(Context, "e2", summary);
      });
    at(Now + 0.5, [this] { heartbeat(); });
  }
  const ServerConfig &configOf(const std::string &Name) const {
    return *std::find_if(
        Config.Servers.begin(), Config.Servers.end(),
        [&](const ServerConfig &It) { return It.Name == Name; });
  }
  void record(const std::string &Name) {
    FakeServer &server = Engines[Name];
    server.History.emplace_back(Now, server.Running.size());
    while (server.History.size() > 2 &&
           server.History[1].first < Now - 2 * ReportAge)
      server.History.pop_front();
  }
  template <typename T, typename F> void toOwner(const T &Message, F Handler) {
    at(Now + Latency, [this, Message, Handler] {
      if (!Requests[Message.Id].EntryStopped)
        call([&](CoreContext &Context) {
          (Owner.*Handler)(Context, "e2", Message);
        });
    });
  }

  void execute(Action &Next) {
    if (auto *it = std::get_if<DecisionRecord>(&Next)) {
      ++Decisions[it->Kind];
    } else if (auto *it = std::get_if<CancelAtServer>(&Next)) {
      Cancels.push_back(*it);
      FakeServer &server = Engines[it->Server];
      server.Running.erase(it->Id);
      server.Results.erase(it->Id);
      record(it->Server);
    } else if (auto *it = std::get_if<SendToPeer>(&Next)) {
      if (KeepSent)
        Sent.emplace_back(Now, *it);
      if (auto *grant = std::get_if<PrefillGrant>(&it->Message)) {
        FakeRequest &request = Requests[grant->Id];
        request.Granted = request.Granted < 0 ? Now : request.Granted;
        at(Now + Latency, [this, g = *grant] { onPrefillGrant(g); });
      } else if (auto *grant = std::get_if<DecodeGrant>(&it->Message))
        at(Now + Latency, [this, g = *grant] { onDecodeGrant(g); });
      else if (auto *refusal = std::get_if<Refusal>(&it->Message))
        onRefusal(*refusal);
      else if (std::holds_alternative<LeaseListRequest>(it->Message))
        RequestedLeaseLists[it->Instance];
    }
  }
  void onRefusal(const Refusal &Message) {
    FakeRequest &request = Requests[Message.Id];
    request.Refusals.push_back(Message);
    request.Ended = Now;
  }
  void onPrefillGrant(const PrefillGrant &Grant) {
    FakeRequest &request = Requests[Grant.Id];
    FakeServer &server = Engines[Grant.PrefillServer];
    if (request.EntryStopped)
      return;
    request.PrefillServer = Grant.PrefillServer;
    const ServerConfig &config = configOf(Grant.PrefillServer);
    if (server.Failed || server.Running.size() >= config.Slots) {
      toOwner(PrefillLost{Grant.Id, "s0", Grant.Attempt, Grant.PrefillServer,
                          !server.Failed},
              &ShardOwner::onPrefillLost);
      return;
    }
    server.Running.insert(Grant.Id);
    record(Grant.PrefillServer);
    double end =
        Now + request.Acquire.PromptTokens / config.PrefillTokensPerSecond;
    at(end, [this, Grant] {
      FakeServer &server = Engines[Grant.PrefillServer];
      if (!server.Running.erase(Grant.Id))
        return;
      record(Grant.PrefillServer);
      if (Grant.DecodeServer == Grant.PrefillServer) {
        decodeLocally(Grant);
        return;
      }
      server.Results[Grant.Id] = Now + EvictionSeconds;
      toOwner(PrefillDone{Grant.Id, "s0", Grant.Attempt,
                          Requests[Grant.Id].Acquire.PromptTokens * 20000ULL},
              &ShardOwner::onPrefillDone);
    });
  }
  // The prefill ran on the decode server, which continues with the output.
  void decodeLocally(const PrefillGrant &Grant) {
    FakeRequest &request = Requests[Grant.Id];
    double token = 0.025;
    Engines[Grant.DecodeServer].Running.insert(Grant.Id);
    record(Grant.DecodeServer);
    request.DecodeFrom = Now;
    request.FirstOutput = Now + token;
    at(Now + token, [this, Grant] {
      toOwner(PrefillDone{Grant.Id, "s0", Grant.Attempt, 0},
              &ShardOwner::onPrefillDone);
    });
    at(Now + token * request.Output, [this, Grant] {
      end({Grant.Id, "s0", Grant.Attempt, Grant.DecodeServer, Grant.Fence});
    });
  }
  void onDecodeGrant(const DecodeGrant &Grant) {
    FakeRequest &request = Requests[Grant.Id];
    FakeServer &server = Engines[Grant.DecodeServer];
    FakeServer &source = Engines[request.PrefillServer];
    if (request.EntryStopped)
      return;
    const ServerConfig &config = configOf(Grant.DecodeServer);
    auto result = source.Results.find(Grant.Id);
    bool alive = result != source.Results.end() && result->second > Now;
    bool full = server.Running.size() >= config.Slots;
    if (server.Failed || full || !alive) {
      toOwner(DecodeLost{Grant.Id, "s0", Grant.Attempt, Grant.DecodeServer,
                         alive, full && !server.Failed, 0},
              &ShardOwner::onDecodeLost);
      return;
    }
    source.Results.erase(Grant.Id);
    server.Running.insert(Grant.Id);
    record(Grant.DecodeServer);
    double transfer = 0;
    if (&source != &server) {
      double from = std::max({Now, source.LinkFree, server.LinkFree});
      source.LinkFree = server.LinkFree = from + request.Acquire.PromptTokens *
                                                     20000.0 /
                                                     config.LinkBytesPerSecond;
      transfer = server.LinkFree - Now;
    }
    double token = 0.025;
    request.DecodeFrom = Now;
    request.FirstOutput = Now + transfer + token;
    at(Now + transfer + token * request.Output, [this, Grant] { end(Grant); });
  }
  void end(const DecodeGrant &Grant) {
    if (!Engines[Grant.DecodeServer].Running.erase(Grant.Id))
      return;
    record(Grant.DecodeServer);
    FakeRequest &request = Requests[Grant.Id];
    request.Ended = Now;
    request.Completed = true;
    toOwner(Finished{Grant.Id, "s0", Grant.Attempt, FinishReason::Completed,
                     request.Output, true},
            &ShardOwner::onFinished);
  }

  std::priority_queue<Event> Events;
  uint64_t Order = 0;
  uint64_t LastSequence = 0;
};

} // namespace crocusspur::internal

#endif
