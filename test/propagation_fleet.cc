#include "propagation_fleet.h"

#include "gateway/decisions/fleet/knowledge_queries.h"
#include "gateway/decisions/fleet/member_deltas.h"
#include "virtual_time.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace crocusspur::test {

using namespace gateway;

namespace {

using Micros = std::chrono::microseconds;

// An instance with 0.09 of a core and a link of 10 Mbit/s.
constexpr Micros FrameCost{1700};
constexpr double BytesPerLinkMs = 1250;
constexpr double FrameBytes = 700;
constexpr double QuestionBytes = 250;
constexpr double BytesPerHeard = 6;
constexpr int SlowFactor = 5;
constexpr Milliseconds StoreLatency{4};
// Packets are sent again after this time, doubled each time.
constexpr Milliseconds RetransmissionTime{200};
// After the start of a fleet, until those that read the store are settled.
constexpr Milliseconds SettlingTime{8000};
// Instances that the fault strikes aren't judged, others at most this long.
constexpr Milliseconds JudgedTime{12000};

// As in service_directory_reader.cc, store_source.cc and member_links.cc.
constexpr Milliseconds CallTimeout{700};
constexpr Milliseconds DecisionPeriod{100};
constexpr Milliseconds QuickWait{1};
// In a fleet whose instances all read.
constexpr Milliseconds LeastWatchWait{600};
constexpr Milliseconds MostWatchWait{2500};
constexpr Milliseconds ResponseTime{300};
constexpr Milliseconds RoundPeriod{1000};
constexpr Milliseconds ExchangeTimeout{400};
constexpr size_t ContactsPerRound = 2;
constexpr size_t NotificationContacts = 3;
constexpr size_t NotificationTries = 5;

constexpr std::array<PublishedKind, 2> Kinds{PublishedKind::Servers,
                                             PublishedKind::Routes};

size_t index(PublishedKind Kind) { return static_cast<size_t>(Kind); }

Micros micros(double Ms) { return Micros(static_cast<int64_t>(Ms * 1000)); }

Milliseconds ms(TimePoint::duration Time) {
  return std::chrono::duration_cast<Milliseconds>(Time);
}

std::string nameOfInstance(int Number) { return "n" + std::to_string(Number); }

} // namespace

const char *nameOf(FleetFault Fault) {
  switch (Fault) {
  case FleetFault::None:
    return "none";
  case FleetFault::StoreSilent:
    return "store silent";
  case FleetFault::StoreBusy:
    return "store busy";
  case FleetFault::WatchesHang:
    return "watches hang";
  case FleetFault::Killed:
    return "killed";
  case FleetFault::Frozen:
    return "frozen";
  case FleetFault::CutOff:
    return "cut off";
  case FleetFault::CutOneWay:
    return "cut one way";
  case FleetFault::Slow:
    return "slow";
  }
  return "";
}

std::string FaultSchedule::str() const {
  std::ostringstream out;
  for (const FaultSpell &it : Spells)
    out << nameOf(it.Fault) << " " << it.Share
        << (it.ReadersFirst ? " readers first" : "") << " at " << it.At.count()
        << " ms for " << it.Time.count() << " ms; ";
  out << "changes of " << (Kind == PublishedKind::Routes ? "routes" : "servers")
      << " at";
  for (Milliseconds it : Changes)
    out << " " << it.count();
  out << " ms";
  if (Loss > 0)
    out << "; loss " << Loss;
  return out.str();
}

struct PropagationFleet::Node {
  Node(int Number, int Domains, uint64_t Seed)
      : Number(Number), Name(nameOfInstance(Number)), Address(Name + ":1"),
        Domain("d" + std::to_string(Number % Domains)),
        Members(Name, Address, Seed), Queries(Seed), Random(Seed) {}

  bool runs() const { return Alive && !Frozen; }

  int Number;
  std::string Name;
  std::string Address;
  std::string Domain;
  MemberTable Members;
  std::optional<ReaderElection> Election;
  KnowledgeQueries Queries;
  StateVersion Version;
  StateAllowance Allowance;
  std::mt19937_64 Random;

  bool Alive = true;
  uint64_t Life = 0; // rises with each kill
  bool Frozen = false;
  bool CutOff = false;
  bool CutOneWay = false;
  bool Slow = false;
  FleetFault Store = FleetFault::None;
  bool Excused = false; // in this schedule
  std::vector<std::function<void()>> OnThaw;
  TimePoint CpuFree;
  TimePoint LinkFree;

  std::array<uint64_t, 2> Revisions{1, 1};
  std::array<uint64_t, 2> Newest{1, 1}; // that peers have named
  std::array<uint64_t, 2> Sent{1, 1};
  std::array<std::map<uint64_t, TimePoint>, 2> InForce; // by revision
  std::array<uint32_t, 2> Failures{0, 0};
  std::array<bool, 2> Reading{false, false};

  // The thread that sends and asks for changes.
  bool Busy = false;
  bool HasChanges = false;
  bool HasConfirmation = false;
  TimePoint AskAt;
};

struct PropagationFleet::PendingWatch {
  Node *Of = nullptr;
  uint64_t Life = 0;
  PublishedKind Kind = PublishedKind::Servers;
  uint64_t After = 0;
  TimePoint Ends;
  bool Done = false; // answered, lost or given up
  bool Lost = false; // the response doesn't arrive
};

PropagationFleet::PropagationFleet(const PropagationOptions &Options)
    : Options(Options), Random(Options.Seed), Now(Start) {
  for (int i = 0; i < Options.Instances; ++i) {
    All.push_back(std::make_unique<Node>(i, Options.Domains, Random()));
    ByAddress[All.back()->Address] = All.back().get();
  }
  for (auto &it : All)
    start(*it);
  advance(SettlingTime);
}

PropagationFleet::~PropagationFleet() = default;

void PropagationFleet::at(TimePoint When, std::function<void()> Action) {
  Events.emplace(When, std::move(Action));
}

void PropagationFleet::onNode(Node &Of, TimePoint When,
                              std::function<void()> Action) {
  at(When, [this, &Of, life = Of.Life, action = std::move(Action)]() mutable {
    if (Of.Life != life)
      return;
    if (Of.Frozen)
      Of.OnThaw.push_back(std::move(action));
    else
      action();
  });
}

void PropagationFleet::runUntil(TimePoint Until) {
  while (!Events.empty() && Events.begin()->first <= Until) {
    auto it = Events.begin();
    Now = it->first;
    auto action = std::move(it->second);
    Events.erase(it);
    action();
  }
  Now = Until;
}

void PropagationFleet::advance(Milliseconds Time) { runUntil(Now + Time); }

PropagationFleet::Node &PropagationFleet::nodeAt(const std::string &Address) {
  return *ByAddress.at(Address);
}

ReaderView PropagationFleet::viewOf(Node &Of) {
  ReaderView view = Of.Members.readerView(Of.Domain, Now);
  view.Complete = true;
  return view;
}

Member PropagationFleet::memberOf(const Node &Of) const {
  Member member;
  member.Name = Of.Name;
  member.Address = Of.Address;
  member.Incarnation = Of.Life + 1;
  member.FailureDomain = Of.Domain;
  member.StoreFailing = Of.Election->isStoreFailing(Now);
  return member;
}

void PropagationFleet::start(Node &Of) {
  Of.Alive = true;
  Of.Election.emplace(Of.Name, Of.Domain, Of.Number < 3, Random(),
                      PropagationBounds{Options.Bound, Options.Bound}, Now);
  Of.Members.setFailureDomain(Of.Domain);
  std::vector<std::string> seeds;
  for (int i = 0; i < 3; ++i)
    seeds.push_back(nameOfInstance(i) + ":1");
  Of.Members.setSeeds(seeds);
  // The fleet knows itself.
  for (auto &it : All) {
    if (it.get() == &Of || !it->Election)
      continue;
    for (auto [to, from] : {std::pair(&Of, it.get()), {it.get(), &Of}}) {
      Member member = memberOf(*from);
      member.StateVersion =
          from->Version.versionOf(member, All.size() - 1, Now);
      to->Members.onMemberSeen(member, Now);
      to->Members.onPeerHeard({from->Address, true, true, {}}, Now);
    }
  }
  for (PublishedKind it : Kinds)
    Of.Election->onReadSucceeded(it, Now);
  for (PublishedKind it : Kinds)
    onNode(Of, Now + Milliseconds(Of.Random() % 100),
           [this, &Of, it] { read(Of, it); });
  onNode(Of, Now + Milliseconds(Of.Random() % 1000),
         [this, &Of] { runRound(Of); });
  onNode(Of, Now, [this, &Of] { awaitUpdates(Of); });
}

PropagationBudget PropagationFleet::budgetOf(Node &Of) {
  return Of.Election->budget(viewOf(Of), Now);
}

void PropagationFleet::kill(Node &Of) {
  Of.Alive = false;
  ++Of.Life;
  Of.OnThaw.clear();
}

// The reader's thread of one kind.
void PropagationFleet::read(Node &Of, PublishedKind Kind) {
  size_t k = index(Kind);
  ReaderView view = viewOf(Of);
  if (!Of.Election->shouldRead(view, Kind, Now)) {
    Of.Reading[k] = false;
    Of.Failures[k] = 0;
    onNode(Of, Now + DecisionPeriod, [this, &Of, Kind] { read(Of, Kind); });
    return;
  }
  call(Of, Kind);
}

void PropagationFleet::call(Node &Of, PublishedKind Kind) {
  size_t k = index(Kind);
  ++Calls;
  PropagationBudget budget = budgetOf(Of);
  bool quick = Of.Failures[k] > 0 || !std::exchange(Of.Reading[k], true) ||
               Of.Election->reason(viewOf(Of), Kind, Now) == ReadReason::Stale;
  bool selective = Of.Election->isSelective(viewOf(Of), Now);
  Milliseconds least = selective ? budget.MinWatchWait : LeastWatchWait;
  Milliseconds most = selective ? budget.MaxWatchWait : MostWatchWait;
  Milliseconds wait = QuickWait;
  if (!quick)
    wait = least +
           Milliseconds(Of.Random() % (most - least + Milliseconds(1)).count());
  if (Of.Store == FleetFault::StoreBusy)
    return onNode(Of, Now + StoreLatency, [this, &Of, Kind] {
      onCallEnded(Of, Kind, std::nullopt, 0);
    });
  auto watch = std::make_shared<PendingWatch>();
  watch->Of = &Of;
  watch->Life = Of.Life;
  watch->Kind = Kind;
  watch->After = Of.Revisions[k];
  watch->Ends = Now + wait;
  watch->Lost = Of.Store == FleetFault::StoreSilent || Of.CutOff;
  onNode(Of, Now + wait + CallTimeout, [this, &Of, Kind, watch] {
    if (std::exchange(watch->Done, true))
      return;
    onCallEnded(Of, Kind, std::nullopt, 0);
  });
  if (watch->Lost)
    return;
  Watches.push_back(watch);
  if (StoreRevisions[k] > watch->After)
    return at(Now + StoreLatency / 2, [this, watch] { respondToWatch(watch); });
  at(Now + wait, [this, watch] { respondToWatch(watch); });
}

void PropagationFleet::respondToWatch(
    const std::shared_ptr<PendingWatch> &Watch) {
  std::erase(Watches, Watch);
  if (Watch->Done || Watch->Lost || Watch->Life != Watch->Of->Life)
    return;
  if (Watch->Of->Store == FleetFault::StoreSilent || Watch->Of->CutOff ||
      Watch->Of->CutOneWay) {
    Watch->Lost = true;
    return;
  }
  uint64_t revision = StoreRevisions[index(Watch->Kind)];
  onNode(*Watch->Of, Now + StoreLatency / 2, [this, Watch, revision] {
    if (!std::exchange(Watch->Done, true))
      onCallEnded(*Watch->Of, Watch->Kind,
                  std::min(Now, Watch->Ends + ResponseTime), revision);
  });
}

void PropagationFleet::onCallEnded(Node &Of, PublishedKind Kind,
                                   std::optional<TimePoint> ConfirmedAt,
                                   uint64_t Revision) {
  size_t k = index(Kind);
  PropagationBudget budget = budgetOf(Of);
  Milliseconds pause{0};
  if (ConfirmedAt) {
    Of.Failures[k] = 0;
    bool wasOld = isOld(Of);
    Of.Election->onReadSucceeded(Kind, *ConfirmedAt);
    if (wasOld && !isOld(Of)) {
      Of.HasConfirmation = true;
      wake(Of);
    } else if (Of.Election->isSelective(viewOf(Of), Now)) {
      tellReaders(Of);
    }
    if (Revision > Of.Revisions[k])
      pause = budget.BatchDelay;
    learn(Of, Kind, Revision);
  } else {
    Of.Election->onReadFailed(All.size(), Now);
    Milliseconds most =
        std::min(budget.BatchDelay,
                 Milliseconds(100) * (1U << std::min(Of.Failures[k]++, 8U)));
    pause = most / 2 + Milliseconds(Of.Random() % most.count());
  }
  onNode(Of, Now + pause, [this, &Of, Kind] { read(Of, Kind); });
}

void PropagationFleet::publish(PublishedKind Kind) {
  size_t k = index(Kind);
  ++StoreRevisions[k];
  FirstReadAt[k].reset();
  for (const auto &it : std::vector(Watches))
    if (it->Kind == Kind)
      respondToWatch(it);
}

void PropagationFleet::learn(Node &Of, PublishedKind Kind, uint64_t Revision) {
  size_t k = index(Kind);
  if (Revision <= Of.Revisions[k])
    return;
  Of.Revisions[k] = Revision;
  Of.InForce[k][Revision] = Now;
  if (Revision == StoreRevisions[k] && !FirstReadAt[k])
    FirstReadAt[k] = Now;
  wake(Of);
}

// Whether its knowledge is about to be too old, so that others may be as well.
bool PropagationFleet::isOld(Node &Of) {
  PropagationBudget budget = budgetOf(Of);
  return Now - Of.Election->confirmedAt().value_or(Start) >
         (budget.AskAge + budget.TakeOverAge) / 2;
}

// Readers tell each other that nothing has changed.
void PropagationFleet::tellReaders(Node &Of) {
  std::vector<std::string> peers = Of.Members.otherReaders(Of.Domain, Now);
  for (const std::string &it : Of.Election->readers(viewOf(Of)))
    peers.push_back(Of.Members.addressOf(it));
  size_t count = peers.size();
  contactNext(Of, std::move(peers), count, FrameUse::Question, [] {});
}

// The thread that sends and asks for changes.
void PropagationFleet::awaitUpdates(Node &Of) {
  Of.Busy = false;
  if (Of.HasChanges)
    return wake(Of);
  TimePoint due = Of.Queries.dueAt(budgetOf(Of), Of.Election->confirmedAt());
  Of.AskAt = std::max(due, Now + Milliseconds(1));
  onNode(Of, Of.AskAt, [this, &Of, at = Of.AskAt] {
    if (Of.Busy || Of.AskAt != at)
      return;
    if (Of.Queries.dueAt(budgetOf(Of), Of.Election->confirmedAt()) > Now)
      return awaitUpdates(Of);
    ask(Of);
  });
}

void PropagationFleet::wake(Node &Of) {
  Of.HasChanges = true;
  if (Of.Busy)
    return;
  Of.Busy = true;
  Of.HasChanges = false;
  onNode(Of, Now + budgetOf(Of).NotificationDelay, [this, &Of] { notify(Of); });
}

void PropagationFleet::notify(Node &Of) {
  bool hasNews = Of.Revisions != Of.Sent;
  Of.Sent = Of.Revisions;
  if (!std::exchange(Of.HasConfirmation, false) && !hasNews)
    return awaitUpdates(Of);
  contactNext(Of, Of.Members.selectContacts(NotificationTries, Now),
              NotificationContacts, FrameUse::Notification,
              [this, &Of] { awaitUpdates(Of); });
}

void PropagationFleet::ask(Node &Of) {
  Of.Busy = true;
  bool reading = Of.Reading[0] || Of.Reading[1];
  QueryTargets targets;
  targets.DomainReaders = [this, &Of] {
    std::vector<std::string> found;
    for (const std::string &it : Of.Election->readers(viewOf(Of)))
      found.push_back(Of.Members.addressOf(it));
    return found;
  };
  targets.OtherReaders = [this, &Of] {
    return Of.Members.otherReaders(Of.Domain, Now);
  };
  targets.Members = [this, &Of] { return Of.Members.selectContacts(1, Now); };
  std::string address = targetOf(Of.Queries.begin(reading, Now), targets);
  if (address.empty())
    return awaitUpdates(Of);
  exchange(Of, nodeAt(address), budgetOf(Of).AskTimeout, FrameUse::Question,
           [=, this, &Of](bool Responded) {
             if (!Responded)
               Of.Members.onContactFailed(address, Now);
             if (Now - Of.Election->confirmedAt().value_or(Start) <
                 budgetOf(Of).AskAge)
               Of.Queries.onFresh();
             awaitUpdates(Of);
           });
}

// The thread of the rounds.
void PropagationFleet::runRound(Node &Of) {
  std::vector<std::string> contacts =
      Of.Members.selectContacts(ContactsPerRound, Now);
  ReaderView view = viewOf(Of);
  if (Of.Election->isSelective(view, Now) && !Of.Reading[0]) {
    std::vector<std::string> readers = Of.Election->readers(view);
    if (!readers.empty() && !contacts.empty())
      contacts.back() =
          Of.Members.addressOf(readers[Of.Random() % readers.size()]);
  }
  contactNext(Of, std::move(contacts), ContactsPerRound, FrameUse::Round,
              [this, &Of] {
                onNode(Of, Now + RoundPeriod, [this, &Of] { runRound(Of); });
              });
}

void PropagationFleet::contactNext(Node &Of, std::vector<std::string> Rest,
                                   size_t Count, FrameUse Use,
                                   std::function<void()> Done) {
  if (Rest.empty() || Count == 0)
    return Done();
  std::string address = Rest.front();
  Rest.erase(Rest.begin());
  Milliseconds timeout =
      Use == FrameUse::Round ? ExchangeTimeout : budgetOf(Of).AskTimeout;
  exchange(Of, nodeAt(address), timeout, Use, [=, this, &Of](bool Responded) {
    if (!Responded && Use == FrameUse::Round)
      Of.Members.onContactFailed(address, Now);
    contactNext(Of, Rest, Count - Responded, Use, Done);
  });
}

bool PropagationFleet::reaches(const Node &From, const Node &To) const {
  return !From.CutOff && !To.CutOff && !To.CutOneWay;
}

Milliseconds PropagationFleet::latency(const Node &From, const Node &To) {
  Milliseconds time{1};
  std::uniform_real_distribution<double> draw(0, 1);
  if (From.Domain != To.Domain)
    for (Milliseconds again = RetransmissionTime; draw(Random) < Loss;
         again *= 2)
      time += again;
  return time;
}

void PropagationFleet::exchange(Node &From, Node &To, Milliseconds Timeout,
                                FrameUse Use, std::function<void(bool)> Done) {
  ++Exchanges;
  auto ended = std::make_shared<bool>(false);
  auto finish = [ended, done = std::move(Done)](bool Responded) {
    if (!std::exchange(*ended, true))
      done(Responded);
  };
  if (!To.Alive && reaches(From, To))
    return onNode(From, Now + Milliseconds(2), [finish] { finish(false); });
  onNode(From, Now + Timeout, [finish] { finish(false); });
  if (!reaches(From, To) || !reaches(To, From) || !To.Alive)
    return;

  struct Content {
    Member Sender;
    MemberNews News;
    std::array<uint64_t, 2> Revisions{};
    std::array<uint64_t, 2> Documents{0, 0}; // revisions of those in the frame
    std::array<std::optional<TimePoint>, 2> ConfirmedAt;
  };
  auto basic = [this](Node &Of) {
    Content content;
    content.Sender = memberOf(Of);
    content.Sender.StateVersion =
        Of.Version.versionOf(content.Sender, All.size() - 1, Now);
    content.Revisions = Of.Revisions;
    for (size_t k = 0; k < 2; ++k)
      content.ConfirmedAt[k] = Of.Election->confirmedAt(Kinds[k]);
    return content;
  };
  auto apply = [this, Use](Node &By, const Content &Frame) {
    By.Members.onMemberSeen(Frame.Sender, Now);
    for (const Member &it : Frame.News.Members)
      By.Members.onMemberSeen(it, Now);
    By.Members.onMembersHeard(Frame.News.Heard, Now);
    By.Election->onPeerHeard(Now);
    bool wasOld = isOld(By);
    bool behind = false;
    for (size_t k = 0; k < 2; ++k) {
      if (Frame.Documents[k] > 0)
        learn(By, Kinds[k], Frame.Documents[k]);
      bool current = By.Revisions[k] >= Frame.Revisions[k];
      if (current && Frame.ConfirmedAt[k])
        By.Election->onPeerConfirmed(Kinds[k], *Frame.ConfirmedAt[k]);
      By.Newest[k] = std::max(By.Newest[k], Frame.Revisions[k]);
      behind = behind || !current;
    }
    if (behind) {
      By.Queries.onBehind(Frame.Sender.Address, Now);
      if (!By.Busy)
        awaitUpdates(By);
    }
    if (By.Revisions[0] >= By.Newest[0] && By.Revisions[1] >= By.Newest[1])
      By.Queries.onCaughtUp();
    if (wasOld && !isOld(By) && Use == FrameUse::Notification) {
      By.HasConfirmation = true;
      wake(By);
    }
  };
  auto bytesOf = [this, Use](const Content &Frame) {
    return (Use == FrameUse::Question ? QuestionBytes : FrameBytes) +
           BytesPerHeard * static_cast<double>(Frame.News.Heard.size()) +
           (Frame.Documents[0] + Frame.Documents[1] > 0 ? Options.DocumentBytes
                                                        : 0);
  };
  auto send = [this, bytesOf](Node &By, const Content &Frame) {
    double bytes = bytesOf(Frame);
    Bytes += bytes;
    By.LinkFree = std::max(Now, By.LinkFree) + micros(bytes / BytesPerLinkMs);
    return By.LinkFree;
  };
  auto process = [this](Node &By) {
    By.CpuFree =
        std::max(By.CpuFree, Now) + FrameCost * (By.Slow ? SlowFactor : 1);
    return By.CpuFree;
  };

  auto request = std::make_shared<Content>(basic(From));
  if (Use == FrameUse::Notification &&
      From.Election->isSelective(viewOf(From), Now)) {
    request->Documents = From.Revisions;
  }
  if (Use == FrameUse::Round) {
    request->News = newsForRequest(From.Members.alive(Now), request->Sender,
                                   /*IsEarlierBuild=*/false);
  }
  TimePoint arrives = send(From, *request) + latency(From, To);
  onNode(To, arrives, [=, this, &From, &To] {
    onNode(To, process(To), [=, this, &From, &To] {
      auto response = std::make_shared<Content>(basic(To));
      if (Use != FrameUse::Notification)
        for (size_t k = 0; k < 2; ++k)
          if (To.Revisions[k] > request->Revisions[k])
            response->Documents[k] = To.Revisions[k];
      if (Use == FrameUse::Round) {
        response->News = newsForResponse(
            To.Members.alive(Now), response->Sender, request->News,
            request->Sender, To.Allowance, To.Random, Now);
      }
      TimePoint back = send(To, *response) + latency(To, From);
      apply(To, *request);
      if (!reaches(To, From))
        return;
      onNode(From, back, [=, this, &From] {
        if (*ended)
          return;
        onNode(From, process(From), [=, &From] {
          if (*ended)
            return;
          apply(From, *response);
          finish(true);
        });
      });
    });
  });
}

std::vector<PropagationFleet::Node *>
PropagationFleet::choose(const FaultSpell &Spell) {
  std::vector<Node *> order;
  for (auto &it : All)
    if (it->Alive)
      order.push_back(it.get());
  std::shuffle(order.begin(), order.end(), Random);
  if (Spell.ReadersFirst)
    std::stable_partition(order.begin(), order.end(), [](const Node *It) {
      return It->Reading[0] || It->Reading[1];
    });
  auto count =
      static_cast<size_t>(Spell.Share * static_cast<double>(order.size()));
  order.resize(std::clamp<size_t>(count, 1, order.size() - 1));
  return order;
}

void PropagationFleet::strike(const FaultSpell &Spell) {
  std::vector<Node *> struck = choose(Spell);
  for (Node *it : struck) {
    bool storeOnly = Spell.Fault == FleetFault::StoreSilent ||
                     Spell.Fault == FleetFault::StoreBusy;
    it->Excused = it->Excused || !storeOnly;
    switch (Spell.Fault) {
    case FleetFault::None:
      break;
    case FleetFault::StoreSilent:
    case FleetFault::StoreBusy:
      it->Store = Spell.Fault;
      for (const auto &watch : std::vector(Watches))
        if (watch->Of == it && Spell.Fault == FleetFault::StoreBusy)
          respondToWatch(watch);
      break;
    case FleetFault::WatchesHang:
      for (const auto &watch : Watches)
        if (watch->Of == it)
          watch->Lost = true;
      break;
    case FleetFault::Killed:
      kill(*it);
      break;
    case FleetFault::Frozen:
      it->Frozen = true;
      break;
    case FleetFault::CutOff:
      it->CutOff = true;
      break;
    case FleetFault::CutOneWay:
      it->CutOneWay = true;
      break;
    case FleetFault::Slow:
      it->Slow = true;
      break;
    }
  }
  at(Now + Spell.Time, [this, struck, Spell] { heal(struck, Spell); });
}

void PropagationFleet::heal(const std::vector<Node *> &Struck,
                            const FaultSpell &Spell) {
  for (Node *it : Struck) {
    if (Spell.Fault == FleetFault::StoreSilent ||
        Spell.Fault == FleetFault::StoreBusy)
      it->Store = FleetFault::None;
    if (Spell.Fault == FleetFault::CutOff)
      it->CutOff = false;
    if (Spell.Fault == FleetFault::CutOneWay)
      it->CutOneWay = false;
    if (Spell.Fault == FleetFault::Slow)
      it->Slow = false;
    if (Spell.Fault == FleetFault::Frozen && it->Frozen) {
      it->Frozen = false;
      for (auto &action : std::exchange(it->OnThaw, {}))
        at(Now, std::move(action));
    }
  }
}

PropagationResult PropagationFleet::play(const FaultSchedule &Schedule) {
  TimePoint begin = Now;
  uint64_t calls = Calls;
  Loss = Schedule.Loss;
  for (auto &it : All)
    it->Excused = false;
  for (const FaultSpell &it : Schedule.Spells)
    at(begin + it.At, [this, it] { strike(it); });
  TimePoint published = begin;
  for (Milliseconds it : Schedule.Changes) {
    published = begin + it;
    at(published, [this, kind = Schedule.Kind] { publish(kind); });
  }
  size_t k = index(Schedule.Kind);
  runUntil(published);
  uint64_t revision = StoreRevisions[k];
  auto isApplied = [&](const Node &It) {
    return It.Revisions[k] >= revision || It.Excused;
  };
  while (Now < published + JudgedTime &&
         !std::ranges::all_of(All, [&](auto &It) { return isApplied(*It); }))
    advance(Milliseconds(20));
  PropagationResult result;
  for (auto &it : All) {
    if (it->Excused || (Schedule.Loss > 0 && it->Domain == "d0"))
      continue;
    ++result.Judged;
    auto found = it->InForce[k].lower_bound(revision);
    Milliseconds taken = found == it->InForce[k].end()
                             ? JudgedTime
                             : ms(found->second - published);
    if (taken > result.Slowest) {
      result.Slowest = taken;
      result.SlowestInstance = it->Name;
    }
    result.Late += taken > Options.Bound;
  }
  if (FirstReadAt[k])
    result.Read = ms(*FirstReadAt[k] - published);
  result.Calls = Calls - calls;
  return result;
}

Milliseconds PropagationFleet::oldestKnowledge() const {
  Milliseconds oldest{0};
  for (const auto &it : All)
    if (it->runs())
      oldest = std::max(oldest,
                        ms(Now - it->Election->confirmedAt().value_or(Start)));
  return oldest;
}

FaultSchedule randomSchedule(std::mt19937_64 &Random) {
  auto draw = [&](int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random);
  };
  constexpr std::array Faults{
      FleetFault::StoreSilent, FleetFault::StoreSilent, FleetFault::StoreBusy,
      FleetFault::WatchesHang, FleetFault::Killed,      FleetFault::Frozen,
      FleetFault::CutOff,      FleetFault::CutOneWay,   FleetFault::Slow};
  constexpr std::array Shares{0.1, 0.2, 0.35, 0.5, 0.7, 0.8, 0.9};
  FaultSchedule schedule;
  int first = draw(500, 3500);
  int spells = draw(1, 2);
  for (int i = 0; i < spells; ++i) {
    FaultSpell spell;
    spell.Fault = Faults[static_cast<size_t>(draw(0, Faults.size() - 1))];
    spell.Share = Shares[static_cast<size_t>(draw(0, Shares.size() - 1))];
    spell.ReadersFirst = draw(0, 3) > 0;
    spell.At = Milliseconds(i == 0 ? first : first + draw(0, 1500));
    spell.Time = Milliseconds(draw(4000, 8000));
    // Two spells leave someone who can read and tell the others.
    if (spells > 1)
      spell.Share = std::min(spell.Share, 0.5);
    schedule.Spells.push_back(spell);
  }
  int change = first + draw(-50, 2500);
  for (int i = draw(0, 3); i > 0; --i)
    schedule.Changes.push_back(Milliseconds(std::max(0, change - 50 * i)));
  schedule.Changes.push_back(Milliseconds(change));
  schedule.Kind =
      draw(0, 1) == 0 ? PublishedKind::Routes : PublishedKind::Servers;
  schedule.Loss = draw(0, 5) == 0 ? 0.1 : 0;
  return schedule;
}

} // namespace crocusspur::test
