// Decides whether an instance reads the published documents from the store, or
// learns them from peers. In a large fleet one instance of each failure domain
// reads, or a few where there are few domains, so that the load on the store
// doesn't grow with the fleet. Does no I/O; callers pass the time.
//
// No election is held: each instance ranks those of its domain by rendezvous
// hashing and takes part if it is among the first. Views may differ for some
// seconds; then more instances read, which costs calls and nothing else.
//
// Whatever happens to those that read, an instance whose knowledge gets too old
// for the operators' bound reads for itself. The instances do so one after
// another, in the order of rank, and the first that the store serves tells the
// rest.
#ifndef CROCUSSPUR_GATEWAY_READER_ELECTION_H
#define CROCUSSPUR_GATEWAY_READER_ELECTION_H

#include "crocusspur/types.h"
#include "gateway/decisions/fleet/propagation_budget.h"
#include "rendezvous.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Kinds of published documents. Each is read by its own calls.
enum class PublishedKind : uint8_t { Servers, Routes };

// Why an instance reads the store, or that it doesn't.
enum class ReadReason : uint8_t {
  None,
  Start,      // it lacks documents, and peers haven't sent them
  Seed,       // others contact it first
  SmallFleet, // all read
  Rank,       // it is first in its failure domain
  Substitute, // the store fails for those before it in rank
  Stale,      // what it knows is old; it reads once
};

inline constexpr std::array<const char *, 7> ReadReasonNames{
    "none", "start",      "seed", "small_fleet",
    "rank", "substitute", "stale"}; // in logs and metrics

// Another instance of the same failure domain that may read the store.
struct ReaderCandidate {
  std::string Name;
  bool StoreFailing = false; // the store didn't respond to it lately
};

// What an instance knows when it decides.
struct ReaderView {
  std::vector<ReaderCandidate> Others;
  size_t Domains = 1;    // with instances, this one's included
  size_t FleetSize = 1;  // in all domains, with this instance
  bool Complete = false; // routes and servers are known
};

// Names of the first of the candidates of a failure domain in rank, at most
// `Count`, without those that the store fails.
std::vector<std::string>
firstReaders(const std::string &FailureDomain,
             const std::vector<ReaderCandidate> &Candidates, size_t Count);
// Readers in each of so many failure domains.
size_t readersPerDomain(size_t Domains);

class ReaderElection {
public:
  // `IsSeed`: others contact this instance first, so it reads at once after the
  // start. `Seed` is that of the random numbers by which waits are spread.
  ReaderElection(std::string OwnName, std::string FailureDomain, bool IsSeed,
                 uint64_t Seed, const PropagationBounds &Bounds, TimePoint Now);

  // Decides whether this instance makes a call for the kind now.
  bool shouldRead(const ReaderView &View, PublishedKind Kind, TimePoint Now);
  // Why it would, without deciding; a stale kind may be due a little later.
  ReadReason reason(const ReaderView &View, PublishedKind Kind,
                    TimePoint Now) const;
  // Names of the instances of the failure domain that are likely to read,
  // without this one.
  std::vector<std::string> readers(const ReaderView &View) const;
  // Whether the fleet is large enough that only some instances read, so that
  // changes must be sent on.
  bool isSelective(const ReaderView &View, TimePoint Now) const;
  PropagationBudget budget(const ReaderView &View, TimePoint Now) const;

  // A call of this instance to the store succeeded, and showed what the store
  // had at `At`.
  void onReadSucceeded(PublishedKind Kind, TimePoint At);
  // A peer has told what the store had at `At`, and this instance knows it too.
  void onPeerConfirmed(PublishedKind Kind, TimePoint At);
  // A call of this instance to the store failed. `FleetSize`: see ReaderView.
  void onReadFailed(size_t FleetSize, TimePoint Now);
  // A frame of a peer was received.
  void onPeerHeard(TimePoint Now);

  // Since when this instance's knowledge of a kind is confirmed; nothing:
  // never.
  std::optional<TimePoint> confirmedAt(PublishedKind Kind) const {
    return Confirmed[static_cast<size_t>(Kind)];
  }
  // The same of both kinds.
  std::optional<TimePoint> confirmedAt() const;
  bool isStoreFailing(TimePoint Now) const;
  // Whether the knowledge of the kind is recent enough to take the store for
  // reachable.
  bool isCurrent(const ReaderView &View, PublishedKind Kind,
                 TimePoint Now) const;

private:
  struct Place {
    size_t Own = 0; // in rank, from 0
    size_t Count = 1;
    size_t FailingBefore = 0; // of those before it, that the store fails
  };
  Place place(const ReaderView &View) const;
  // When an instance that has just started reads if peers haven't told it
  // enough.
  TimePoint startReadAt(const ReaderView &View) const;
  // The age of knowledge beyond which this instance reads for itself.
  Milliseconds takeOverAge(const ReaderView &View, TimePoint Now) const;
  std::string OwnName;
  std::string FailureDomain;
  internal::RendezvousWeight WeightOf;
  bool IsSeed;
  PropagationBounds Bounds;
  std::mt19937_64 Random;
  TimePoint StartedAt;
  double StartFraction; // of the spread of the first reads
  std::array<std::optional<TimePoint>, 2> Confirmed; // by kind
  std::optional<TimePoint> OwnReadAt;                // of either kind
  TimePoint FailingUntil;
  // Until then it doesn't read in place of others, as the store has failed it.
  TimePoint PausedUntil;
  uint32_t StartFailures = 0; // while documents are missing
  std::optional<TimePoint> FirstPeerHeardAt;
};

} // namespace crocusspur::gateway

#endif
