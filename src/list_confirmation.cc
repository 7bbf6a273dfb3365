#include "list_confirmation.h"

#include <Poco/JSON/Object.h>
#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>
#include <xxhash.h>

namespace crocusspur::internal {
namespace {

// Time without a heartbeat after which a peer is unreachable (section 4).
constexpr Milliseconds PeerTimeout{1500};

// Period of the evaluation. Its cost is quadratic in the length of the list. A
// result stays valid until its end whatever heartbeats follow, so a late
// evaluation only shortens the lease by this period.
constexpr Milliseconds EvaluationPeriod{50};

constexpr size_t MaxKnownLists = 32;
constexpr size_t MaxPeriods = 64;
constexpr size_t MaxSent = 64;

// An instance that would have to report more lists resets its state instead,
// which is safe. This bounds the size of the heartbeat.
constexpr size_t MaxPrevious = 8;

} // namespace

bool MemberList::contains(const std::string &Name) const {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const InstanceEntry &It) { return It.Name == Name; });
}

// Heartbeat numbers of different incarnations must not be confused, so each
// incarnation counts from a different start. One counter serves all peers and
// never decreases, even if a peer leaves and returns.
ListConfirmation::ListConfirmation(const CoreOptions &Options)
    : Options(Options),
      LastSent(XXH64(Options.Instance.data(), Options.Instance.size(),
                     Options.Incarnation)) {}

bool ListConfirmation::reachable(const std::string &Instance,
                                 TimePoint At) const {
  auto it = Peers.find(Instance);
  return it != Peers.end() && it->second.Seen &&
         it->second.LastSeen + PeerTimeout >= At;
}

void ListConfirmation::addPublishedList(const InstanceList &List) {
  if (List.Instances.empty())
    return;
  NewestSequence = std::max(NewestSequence, List.Sequence);
  if (Confirmed && Confirmed->Digest == List.Digest)
    ConfirmedSequence = NewestSequence;
  if (Newest && Newest->Digest == List.Digest)
    return;
  auto memberList = std::make_shared<MemberList>();
  memberList->Digest = List.Digest;
  for (const InstanceEntry &it : List.Instances)
    if (it.State == MemberState::Live)
      memberList->Members.push_back(it);
  std::sort(memberList->Members.begin(), memberList->Members.end(),
            [](const InstanceEntry &A, const InstanceEntry &B) {
              return A.Name < B.Name;
            });
  Newest = memberList;
  std::erase_if(Known, [&](const MemberListPtr &It) {
    return It->Digest == memberList->Digest;
  });
  Known.push_back(memberList);
  if (Known.size() > MaxKnownLists)
    Known.pop_front();
  std::erase_if(Peers, [&](const auto &Item) {
    return !List.findInstance(Item.first) &&
           Item.second.LastSeen + 2 * Options.LeasePeriod < Now;
  });
}

MemberListPtr ListConfirmation::findKnown(uint64_t Digest) const {
  for (const MemberListPtr &it : Known)
    if (it->Digest == Digest)
      return it;
  return Confirmed && Confirmed->Digest == Digest ? Confirmed : nullptr;
}

void ListConfirmation::resetState(TimePoint Earliest) {
  EarliestConfirmation = Earliest;
  NextEvaluation = TimePoint();
  Confirmed = nullptr;
  Confirming = First = SeenActive = false;
  Previous.clear();
  Periods.clear();
  ActiveUntil = TimePoint();
}

void ListConfirmation::advance(CoreContext &Context) {
  Now = Context.Now;
  if (!Started)
    resetState(Now + Options.LeasePeriod);
  Started = true;
  addPublishedList(Context.List);
  if (Context.Config.MembershipEpoch > Epoch) {
    Epoch = Context.Config.MembershipEpoch;
    resetState(Now + Options.LeasePeriod);
  }
  if (!Newest)
    return;
  if (!isFresh())
    followNewest(Now);
  if (Now < NextEvaluation)
    return;
  NextEvaluation = Now + EvaluationPeriod;
  if (isFresh())
    tryInitialConfirmation(Now);
  updateActivity(Context);
}

void ListConfirmation::tryInitialConfirmation(TimePoint At) {
  if (At < EarliestConfirmation)
    return;
  Statement self = ownStatement();
  if (activeEnd(*Newest, confirmers(Newest->Digest, self)) > At) {
    confirm(Newest, At);
    SeenActive = true;
  } else if (allMembersOffer(*Newest, At)) {
    confirm(Newest, At);
    First = true;
  }
}

void ListConfirmation::confirm(const MemberListPtr &List, TimePoint At) {
  Confirmed = List;
  ConfirmedSequence = NewestSequence;
  Confirming = true;
  ActiveUntil = NextEvaluation = TimePoint();
  SeenActive = First = false;
  ++Changes;
  LastConfirmed = At;
}

// Whether the statement is from an instance that has confirmed an active list
// and may confirm an active list now.
bool ListConfirmation::isEstablished(const Statement &Item,
                                     TimePoint At) const {
  return Item.ValidUntil > At && Item.Epoch >= Epoch && Item.Digest != 0 &&
         Item.First == 0;
}

bool ListConfirmation::allMembersOffer(const MemberList &List,
                                       TimePoint At) const {
  if (!List.contains(Options.Instance))
    return false;
  for (const auto &[name, peer] : Peers)
    if (isEstablished(peer.LastStatement, At))
      return false;
  return std::all_of(
      List.Members.begin(), List.Members.end(), [&](const InstanceEntry &It) {
        if (It.Name == Options.Instance)
          return true;
        auto peer = Peers.find(It.Name);
        if (peer == Peers.end())
          return false;
        const Statement &statement = peer->second.LastStatement;
        return statement.ValidUntil > At && statement.Epoch == Epoch &&
               statement.First == List.Digest;
      });
}

void ListConfirmation::followNewest(TimePoint At) {
  Confirming = Newest->Digest == Confirmed->Digest;
  if (Confirming)
    LastConfirmed = At;
  else if (At >= LastConfirmed + Options.LeasePeriod)
    changeList(At);
}

void ListConfirmation::changeList(TimePoint At) {
  if (First)
    return resetState(At);
  if (SeenActive)
    Previous.clear();
  Previous.insert(Previous.begin(), Confirmed->Digest);
  std::erase(Previous, Newest->Digest);
  if (Previous.size() > MaxPrevious)
    return resetState(At);
  confirm(Newest, At);
}

ListConfirmation::Statement ListConfirmation::ownStatement() const {
  Statement statement;
  statement.Incarnation = Options.Incarnation;
  statement.Digest = Confirmed ? Confirmed->Digest : 0;
  statement.Epoch = Epoch;
  statement.Changes = Changes;
  statement.Previous = Previous;
  statement.ValidUntil =
      Confirmed ? LastConfirmed + Options.LeasePeriod : TimePoint();
  return statement;
}

ListConfirmation::Confirmers
ListConfirmation::confirmers(uint64_t Digest, const Statement &Self) const {
  Confirmers found;
  found.reserve(Peers.size() + 1);
  for (const auto &[name, peer] : Peers)
    if (name != Options.Instance && peer.LastStatement.Digest == Digest &&
        peer.LastStatement.Epoch == Epoch &&
        peer.LastStatement.ValidUntil > Now)
      found.push_back({&name, &peer.LastStatement});
  if (Self.Digest != Digest || Self.ValidUntil <= Now)
    return found;
  auto at = std::lower_bound(found.begin(), found.end(), Options.Instance,
                             [](const Confirmer &It, const std::string &Name) {
                               return *It.Name < Name;
                             });
  found.insert(at, {&Options.Instance, &Self});
  return found;
}

size_t ListConfirmation::countMembers(const MemberList &List,
                                      const Confirmers &Of) {
  size_t count = 0;
  auto it = Of.begin();
  for (const InstanceEntry &member : List.Members) {
    while (it != Of.end() && *it->Name < member.Name)
      ++it;
    count += it != Of.end() && *it->Name == member.Name;
  }
  return count;
}

// Removes confirmers that report an earlier list of which the set contains no
// majority. Returns true if any were removed. Most confirmers report the same
// few lists, so each list is counted once.
bool ListConfirmation::dropUnsupported(Confirmers &Set) const {
  std::map<uint64_t, bool> counted;
  auto hasMajority = [&](uint64_t Digest) {
    auto [it, added] = counted.try_emplace(Digest, false);
    MemberListPtr list = added ? findKnown(Digest) : nullptr;
    if (list)
      it->second = countMembers(*list, Set) >= list->majority();
    return it->second;
  };
  Confirmers kept;
  for (const Confirmer &it : Set)
    if (std::all_of(it.LastStatement->Previous.begin(),
                    it.LastStatement->Previous.end(), hasMajority))
      kept.push_back(it);
  bool changed = kept.size() != Set.size();
  Set = std::move(kept);
  return changed;
}

// Whether confirmers that are valid until `At` make the list active. Finds the
// largest set of them that contains a majority of every earlier list reported
// in the set.
bool ListConfirmation::isSupported(const MemberList &List,
                                   const Confirmers &All, TimePoint At) const {
  Confirmers set;
  std::copy_if(
      All.begin(), All.end(), std::back_inserter(set),
      [&](const Confirmer &It) { return It.LastStatement->ValidUntil >= At; });
  while (dropUnsupported(set)) {
  }
  return countMembers(List, set) >= List.majority();
}

TimePoint ListConfirmation::activeEnd(const MemberList &List,
                                      const Confirmers &All) const {
  if (countMembers(List, All) < List.majority())
    return TimePoint();
  std::vector<TimePoint> ends;
  for (const Confirmer &it : All)
    ends.push_back(it.LastStatement->ValidUntil);
  std::sort(ends.begin(), ends.end(), std::greater<>());
  for (size_t i = List.majority() - 1; i < ends.size(); ++i)
    if (isSupported(List, All, ends[i]))
      return ends[i];
  return TimePoint();
}

void ListConfirmation::updateActivity(CoreContext &Context) {
  if (!Confirmed)
    return;
  Statement self = ownStatement();
  Confirmers all = confirmers(Confirmed->Digest, self);
  TimePoint end = activeEnd(*Confirmed, all);
  bool unbroken = ActiveUntil >= Now && !Periods.empty() &&
                  Periods.back().List->Digest == Confirmed->Digest;
  ActiveUntil = end;
  if (end <= Now)
    return;
  SeenActive = true;
  First = false;
  Previous.clear();
  if (!unbroken) {
    bool continuous = isContinuousWithLast(all);
    bool same =
        !Periods.empty() && Periods.back().List->Digest == Confirmed->Digest;
    if (!(same && continuous))
      Periods.push_back({Confirmed, Now, Context.Wall, continuous, {}});
    if (Periods.size() > MaxPeriods) {
      Periods.pop_front();
      Periods.front().Continuous = false;
    }
  }
  recordConfirmations(all);
}

void ListConfirmation::recordConfirmations(const Confirmers &All) {
  auto &confirmations = Periods.back().Confirmations;
  auto it = confirmations.begin();
  for (const Confirmer &confirmer : All) {
    while (it != confirmations.end() && it->first < *confirmer.Name)
      ++it;
    if (it == confirmations.end() || it->first != *confirmer.Name)
      it = confirmations.emplace_hint(it, *confirmer.Name,
                                      ActivePeriod::ConfirmationStamp());
    it->second = {confirmer.LastStatement->Incarnation,
                  confirmer.LastStatement->Changes};
  }
}

// Another list can have been active since the last period only if a majority of
// that period's list confirmed it. This is impossible if a majority kept
// confirming that list or changed from it directly to the current one.
bool ListConfirmation::isContinuousWithLast(const Confirmers &All) const {
  if (Periods.empty())
    return false;
  const ActivePeriod &last = Periods.back();
  auto confirmations =
      std::count_if(last.List->Members.begin(), last.List->Members.end(),
                    [&](const InstanceEntry &It) {
                      auto stamp = last.Confirmations.find(It.Name);
                      return stamp != last.Confirmations.end() &&
                             confirmedThroughout(All, It.Name, stamp->second,
                                                 last.List->Digest);
                    });
  return static_cast<size_t>(confirmations) >= last.List->majority();
}

bool ListConfirmation::confirmedThroughout(
    const Confirmers &All, const std::string &Name,
    const ActivePeriod::ConfirmationStamp &Stamp, uint64_t LastDigest) const {
  auto it = std::lower_bound(All.begin(), All.end(), Name,
                             [](const Confirmer &A, const std::string &Wanted) {
                               return *A.Name < Wanted;
                             });
  if (it == All.end() || *it->Name != Name ||
      it->LastStatement->Incarnation != Stamp.Incarnation)
    return false;
  uint64_t expected = Stamp.Changes + (Confirmed->Digest == LastDigest ? 0 : 1);
  return it->LastStatement->Changes == expected;
}

void ListConfirmation::fill(CoreContext &Context, const std::string &To,
                            Heartbeat &Message) {
  advance(Context);
  Peer &to = Peers[To];
  Message.Number = ++LastSent;
  Message.Echo = to.LastNumber;
  to.Sent.emplace_back(Message.Number, Now);
  if (to.Sent.size() > MaxSent)
    to.Sent.pop_front();
  Message.MembershipEpoch = Epoch;
  Message.ListChanges = Changes;
  bool offers = isFresh() && Newest && Now >= EarliestConfirmation;
  Message.FirstDigest = offers ? Newest->Digest : First ? Confirmed->Digest : 0;
  Message.ListDigest = Confirming ? Confirmed->Digest : 0;
  Message.PreviousDigest = Previous.empty() ? 0 : Previous.front();
  Message.EarlierDigests.clear();
  if (Previous.size() > 1)
    Message.EarlierDigests.assign(Previous.begin() + 1, Previous.end());
}

void ListConfirmation::onHeartbeat(CoreContext &Context,
                                   const std::string &From,
                                   uint64_t Incarnation,
                                   const Heartbeat &Message) {
  Now = Context.Now;
  Peer &from = Peers[From];
  from.LastSeen = Now;
  bool sameRun = from.Seen && from.LastStatement.Incarnation == Incarnation;
  from.Seen = true;
  // Late frames from an older connection are outdated.
  if (sameRun && static_cast<int64_t>(Message.Number - from.LastNumber) <= 0)
    return;
  from.LastNumber = Message.Number;
  Statement statement{Incarnation,         Message.ListDigest,
                      Message.FirstDigest, Message.MembershipEpoch,
                      Message.ListChanges, Message.EarlierDigests,
                      TimePoint()};
  if (Message.PreviousDigest)
    statement.Previous.insert(statement.Previous.begin(),
                              Message.PreviousDigest);
  for (const auto &[number, sent] : from.Sent)
    if (number == Message.Echo)
      statement.ValidUntil = sent + Options.LeasePeriod;
  const Statement &old = from.LastStatement;
  if (sameRun && old.Digest == statement.Digest &&
      old.First == statement.First && old.Epoch == statement.Epoch &&
      old.Changes == statement.Changes)
    statement.ValidUntil = std::max(statement.ValidUntil, old.ValidUntil);
  from.LastStatement = std::move(statement);
  advance(Context);
}

std::string ListConfirmation::dump(TimePoint At) const {
  Poco::JSON::Object root;
  root.set("confirmed", Confirmed ? Confirmed->Digest : 0);
  root.set("confirming", Confirming);
  root.set("active", ActiveUntil > At);
  root.set("newest", Newest ? Newest->Digest : 0);
  root.set("epoch", Epoch);
  root.set("changes", Changes);
  root.set("previous", Previous.size());
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

} // namespace crocusspur::internal
