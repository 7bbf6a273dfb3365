// Plug-in: exchanges frames with other instances. Each exchange uses one
// connection with one frame each way, so that an unresponsive connection costs
// one round at most. Membership spreads in every round; routes and servers are
// sent only to instances that lack them. What is to spread at once has a thread
// of its own; see ChangeExchange. Permits for calls to servers with limits are
// exchanged by the threads of the requests, leases of accounts' tokens by these
// or in advance. Requests that another instance passes on are handled on the
// threads of their connections.
#include "checked_mutex.h"
#include "connection_server.h"
#include "crocusspur/instance_list.h"
#include "crocusspur/kernel.h"
#include "gateway/change_exchange.h"
#include "gateway/decisions/fleet/document_sources.h"
#include "gateway/decisions/fleet/member_deltas.h"
#include "gateway/forward_service.h"
#include "gateway/gateway_runtime.h"
#include "gateway/member_exchange.h"
#include "log.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <set>
#include <span>
#include <thread>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;
using Poco::Net::StreamSocket;

constexpr int ExchangeThreads = 8;
constexpr size_t ContactsPerRound = 2;
constexpr Milliseconds RoundPeriod{1000};
constexpr size_t CatchUpContacts = 3;
// An instance that reads from the start asks peers for documents after this
// time at the earliest, so that it doesn't get them twice.
constexpr Milliseconds FirstReadTime{1000};
// A request waits for its permit or its lease. The other instance responds from
// memory.
constexpr Milliseconds PermitTimeout{60};
// A prefill waits for its assignment, which gains some tens of milliseconds.
constexpr Milliseconds DispatchTimeout{15};
// Peers respond from memory, which takes a few milliseconds within a region.
constexpr Milliseconds ExchangeTimeout{400};
// Rounds carry what has become known of paces since the round before, with a
// margin for late ones.
constexpr Milliseconds PaceRoundAge{1500};

FrameKind kindOf(const MemberFrame &Request) {
  if (!Request.IsNotification)
    return FrameKind::Round;
  return Request.WantsServers ? FrameKind::Question : FrameKind::Notification;
}

class MemberLinks final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;
  void serve(StreamSocket &Socket);

private:
  void runRounds();
  // Returns false if this instance stops.
  bool waitForRound(TimePoint Until);
  void runRound();
  std::optional<PaceDecision> askForPermit(const std::string &Address,
                                           const PermitRequest &Request);
  std::optional<QuotaGrant> askForLease(const std::string &Address,
                                        const QuotaAsk &Ask);
  std::optional<PrefillAssignment> askForPrefill(const std::string &Address,
                                                 const PrefillAsk &Ask);
  FleetView fleetView();
  void shareQuotas();
  // Calls the peer and applies its response.
  bool exchange(const std::string &Address, const MemberFrame &Request,
                Milliseconds Timeout);
  // Asks for missing documents until they are here or the contacts are used up.
  void runCatchUpRound();
  // Whether this instance asks peers for the documents that it lacks.
  bool lacksDocuments() const;
  // The part that all frames have.
  MemberFrame basicFrame();
  // The same for a frame without the state of its sender.
  MemberFrame lightFrame();
  void addKnowledge(MemberFrame &Frame) const;
  MemberFrame requestFrame(const std::string &Address);
  // Returns whether the response holds a whole list, whose end is to be
  // reported to Serving.
  bool addRequestedUpdates(const MemberFrame &Request, MemberFrame &Response);
  // Adds what the request's sender lacks of the members.
  void addMembers(const MemberFrame &Request, MemberFrame &Response);
  // Adds what this instance knows of the members.
  void addKnownMembers(const std::string &Address, MemberFrame &Request);
  static void setNews(MemberNews News, MemberFrame &Frame);
  // The bytes of a frame to an instance of this domain were sent.
  void count(FrameKind Kind, size_t Bytes, const std::string &Domain);
  void respond(StreamSocket &Socket, const MemberFrame &Request);
  // Notes whether the sender has the documents.
  void noteHolder(const MemberFrame &Frame);
  void addPaces(MemberFrame &Frame);
  std::vector<std::string> contactsOfRound();
  // `At`: at the latest when the sender composed the frame.
  void applyFrame(const MemberFrame &Frame, bool IsResponse, TimePoint At);
  // `Revision`: of the change that wrote them, if it is known.
  void applyRoutes(const std::string &Text, StoreRevision Revision,
                   const std::string &From, const ConfigAge &Age);
  void logMembershipChanges();

  GatewayRuntime *Runtime = nullptr;
  internal::ConnectionServer Server;
  std::optional<GatewayContext> Context; // of requests of other instances
  std::optional<ForwardService> Forwarded;
  std::optional<ChangeExchange> Changes;
  internal::LeafMutex Mutex; // guards Stopping
  internal::ConditionVariable Wake;
  bool Stopping = false;
  internal::LeafMutex SourcesMutex; // guards the objects below
  StateVersion OwnState;
  std::mt19937_64 Random;
  std::optional<DocumentSources> Sources;
  std::optional<DocumentServing> Serving;
  StateAllowance States;
  TimePoint StartedAt;
  std::set<std::string> LoggedMembers;
  bool IsDiscoveryLogged = false;   // used by the rounds' thread only
  std::optional<FleetMemory> Fleet; // guarded by the lock of AccountQuotas
  std::thread Thread;
};

bool MemberLinks::start(Kernel &Owner) {
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  const GatewaySettings &values = Runtime->Values;
  if (values.PeerAddress.empty()) {
    log(LogLevel::Warn, "member_links",
        "no peer address set; running without peers", {});
    return true;
  }
  auto *metrics = Owner.find<internal::MetricsSink>();
  if (!metrics)
    return false;
  StartedAt = Clock::now();
  Runtime->Peers.setFailureDomain(values.FailureDomain);
  Random.seed(Runtime->Incarnation);
  Sources.emplace(Runtime->Incarnation);
  Serving.emplace(Runtime->Incarnation);
  Context.emplace(GatewayContext{
      Runtime->Codec, Runtime->Directory, Runtime->Limits, Runtime->Connections,
      Runtime->Queues, Runtime->Crashes, Runtime->Origins, Runtime->Quotas,
      *metrics,
      /*Forwarding=*/nullptr, &Runtime->Access, &Runtime->Dispatch,
      &Runtime->Readers, &Runtime->Exiting, &Runtime->StreamRuns,
      &Runtime->Memory, &Runtime->Waiting});
  Forwarded.emplace(*Runtime, *Context);
  Changes.emplace(*Runtime,
                  ChangeExchangeHooks{
                      [this] { return basicFrame(); },
                      [this] { return lightFrame(); },
                      [this](const std::string &Address,
                             const MemberFrame &Request, Milliseconds Timeout) {
                        return exchange(Address, Request, Timeout);
                      }});
  internal::ConnectionServerOptions options;
  options.Name = "members";
  options.AroundAccept = acceptWatch(Runtime->Threads, "connections of peers");
  options.Address = values.PeerAddress;
  options.MaxThreads =
      ExchangeThreads + static_cast<int>(ForwardService::MaxRequests);
  std::string fault =
      Server.start(options, [this](StreamSocket &Socket) { serve(Socket); });
  if (!fault.empty()) {
    log(LogLevel::Error, "member_links", "could not listen",
        {{"address", values.PeerAddress}, {"reason", fault}});
    return false;
  }
  log(LogLevel::Warn, "member_links",
      "peer exchanges aren't authenticated: no key in the settings", {});
  auto onChange = [this] { Changes->onChange(); };
  Runtime->Crashes.setChangeListener(onChange);
  Runtime->Limits.setChangeListener(onChange);
  Runtime->Directory.setChangeListener(onChange);
  Runtime->Crashes.setProbationOwner([this](PromptPartKey Part) {
    return Runtime->Peers
        .ownerOf("part:" + promptPartText(Part), Runtime->Stopping.load())
        .Address.empty();
  });
  Runtime->Limits.setSharing(
      {[this](const std::string &ServerId) {
         return Runtime->Peers.ownerOf("limit:" + ServerId,
                                       Runtime->Stopping.load());
       },
       [this] { return Runtime->Peers.budgetSharers(); },
       [this](const std::string &Address, const PermitRequest &Request) {
         return askForPermit(Address, Request);
       }});
  shareQuotas();
  Runtime->Dispatch.setSharing(
      {[this](const std::string &Key) {
         return Runtime->Peers.ownerOf(Key, Runtime->Stopping.load());
       },
       [this] { return Runtime->PeersKnown.load() + 1; },
       [this](const std::string &Address, const PrefillAsk &Ask) {
         return askForPrefill(Address, Ask);
       }});
  Runtime->Forwarding = {
      [this](const std::string &Service) {
        return Runtime->Peers.reaching(Service);
      },
      [this](const Member &Peer, const std::string &Service) {
        Runtime->Peers.onForwardRefused(Peer.Name, Service);
      },
      [this](const std::string &Text) { applyRoutes(Text, {}, "a peer", {}); },
      [this] { return Runtime->ownMember(); }};
  Changes->start();
  Thread = std::thread([this] { runRounds(); });
  return true;
}

void MemberLinks::shareQuotas() {
  // From the start on, so that the buckets of accounts fill before the first
  // requests come.
  Fleet.emplace(quotaNow());
  QuotaSharing sharing;
  sharing.FindHome = [this](const std::string &Account) {
    return Runtime->Peers.ownerOf("account:" + Account,
                                  Runtime->Stopping.load());
  };
  sharing.FindSeeds = [this](const std::string &Account) {
    std::vector<KeyOwner> seeds;
    for (const std::string &it :
         rankByRendezvous("account:" + Account, Runtime->seedAddresses()))
      if (it != Runtime->Values.PeerAddress)
        seeds.push_back({it, it, true});
      else if (!Runtime->Stopping.load())
        seeds.push_back({Runtime->Values.Instance, "", true});
    return seeds;
  };
  sharing.Fleet = [this] { return fleetView(); };
  sharing.AskHome = [this](const std::string &Address, const QuotaAsk &Ask) {
    return askForLease(Address, Ask);
  };
  sharing.FindQuota =
      [this](const std::string &Account) -> std::optional<AccountQuota> {
    RouteDocumentPtr routes = Runtime->Directory.routes();
    const ClientAccount *found = routes->Accounts.find(Account);
    return found ? std::optional(found->Quota) : std::nullopt;
  };
  Runtime->Quotas.setSharing(std::move(sharing));
}

// Called by AccountQuotas with its lock.
FleetView MemberLinks::fleetView() {
  TimePoint now = quotaNow();
  Fleet->update(Runtime->Peers.alive(), now);
  // An instance without others to look for knows all of its fleet.
  std::vector<std::string> seeds = Runtime->seedAddresses();
  bool isAlone = std::ranges::all_of(seeds,
                                     [this](const std::string &It) {
                                       return It == Runtime->Values.PeerAddress;
                                     }) &&
                 Fleet->view(1, true).Alive == 1;
  if (isAlone)
    return Fleet->view(1, true);
  FleetView view =
      Fleet->view(Runtime->Peers.budgetSharers(), Runtime->Peers.isDiscovered(),
                  Runtime->Peers.discovery().startedWithFleet());
  view.SeedPart = Fleet->seedPart(seeds, Runtime->Values.PeerAddress, now);
  return view;
}

void MemberLinks::prepareStop() {
  Runtime->Closing.store(true); // no more exchanges are begun
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Changes)
    Changes->prepareStop();
  Server.beginStop();
  if (Forwarded)
    Forwarded->stop();
}

void MemberLinks::stop() {
  Runtime->Quotas.stop();
  Runtime->Crashes.setChangeListener(nullptr);
  Runtime->Limits.setChangeListener(nullptr);
  Runtime->Directory.setChangeListener(nullptr);
  if (Changes)
    Changes->stop();
  if (Thread.joinable())
    Thread.join();
  Server.stopAccepting();
  if (Forwarded)
    Forwarded->stop(); // requests that were accepted meanwhile
  Server.join();
}

void MemberLinks::addKnowledge(MemberFrame &Frame) const {
  // First, since knowledge that is confirmed may become newer meanwhile.
  for (PublishedKind it : {PublishedKind::Servers, PublishedKind::Routes})
    Frame.ConfirmedAgo[static_cast<size_t>(it)] =
        Runtime->Readers.confirmedAgo(it);
  Frame.ConfigVersion = Runtime->Directory.routes()->Version;
  Frame.ConfigRevision = Runtime->Directory.routesRevision();
  Frame.ConfigTimes = Runtime->Directory.configAge();
  Frame.ServersRevision = Runtime->Directory.serversRevision();
  Frame.StoreEra = Runtime->Directory.storeEra();
  FleetDiscovery discovery = Runtime->Peers.discovery();
  Frame.Discovered = discovery.isDone(Clock::now());
  Frame.DiscoveredAgo = discovery.knownAgo(Clock::now());
}

MemberFrame MemberLinks::lightFrame() {
  MemberFrame frame;
  addKnowledge(frame);
  frame.Sender = Runtime->ownMember();
  frame.IsNotification = true;
  return frame;
}

MemberFrame MemberLinks::basicFrame() {
  MemberFrame frame;
  addKnowledge(frame);
  frame.CrashDigest = Runtime->Crashes.digest();
  frame.LeavingDigest = Runtime->Directory.leavingDigest();
  frame.Limits = Runtime->Limits.known();
  frame.Sender = Runtime->ownMember();
  frame.Sender.Stats = Runtime->Directory.serviceStats();
  frame.Sender.Orders = Runtime->Peers.ownOrders();
  frame.Sender.Reached = Runtime->Connections.reachability().reached();
  std::lock_guard lock(SourcesMutex);
  frame.Sender.StateVersion = OwnState.versionOf(
      frame.Sender, Runtime->PeersKnown.load(), Clock::now());
  return frame;
}

void MemberLinks::addKnownMembers(const std::string &Address,
                                  MemberFrame &Request) {
  std::vector<Member> all = Runtime->Peers.alive();
  auto peer = std::ranges::find(all, Address, &Member::Address);
  bool isEarlierBuild = peer != all.end() && peer->StateVersion == 0;
  // One that lacks the documents doesn't name members with their state: seeds
  // are asked by hundreds at once.
  bool withStates = Runtime->Directory.isComplete();
  setNews(newsForRequest(std::move(all), Request.Sender, isEarlierBuild,
                         withStates),
          Request);
}

MemberFrame MemberLinks::requestFrame(const std::string &Address) {
  MemberFrame frame = basicFrame();
  addPaces(frame);
  addKnownMembers(Address, frame);
  frame.WantsRoutes = Runtime->Directory.isComplete() || lacksDocuments();
  frame.WantsServers = frame.WantsRoutes;
  frame.AcceptsChanges = true;
  return frame;
}

void MemberLinks::addPaces(MemberFrame &Frame) {
  Frame.Paces = Runtime->Directory.pacesChangedSince(
      Clock::now() - PaceRoundAge, MaxPacesPerFrame);
}

bool MemberLinks::lacksDocuments() const {
  return !Runtime->Directory.isComplete() &&
         (!Runtime->Readers.isReading() || Runtime->Readers.isStoreFailing() ||
          Clock::now() - StartedAt >= FirstReadTime);
}

// Adds the updates that the peer requested, if this instance has newer ones.
bool MemberLinks::addRequestedUpdates(const MemberFrame &Request,
                                      MemberFrame &Response) {
  bool wantsList = Request.WantsServers &&
                   Request.ServersRevision < Response.ServersRevision;
  bool wantsRoutes =
      Request.WantsRoutes && configOf(Request) < configOf(Response);
  std::optional<std::vector<ServerChange>> changes;
  if (wantsList && Request.AcceptsChanges &&
      Request.ServersRevision.Number > 0 &&
      Request.ServersRevision.Era == Response.ServersRevision.Era)
    changes = Runtime->Directory.serversChangedAfter(Request.ServersRevision);
  if (wantsList && !changes) {
    std::lock_guard lock(SourcesMutex);
    if (!Serving->tryBegin(Clock::now()))
      return false; // the response names instances that have the documents
  }
  if (wantsRoutes)
    Response.RoutesText = Runtime->Directory.routes()->Text;
  if (!wantsList)
    return false;
  if (changes) {
    addServers(*changes, Response);
    Response.ChangesSince = Request.ServersRevision;
    return false;
  }
  Response.HasServers = true;
  addServers(Runtime->Directory.servers(), Response);
  return true;
}

void MemberLinks::addMembers(const MemberFrame &Request,
                             MemberFrame &Response) {
  std::vector<Member> all = Runtime->Peers.alive();
  std::lock_guard lock(SourcesMutex);
  TimePoint now = Clock::now();
  bool lacksDocuments =
      Request.WantsServers && Request.ServersRevision.Number == 0;
  if (lacksDocuments && Request.MembersDigest == 0) {
    Response.Members = Serving->membersForNewcomer(std::move(all), now);
    return;
  }
  setNews(newsForResponse(all, Response.Sender,
                          {Request.MembersDigest, Request.Members,
                           Request.Heard, Request.Discovered},
                          Request.Sender, States, Random, now),
          Response);
  if (lacksDocuments)
    Serving->nameReceivers(all, Response.Members, now);
}

void MemberLinks::setNews(MemberNews News, MemberFrame &Frame) {
  Frame.MembersDigest = News.Digest;
  Frame.Members = std::move(News.Members);
  Frame.Heard = std::move(News.Heard);
  Frame.MembersOmitted = News.Omitted;
}

void MemberLinks::count(FrameKind Kind, size_t Bytes,
                        const std::string &Domain) {
  Runtime->Traffic.add(Kind, Bytes + FramePrefixBytes,
                       !Domain.empty() &&
                           Domain != Runtime->Values.FailureDomain);
}

void MemberLinks::applyRoutes(const std::string &Text, StoreRevision Revision,
                              const std::string &From, const ConfigAge &Age) {
  RouteDocumentPtr routes = Runtime->Source.ParseRoutes(Text);
  if (routes)
    Runtime->applyRoutes(std::move(routes), Revision,
                         {UpdateOrigin::Peer, From, Age});
  else
    log(LogLevel::Warn, "member_links", "ignored invalid routes from a peer",
        {{"peer", From}});
}

void MemberLinks::applyFrame(const MemberFrame &Frame, bool IsResponse,
                             TimePoint At) {
  Runtime->Directory.onStoreEra(Frame.StoreEra, UpdateOrigin::Peer);
  Runtime->Crashes.merge(Frame.Crashes, Frame.Sender.Name);
  Runtime->Limits.merge(Frame.Limits, Frame.Sender.Name);
  for (const LeavingServer &it : Frame.Leaving)
    Runtime->Directory.onServerLeaving(it, LeavingOrigin::Peer,
                                       Frame.Sender.Name);
  noteHolder(Frame);
  Runtime->Directory.mergePaces(Frame.Paces);
  Runtime->Peers.onMemberSeen(Frame.Sender);
  for (const Member &it : Frame.Members)
    Runtime->Peers.onMemberSeen(it);
  if (!Frame.Heard.empty())
    Runtime->Peers.onMembersHeard(Frame.Heard);
  Runtime->Peers.onPeerHeard(
      {Frame.Sender.Address, Frame.Discovered,
       IsResponse && namesAllMembers(Frame.MembersDigest, Frame.Members.size(),
                                     Frame.MembersOmitted),
       Frame.DiscoveredAgo});
  Runtime->Directory.setInstances(Runtime->Peers.budgetSharers());
  Runtime->PeersKnown.store(Runtime->Peers.alive().size());
  if (!Frame.RoutesText.empty())
    applyRoutes(Frame.RoutesText, Frame.ConfigRevision, Frame.Sender.Name,
                Frame.ConfigTimes);
  bool isNotification = Frame.IsNotification && !Frame.WantsServers;
  if (!Frame.HasServers && !Frame.ChangesSince) {
    Changes->onFrame(Frame, At, isNotification);
    return;
  }
  std::vector<ServerChange> changes;
  for (const PublishedText &it : Frame.Servers)
    changes.push_back({it.Id, it.Revision,
                       it.Removed
                           ? std::nullopt
                           : Runtime->Source.ParseServer(it.Id, it.Text)});
  if (Frame.HasServers)
    Runtime->Directory.applyServerList(changes, Frame.ServersRevision,
                                       UpdateOrigin::Peer);
  else
    Runtime->Directory.applyServerChanges(changes, *Frame.ChangesSince,
                                          Frame.ServersRevision,
                                          UpdateOrigin::Peer);
  Changes->onFrame(Frame, At, isNotification);
}

void MemberLinks::noteHolder(const MemberFrame &Frame) {
  if (Frame.ConfigVersion == 0 || Frame.ServersRevision.Number == 0 ||
      Runtime->Directory.isComplete())
    return;
  std::lock_guard lock(SourcesMutex);
  Sources->onHolder(Frame.Sender.Address, Clock::now());
}

void MemberLinks::serve(StreamSocket &Socket) {
  try {
    setTimeouts(Socket, ExchangeTimeout);
    std::optional<MemberFrame> request =
        receiveFrame(Socket, ExchangeTimeout, &Runtime->Memory);
    if (!request) {
      log(LogLevel::Warn, "member_links",
          "closed a connection after an invalid frame",
          {{"from", Socket.peerAddress().toString()}});
      return;
    }
    if (request->Forwarded) {
      Forwarded->handle(Socket.impl()->sockfd(), request->Sender.Name,
                        std::move(*request->Forwarded), request->ConfigVersion);
      return;
    }
    ThreadWatch::Work work(Runtime->Threads, "frames of peers");
    if (request->WantedPermit) {
      MemberFrame permit;
      permit.Sender = Runtime->ownMember();
      permit.Permit = Runtime->Limits.decide(*request->WantedPermit);
      std::vector<uint8_t> bytes = encode(permit);
      count(FrameKind::Permit, bytes.size(), request->Sender.FailureDomain);
      sendFrame(Socket, bytes);
      return;
    }
    if (request->WantedPrefill) {
      MemberFrame assignment;
      assignment.Sender = Runtime->ownMember();
      assignment.Prefill = Runtime->Dispatch.decide(*request->WantedPrefill);
      std::vector<uint8_t> bytes = encode(assignment);
      count(FrameKind::Dispatch, bytes.size(), request->Sender.FailureDomain);
      sendFrame(Socket, bytes);
      return;
    }
    if (request->WantedLease) {
      MemberFrame lease;
      lease.Sender = Runtime->ownMember();
      lease.Lease = Runtime->Quotas.decide(*request->WantedLease);
      sendFrame(Socket, encode(lease));
      return;
    }
    for (const StreamOrigin &it : request->Origins)
      Runtime->Origins.add(it);
    if (request->WantedOrigin || !request->Origins.empty()) {
      MemberFrame origin;
      origin.Sender = Runtime->ownMember();
      if (request->WantedOrigin)
        origin.Origin = Runtime->Origins.knowledgeOf(*request->WantedOrigin);
      sendFrame(Socket, encode(origin));
      return;
    }
    TimePoint receivedAt = Clock::now();
    respond(Socket, *request);
    applyFrame(*request, /*IsResponse=*/false, receivedAt);
  } catch (const Poco::Exception &) {
    // The peer disconnected or is too slow; it asks again in its next round.
  }
}

void MemberLinks::respond(StreamSocket &Socket, const MemberFrame &Request) {
  // A request without its sender's state is answered in kind.
  bool isLight = Request.IsNotification && Request.Sender.StateVersion == 0;
  MemberFrame response = isLight ? lightFrame() : basicFrame();
  response.IsNotification = false;
  bool isServing = false;
  if (isLight)
    isServing = addRequestedUpdates(Request, response);
  if (!Request.IsNotification) {
    addPaces(response);
    addMembers(Request, response);
    isServing = addRequestedUpdates(Request, response);
    response.Crashes = Runtime->Crashes.updateFor(Request.CrashDigest);
    if (Request.LeavingDigest != response.LeavingDigest)
      response.Leaving = Runtime->Directory.leavingServers();
  }
  auto end = [&](bool Sent) {
    std::lock_guard lock(SourcesMutex);
    if (isServing)
      Serving->onEnd(Request.Sender.Name, Sent, Clock::now());
  };
  std::vector<uint8_t> bytes = encode(response);
  response = {}; // a list isn't kept twice while it is sent
  count(isServing ? FrameKind::List : kindOf(Request), bytes.size(),
        Request.Sender.FailureDomain);
  try {
    sendFrame(Socket, bytes);
  } catch (const Poco::Exception &) {
    end(false);
    throw;
  }
  end(true);
}

bool MemberLinks::exchange(const std::string &Address,
                           const MemberFrame &Request, Milliseconds Timeout) {
  std::vector<uint8_t> bytes = encode(Request);
  TimePoint sentAt = Clock::now();
  std::optional<MemberFrame> response =
      callMemberEncoded(Address, bytes, Timeout, &Runtime->Memory);
  count(kindOf(Request), bytes.size(),
        response ? response->Sender.FailureDomain : "");
  if (response)
    applyFrame(*response, /*IsResponse=*/true, sentAt);
  if (Request.WantsServers && Request.ServersRevision.Number == 0) {
    TimePoint now = Clock::now();
    std::lock_guard lock(SourcesMutex);
    bool isGiven = response && (response->HasServers || response->ChangesSince);
    if (!isGiven)
      Sources->onRefused(Address, now);
    // A peer that has the documents and serves others names those that it has
    // served first.
    if (response && !isGiven && response->ServersRevision.Number > 0 &&
        response->ServersRevision > Request.ServersRevision)
      for (const Member &it :
           std::span(response->Members)
               .first(std::min(response->Members.size(), MaxNamedHolders)))
        if (it.Address != Runtime->Values.PeerAddress)
          Sources->onHolder(it.Address, now);
  }
  return response.has_value();
}

// Runs on the thread of a request.
std::optional<PaceDecision>
MemberLinks::askForPermit(const std::string &Address,
                          const PermitRequest &Request) {
  MemberFrame frame;
  frame.Sender = Runtime->ownMember();
  frame.WantedPermit = Request;
  std::vector<uint8_t> bytes = encode(frame);
  std::optional<MemberFrame> response =
      callMemberEncoded(Address, bytes, PermitTimeout, &Runtime->Memory);
  count(FrameKind::Permit, bytes.size(),
        response ? response->Sender.FailureDomain : "");
  return response ? response->Permit : std::nullopt;
}

// Runs on the thread of a request or that of AccountQuotas.
std::optional<QuotaGrant> MemberLinks::askForLease(const std::string &Address,
                                                   const QuotaAsk &Ask) {
  MemberFrame frame;
  frame.Sender = Runtime->ownMember();
  frame.WantedLease = Ask;
  std::optional<MemberFrame> response =
      callMember(Address, frame, PermitTimeout, &Runtime->Memory);
  if (!response)
    return std::nullopt;
  QuotaGrant unknown;
  unknown.Known = false;
  return response->Lease.value_or(unknown);
}

// Runs on the thread of a request.
std::optional<PrefillAssignment>
MemberLinks::askForPrefill(const std::string &Address, const PrefillAsk &Ask) {
  MemberFrame frame;
  frame.Sender = Runtime->ownMember();
  frame.WantedPrefill = Ask;
  std::vector<uint8_t> bytes = encode(frame);
  std::optional<MemberFrame> response =
      callMemberWithin(Address, bytes, DispatchTimeout, &Runtime->Memory);
  count(FrameKind::Dispatch, bytes.size(),
        response ? response->Sender.FailureDomain : "");
  return response ? response->Prefill : std::nullopt;
}

// Logs one line for each member found or lost, and one when the fleet has been
// discovered.
void MemberLinks::logMembershipChanges() {
  std::set<std::string> now;
  for (const Member &it : Runtime->Peers.alive())
    now.insert(it.Name);
  for (const std::string &it : now)
    if (!LoggedMembers.contains(it))
      log(LogLevel::Info, "member_links", "member found", {{"member", it}});
  for (const std::string &it : LoggedMembers)
    if (!now.contains(it))
      log(LogLevel::Warn, "member_links", "member lost", {{"member", it}});
  LoggedMembers = std::move(now);
  if (IsDiscoveryLogged || !Runtime->Peers.isDiscovered())
    return;
  IsDiscoveryLogged = true;
  FleetDiscovery discovery = Runtime->Peers.discovery();
  auto after =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - StartedAt);
  log(LogLevel::Info, "member_links", "fleet discovered",
      {{"members", std::to_string(LoggedMembers.size())},
       {"after_ms", std::to_string(after.count())},
       {"basis", discovery.isByPeer() ? "peer" : "time"},
       {"started_with_fleet",
        discovery.startedWithFleet() ? "true" : "false"}});
}

void MemberLinks::runCatchUpRound() {
  std::vector<std::string> contacts;
  {
    std::lock_guard lock(SourcesMutex);
    contacts = Sources->choose(CatchUpContacts, Clock::now());
  }
  bool hasSource = !contacts.empty();
  if (!hasSource)
    contacts = Runtime->Peers.selectContacts(CatchUpContacts);
  bool hasResponse = false;
  for (const std::string &it : contacts) {
    if (Runtime->Closing.load() || Runtime->Directory.isComplete())
      break;
    bool responds = exchange(it, requestFrame(it), ExchangeTimeout);
    hasResponse = hasResponse || responds;
    if (!responds)
      Runtime->Peers.onContactFailed(it);
    // Peers without the documents are asked one at a time, so that seeds that
    // have just started aren't overrun.
    if (responds && !hasSource)
      break;
  }
  std::lock_guard lock(SourcesMutex);
  Sources->onRound(hasResponse);
}

void MemberLinks::runRound() {
  Runtime->Peers.setSeeds(Runtime->seedAddresses());
  if (lacksDocuments()) {
    runCatchUpRound();
    logMembershipChanges();
    return;
  }
  // Exchanges with unresponsive peers take most of a second each; they must
  // not delay the end of a shutdown.
  bool hasResponse = false;
  for (const std::string &it : contactsOfRound()) {
    if (Runtime->Closing.load())
      return;
    if (exchange(it, requestFrame(it), ExchangeTimeout))
      hasResponse = true;
    else
      Runtime->Peers.onContactFailed(it);
  }
  {
    std::lock_guard lock(SourcesMutex);
    Sources->onRound(hasResponse);
  }
  logMembershipChanges();
}

std::vector<std::string> MemberLinks::contactsOfRound() {
  std::vector<std::string> all =
      Runtime->Peers.selectContacts(ContactsPerRound);
  if (!Runtime->Readers.isSelective() || Runtime->Readers.isRegularReader())
    return all;
  // One that reads the store, in place of the last.
  std::vector<std::string> readers = Runtime->Readers.domainReaders();
  if (readers.empty())
    return all;
  const std::string &reader =
      readers[Runtime->Directory.randomNumber() % readers.size()];
  if (std::ranges::find(all, reader) != all.end())
    return all;
  if (!all.empty())
    all.pop_back();
  all.push_back(reader);
  return all;
}

bool MemberLinks::waitForRound(TimePoint Until) {
  std::unique_lock lock(Mutex);
  return !Wake.wait_until(lock, Until, [this] { return Stopping; });
}

void MemberLinks::runRounds() {
  while (true) {
    Milliseconds period = RoundPeriod;
    if (!Runtime->Directory.isComplete() || !Runtime->Peers.isDiscovered()) {
      std::lock_guard lock(SourcesMutex);
      period = Sources->nextRound();
    }
    if (!waitForRound(Clock::now() + period))
      return;
    ThreadWatch::Work work(Runtime->Threads, "rounds");
    runRound();
  }
}

const PluginRegistration Registration{
    {"member_links", Phase::PeerLinks,
     [] { return std::make_unique<MemberLinks>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
