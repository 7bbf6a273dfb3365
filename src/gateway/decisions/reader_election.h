// Decides whether an instance reads the published documents from the store, or
// learns them from peers. In a large fleet one instance of each failure domain
// reads, or a few where there are few domains, so that the load on the store
// doesn't grow with the fleet. Does no I/O; callers pass the time.
//
// No election is held: each instance ranks those of its domain by rendezvous
// hashing and takes part if it is among the first. Views may differ for some
// seconds; then more instances read, which costs calls and nothing else. An
// instance that hears nothing recent of the store reads for itself.
#ifndef CROCUSSPUR_GATEWAY_READER_ELECTION_H
#define CROCUSSPUR_GATEWAY_READER_ELECTION_H

#include "crocusspur/types.h"

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
  Isolated,   // it hears no peer
  Stale,      // what it knows is old
};

inline constexpr std::array<const char *, 8> ReadReasonNames{
    "none", "start",      "seed",     "small_fleet",
    "rank", "substitute", "isolated", "stale"}; // in logs and metrics

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

class ReaderElection {
public:
  // `IsSeed`: others contact this instance first, so it reads at once after the
  // start. `Seed` is that of the random numbers by which waits are spread.
  ReaderElection(std::string OwnName, std::string FailureDomain, bool IsSeed,
                 uint64_t Seed, TimePoint Now);

  bool shouldRead(const ReaderView &View, TimePoint Now);
  // Why, as last decided.
  ReadReason reason() const { return Reason; }
  // Names of the instances that are likely to read, without this one.
  std::vector<std::string> readers(const ReaderView &View) const;
  // Whether the fleet is large enough that only some instances read, so that
  // changes must be sent on.
  bool isSelective(const ReaderView &View, TimePoint Now) const;

  // A call of this instance to the store succeeded.
  void onReadSucceeded(PublishedKind Kind, TimePoint Now);
  // A peer has told what the store had at `At`, and this instance knows it too.
  void onPeerConfirmed(TimePoint At);
  // A call of this instance to the store failed.
  void onReadFailed(TimePoint Now);
  // A frame of a peer was received.
  void onPeerHeard(TimePoint Now);

  // Since when this instance's knowledge of a kind is confirmed; nothing:
  // never.
  std::optional<TimePoint> confirmedAt(PublishedKind Kind) const {
    return Confirmed[static_cast<size_t>(Kind)];
  }
  // Since when this instance's knowledge of both kinds is confirmed; nothing:
  // never.
  std::optional<TimePoint> confirmedAt() const;
  bool isStoreFailing(TimePoint Now) const;
  // Whether the knowledge is recent enough to take the store for reachable.
  bool isCurrent(TimePoint Now) const;

private:
  ReadReason decide(const ReaderView &View, TimePoint Now);
  // Rank, Substitute or None.
  ReadReason byRank(const ReaderView &View, TimePoint Now) const;
  // When an instance that has just started reads if peers haven't told it
  // enough.
  TimePoint startReadAt(const ReaderView &View) const;
  bool isProbeTime(TimePoint Now) const;

  ReadReason Reason = ReadReason::None;
  std::string OwnName;
  std::string Key; // of the rendezvous order
  bool IsSeed;
  std::mt19937_64 Random;
  TimePoint StartedAt;
  double StartFraction;     // of the spread of the first reads
  Milliseconds StaleDelay;  // until it reads if it hears nothing of the store
  Milliseconds OutageDelay; // the same while the store fails for readers
  Milliseconds ProbePhase;
  TimePoint ReadUntil; // it reads at least until then
  std::array<std::optional<TimePoint>, 2> Confirmed; // by kind
  std::optional<TimePoint> ReadFailedAt;
  // Until then it doesn't read in place of readers, as the store has rejected
  // it; the pause doubles with each rejection.
  TimePoint PausedUntil;
  uint32_t Rejections = 0;
  std::optional<TimePoint> PeerHeardAt;
  std::optional<TimePoint> FirstPeerHeardAt;
};

} // namespace crocusspur::gateway

#endif
