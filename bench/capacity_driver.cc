#include "capacity_driver.h"

#include <algorithm>
#include <utility>

namespace crocusspur::bench {
namespace {

constexpr double OneWayDelaySeconds = 0.0005; // between failure domains
constexpr double TickSeconds = 0.05;
constexpr double HeartbeatSeconds = 0.5;
constexpr double PollSeconds = 0.25;
constexpr double TokenSeconds = 0.029;
constexpr double PrefillTokensPerSecond = 100000;
constexpr uint32_t BlockTokens = 256;
constexpr uint32_t MaxBlocks = 16;
constexpr uint64_t PeerIncarnation = 1000; // plus the index of the peer

uint64_t incarnationOf(int Index) {
  return PeerIncarnation + static_cast<uint64_t>(Index);
}

} // namespace

CapacityDriver::CapacityDriver(DriverOptions Opts)
    : Options(Opts), Random(Opts.Seed) {
  CoreSettings.Instance = instanceName(Options.Self);
  CoreSettings.Region = Options.Self % 5 < 3 ? "ie-west" : "kr-central";
  CoreSettings.FailureDomain = "fd-" + std::to_string(Options.Self % 5);
  CoreSettings.Incarnation = incarnationOf(Options.Self);
  CoreSettings.TicketKey = 1;
  Config = parseConfig(configText(Options.Size, 1));
  List = parseList(listText(Options.Size, 1));
  for (const ModelConfig &model : Config->Models)
    for (const ShardConfig &it : model.Shards)
      Shards[it.Name] = &it;
  for (int i = 0; i < Options.Size.Instances; ++i)
    if (i != Options.Self) {
      PeerNames.push_back(instanceName(i));
      Peers[PeerNames.back()].Number = 1000;
    }
  Core = std::make_unique<DecisionCore>(CoreSettings);
  start();
}

CapacityDriver::~CapacityDriver() = default;

void CapacityDriver::schedule(double Seconds, std::function<void()> Run) {
  auto delay = std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(Seconds));
  Tasks.push({Now + delay, ++TasksScheduled, std::move(Run)});
}

void CapacityDriver::schedulePeriodic(double Seconds, double First,
                                      std::function<void()> Run) {
  schedule(First, [this, Seconds, Run] {
    Run();
    schedulePeriodic(Seconds, Seconds, Run);
  });
}

double CapacityDriver::arrivalGap(double Rate) {
  return std::exponential_distribution<>(Rate)(Random);
}

void CapacityDriver::start() {
  handleEvent("ConfigPublished", ConfigPublished{Config});
  handleEvent("ListPublished", ListPublished{List});
  schedulePeriodic(TickSeconds, TickSeconds,
                   [this] { handleEvent("TimerFired", TimerFired{}); });
  schedulePeriodic(PollSeconds, PollSeconds, [this] { reportLoads(); });
  for (size_t i = 0; i < PeerNames.size(); ++i) {
    const std::string &peer = PeerNames[i];
    int index = static_cast<int>(i) + (static_cast<int>(i) >= Options.Self);
    handleEvent("PeerLinkChanged",
                PeerLinkChanged{peer, incarnationOf(index), true});
    double phase = HeartbeatSeconds * static_cast<double>(i) /
                   static_cast<double>(PeerNames.size());
    schedulePeriodic(HeartbeatSeconds, 0.001 + phase,
                     [this, peer] { sendHeartbeat(peer); });
  }
  if (Options.EntryRate > 0)
    schedule(2, [this] { generateRequest(); });
  if (Options.ShardRate > 0)
    schedule(2.5, [this] {
      for (const auto &[name, shard] : Shards)
        if (std::binary_search(PolledServers.begin(), PolledServers.end(),
                               shard->Servers.front()))
          generatePeerRequest(name);
    });
}

void CapacityDriver::runFor(Milliseconds Duration) {
  TimePoint end = Now + Duration;
  while (!Tasks.empty() && Tasks.top().At <= end) {
    Task next = Tasks.top();
    Tasks.pop();
    Now = std::max(Now, next.At);
    next.Run();
  }
  Now = end;
}

void CapacityDriver::handleEvent(const std::string &Kind, EventBody Body) {
  Event event{Now, WallTime(Now.time_since_epoch()), std::move(Body)};
  ActionList actions;
  double from = processorSeconds();
  Core->handle(event, actions);
  CostMeter.addEvent(Kind, processorSeconds() - from);
  for (Action &it : actions)
    performAction(it);
}

// The peer's heartbeat confirms the same list and renews the leases of the
// peer's requests.
void CapacityDriver::sendHeartbeat(const std::string &Peer) {
  PeerState &state = Peers.at(Peer);
  Heartbeat message;
  message.ConfigVersion = Config->Version;
  message.ConfigDigest = Config->Digest;
  message.ListSequence = List->Sequence;
  if (Options.PeersConfirm)
    message.ListDigest = List->Digest;
  message.ListChanges = List->Sequence;
  message.Number = ++state.Number;
  message.Echo = state.Echo;
  message.ReadsPlatform = Peer < instanceName(10);
  for (const auto &[shard, summary] : state.Leases)
    if (summary.Count > 0)
      message.Leases.push_back(summary);
  receiveFromPeer(Peer, std::move(message));
}

void CapacityDriver::receiveFromPeer(const std::string &Peer,
                                     PeerMessage Message) {
  int index = std::stoi(Peer.substr(5));
  std::string kind = messageKind(Message);
  handleEvent(kind,
              PeerReceived{Peer, incarnationOf(index), std::move(Message)});
}

void CapacityDriver::reportLoads() {
  for (const std::string &it : PolledServers) {
    LoadReported report;
    report.Server = it;
    report.Epoch = 7;
    report.RequestIds = Running[it];
    report.Running = static_cast<uint32_t>(report.RequestIds.size());
    report.Slots = 128;
    report.Age = Milliseconds{100};
    handleEvent("LoadReported", std::move(report));
  }
}

uint32_t CapacityDriver::promptTokens() {
  // The median is 400 and the mean about 1,700 tokens, ranging from tens to
  // tens of thousands.
  double tokens = std::lognormal_distribution<>(6.0, 1.7)(Random);
  return static_cast<uint32_t>(std::clamp(tokens, 10.0, 40000.0));
}

uint32_t CapacityDriver::outputTokens() {
  // 1.7 million tokens per second over 6,300 requests per second.
  double tokens = std::exponential_distribution<>(1 / 270.0)(Random);
  return static_cast<uint32_t>(std::clamp(tokens, 1.0, 1024.0));
}

RequestSpec CapacityDriver::makeSpec() {
  RequestSpec spec;
  spec.Group = groupName(
      static_cast<int>(Random() % static_cast<uint64_t>(Options.Size.Groups)));
  spec.Target = modelName(static_cast<int>(
      Random() % static_cast<uint64_t>(Options.Size.models())));
  spec.PromptTokens = promptTokens();
  spec.MaxOutputTokens = 1024;
  spec.PrefixHashes.resize(
      std::min(spec.PromptTokens / BlockTokens, MaxBlocks));
  for (uint64_t &it : spec.PrefixHashes)
    it = Random();
  spec.Fingerprint = Random();
  return spec;
}

void CapacityDriver::generateRequest() {
  schedule(arrivalGap(Options.EntryRate), [this] { generateRequest(); });
  RequestId id{CoreSettings.Incarnation, ++Sequence};
  OpenRequests[id].Tokens = outputTokens();
  handleEvent("RequestArrived", RequestArrived{id, makeSpec(), ""});
}

// A peer requests a reservation at this instance's shard for one of its
// callers.
void CapacityDriver::generatePeerRequest(const std::string &Shard) {
  schedule(arrivalGap(Options.ShardRate),
           [this, Shard] { generatePeerRequest(Shard); });
  size_t peer = Random() % PeerNames.size();
  RequestSpec spec = makeSpec();
  AcquireRequest message;
  message.Id = {incarnationOf(std::stoi(PeerNames[peer].substr(5))),
                ++Sequence};
  message.Shard = Shard;
  message.Group = spec.Group;
  message.Class = Config->findGroup(spec.Group)->Class;
  message.PromptTokens = spec.PromptTokens;
  message.MaxOutputTokens = spec.MaxOutputTokens;
  message.PrefixHashes = spec.PrefixHashes;
  message.TimeLeft = Microseconds{510000};
  message.Fingerprint = spec.Fingerprint;
  OwnedRequests[message.Id] = {PeerNames[peer], Shard, outputTokens()};
  updateLease(message.Id, true);
  receiveFromPeer(PeerNames[peer], std::move(message));
}

// Updates the lease summary that the peer sends in its heartbeats.
void CapacityDriver::updateLease(const RequestId &Id, bool Begins) {
  const Request &request = OwnedRequests.at(Id);
  LeaseSummary &summary = Peers.at(request.Entry).Leases[request.Shard];
  summary.Shard = request.Shard;
  summary.Count += Begins ? 1 : -1;
  summary.Digest ^= std::hash<RequestId>()(Id);
  if (!Begins)
    OwnedRequests.erase(Id);
}

void CapacityDriver::performAction(Action &Item) {
  if (auto *send = std::get_if<SendToPeer>(&Item))
    perform(*send);
  else if (auto *prefill = std::get_if<StartPrefill>(&Item))
    perform(*prefill);
  else if (auto *decode = std::get_if<StartDecode>(&Item))
    perform(*decode);
  else if (auto *polled = std::get_if<SetPolledServers>(&Item))
    PolledServers = polled->Servers;
  else if (auto *config = std::get_if<UseConfig>(&Item))
    ActiveConfigVersion = config->Document->Version;
  else if (auto *error = std::get_if<AnswerError>(&Item)) {
    ++Failed;
    schedule(0, [this, id = error->Id] { closeRequest(id, false); });
  }
}

void CapacityDriver::perform(const StartPrefill &Item) {
  double tokens = promptTokens();
  schedule(OneWayDelaySeconds + tokens / PrefillTokensPerSecond, [this, Item] {
    finishStage(Item.Id, Item.Attempt, Stage::Prefill, Item.Server, 0);
  });
}

void CapacityDriver::perform(const StartDecode &Item) {
  auto open = OpenRequests.find(Item.Id);
  if (open == OpenRequests.end())
    return;
  uint32_t tokens = open->second.Tokens;
  Running[Item.Server].push_back(Item.Id);
  schedule(0.05, [this, Item] {
    handleEvent("StageProgress", StageProgress{Item.Id, Item.Attempt, 1});
  });
  schedule(0.05 + TokenSeconds * tokens, [this, Item, tokens] {
    std::erase(Running[Item.Server], Item.Id);
    finishStage(Item.Id, Item.Attempt, Stage::Decode, Item.Server, tokens);
    closeRequest(Item.Id, true);
  });
}

void CapacityDriver::finishStage(const RequestId &Id, uint32_t Attempt,
                                 Stage At, const std::string &Server,
                                 uint32_t Tokens) {
  StageFinished body;
  body.Id = Id;
  body.Attempt = Attempt;
  body.FinishedStage = At;
  body.Server = Server;
  body.KvBytes = At == Stage::Prefill ? 200000000 : 0;
  body.OutputTokens = Tokens;
  handleEvent("StageFinished", std::move(body));
}

void CapacityDriver::closeRequest(const RequestId &Id, bool Delivered) {
  if (OpenRequests.erase(Id) == 0)
    return;
  Completed += Delivered;
  handleEvent("RequestClosed", RequestClosed{Id, Delivered});
}

void CapacityDriver::perform(SendToPeer &Item) {
  CostMeter.addSent(Item.Message);
  auto peer = Peers.find(Item.Instance);
  if (peer == Peers.end())
    return;
  if (auto *heartbeat = std::get_if<Heartbeat>(&Item.Message)) {
    peer->second.Echo = heartbeat->Number;
    return;
  }
  if (std::holds_alternative<ConfigRequest>(Item.Message)) {
    ++DocumentRequests;
    schedule(std::chrono::duration<double>(OfferDelay).count(),
             [this, to = Item.Instance] {
               receiveFromPeer(to, ConfigOffer{Config->Text});
             });
    return;
  }
  if (std::holds_alternative<ListRequest>(Item.Message)) {
    ++DocumentRequests;
    schedule(std::chrono::duration<double>(OfferDelay).count(),
             [this, to = Item.Instance] {
               receiveFromPeer(to, ListOffer{List->Text});
             });
    return;
  }
  schedule(2 * OneWayDelaySeconds,
           [this, to = Item.Instance, message = std::move(Item.Message)] {
             answerAsOwner(to, message);
             answerAsEntry(to, message);
           });
}

// The peer owns the shard and grants the reservation immediately.
void CapacityDriver::answerAsOwner(const std::string &Peer,
                                   const PeerMessage &Message) {
  if (auto *request = std::get_if<AcquireRequest>(&Message)) {
    const ShardConfig &shard = *Shards.at(request->Shard);
    receiveFromPeer(Peer,
                    PrefillGrant{request->Id, request->Shard, request->Attempt,
                                 shard.Servers[0], "", 1700000000000, 0});
  } else if (auto *done = std::get_if<PrefillDone>(&Message)) {
    const ShardConfig &shard = *Shards.at(done->Shard);
    receiveFromPeer(Peer, DecodeGrant{done->Id, done->Shard, done->Attempt,
                                      shard.Servers[1 + Random() % 3],
                                      1700000000000});
  }
}

// The peer is the entry instance of a request at a shard of this instance.
void CapacityDriver::answerAsEntry(const std::string &Peer,
                                   const PeerMessage &Message) {
  if (auto *prefill = std::get_if<PrefillGrant>(&Message)) {
    double seconds = promptTokens() / PrefillTokensPerSecond;
    schedule(seconds, [this, Peer, grant = *prefill] {
      if (OwnedRequests.count(grant.Id))
        receiveFromPeer(
            Peer, PrefillDone{grant.Id, grant.Shard, grant.Attempt, 200000000});
    });
  } else if (auto *decode = std::get_if<DecodeGrant>(&Message)) {
    auto held = OwnedRequests.find(decode->Id);
    if (held == OwnedRequests.end())
      return;
    uint32_t tokens = held->second.Tokens;
    Running[decode->DecodeServer].push_back(decode->Id);
    schedule(0.05 + TokenSeconds * tokens, [this, Peer, tokens,
                                            grant = *decode] {
      std::erase(Running[grant.DecodeServer], grant.Id);
      if (!OwnedRequests.count(grant.Id))
        return;
      updateLease(grant.Id, false);
      ++Completed;
      receiveFromPeer(Peer, Finished{grant.Id, grant.Shard, grant.Attempt,
                                     FinishReason::Completed, tokens, true});
    });
  } else if (auto *refusal = std::get_if<Refusal>(&Message)) {
    ++Failed;
    if (OwnedRequests.count(refusal->Id))
      updateLease(refusal->Id, false);
  }
}

void CapacityDriver::announceConfig(const ConfigPtr &Document,
                                    Milliseconds Delay) {
  Config = Document;
  OfferDelay = Delay;
  Shards.clear();
  for (const ModelConfig &model : Config->Models)
    for (const ShardConfig &it : model.Shards)
      Shards[it.Name] = &it;
}

void CapacityDriver::announceList(const InstanceListPtr &NewList,
                                  Milliseconds Delay) {
  List = NewList;
  OfferDelay = Delay;
}

uint64_t CapacityDriver::dropCore() {
  // The core shares the documents with the driver, so they are freed only when
  // the driver's references are dropped too.
  uint64_t before = heapBytes();
  Core.reset();
  uint64_t held = before - heapBytes();
  before = heapBytes();
  Shards.clear();
  Config.reset();
  List.reset();
  return held + before - heapBytes();
}

} // namespace crocusspur::bench
