// The other instances and what they tell of services, shared by the plug-ins.
// All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_MEMBERSHIP_H
#define CROCUSSPUR_GATEWAY_MEMBERSHIP_H

#include "gateway/decisions/member_table.h"

#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

class Membership {
public:
  Membership(std::string OwnName, std::string OwnAddress, uint64_t Seed)
      : Table(std::move(OwnName), std::move(OwnAddress), Seed) {}

  void setSeeds(std::vector<std::string> Addresses);
  void onMemberSeen(const Member &Item);
  void onContactFailed(const std::string &Address);
  std::vector<std::string> selectContacts(size_t Count);
  std::vector<Member> alive() const;
  uint32_t budgetSharers();
  bool isLeader(Milliseconds ForAtLeast);

  // An order that this instance gives or announces; told to the others for a
  // while.
  void recordOrder(const IssuedStageOrder &Item);
  std::vector<IssuedStageOrder> ownOrders() const;
  // Orders of all instances for the service that are told of, newest first.
  std::vector<IssuedStageOrder> orders(const std::string &Service) const;

private:
  struct OwnOrder {
    IssuedStageOrder Item;
    TimePoint At;
  };
  std::vector<IssuedStageOrder> ownOrdersLocked() const;

  mutable std::mutex Mutex;
  MemberTable Table;
  std::vector<OwnOrder> Orders; // those that are still told
};

} // namespace crocusspur::gateway

#endif
