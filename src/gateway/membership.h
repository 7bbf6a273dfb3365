// Members of the fleet and the stage orders and statistics that they share, for
// all plug-ins. All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_MEMBERSHIP_H
#define CROCUSSPUR_GATEWAY_MEMBERSHIP_H

#include "checked_mutex.h"
#include "gateway/decisions/member_table.h"

#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

class Membership {
public:
  Membership(std::string OwnName, std::string OwnAddress, uint64_t Seed)
      : Table(std::move(OwnName), std::move(OwnAddress), Seed) {}

  void setFailureDomain(std::string Name);
  void setSeeds(std::vector<std::string> Addresses);
  void onMemberSeen(const Member &Item);
  void onMembersHeard(const std::vector<MemberHeard> &Items);
  void onContactFailed(const std::string &Address);
  std::vector<std::string> selectContacts(size_t Count);
  std::vector<Member> alive() const;
  uint32_t budgetSharers();
  void onPeerHeard(const PeerDiscovery &Peer);
  bool isDiscovered() const;
  FleetDiscovery discovery() const;
  bool isLeader(Milliseconds ForAtLeast);
  KeyOwner ownerOf(const std::string &Key, bool OwnLeaving) const;
  std::vector<std::string> keepersOf(const std::string &Key) const;
  std::vector<std::string> receiversOf(const std::string &Key) const;
  ReaderView readerView(const std::string &FailureDomain) const;
  std::vector<std::string> otherReaders(const std::string &FailureDomain) const;
  std::string addressOf(const std::string &Name) const;
  std::vector<Member> reaching(const std::string &Service);
  void onForwardRefused(const std::string &Name, const std::string &Service);

  // Records an order that this instance issues or announces. It is sent to the
  // other instances until its retention expires.
  void recordOrder(const IssuedStageOrder &Item);
  std::vector<IssuedStageOrder> ownOrders() const;
  // Returns the retained orders of all instances for the service, newest first.
  std::vector<IssuedStageOrder> orders(const std::string &Service) const;

private:
  struct OwnOrder {
    IssuedStageOrder Item;
    TimePoint At;
  };
  std::vector<IssuedStageOrder> ownOrdersLocked() const;

  mutable internal::LeafMutex Mutex;
  MemberTable Table;
  std::vector<OwnOrder> Orders; // those still sent to peers
};

} // namespace crocusspur::gateway

#endif
