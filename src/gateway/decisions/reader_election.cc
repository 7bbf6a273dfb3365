#include "gateway/decisions/reader_election.h"

#include "crocusspur/instance_list.h"

#include <algorithm>
#include <cmath>

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
// Bounds of the pause of an instance without documents that the store has
// rejected. It doubles with each rejection.
constexpr Milliseconds MinStartPause{400};
constexpr Milliseconds MaxStartPause{2000};
// A failed call says this much about the time after it.
constexpr Milliseconds FailureLifetime{3000};

Milliseconds draw(std::mt19937_64 &Random, Milliseconds From, Milliseconds To) {
  return Milliseconds(
      std::uniform_int_distribution<int64_t>(From.count(), To.count())(Random));
}

std::string rankKey(const std::string &FailureDomain) {
  return "store-reader:" + FailureDomain;
}

} // namespace

size_t readersPerDomain(size_t Domains) {
  return (MinReaders + Domains - 1) / std::max<size_t>(Domains, 1);
}

std::vector<std::string>
firstReaders(const std::string &FailureDomain,
             const std::vector<ReaderCandidate> &Candidates, size_t Count) {
  std::vector<std::string> names;
  for (const ReaderCandidate &it : Candidates)
    if (!it.StoreFailing)
      names.push_back(it.Name);
  std::vector<std::string> ranked =
      rankByRendezvous(rankKey(FailureDomain), std::move(names));
  ranked.resize(std::min(ranked.size(), Count));
  return ranked;
}

ReaderElection::ReaderElection(std::string OwnName, std::string FailureDomain,
                               bool IsSeed, uint64_t Seed,
                               const PropagationBounds &Bounds, TimePoint Now)
    : OwnName(std::move(OwnName)), FailureDomain(std::move(FailureDomain)),
      WeightOf(rankKey(this->FailureDomain)), IsSeed(IsSeed), Bounds(Bounds),
      Random(Seed), StartedAt(Now),
      StartFraction(std::uniform_real_distribution<double>(0, 1)(Random)) {}

bool ReaderElection::isSelective(const ReaderView &View, TimePoint Now) const {
  if (View.FleetSize > MaxUnselectiveFleet)
    return true;
  if (View.Complete && FirstPeerHeardAt &&
      Now - *FirstPeerHeardAt >= SmallFleetDiscoveryTime)
    return false;
  return Now - StartedAt < DiscoveryTime;
}

PropagationBudget ReaderElection::budget(const ReaderView &View,
                                         TimePoint Now) const {
  return propagationBudget(Bounds, View.FleetSize, isSelective(View, Now));
}

TimePoint ReaderElection::startReadAt(const ReaderView &View) const {
  Milliseconds spread =
      std::clamp(StartSpreadPerMember * static_cast<int64_t>(View.FleetSize),
                 MinStartSpread, MaxStartSpread);
  return StartedAt + MinStartDelay +
         Milliseconds(static_cast<int64_t>(
             StartFraction * static_cast<double>(spread.count())));
}

ReaderElection::Place ReaderElection::place(const ReaderView &View) const {
  Place place;
  place.Count = View.Others.size() + 1;
  uint64_t own = WeightOf(OwnName);
  for (const ReaderCandidate &it : View.Others) {
    uint64_t weight = WeightOf(it.Name);
    bool isBefore = weight > own || (weight == own && it.Name > OwnName);
    place.Own += isBefore;
    place.FailingBefore += isBefore && it.StoreFailing;
  }
  return place;
}

Milliseconds ReaderElection::takeOverAge(const ReaderView &View,
                                         TimePoint Now) const {
  PropagationBudget budget = this->budget(View, Now);
  size_t readers = readersPerDomain(View.Domains);
  Place own = place(View);
  if (own.Own < readers || own.Count <= readers)
    return budget.TakeOverAge;
  // The square root keeps the first few apart, so that the later ones hear of a
  // success before they are due.
  double order = std::sqrt(static_cast<double>(own.Own - readers) /
                           static_cast<double>(own.Count - readers));
  return budget.TakeOverAge +
         Milliseconds(std::llround(
             order * static_cast<double>(budget.TakeOverSpread.count())));
}

ReadReason ReaderElection::reason(const ReaderView &View, PublishedKind Kind,
                                  TimePoint Now) const {
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
  if (!discovering) {
    size_t readers = readersPerDomain(View.Domains);
    Place own = place(View);
    // These keep trying, so that they notice when the store serves them again.
    if (own.Own < readers)
      return ReadReason::Rank;
    if (own.Own - own.FailingBefore < readers && Now >= PausedUntil)
      return ReadReason::Substitute;
  }
  std::optional<TimePoint> confirmed = confirmedAt(Kind);
  bool stale = !confirmed || Now - *confirmed > takeOverAge(View, Now);
  return stale && Now >= PausedUntil ? ReadReason::Stale : ReadReason::None;
}

bool ReaderElection::shouldRead(const ReaderView &View, PublishedKind Kind,
                                TimePoint Now) {
  ReadReason reason = this->reason(View, Kind, Now);
  if (reason != ReadReason::Stale || Kind == PublishedKind::Routes)
    return reason != ReadReason::None;
  // One call shows whether the store serves this instance.
  bool first =
      this->reason(View, PublishedKind::Routes, Now) != ReadReason::Stale;
  return first || (OwnReadAt && Now - *OwnReadAt < budget(View, Now).AskAge);
}

std::vector<std::string> ReaderElection::readers(const ReaderView &View) const {
  return firstReaders(FailureDomain, View.Others,
                      readersPerDomain(View.Domains));
}

void ReaderElection::onReadSucceeded(PublishedKind Kind, TimePoint At) {
  std::optional<TimePoint> &confirmed = Confirmed[static_cast<size_t>(Kind)];
  confirmed = std::max(confirmed.value_or(At), At);
  OwnReadAt = std::max(OwnReadAt.value_or(At), At);
  FailingUntil = TimePoint();
  PausedUntil = TimePoint();
  StartFailures = 0;
}

void ReaderElection::onPeerConfirmed(PublishedKind Kind, TimePoint At) {
  std::optional<TimePoint> &confirmed = Confirmed[static_cast<size_t>(Kind)];
  confirmed = std::max(confirmed.value_or(At), At);
}

void ReaderElection::onReadFailed(size_t FleetSize, TimePoint Now) {
  OwnReadAt.reset();
  if (Now >= PausedUntil) { // the reads of both kinds fail together
    Milliseconds most =
        confirmedAt()
            ? propagationBudget(Bounds, FleetSize, true).RetryPause
            : std::min(MaxStartPause,
                       MinStartPause * (1U << std::min(StartFailures++, 8U)));
    PausedUntil = Now + draw(Random, most / 2, most);
  }
  FailingUntil = std::max(Now + FailureLifetime, PausedUntil);
}

void ReaderElection::onPeerHeard(TimePoint Now) {
  if (!FirstPeerHeardAt)
    FirstPeerHeardAt = Now;
}

std::optional<TimePoint> ReaderElection::confirmedAt() const {
  if (!Confirmed[0] || !Confirmed[1])
    return std::nullopt;
  return std::min(*Confirmed[0], *Confirmed[1]);
}

bool ReaderElection::isStoreFailing(TimePoint Now) const {
  return Now < FailingUntil;
}

bool ReaderElection::isCurrent(const ReaderView &View, PublishedKind Kind,
                               TimePoint Now) const {
  std::optional<TimePoint> confirmed = confirmedAt(Kind);
  return confirmed && Now - *confirmed <= budget(View, Now).KnowledgeLifetime;
}

} // namespace crocusspur::gateway
