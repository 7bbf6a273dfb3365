// Plug-in: sends records of streams to their keepers, asks keepers, and reads
// the servers again from the store when a decision needs the latest state.
#include "checked_mutex.h"
#include "crocusspur/kernel.h"
#include "gateway/decisions/streams/record_keepers.h"
#include "gateway/gateway_runtime.h"
#include "gateway/member_exchange.h"
#include "log.h"

#include <algorithm>
#include <array>
#include <deque>
#include <exception>
#include <map>
#include <mutex>
#include <span>
#include <thread>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Records for one of them that wait to be sent; some seconds of streams at an
// instance.
constexpr size_t MaxUrgentUnsent = 1024;
// Peers respond from memory, within milliseconds.
constexpr Milliseconds RecordTimeout{150};
// A frame of these takes a keeper about a millisecond.
constexpr size_t MaxRecordsPerFrame = 1024;
// Of the time that a process has from its exit to SIGKILL, which it also needs
// to end the answers of its callers.
constexpr Milliseconds LastHandOverTime{250};
constexpr Milliseconds QueryTimeout{60};
// Of all queries for one stream.
constexpr Milliseconds TotalQueryTime{200};
// Of a watch that is to return what has changed so far.
constexpr Milliseconds CatchUpWait{1};

std::string nameOf(StreamKey Stream) {
  return "stream:" + std::to_string(Stream);
}

// `After`: the revision from which changes were asked for; 0: they weren't.
void logUnread(const std::string &Why, StoreRevision After,
               const PublishedUpdate &List, const PublishedUpdate &Changes) {
  log(LogLevel::Info, "stream_origins", "changes of servers could not be read",
      {{"why", Why},
       {"after_revision", std::to_string(After.Number)},
       {"list_revision", std::to_string(List.Revision.Number)},
       {"revision", std::to_string(Changes.Revision.Number)}});
}

// Sends records that all who may be asked have to know at once, such as that
// nobody may go on with a stream, to the keeper of one rank of each. A thread
// for each rank: a silent keeper of one stream delays only the records that
// have a keeper of its rank, and no stream's other keepers.
class UrgentRecordSender {
public:
  void start(GatewayRuntime &Owner, size_t KeeperRank);
  void add(const StreamOrigin &Record, const RecordDeliveryPtr &Delivery);
  void stop();
  void join();

private:
  struct Item {
    StreamOrigin Record;
    RecordDeliveryPtr Delivery;
  };
  void run();
  void send(const std::string &Address, const std::vector<Item> &Items);

  GatewayRuntime *Runtime = nullptr;
  size_t KeeperRank = 0;
  std::thread Thread;
  internal::LeafMutex Mutex; // guards the members below
  internal::ConditionVariable Wake;
  std::deque<Item> Unsent;
  bool Stopped = false;
};

class StreamOriginLinks final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  // Until then open requests are ended, which may record something.
  void stop() override;

private:
  struct RecordToSend {
    StreamOrigin Record;
    std::vector<std::string> Ranked; // addresses of its keepers
    RecordKeepers Keepers;
  };

  void sendRecords();
  // Returns the number of those that another instance keeps.
  size_t sendAll(std::span<const StreamOrigin> Records, TimePoint Until);
  // Sends each record to as many keepers as haven't confirmed it yet, the next
  // ones in rank. Returns false if there was none left to send to, or at
  // `Until`.
  bool sendOnce(std::vector<RecordToSend> &Records, TimePoint Until);
  RecordDeliveryPtr sendToAll(const StreamOrigin &Record);
  std::vector<OriginKnowledge> askKeepers(StreamKey Stream);
  bool readListAndChanges();
  // The changes, or the entries if the store has discarded some of the changes.
  ServersReading readChangesOrList();
  // Applies what has changed since the known revision, and the list if there is
  // one. Returns Ok if none of it is missing.
  ReadStatus readChanges(const PublishedUpdate *List);
  PublishedUpdate readList();

  GatewayRuntime *Runtime = nullptr;
  std::thread Thread;
  // To each keeper that may have been sent the stream's version.
  std::array<UrgentRecordSender, MaxKeepersAsked> Senders;
  // Reads by requests, each shared by those that wait for it meanwhile.
  template <typename Result> class SharedRead {
  public:
    explicit SharedRead(std::function<Result()> Read) : Read(std::move(Read)) {}
    // Returns the result of a read that began after the call.
    Result await();

  private:
    const std::function<Result()> Read;
    internal::LeafMutex Mutex; // guards the members below
    internal::ConditionVariable Ended;
    uint64_t Begun = 0; // reads
    uint64_t LastEnded = 0;
    Result Last{};
  };
  internal::LeafMutex ReaderMutex; // guards the reader
  PublishedReader Reader;
  SharedRead<bool> CatchUp{[this] { return readListAndChanges(); }};
  SharedRead<ServersReading> ChangesOnly{
      [this] { return readChangesOrList(); }};
};

void UrgentRecordSender::start(GatewayRuntime &Owner, size_t KeeperRank) {
  Runtime = &Owner;
  this->KeeperRank = KeeperRank;
  Thread = std::thread([this] { run(); });
}

void UrgentRecordSender::add(const StreamOrigin &Record,
                             const RecordDeliveryPtr &Delivery) {
  Item refused;
  {
    std::lock_guard lock(Mutex);
    if (Stopped) {
      refused = {Record, Delivery};
    } else {
      Unsent.push_back({Record, Delivery});
      if (Unsent.size() > MaxUrgentUnsent) {
        refused = std::move(Unsent.front());
        Unsent.pop_front();
      }
    }
  }
  Wake.notify_one();
  // The request that waits for it logs that.
  if (refused.Delivery)
    refused.Delivery->onKeeperEnded(false);
}

void UrgentRecordSender::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopped = true;
  }
  Wake.notify_all();
}

void UrgentRecordSender::join() {
  if (Thread.joinable())
    Thread.join();
}

void UrgentRecordSender::run() {
  while (true) {
    std::vector<Item> items;
    bool stopped = false;
    {
      std::unique_lock lock(Mutex);
      Wake.wait(lock, [this] { return Stopped || !Unsent.empty(); });
      stopped = Stopped;
      items.assign(Unsent.begin(), Unsent.end());
      Unsent.clear();
    }
    ThreadWatch::Work work(Runtime->Threads, "urgent records of streams");
    std::map<std::string, std::vector<Item>> byKeeper; // by address
    for (Item &it : items) {
      std::vector<std::string> keepers =
          Runtime->Peers.keepersOf(nameOf(it.Record.Stream));
      // In a fleet of few instances there may be no keeper of this rank.
      if (stopped || keepers.size() <= KeeperRank)
        it.Delivery->onKeeperEnded(!stopped);
      else
        byKeeper[keepers[KeeperRank]].push_back(std::move(it));
    }
    for (const auto &[address, all] : byKeeper)
      send(address, all);
    if (stopped)
      return;
  }
}

void UrgentRecordSender::send(const std::string &Address,
                              const std::vector<Item> &Items) {
  MemberFrame frame;
  frame.Sender = Runtime->ownMember();
  for (const Item &it : Items)
    frame.Origins.push_back(it.Record);
  bool confirmed =
      callMemberWithin(Address, encode(frame), RecordTimeout, &Runtime->Memory)
          .has_value();
  if (!confirmed) {
    Runtime->Peers.onContactFailed(Address);
    log(LogLevel::Warn, "stream_origins",
        "peer did not confirm urgent records of streams",
        {{"peer", Address}, {"records", std::to_string(Items.size())}});
  }
  for (const Item &it : Items)
    it.Delivery->onKeeperEnded(confirmed);
}

bool StreamOriginLinks::start(Kernel &Owner) {
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  Reader = Runtime->Source.MakeReader(PublishedKind::Servers, Runtime->Memory);
  Runtime->Origins.setHooks(
      {[this](StreamKey Stream) { return askKeepers(Stream); },
       [this] { return CatchUp.await(); },
       [this](const StreamOrigin &Record) { return sendToAll(Record); },
       [this] { return ChangesOnly.await(); }});
  for (size_t i = 0; i < Senders.size(); ++i)
    Senders[i].start(*Runtime, i);
  Thread = std::thread([this] { sendRecords(); });
  return true;
}

void StreamOriginLinks::stop() {
  Runtime->Origins.stop();
  for (UrgentRecordSender &it : Senders)
    it.stop();
  if (Thread.joinable())
    Thread.join();
  for (UrgentRecordSender &it : Senders)
    it.join();
  StreamOrigins::Counters counts = Runtime->Origins.counters();
  log(LogLevel::Info, "stream_origins", "records of streams end here",
      {{"held", std::to_string(counts.Held)},
       {"own", std::to_string(counts.Records)}});
}

RecordDeliveryPtr StreamOriginLinks::sendToAll(const StreamOrigin &Record) {
  auto delivery = std::make_shared<RecordDelivery>(Senders.size());
  for (UrgentRecordSender &it : Senders)
    it.add(Record, delivery);
  return delivery;
}

void StreamOriginLinks::sendRecords() {
  while (std::optional<StreamOrigins::Unsent> unsent =
             Runtime->Origins.takeUnsent()) {
    ThreadWatch::Work work(Runtime->Threads, "records of streams");
    TimePoint started = Clock::now();
    TimePoint until =
        unsent->IsLast ? started + LastHandOverTime : TimePoint::max();
    size_t kept = 0;
    std::span<const StreamOrigin> left = unsent->Records;
    while (!left.empty() && Clock::now() < until) {
      size_t count = std::min(left.size(), MaxRecordsPerFrame);
      kept += sendAll(left.first(count), until);
      left = left.subspan(count);
    }
    if (!unsent->IsHandOver)
      continue;
    auto taken =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
    log(LogLevel::Info, "stream_origins", "records of streams handed over",
        {{"records", std::to_string(unsent->Records.size())},
         {"kept_by_others", std::to_string(kept)},
         {"at", unsent->IsLast ? "exit" : "signal"},
         {"taken_ms", std::to_string(taken.count())}});
  }
}

size_t StreamOriginLinks::sendAll(std::span<const StreamOrigin> Records,
                                  TimePoint Until) {
  std::vector<RecordToSend> all;
  for (const StreamOrigin &it : Records) {
    std::vector<std::string> ranked =
        Runtime->Peers.receiversOf(nameOf(it.Stream));
    ranked.resize(std::min(ranked.size(), MaxKeepersAsked));
    size_t known = ranked.size();
    all.push_back({it, std::move(ranked), RecordKeepers(known)});
  }
  while (sendOnce(all, Until)) {
  }
  return static_cast<size_t>(std::ranges::count_if(
      all, [](const RecordToSend &It) { return It.Keepers.confirmed() > 0; }));
}

bool StreamOriginLinks::sendOnce(std::vector<RecordToSend> &Records,
                                 TimePoint Until) {
  std::map<std::string, std::vector<RecordToSend *>> byKeeper; // by address
  for (RecordToSend &it : Records) {
    RecordKeepers::Ranks ranks = it.Keepers.next();
    for (size_t i = ranks.Begin; i < ranks.End; ++i)
      byKeeper[it.Ranked[i]].push_back(&it);
  }
  for (const auto &[address, items] : byKeeper) {
    if (Clock::now() >= Until)
      break;
    MemberFrame frame;
    frame.Sender = Runtime->ownMember();
    for (const RecordToSend *it : items)
      frame.Origins.push_back(it->Record);
    if (callMember(address, frame, RecordTimeout, &Runtime->Memory)) {
      for (RecordToSend *it : items)
        it->Keepers.onConfirmed();
      continue;
    }
    Runtime->Peers.onContactFailed(address);
    log(LogLevel::Info, "stream_origins",
        "peer did not confirm records of streams; sending them to the next "
        "keepers",
        {{"peer", address}, {"records", std::to_string(items.size())}});
  }
  return !byKeeper.empty() && Clock::now() < Until;
}

// Runs on the thread of a request.
std::vector<OriginKnowledge> StreamOriginLinks::askKeepers(StreamKey Stream) {
  TimePoint until = Clock::now() + TotalQueryTime;
  std::vector<std::string> keepers = Runtime->Peers.keepersOf(nameOf(Stream));
  MemberFrame frame;
  frame.Sender = Runtime->ownMember();
  frame.WantedOrigin = Stream;
  return collectKnowledge(std::min(keepers.size(), MaxKeepersAsked),
                          [&](size_t Keeper) -> std::optional<OriginKnowledge> {
                            if (Clock::now() >= until)
                              return std::nullopt;
                            const std::string &address = keepers[Keeper];
                            std::optional<MemberFrame> response = callMember(
                                address, frame, QueryTimeout, &Runtime->Memory);
                            if (!response) {
                              Runtime->Peers.onContactFailed(address);
                              return std::nullopt;
                            }
                            return response->Origin;
                          });
}

// Runs on the thread of a request. No request shares a read that began before
// it asked: in between the instance may have stood still. Those that wait share
// a failure as well, since a store that is silent takes long to show that.
template <typename Result>
Result StreamOriginLinks::SharedRead<Result>::await() {
  std::unique_lock lock(Mutex);
  uint64_t wanted = Begun + 1;
  while (LastEnded < wanted) {
    if (LastEnded < Begun) {
      Ended.wait(lock);
      continue;
    }
    uint64_t number = ++Begun;
    lock.unlock();
    Result result{};
    std::exception_ptr fault;
    try {
      result = Read();
    } catch (...) {
      fault = std::current_exception();
    }
    lock.lock();
    Last = std::move(result);
    LastEnded = number;
    Ended.notify_all();
    if (fault)
      std::rethrow_exception(fault);
  }
  return Last;
}

// A list alone doesn't show servers that have come and gone since this instance
// learned its last change, so the changes themselves are read.
bool StreamOriginLinks::readListAndChanges() {
  if (Runtime->Directory.serversRevision().Number == 0)
    return false;
  PublishedUpdate list = readList();
  return list.Status == ReadStatus::Ok && readChanges(&list) == ReadStatus::Ok;
}

PublishedUpdate StreamOriginLinks::readList() {
  PublishedUpdate list;
  {
    std::lock_guard lock(ReaderMutex);
    list = Reader.ReadAll([this] { return Runtime->Closing.load(); });
  }
  if (!acceptEra(Runtime->Directory, list))
    list.Status = ReadStatus::Unavailable;
  if (list.Status != ReadStatus::Ok)
    logUnread(list.Error, {}, list, {});
  return list;
}

ServersReading StreamOriginLinks::readChangesOrList() {
  ReadStatus status = readChanges(nullptr);
  if (status == ReadStatus::Ok)
    return ServersReading::changes();
  if (status != ReadStatus::HistoryCompacted)
    return ServersReading::failed();
  StoreRevision known = Runtime->Directory.serversRevision();
  PublishedUpdate list = readList();
  if (list.Status != ReadStatus::Ok || list.IsResumed ||
      list.Revision.Era != known.Era)
    return ServersReading::failed();
  ServersReading::Processes listed;
  for (const ServerChange &it : list.Servers) {
    Runtime->Directory.applyServer(it, UpdateOrigin::Store);
    if (it.Entry)
      listed[it.Id] = processOf(*it.Entry);
  }
  return ServersReading::list(std::move(listed));
}

ReadStatus StreamOriginLinks::readChanges(const PublishedUpdate *List) {
  StoreRevision known = Runtime->Directory.serversKnownUpTo();
  if (known.Number == 0)
    return ReadStatus::Unavailable;
  PublishedUpdate changes;
  {
    std::lock_guard lock(ReaderMutex);
    changes = Reader.Watch(known.Number, CatchUpWait,
                           [this] { return Runtime->Closing.load(); });
  }
  // A watch that is behind the list hasn't heard of all changes.
  if (changes.Status != ReadStatus::Ok ||
      !acceptEra(Runtime->Directory, changes) ||
      changes.Revision.Era != known.Era ||
      changes.Revision.Number < known.Number ||
      (List && (List->Revision.Era != known.Era ||
                changes.Revision.Number < List->Revision.Number))) {
    logUnread(changes.Error, known, List ? *List : PublishedUpdate(), changes);
    return changes.Status == ReadStatus::Ok ? ReadStatus::Unavailable
                                            : changes.Status;
  }
  const PublishedUpdate *const updates[] = {&changes, List};
  for (const PublishedUpdate *update : updates)
    if (update)
      for (const ServerChange &it : update->Servers)
        Runtime->Directory.applyServer(it, UpdateOrigin::Store);
  Runtime->Directory.onServersKnownUpTo(changes.Revision);
  return ReadStatus::Ok;
}

const PluginRegistration Registration{
    {"stream_origins", Phase::PeerLinks,
     [] { return std::make_unique<StreamOriginLinks>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
