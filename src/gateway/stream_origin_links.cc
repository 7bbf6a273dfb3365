// Plug-in: sends records of streams to their keepers, asks keepers, and reads
// the servers again from the store when a decision needs the latest state.
#include "crocusspur/kernel.h"
#include "gateway/gateway_runtime.h"
#include "gateway/member_exchange.h"
#include "log.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Instances that keep a record besides its writer.
constexpr size_t KeepersPerStream = 3;
// Keepers that are asked. More than have a record, since instances differ in
// whom they know.
constexpr size_t MaxKeepersAsked = 6;
// Peers respond from memory, within milliseconds.
constexpr Milliseconds RecordTimeout{150};
constexpr Milliseconds QueryTimeout{60};
// Of all queries for one stream.
constexpr Milliseconds TotalQueryTime{200};
// Requests share a read of the store that began at most this long before they
// ask. A server that registered since can't have begun a stream that was cut
// and taken up already: its prompt alone takes longer.
constexpr Milliseconds ReadSharingTime{100};

std::string nameOf(StreamKey Stream) {
  return "stream:" + std::to_string(Stream);
}

class StreamOriginLinks final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;

private:
  void sendRecords();
  std::vector<OriginKnowledge> askKeepers(const OriginQuery &Query);
  bool confirmServers();

  GatewayRuntime *Runtime = nullptr;
  std::thread Thread;
  std::mutex ReadMutex; // guards the members below
  PublishedReader Reader;
  std::optional<TimePoint> ReadStartedAt; // of the last successful read
};

bool StreamOriginLinks::start(Kernel &Owner) {
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  Reader = Runtime->Source.MakeReader(PublishedKind::Servers);
  Runtime->Origins.setHooks(
      {[this](const OriginQuery &Query) { return askKeepers(Query); },
       [this] { return confirmServers(); }});
  Thread = std::thread([this] { sendRecords(); });
  return true;
}

void StreamOriginLinks::prepareStop() { Runtime->Origins.stop(); }

void StreamOriginLinks::stop() {
  if (Thread.joinable())
    Thread.join();
}

void StreamOriginLinks::sendRecords() {
  while (true) {
    std::vector<StreamOrigin> records = Runtime->Origins.takeUnsent();
    if (records.empty())
      return;
    std::map<std::string, std::vector<StreamOrigin>> byKeeper; // by address
    for (const StreamOrigin &record : records) {
      std::vector<std::string> keepers =
          Runtime->Peers.keepersOf(nameOf(record.Stream));
      keepers.resize(std::min(keepers.size(), KeepersPerStream));
      for (const std::string &it : keepers)
        byKeeper[it].push_back(record);
    }
    for (auto &[address, origins] : byKeeper) {
      MemberFrame frame;
      frame.Sender = Runtime->ownMember();
      frame.Origins = std::move(origins);
      if (callMember(address, frame, RecordTimeout, &Runtime->Memory))
        continue;
      Runtime->Peers.onContactFailed(address);
      log(LogLevel::Info, "stream_origins",
          "peer did not confirm records of streams",
          {{"peer", address},
           {"records", std::to_string(frame.Origins.size())}});
    }
  }
}

// Runs on the thread of a request.
std::vector<OriginKnowledge>
StreamOriginLinks::askKeepers(const OriginQuery &Query) {
  std::vector<OriginKnowledge> known;
  TimePoint until = Clock::now() + TotalQueryTime;
  std::vector<std::string> keepers =
      Runtime->Peers.keepersOf(nameOf(Query.Stream));
  keepers.resize(std::min(keepers.size(), MaxKeepersAsked));
  MemberFrame frame;
  frame.Sender = Runtime->ownMember();
  frame.WantedOrigin = Query;
  for (const std::string &it : keepers) {
    if (Clock::now() >= until)
      break;
    std::optional<MemberFrame> response =
        callMember(it, frame, QueryTimeout, &Runtime->Memory);
    if (!response)
      Runtime->Peers.onContactFailed(it);
    if (!response || !response->Origin)
      continue;
    known.push_back(*response->Origin);
    if (known.back().Recorded)
      break;
  }
  return known;
}

// Runs on the thread of a request.
bool StreamOriginLinks::confirmServers() {
  TimePoint wanted = Clock::now() - ReadSharingTime;
  std::lock_guard lock(ReadMutex);
  if (ReadStartedAt && *ReadStartedAt >= wanted)
    return true;
  TimePoint started = Clock::now();
  PublishedUpdate update =
      Reader.ReadAll([this] { return Runtime->Closing.load(); });
  if (!acceptEra(Runtime->Directory, update) ||
      update.Status != ReadStatus::Ok) {
    log(LogLevel::Info, "stream_origins", "servers could not be read",
        {{"why", update.Error}});
    return false;
  }
  for (const ServerChange &it : update.Servers)
    Runtime->Directory.applyServer(it, UpdateOrigin::Store);
  ReadStartedAt = started;
  return true;
}

const PluginRegistration Registration{
    {"stream_origins", Phase::PeerLinks,
     [] { return std::make_unique<StreamOriginLinks>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
