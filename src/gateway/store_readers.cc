#include "gateway/store_readers.h"

#include "log.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// An instance without peers reads, as one that others contact first.
bool isSeed(const GatewaySettings &Values) {
  return Values.PeerAddress.empty() || Values.SeedAddresses.empty() ||
         std::ranges::find(Values.SeedAddresses, Values.PeerAddress) !=
             Values.SeedAddresses.end();
}

} // namespace

StoreReaders::StoreReaders(const GatewaySettings &Values, uint64_t Seed,
                           const Membership &Peers,
                           const ServiceDirectory &Directory)
    : Values(Values), Peers(Peers), Directory(Directory),
      Election(Values.Instance, Values.FailureDomain, isSeed(Values), Seed,
               Clock::now()) {}

ReaderView StoreReaders::view() const {
  ReaderView view = Peers.readerView(Values.FailureDomain);
  view.Complete = Directory.isComplete();
  return view;
}

bool StoreReaders::shouldRead() {
  ReaderView now = view();
  std::lock_guard lock(Mutex);
  bool reading = Election.shouldRead(now, Clock::now());
  if (reading == Reading)
    return reading;
  Reading = reading;
  auto reason = static_cast<size_t>(Election.reason());
  if (reading)
    ++Begun[reason];
  std::optional<TimePoint> confirmed = Election.confirmedAt();
  log(LogLevel::Info, "store_readers",
      reading ? "reading from the store" : "learning from peers",
      {{"reason", ReadReasonNames[reason]},
       {"fleet", std::to_string(now.FleetSize)},
       {"candidates", std::to_string(now.Others.size() + 1)},
       {"store_failing_for", std::to_string(std::ranges::count_if(
                                 now.Others, &ReaderCandidate::StoreFailing))},
       {"complete", now.Complete ? "true" : "false"},
       {"confirmed_ago_ms",
        confirmed ? std::to_string(std::chrono::duration_cast<Milliseconds>(
                                       Clock::now() - *confirmed)
                                       .count())
                  : ""}});
  return reading;
}

ReadReason StoreReaders::reason() const {
  std::lock_guard lock(Mutex);
  return Reading ? Election.reason() : ReadReason::None;
}

std::array<uint64_t, ReadReasonNames.size()> StoreReaders::readsBegun() const {
  std::lock_guard lock(Mutex);
  return Begun;
}

bool StoreReaders::isReading() const {
  std::lock_guard lock(Mutex);
  return Reading;
}

bool StoreReaders::isSelective() const {
  ReaderView now = view();
  std::lock_guard lock(Mutex);
  return Election.isSelective(now, Clock::now());
}

std::vector<std::string> StoreReaders::readerAddresses() const {
  ReaderView now = view();
  std::lock_guard lock(Mutex);
  std::vector<std::string> all;
  for (const std::string &it : Election.readers(now))
    all.push_back(Peers.addressOf(it));
  return all;
}

void StoreReaders::onReadSucceeded(PublishedKind Kind) {
  std::lock_guard lock(Mutex);
  Election.onReadSucceeded(Kind, Clock::now());
}

void StoreReaders::onReadFailed() {
  std::lock_guard lock(Mutex);
  Election.onReadFailed(Clock::now());
}

void StoreReaders::onPeerHeard(std::optional<Milliseconds> ConfirmedAgo,
                               bool IsCurrent) {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  Election.onPeerHeard(now);
  // What the sender confirms is no use to an instance that lacks it.
  if (ConfirmedAgo && IsCurrent)
    Election.onPeerConfirmed(now - *ConfirmedAgo);
}

std::optional<Milliseconds> StoreReaders::confirmedAgo() const {
  std::lock_guard lock(Mutex);
  std::optional<TimePoint> confirmed = Election.confirmedAt();
  if (!confirmed)
    return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - *confirmed);
}

std::optional<Milliseconds>
StoreReaders::confirmedAgo(PublishedKind Kind) const {
  std::lock_guard lock(Mutex);
  std::optional<TimePoint> confirmed = Election.confirmedAt(Kind);
  if (!confirmed)
    return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - *confirmed);
}

bool StoreReaders::isStoreFailing() const {
  std::lock_guard lock(Mutex);
  return Election.isStoreFailing(Clock::now());
}

bool StoreReaders::isCurrent() const {
  std::lock_guard lock(Mutex);
  return Election.isCurrent(Clock::now());
}

} // namespace crocusspur::gateway
