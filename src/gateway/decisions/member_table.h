// Membership table of the other instances, filled from seeds and peers: which
// are alive, which to contact next, and how many share limits that apply to the
// whole fleet. Does no I/O; callers pass the time.
//
// The number of contacts per round doesn't depend on the fleet size: the next
// member on a ring ordered by name, so that every failure is detected, and a
// random one, so that updates spread within a logarithmic number of rounds.
#ifndef CROCUSSPUR_GATEWAY_MEMBER_TABLE_H
#define CROCUSSPUR_GATEWAY_MEMBER_TABLE_H

#include "crocusspur/types.h"
#include "gateway/decisions/demand_meter.h"
#include "gateway/decisions/fleet/fleet_discovery.h"
#include "gateway/decisions/reachability_table.h"
#include "gateway/decisions/reader_election.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// A stage change that an instance has ordered, or is about to order, for a
// server of a service.
struct IssuedStageOrder {
  std::string Service;
  std::string ServerId;
  uint64_t Fence = 0;
  Milliseconds Age{0};
  bool ToDecode = false; // otherwise to prefill
};

// Statistics of one service at one instance, for decisions about the whole
// service.
struct ServiceStats {
  std::string Service;
  StageDemand Demand;
  double PrefillRate = 0; // prompt tokens per second of one server; 0: unknown
};

struct Member {
  std::string Name;
  std::string Address;         // "IP:port" for exchanges
  uint64_t Incarnation = 0;    // random for each process start
  Milliseconds LastSeenAgo{0}; // since any instance last saw it
  bool Leaving = false;
  std::vector<ServiceStats> Stats;
  std::vector<IssuedStageOrder> Orders; // latest order of each service
  // Services whose servers respond to the instance; none that it is cut off
  // from.
  std::vector<ServiceReach> Reached{};
  std::string FailureDomain{}; // empty: of a build that doesn't state it
  // The store didn't respond to the instance lately.
  bool StoreFailing = false;
  // Rises with each change of the above that peers should learn; 0: of a build
  // that states none.
  uint64_t StateVersion = 0;
};

// When a member was heard, without its state.
struct MemberHeard {
  uint32_t Key = 0;    // see memberKey()
  uint8_t Version = 0; // the lowest byte of its state's
  Milliseconds Ago{0};
};

// Identifies a process of a member. Two of 400 have the same key once in 50,000
// fleets; then one is taken for alive for as long as the other is.
uint32_t memberKey(const std::string &Name, uint64_t Incarnation);

// The instance that decides for the fleet on a key.
struct KeyOwner {
  std::string Name;
  std::string Address; // for exchanges; empty: this instance
  // Whether enough is known of the fleet to tell the owner.
  bool Known = false;
};

class MemberTable {
public:
  MemberTable(std::string OwnName, std::string OwnAddress, uint64_t Seed)
      : OwnName(std::move(OwnName)), OwnAddress(std::move(OwnAddress)),
        Random(Seed), SeedPhase(Seed % 1000) {}

  // Seeds are contacted until members are known and occasionally afterwards, so
  // that separated parts of the fleet discover each other.
  void setSeeds(std::vector<std::string> Addresses);

  // Records a member seen directly or reported by a peer. Ignores updates older
  // than the known state. A new incarnation replaces the previous one.
  void onMemberSeen(const Member &Item, TimePoint Now);
  // The same for known members, without their state.
  void onMembersHeard(const std::vector<MemberHeard> &Items, TimePoint Now);
  // Records a failed exchange with the address.
  void onContactFailed(const std::string &Address, TimePoint Now);

  // This instance's failure domain. In a large fleet most contacts are within
  // it.
  void setFailureDomain(std::string Name) { OwnDomain = std::move(Name); }

  // Returns the addresses to contact in this round, at most `Count`.
  std::vector<std::string> selectContacts(size_t Count, TimePoint Now);

  // Members seen within the retention time, excluding this instance.
  std::vector<Member> alive(TimePoint Now) const;

  // Whether this instance is the leader, which issues stage change orders: for
  // at least `ForAtLeast` it has been the first by name among those that aren't
  // leaving, and has seen at least half of the fleet. During a partition two
  // instances may briefly both be leader; servers then order them by their
  // fencing tokens.
  bool isLeader(Milliseconds ForAtLeast, TimePoint Now);

  // Returns the first of the instances that aren't leaving, in the rendezvous
  // order of the key. `OwnLeaving`: this instance is leaving.
  KeyOwner ownerOf(const std::string &Key, bool OwnLeaving,
                   TimePoint Now) const;

  // Returns the addresses of the other instances in the rendezvous order of the
  // key, without those whose last contact failed recently; the seeds if there
  // are none.
  std::vector<std::string> keepersOf(const std::string &Key,
                                     TimePoint Now) const;

  // The same as receivers of what is to be kept: instances that leave are
  // behind the others.
  std::vector<std::string> receiversOf(const std::string &Key,
                                       TimePoint Now) const;

  // Returns the other instances of the failure domain that may read the store.
  ReaderView readerView(const std::string &FailureDomain, TimePoint Now) const;
  // Addresses of instances of other failure domains that are likely to read the
  // store.
  std::vector<std::string> otherReaders(const std::string &FailureDomain,
                                        TimePoint Now) const;
  // Address of a known instance; empty if it isn't known.
  std::string addressOf(const std::string &Name) const;

  // Returns the instances to pass requests on to: those to which servers of the
  // service have responded within the last seconds, then those that state
  // nothing about it (they have called none, or are cut off from them), both in
  // random order. Excludes instances that are leaving, whose last
  // contact failed, or that have refused such a request lately.
  std::vector<Member> reaching(const std::string &Service, TimePoint Now);
  // An instance refused a request for the service, since it doesn't reach its
  // servers or handles enough of them.
  void onForwardRefused(const std::string &Name, const std::string &Service,
                        TimePoint Now);

  // A frame of a peer was received.
  void onPeerHeard(const PeerDiscovery &Peer, TimePoint Now) {
    Discovery.onPeerHeard(Peer, Now);
  }
  // Whether the other instances are likely to be known.
  bool isDiscovered(TimePoint Now) const { return Discovery.isDone(Now); }
  const FleetDiscovery &discovery() const { return Discovery; }
  // Number of instances that may share a budget, including this one: the
  // maximum known at once in the last minute, and at least a conservative
  // default until the members are likely to be known.
  uint32_t budgetSharers(TimePoint Now);

private:
  // The maximum of members seen at once in the last minute.
  uint32_t fleetSize(TimePoint Now);
  // Returns a number for the failure domain; 0 for none.
  size_t domainNumber(const std::string &Name);

  struct State {
    Member Item;
    uint32_t Key = 0;
    size_t Domain = 0; // see domainNumber()
    TimePoint LastSeenAt;
    TimePoint StateAt;     // of which the item's ages are
    TimePoint ConfirmedAt; // when it was last known to have this state
    TimePoint SkipUntil;
    std::map<std::string, TimePoint> ForwardSkipUntil; // by service
  };

  std::string OwnName;
  std::string OwnAddress;
  std::string OwnDomain;
  std::mt19937_64 Random;
  std::vector<std::string> Seeds;
  std::map<std::string, State> Members; // by name
  std::vector<std::string> Domains{""}; // by number
  uint32_t Round = 0;
  size_t SeedPhase;
  uint32_t MaxSeen = 0; // members at once, including this instance
  TimePoint MaxSeenAt;
  FleetDiscovery Discovery;
  std::optional<TimePoint> FirstByNameSince;
};

} // namespace crocusspur::gateway

#endif
