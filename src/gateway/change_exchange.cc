#include "gateway/change_exchange.h"

#include "log.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Contacts that are told of a change at once, and those that are tried if some
// don't respond. Each instance that learns of it tells as many, the next one by
// name among them, so it spreads in few steps.
constexpr size_t NotificationContacts = 3;
constexpr size_t NotificationTries = 5;
// Crashes of one server are seen within milliseconds by all its callers.
constexpr Milliseconds CrashBatchDelay{20};
// What peers learn of a leaving server later than this they fetch in a round.
constexpr Milliseconds NotifiedLeavingAge{3000};
// More changes are left to the peers' questions, and so are longer texts: three
// copies of them would fill the links of small instances.
constexpr size_t MaxChangesPerNotification = 64;
constexpr size_t MaxNotifiedTextBytes = 65536;
// Notifications carry a few changes only; the rounds carry the rest.
constexpr Milliseconds PaceNotificationAge{600};
constexpr size_t MaxPacesPerNotification = 8;
// Before the documents are known there is nothing to ask for.
constexpr Milliseconds IncompletePause{200};

} // namespace

void addServers(const std::vector<ServerChange> &Changes, MemberFrame &Frame) {
  for (const ServerChange &it : Changes)
    Frame.Servers.push_back(
        {it.Id, it.Revision, !it.Entry, it.Entry ? it.Entry->Text : ""});
}

ChangeExchange::ChangeExchange(GatewayRuntime &Runtime,
                               ChangeExchangeHooks Hooks)
    : Runtime(Runtime), Hooks(std::move(Hooks)), Queries(Runtime.Incarnation) {}

void ChangeExchange::start() {
  Runtime.Readers.setConfirmationListener(
      [this](bool WasOld) { onStoreConfirmed(WasOld); });
  Thread = std::thread([this] { run(); });
}

void ChangeExchange::prepareStop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
}

void ChangeExchange::stop() {
  Runtime.Readers.setConfirmationListener(nullptr);
  prepareStop();
  if (Thread.joinable())
    Thread.join();
}

void ChangeExchange::onChange() {
  {
    std::lock_guard lock(Mutex);
    HasChanges = true;
  }
  Wake.notify_all();
}

void ChangeExchange::onStoreConfirmed(bool WasOld) {
  {
    std::lock_guard lock(Mutex);
    HasConfirmation = HasConfirmation || WasOld;
    IsConfirmed = true;
  }
  Wake.notify_all();
}

void ChangeExchange::onFrame(const MemberFrame &Frame, TimePoint At,
                             bool IsNotification) {
  Runtime.Readers.onPeerHeard();
  if (!Runtime.Directory.isComplete())
    return;
  bool wasOld = Runtime.Readers.isOld();
  ConfigKey config(Runtime.Directory.routes()->Version,
                   Runtime.Directory.routesRevision());
  StoreRevision servers = Runtime.Directory.serversRevision();
  bool hasConfig = config >= configOf(Frame);
  bool hasServers = servers >= Frame.ServersRevision;
  // What the sender confirms is no use to an instance that lacks it.
  for (auto [kind, has] : {std::pair{PublishedKind::Servers, hasServers},
                           {PublishedKind::Routes, hasConfig}})
    if (std::optional<Milliseconds> ago =
            Frame.ConfirmedAgo[static_cast<size_t>(kind)];
        ago && has)
      Runtime.Readers.onPeerConfirmed(kind, At - *ago);
  bool isRecent = wasOld && !Runtime.Readers.isOld();
  {
    std::lock_guard lock(Mutex);
    NewestConfig = std::max(NewestConfig, configOf(Frame));
    NewestServers = std::max(NewestServers, Frame.ServersRevision);
    if (!hasConfig || !hasServers)
      Queries.onBehind(Frame.Sender.Address, Clock::now());
    else if (config >= NewestConfig && servers >= NewestServers)
      Queries.onCaughtUp();
    IsRescheduled = Queries.isBehind();
    if (!IsRescheduled && !(isRecent && IsNotification))
      return;
    HasConfirmation = HasConfirmation || (isRecent && IsNotification);
  }
  Wake.notify_all();
}

TimePoint ChangeExchange::nextQuestion() {
  if (!Runtime.Directory.isComplete())
    return Clock::now() + IncompletePause;
  PropagationBudget budget = Runtime.Readers.budget();
  std::optional<TimePoint> confirmed = Runtime.Readers.confirmedAt();
  std::lock_guard lock(Mutex);
  return Queries.dueAt(budget, confirmed);
}

bool ChangeExchange::await() {
  while (true) {
    TimePoint due = nextQuestion();
    std::unique_lock lock(Mutex);
    Wake.wait_until(lock, due, [this] {
      return Stopping || HasChanges || HasConfirmation || IsConfirmed ||
             IsRescheduled;
    });
    if (Stopping)
      return false;
    if (HasChanges || HasConfirmation || IsConfirmed)
      return true;
    if (!std::exchange(IsRescheduled, false))
      return true;
  }
}

void ChangeExchange::run() {
  while (await()) {
    if (Runtime.Closing.load()) {
      std::unique_lock lock(Mutex);
      Wake.wait(lock, [this] { return Stopping; });
      return;
    }
    bool hasChanges = false;
    bool isConfirmed = false;
    {
      std::lock_guard lock(Mutex);
      hasChanges = HasChanges || HasConfirmation;
      HasChanges = false;
      isConfirmed = std::exchange(IsConfirmed, false);
    }
    if (hasChanges) {
      Milliseconds delay = Runtime.Readers.isSelective()
                               ? Runtime.Readers.budget().NotificationDelay
                               : CrashBatchDelay;
      bool isConfirmation = false;
      {
        std::unique_lock lock(Mutex);
        if (Wake.wait_for(lock, delay, [this] { return Stopping; }))
          return;
        isConfirmation = std::exchange(HasConfirmation, false);
      }
      ThreadWatch::Work work(Runtime.Threads, "notifications");
      sendNotifications(isConfirmation);
    } else if (isConfirmed) {
      ThreadWatch::Work work(Runtime.Threads, "confirmations");
      tellReaders();
    } else if (nextQuestion() <= Clock::now()) {
      ThreadWatch::Work work(Runtime.Threads, "questions");
      ask();
    }
  }
}

bool ChangeExchange::addChanges(MemberFrame &Frame) {
  StoreRevision servers = std::exchange(SentServers, Frame.ServersRevision);
  ConfigKey config = std::exchange(SentConfig, configOf(Frame));
  bool isSelective = Runtime.Readers.isSelective();
  bool found = false;
  if (configOf(Frame) > config && config.first > 0) {
    found = true;
    RouteDocumentPtr routes = Runtime.Directory.routes();
    // Where all read, most have it already.
    if (isSelective && routes->Text.size() <= MaxNotifiedTextBytes &&
        routes->Version == Frame.ConfigVersion)
      Frame.RoutesText = routes->Text;
  }
  if (Frame.ServersRevision <= servers || servers.Number == 0 ||
      servers.Era != Frame.ServersRevision.Era)
    return found;
  std::optional<std::vector<ServerChange>> changes;
  if (isSelective)
    changes = Runtime.Directory.serversChangedAfter(servers);
  if (changes && !changes->empty() &&
      changes->size() <= MaxChangesPerNotification) {
    addServers(*changes, Frame);
    Frame.ChangesSince = servers;
  }
  return true;
}

void ChangeExchange::sendNotifications(bool IsConfirmation) {
  MemberFrame frame = Hooks.BasicFrame();
  frame.IsNotification = true;
  uint64_t change = Runtime.Crashes.lastChange();
  frame.Crashes = Runtime.Crashes.changesAfter(SentCrashChange);
  SentCrashChange = change;
  frame.Leaving = Runtime.Directory.leavingServers(NotifiedLeavingAge);
  frame.Paces = Runtime.Directory.pacesChangedSince(
      Clock::now() - PaceNotificationAge, MaxPacesPerNotification);
  std::erase_if(frame.Paces,
                [](const PaceSummary &It) { return !It.IsChange; });
  bool isNewEra = std::exchange(SentEra, frame.StoreEra) != frame.StoreEra;
  bool hasChanges = addChanges(frame);
  bool hasOthers = !frame.Crashes.empty() || !frame.Limits.empty() ||
                   !frame.Leaving.empty() || !frame.Paces.empty() || isNewEra;
  if (!hasOthers && !hasChanges && !IsConfirmation)
    return;
  if (!hasOthers && frame.RoutesText.empty() && !frame.ChangesSince)
    frame = Hooks.LightFrame();
  Milliseconds timeout = Runtime.Readers.budget().AskTimeout;
  size_t told = 0;
  for (const std::string &it :
       Runtime.Peers.selectContacts(NotificationTries)) {
    if (Runtime.Closing.load() || told == NotificationContacts)
      return;
    if (Hooks.Exchange(it, frame, timeout))
      ++told;
    else
      log(LogLevel::Info, "member_links",
          "peer was not told of a crash, a limit, a leaving server, a pace, an "
          "era or a published change",
          {{"peer", it}, {"why", "no response; its next round fetches it"}});
  }
}

void ChangeExchange::tellReaders() {
  // Of the instances that don't read, none relies on one that reads once.
  if (!Runtime.Readers.isSelective() || !Runtime.Readers.isRegularReader())
    return;
  MemberFrame frame = Hooks.LightFrame();
  Milliseconds timeout = Runtime.Readers.budget().AskTimeout;
  for (const std::string &it : Runtime.Readers.allReaders()) {
    if (Runtime.Closing.load())
      return;
    if (!Hooks.Exchange(it, frame, timeout))
      Runtime.Peers.onContactFailed(it);
  }
}

void ChangeExchange::ask() {
  QueryTargets targets{[this] { return Runtime.Readers.domainReaders(); },
                       [this] { return Runtime.Readers.otherReaders(); },
                       [this] { return Runtime.Peers.selectContacts(1); }};
  bool isReading = Runtime.Readers.isRegularReader();
  KnowledgeQuery query;
  {
    std::lock_guard lock(Mutex);
    query = Queries.begin(isReading, Clock::now());
  }
  std::string address = targetOf(query, targets);
  if (address.empty())
    return;
  MemberFrame frame = Hooks.LightFrame();
  frame.WantsRoutes = true;
  frame.WantsServers = true;
  frame.AcceptsChanges = true;
  PropagationBudget budget = Runtime.Readers.budget();
  if (!Hooks.Exchange(address, frame, budget.AskTimeout))
    Runtime.Peers.onContactFailed(address);
  std::optional<Milliseconds> ago = Runtime.Readers.confirmedAgo();
  std::lock_guard lock(Mutex);
  if (ago && *ago < budget.AskAge)
    Queries.onFresh();
}

} // namespace crocusspur::gateway
