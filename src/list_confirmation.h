// Decides which published instance list this instance confirms, and whether
// that list is active: the home lease of section 7.
//
// An instance confirms one list at a time. It changes to another list only
// after one lease without confirming, and then also reports the lists that it
// confirmed before, back to the last one that it has seen active. A list is
// active while it's confirmed by a set of instances that contains a majority of
// the list and also a majority of every earlier list that a member of the set
// reports.
//
// An instance that starts doesn't know what it confirmed before. It confirms
// nothing for one lease, and then confirms a list only if other instances make
// that list active. Otherwise two restarts could give an abandoned list its
// majority back. If every instance of a list has just started, and no heartbeat
// of an instance that confirms another list arrives, the list is the first of a
// deployment and all of its instances confirm it. This rule can't distinguish a
// first start from all instances losing their state at once, so instances
// outside such a list must have been stopped. A higher membership epoch resets
// every instance to the state after a start.
//
// Age of a confirmation: a heartbeat echoes the number of the last heartbeat
// that its sender received from the receiver. The receiver counts the lease
// from the time at which it sent that heartbeat, which is before the
// confirmation was sent, so delays and pauses only shorten the lease. The
// confirmer counts the lease from its latest confirmation, so its
// obligation outlasts every receiver's use of it. Over one lease, clocks may
// drift apart by less than the quarter lease that dispatches leave at its end.
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

// A period during which a list was active without interruption, as far as this
// instance can prove.
struct ActivePeriod {
  // Incarnation and number of list changes with which an instance confirmed the
  // list.
  struct ConfirmationStamp {
    uint64_t Incarnation = 0;
    uint64_t Changes = 0;
  };

  MemberListPtr List;
  TimePoint Since;
  WallTime SinceWall;
  // No other list was active between the previous period and this one.
  bool Continuous = false;
  std::map<std::string, ConfirmationStamp> Confirmations;
};

class ListConfirmation {
public:
  explicit ListConfirmation(const CoreOptions &Options);

  // Updates the state to the newest list, epoch and time. Called for every
  // event.
  void advance(CoreContext &Context);
  void fill(CoreContext &Context, const std::string &To, Heartbeat &Message);
  void onHeartbeat(CoreContext &Context, const std::string &From,
                   uint64_t Incarnation, const Heartbeat &Message);
  // Number of the last heartbeat that was filled, to any peer.
  uint64_t lastHeartbeatNumber() const { return LastSent; }

  // Time until which the list that this instance confirms is known to be
  // active; in the past if it isn't active.
  TimePoint activeUntil() const { return ActiveUntil; }

  // Periods of active lists, the current one last. Empty if none was active.
  const std::deque<ActivePeriod> &periods() const { return Periods; }

  // Highest sequence number of a published list with the same members as the
  // confirmed list. It increases from one active list to the next, so it serves
  // as the fencing token of a home; 0 before a list is confirmed.
  uint64_t fence() const { return ConfirmedSequence; }

  // Recently seen lists, newest last.
  const std::deque<MemberListPtr> &knownLists() const { return Known; }

  // True if a heartbeat of the peer arrived within the last 1.5 s.
  bool reachable(const std::string &Instance, TimePoint Now) const;

  std::string dump(TimePoint Now) const;

private:
  // What an instance has reported last.
  struct Statement {
    uint64_t Incarnation = 0;
    uint64_t Digest = 0;
    uint64_t First = 0;
    uint64_t Epoch = 0;
    uint64_t Changes = 0;
    std::vector<uint64_t> Previous;
    TimePoint ValidUntil;
  };

  // An instance and its latest statement. Both are owned by Peers or the
  // caller.
  struct Confirmer {
    const std::string *Name;
    const Statement *LastStatement;
  };
  // In order of name, without duplicates. The evaluation visits every instance
  // 20 times a second, so it copies no names.
  using Confirmers = std::vector<Confirmer>;

  struct Peer {
    std::deque<std::pair<uint64_t, TimePoint>> Sent; // numbers and send times
    uint64_t LastNumber = 0;                         // last received
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
  // `Self` is the result of ownStatement().
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
  bool First = false;      // confirmed as the first list, not yet seen active
  bool SeenActive = false; // applies to Confirmed
  TimePoint LastConfirmed; // latest confirmation, sent or used here
  uint64_t Changes = 0;
  std::vector<uint64_t> Previous;

  TimePoint NextEvaluation;
  TimePoint ActiveUntil;
  std::deque<ActivePeriod> Periods;
};

} // namespace crocusspur::internal

#endif
