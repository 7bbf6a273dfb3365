// The other instances, as seeds and peers have told of them: who is alive, whom
// to contact next, and how many share what is limited for all. Pure.
//
// Contacts are few whatever the number of instances: the next one on a ring of
// names, which finds every failure, and a random one, which spreads news within
// a logarithmic number of rounds.
#ifndef CROCUSSPUR_GATEWAY_MEMBER_TABLE_H
#define CROCUSSPUR_GATEWAY_MEMBER_TABLE_H

#include "crocusspur/types.h"
#include "gateway/decisions/demand_meter.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// An order to change its stage that an instance gives, or is about to give, to
// a server of a service.
struct IssuedStageOrder {
  std::string Service;
  std::string ServerId;
  uint64_t Fence = 0;
  Milliseconds Age{0};
  bool ToDecode = false; // otherwise to prefill
};

// What an instance tells of one service, for decisions on all of it.
struct ServiceStats {
  std::string Service;
  StageDemand Demand;
  double PrefillRate = 0; // prompt tokens a second of one server; 0: unknown
};

struct Member {
  std::string Name;
  std::string Address;         // "IP:port" for exchanges
  uint64_t Incarnation = 0;    // random for each start of its process
  Milliseconds LastSeenAgo{0}; // since it was last heard by anyone
  bool Leaving = false;
  std::vector<ServiceStats> Stats;
  std::vector<IssuedStageOrder> Orders; // the last of each service
};

class MemberTable {
public:
  MemberTable(std::string OwnName, std::string OwnAddress, uint64_t Seed)
      : OwnName(std::move(OwnName)), OwnAddress(std::move(OwnAddress)),
        Random(Seed) {}

  // Seeds are contacted until members are known, and now and then after, so
  // that parts of the fleet that never heard of each other meet.
  void setSeeds(std::vector<std::string> Addresses);

  // A member was heard, directly or through a peer. News that are older than
  // what is known change nothing; a new incarnation replaces the former one.
  void onMemberSeen(const Member &Item, TimePoint Now);
  // An exchange with the address failed.
  void onContactFailed(const std::string &Address, TimePoint Now);

  // Addresses for one round, at most `Count`.
  std::vector<std::string> selectContacts(size_t Count, TimePoint Now);

  // Members heard within the memory, without this instance.
  std::vector<Member> alive(TimePoint Now) const;

  // Whether this instance is the one that gives orders: the first by name of
  // those that aren't leaving, for the whole time given, with at least half of
  // the fleet in sight. Two may hold this for a moment when the fleet is split;
  // servers then tell them apart by their fences.
  bool isLeader(Milliseconds ForAtLeast, TimePoint Now);

  // Instances that may share a budget, this one included: the most known at
  // once in the last minute, or a cautious number until members are known.
  uint32_t budgetSharers(TimePoint Now);

private:
  struct State {
    Member Item;
    TimePoint LastSeenAt;
    TimePoint SkipUntil;
  };

  std::string OwnName;
  std::string OwnAddress;
  std::mt19937_64 Random;
  std::vector<std::string> Seeds;
  std::map<std::string, State> Members; // by name
  uint32_t Round = 0;
  uint32_t MaxSharers = 0;
  TimePoint MaxSharersAt;
  bool EverSeenMember = false;
  std::optional<TimePoint> FirstByNameSince; // first by name since then
};

} // namespace crocusspur::gateway

#endif
