// Which published instance list this instance confirms, and whether that list
// is active: the home lease of section 7. The rules are these.
//
// An instance confirms one list at a time. It changes the list only after one
// lease without confirming, and names the lists that it confirmed before, back
// to the last one that it has seen active. A list is active while a set of
// instances confirms it that contains a majority of the list and, for every
// list that a member of the set names, a majority of that list too.
//
// An instance that starts has forgotten what it confirmed. It keeps silent for
// one lease and then confirms a list only if others make that list active.
// Otherwise two restarts could give an abandoned list its majority back. If
// every instance of a list has just started and none that confirms another list
// is heard, the list is the first of a deployment and they all confirm it. This
// can't tell a first start from the loss of all memory at once: instances
// outside such a list must have been stopped. A higher membership epoch makes
// every instance start anew in this sense.
//
// Age of a confirmation: a heartbeat echoes the number of the last heartbeat
// that its sender got from the receiver. The receiver counts the lease from the
// moment at which it sent that one, which is before the confirmer spoke, so
// delays and pauses only shorten the use. The confirmer counts its lease from
// the moment at which it spoke last, so its obligation ends after every use.
// Clock rates may differ by less than the quarter lease that dispatches keep
// clear of the end.
#ifndef CROCUSSPUR_LIST_CONFIRMATION_H
#define CROCUSSPUR_LIST_CONFIRMATION_H

#include "core_context.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusspur::internal {

// The live instances of a published list.
struct MemberList {
  uint64_t Digest = 0;
  std::vector<InstanceEntry> Members; // in order of name

  bool contains(const std::string &Name) const;
  size_t majority() const { return Members.size() / 2 + 1; }
};

using MemberListPtr = std::shared_ptr<const MemberList>;

// A time during which a list was active without interruption, as far as this
// instance can prove it.
struct ActivePeriod {
  // The run and the list change in which an instance confirmed the list.
  struct ConfirmationStamp {
    uint64_t Incarnation = 0;
    uint64_t Changes = 0;
  };

  MemberListPtr List;
  TimePoint Since;
  WallTime SinceWall;
  // No other list was active between the period before and this one.
  bool Continuous = false;
  std::map<std::string, ConfirmationStamp> Confirmations;
};

class ListConfirmation {
public:
  explicit ListConfirmation(const CoreOptions &Options);

  // Takes the newest list, epoch and time. Called with every event.
  void advance(CoreContext &Context);
  void fill(CoreContext &Context, const std::string &To, Heartbeat &Message);
  void onHeartbeat(CoreContext &Context, const std::string &From,
                   uint64_t Incarnation, const Heartbeat &Message);

  // End of the time for which the list that this instance confirms is known to
  // be active; in the past if it isn't active.
  TimePoint activeUntil() const { return ActiveUntil; }

  // Periods of active lists, the current one last. Empty if none was active.
  const std::deque<ActivePeriod> &periods() const { return Periods; }

  // Highest sequence number of a published list with the members of the list
  // that is confirmed. It rises from one active list to the next, so it serves
  // as fencing number of a home; 0 before a list is confirmed.
  uint64_t fence() const { return ConfirmedSequence; }

  // Lists seen lately, newest last.
  const std::deque<MemberListPtr> &knownLists() const { return Known; }

  // True if the peer was heard within 1.5 s.
  bool reachable(const std::string &Instance, TimePoint Now) const;

  std::string dump(TimePoint Now) const;

private:
  // What an instance has said last.
  struct Statement {
    uint64_t Incarnation = 0;
    uint64_t Digest = 0;
    uint64_t First = 0;
    uint64_t Epoch = 0;
    uint64_t Changes = 0;
    std::vector<uint64_t> Previous;
    TimePoint ValidUntil;
  };

  // An instance and what it says; both live in Peers or with the caller.
  struct Confirmer {
    const std::string *Name;
    const Statement *LastStatement;
  };
  // In order of name, each name once. The evaluation runs 20 times a second
  // over every instance, so it copies no names.
  using Confirmers = std::vector<Confirmer>;

  struct Peer {
    std::deque<std::pair<uint64_t, TimePoint>> Sent; // numbers and times
    uint64_t LastNumber = 0;                         // received
    bool Seen = false;
    TimePoint LastSeen;
    Statement LastStatement;
  };

  bool isFresh() const { return !Confirmed; }
  void addPublishedList(const InstanceList &List);
  void resetState(TimePoint Earliest);
  void tryInitialConfirmation(TimePoint Now);
  void followNewest(TimePoint Now);
  void changeList(TimePoint Now);
  void confirm(const MemberListPtr &List, TimePoint Now);
  bool allMembersOffer(const MemberList &List, TimePoint Now) const;
  bool isEstablished(const Statement &Item, TimePoint Now) const;
  void updateActivity(CoreContext &Context);
  void recordConfirmations(const Confirmers &All);
  bool isContinuousWithLast(const Confirmers &All) const;
  bool confirmedThroughout(const Confirmers &All, const std::string &Name,
                           const ActivePeriod::ConfirmationStamp &Stamp,
                           uint64_t LastDigest) const;

  Statement ownStatement() const;
  MemberListPtr findKnown(uint64_t Digest) const;
  // `Self` is what own() gives.
  Confirmers confirmers(uint64_t Digest, const Statement &Self) const;
  static size_t countMembers(const MemberList &List, const Confirmers &Of);
  bool isSupported(const MemberList &List, const Confirmers &All,
                   TimePoint At) const;
  bool dropUnsupported(Confirmers &Set) const;
  TimePoint activeEnd(const MemberList &List, const Confirmers &All) const;

  const CoreOptions &Options;
  TimePoint Now;     // of the latest event
  uint64_t LastSent; // number of the last heartbeat
  std::map<std::string, Peer> Peers;
  std::deque<MemberListPtr> Known;
  MemberListPtr Newest;
  uint64_t NewestSequence = 0;
  uint64_t Epoch = 0;
  bool Started = false;
  TimePoint EarliestConfirmation; // after a start

  MemberListPtr Confirmed;
  uint64_t ConfirmedSequence = 0;
  bool Confirming = false;
  bool First = false;      // confirmed as first list, not yet seen active
  bool SeenActive = false; // Confirmed
  TimePoint LastConfirmed; // time of the latest statement or own use
  uint64_t Changes = 0;
  std::vector<uint64_t> Previous;

  TimePoint NextEvaluation;
  TimePoint ActiveUntil;
  std::deque<ActivePeriod> Periods;
};

} // namespace crocusspur::internal

#endif
