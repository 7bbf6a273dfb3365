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

std::optional<Milliseconds> since(std::optional<TimePoint> At) {
  if (!At)
    return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - *At);
}

} // namespace

StoreReaders::StoreReaders(const GatewaySettings &Values, uint64_t Seed,
                           const Membership &Peers,
                           const ServiceDirectory &Directory)
    : Values(Values), Peers(Peers), Directory(Directory),
      Election(Values.Instance, Values.FailureDomain, isSeed(Values), Seed,
               {Values.ConfigApplyTime, Values.MaxDrainTime}, Clock::now()) {}

std::unique_lock<internal::LeafMutex> StoreReaders::lockWithView() const {
  {
    std::unique_lock lock(Mutex);
    if (Clock::now() - ViewAt < ViewLifetime && View.Complete)
      return lock;
  }
  TimePoint now = Clock::now();
  ReaderView view = Peers.readerView(Values.FailureDomain);
  view.Complete = Directory.isComplete();
  std::unique_lock lock(Mutex);
  if (ViewAt <= now) {
    View = std::move(view);
    ViewAt = now;
  }
  return lock;
}

bool StoreReaders::shouldRead(PublishedKind Kind) {
  std::unique_lock lock = lockWithView();
  TimePoint now = Clock::now();
  ReadReason &last = Reasons[static_cast<size_t>(Kind)];
  ReadReason former = last;
  last = Election.shouldRead(View, Kind, now) ? Election.reason(View, Kind, now)
                                              : ReadReason::None;
  if (last == former)
    return last != ReadReason::None;
  auto reason = static_cast<size_t>(last);
  if (last != ReadReason::None)
    ++Begun[reason];
  // One that reads once does so for both kinds.
  if (Kind == PublishedKind::Servers)
    return last != ReadReason::None;
  std::optional<Milliseconds> confirmed = since(Election.confirmedAt());
  log(LogLevel::Info, "store_readers",
      last != ReadReason::None ? "reading from the store"
                               : "learning from peers",
      {{"reason", ReadReasonNames[reason]},
       {"fleet", std::to_string(View.FleetSize)},
       {"candidates", std::to_string(View.Others.size() + 1)},
       {"store_failing_for", std::to_string(std::ranges::count_if(
                                 View.Others, &ReaderCandidate::StoreFailing))},
       {"complete", View.Complete ? "true" : "false"},
       {"confirmed_ago_ms",
        confirmed ? std::to_string(confirmed->count()) : ""}});
  return last != ReadReason::None;
}

bool StoreReaders::readsOnce(PublishedKind Kind) const {
  std::lock_guard lock(Mutex);
  return Reasons[static_cast<size_t>(Kind)] == ReadReason::Stale;
}

bool StoreReaders::isReading() const { return reason() != ReadReason::None; }

bool StoreReaders::isRegularReader() const {
  ReadReason now = reason();
  return now != ReadReason::None && now != ReadReason::Stale;
}

ReadReason StoreReaders::reason() const {
  std::lock_guard lock(Mutex);
  return Reasons[static_cast<size_t>(PublishedKind::Routes)];
}

bool StoreReaders::isSelective() const {
  std::unique_lock lock = lockWithView();
  return Election.isSelective(View, Clock::now());
}

PropagationBudget StoreReaders::budget() const {
  std::unique_lock lock = lockWithView();
  return Election.budget(View, Clock::now());
}

std::vector<std::string> StoreReaders::domainReaders() const {
  std::vector<std::string> names;
  {
    std::unique_lock lock = lockWithView();
    names = Election.readers(View);
  }
  std::vector<std::string> all;
  for (const std::string &it : names)
    all.push_back(Peers.addressOf(it));
  return all;
}

std::vector<std::string> StoreReaders::otherReaders() const {
  return Peers.otherReaders(Values.FailureDomain);
}

std::vector<std::string> StoreReaders::allReaders() const {
  std::vector<std::string> all = otherReaders();
  for (std::string &it : domainReaders())
    all.push_back(std::move(it));
  return all;
}

void StoreReaders::setConfirmationListener(ConfirmationListener Listener) {
  OnConfirmation.set(std::move(Listener));
}

void StoreReaders::onReadSucceeded(PublishedKind Kind, TimePoint At) {
  bool wasOld = false;
  {
    std::unique_lock lock = lockWithView();
    wasOld = isOldLocked();
    Election.onReadSucceeded(Kind, At);
    wasOld = wasOld && !isOldLocked();
  }
  OnConfirmation.call(wasOld);
}

void StoreReaders::onReadFailed() {
  std::unique_lock lock = lockWithView();
  Election.onReadFailed(View.FleetSize, Clock::now());
}

void StoreReaders::onPeerHeard() {
  std::lock_guard lock(Mutex);
  Election.onPeerHeard(Clock::now());
}

void StoreReaders::onPeerConfirmed(PublishedKind Kind, TimePoint At) {
  std::lock_guard lock(Mutex);
  Election.onPeerConfirmed(Kind, At);
}

std::optional<TimePoint> StoreReaders::confirmedAt() const {
  std::lock_guard lock(Mutex);
  return Election.confirmedAt();
}

std::optional<TimePoint> StoreReaders::confirmedAt(PublishedKind Kind) const {
  std::lock_guard lock(Mutex);
  return Election.confirmedAt(Kind);
}

std::optional<Milliseconds> StoreReaders::confirmedAgo() const {
  return since(confirmedAt());
}

std::optional<Milliseconds>
StoreReaders::confirmedAgo(PublishedKind Kind) const {
  return since(confirmedAt(Kind));
}

bool StoreReaders::isOldLocked() const {
  PropagationBudget budget = Election.budget(View, Clock::now());
  std::optional<Milliseconds> ago = since(Election.confirmedAt());
  return !ago || *ago > (budget.AskAge + budget.TakeOverAge) / 2;
}

bool StoreReaders::isOld() const {
  std::unique_lock lock = lockWithView();
  return isOldLocked();
}

bool StoreReaders::isStoreFailing() const {
  std::lock_guard lock(Mutex);
  return Election.isStoreFailing(Clock::now());
}

bool StoreReaders::isCurrent(PublishedKind Kind) const {
  std::unique_lock lock = lockWithView();
  return Election.isCurrent(View, Kind, Clock::now());
}

std::array<uint64_t, ReadReasonNames.size()> StoreReaders::readsBegun() const {
  std::lock_guard lock(Mutex);
  return Begun;
}

} // namespace crocusspur::gateway
