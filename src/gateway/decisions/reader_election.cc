#include "gateway/decisions/reader_election.h"

#include "crocusspur/instance_list.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Readers in the fleet, at least. What one of them reads is sent to all
// instances, so the others can fail without a gap.
constexpr size_t MinReaders = 4;
// In a fleet of up to this size all instances read: there are hardly fewer
// readers otherwise, and none depends on another.
constexpr size_t MaxUnselectiveFleet = 16;
// Time after the start within which the fleet's size isn't known yet.
constexpr Milliseconds DiscoveryTime{5000};
// The same from the first frame of a peer on, for an instance that has the
// documents. An instance of a large fleet knows more than a small one by then,
// and those of a small fleet mustn't depend on one reader for longer.
constexpr Milliseconds SmallFleetDiscoveryTime{1500};
// A new instance waits for peers to send it the documents, at least for this
// time. The rest is spread over a time that grows with the known fleet, since
// all instances may start at once: each reads the whole list, and a store that
// rejects most calls serves nobody.
constexpr Milliseconds MinStartDelay{500};
constexpr Milliseconds StartSpreadPerMember{50};
constexpr Milliseconds MinStartSpread{1500};
constexpr Milliseconds MaxStartSpread{4500};
// Bounds of the pause of an instance that the store has rejected and that reads
// in place of others. It is short while documents are missing.
constexpr Milliseconds MinRejectedPause{400};
constexpr Milliseconds MaxRejectedPause{8000};
constexpr Milliseconds MaxStartPause{2000};
// Readers confirm their knowledge every 2 s at different times, and an instance
// asks peers every second. Changes must be in force some seconds after the
// store has them, so knowledge that is older is worth a call.
constexpr Milliseconds StaleAge{3000};
constexpr Milliseconds StaleSpread{600};
// The same age, spread within bounds, if the store is known not to respond to
// readers.
constexpr Milliseconds MinOutageDelay{8000};
constexpr Milliseconds MaxOutageDelay{30000};
// An instance that hears no peer for so long doesn't wait for its knowledge to
// become stale.
constexpr Milliseconds IsolationTime{1600};
// An instance that reads for itself does so for at least this long.
constexpr Milliseconds MinReadTime{3000};
// A failed call says this much about the time after it.
constexpr Milliseconds FailureLifetime{3000};
// Instances of a domain that take the place of readers at once if the store
// doesn't respond to those. The others try at times that differ.
constexpr size_t Substitutes = 2;
constexpr Milliseconds ProbePeriod{6000};
constexpr Milliseconds ProbeTime{700};

size_t readersPerDomain(const ReaderView &View) {
  return (MinReaders + View.Domains - 1) / View.Domains;
}

Milliseconds draw(std::mt19937_64 &Random, Milliseconds From, Milliseconds To) {
  return Milliseconds(
      std::uniform_int_distribution<int64_t>(From.count(), To.count())(Random));
}

} // namespace

ReaderElection::ReaderElection(std::string OwnName, std::string FailureDomain,
                               bool IsSeed, uint64_t Seed, TimePoint Now)
    : OwnName(std::move(OwnName)), Key("store-reader:" + FailureDomain),
      IsSeed(IsSeed), Random(Seed), StartedAt(Now),
      StartFraction(std::uniform_real_distribution<double>(0, 1)(Random)),
      StaleDelay(StaleAge + draw(Random, Milliseconds(0), StaleSpread)),
      OutageDelay(draw(Random, MinOutageDelay, MaxOutageDelay)),
      ProbePhase(draw(Random, Milliseconds(0), ProbePeriod)) {}

bool ReaderElection::isSelective(const ReaderView &View, TimePoint Now) const {
  if (View.FleetSize > MaxUnselectiveFleet)
    return true;
  if (View.Complete && FirstPeerHeardAt &&
      Now - *FirstPeerHeardAt >= SmallFleetDiscoveryTime)
    return false;
  return Now - StartedAt < DiscoveryTime;
}

TimePoint ReaderElection::startReadAt(const ReaderView &View) const {
  Milliseconds spread =
      std::clamp(StartSpreadPerMember * static_cast<int64_t>(View.FleetSize),
                 MinStartSpread, MaxStartSpread);
  return StartedAt + MinStartDelay +
         Milliseconds(static_cast<int64_t>(
             StartFraction * static_cast<double>(spread.count())));
}

// The first of those to which the store responds read. The first of all keep
// trying, so that they notice when it responds again; the others try at certain
// times only, so that not all do while it is down.
ReadReason ReaderElection::byRank(const ReaderView &View, TimePoint Now) const {
  std::vector<std::string> names{OwnName};
  size_t failing = 0;
  for (const ReaderCandidate &it : View.Others) {
    names.push_back(it.Name);
    failing += it.StoreFailing;
  }
  std::vector<std::string> ranked = rankByRendezvous(Key, std::move(names));
  auto own = std::ranges::find(ranked, OwnName);
  size_t place = static_cast<size_t>(own - ranked.begin());
  size_t readers = readersPerDomain(View);
  if (place < readers)
    return ReadReason::Rank;
  if (failing == 0 || isStoreFailing(Now))
    return ReadReason::None;
  size_t before = 0; // of those to which the store responds
  for (auto it = ranked.begin(); it != own; ++it)
    before += std::ranges::none_of(View.Others, [&](const ReaderCandidate &C) {
      return C.StoreFailing && C.Name == *it;
    });
  bool substitutes =
      before < readers && (place < readers + Substitutes || isProbeTime(Now));
  return substitutes ? ReadReason::Substitute : ReadReason::None;
}

bool ReaderElection::isProbeTime(TimePoint Now) const {
  return (Now - StartedAt + ProbePhase) % ProbePeriod < ProbeTime;
}

bool ReaderElection::shouldRead(const ReaderView &View, TimePoint Now) {
  if (Now < ReadUntil)
    return true;
  Reason = decide(View, Now);
  if (Reason == ReadReason::Isolated || Reason == ReadReason::Stale)
    ReadUntil = Now + MinReadTime;
  return Reason != ReadReason::None;
}

ReadReason ReaderElection::decide(const ReaderView &View, TimePoint Now) {
  if (!View.Complete) {
    if (IsSeed)
      return ReadReason::Seed;
    // One that knows nobody may be one of hundreds whose seeds are down.
    bool reads = Now >= startReadAt(View) && Now >= PausedUntil;
    return reads ? ReadReason::Start : ReadReason::None;
  }
  if (!isSelective(View, Now))
    return ReadReason::SmallFleet;
  // The others of the domain aren't known yet, so ranks say nothing.
  bool discovering = Now - StartedAt < DiscoveryTime;
  if (discovering && IsSeed)
    return ReadReason::Seed;
  ReadReason byRank = discovering ? ReadReason::None : this->byRank(View, Now);
  if (byRank != ReadReason::None)
    return byRank;
  if (Now < PausedUntil)
    return ReadReason::None;
  bool isolated = !PeerHeardAt || Now - *PeerHeardAt > IsolationTime;
  if (isolated)
    return ReadReason::Isolated;
  // If the store doesn't respond to readers, others take their place by rank.
  bool explained =
      std::ranges::any_of(View.Others, &ReaderCandidate::StoreFailing);
  std::optional<TimePoint> confirmed = confirmedAt();
  if (confirmed && Now - *confirmed <= (explained ? OutageDelay : StaleDelay))
    return ReadReason::None;
  return ReadReason::Stale;
}

std::vector<std::string> ReaderElection::readers(const ReaderView &View) const {
  std::vector<std::string> names;
  for (const ReaderCandidate &it : View.Others)
    if (!it.StoreFailing)
      names.push_back(it.Name);
  std::vector<std::string> ranked = rankByRendezvous(Key, std::move(names));
  ranked.resize(std::min(ranked.size(), readersPerDomain(View)));
  return ranked;
}

void ReaderElection::onReadSucceeded(PublishedKind Kind, TimePoint Now) {
  Confirmed[static_cast<size_t>(Kind)] = Now;
  ReadFailedAt.reset();
  Rejections = 0;
}

void ReaderElection::onPeerConfirmed(TimePoint At) {
  for (std::optional<TimePoint> &it : Confirmed)
    it = std::max(it.value_or(At), At);
}

void ReaderElection::onReadFailed(TimePoint Now) {
  ReadFailedAt = Now;
  ReadUntil = TimePoint();
  if (Now < PausedUntil) // the reads of both kinds fail together
    return;
  Milliseconds most = confirmedAt() ? MaxRejectedPause : MaxStartPause;
  Milliseconds pause =
      std::min(most, MinRejectedPause * (1U << std::min(Rejections, 8U)));
  ++Rejections;
  PausedUntil = Now + draw(Random, pause / 2, pause);
}

void ReaderElection::onPeerHeard(TimePoint Now) {
  PeerHeardAt = Now;
  if (!FirstPeerHeardAt)
    FirstPeerHeardAt = Now;
}

std::optional<TimePoint> ReaderElection::confirmedAt() const {
  if (!Confirmed[0] || !Confirmed[1])
    return std::nullopt;
  return std::min(*Confirmed[0], *Confirmed[1]);
}

bool ReaderElection::isStoreFailing(TimePoint Now) const {
  return ReadFailedAt && Now - *ReadFailedAt < FailureLifetime;
}

bool ReaderElection::isCurrent(TimePoint Now) const {
  std::optional<TimePoint> confirmed = confirmedAt();
  return confirmed && Now - *confirmed <= StaleDelay;
}

} // namespace crocusspur::gateway
