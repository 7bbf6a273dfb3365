// The other instances and what they tell of services, shared by the plug-ins.
// All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_FLEET_H
#define CROCUSSPUR_GATEWAY_FLEET_H

#include "gateway/decisions/member_table.h"

#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

class Fleet {
public:
  Fleet(std::string OwnName, std::string OwnAddress, uint64_t Seed)
      : Table(std::move(OwnName), std::move(OwnAddress), Seed) {}

  void setSeeds(std::vector<std::string> Addresses);
  void heard(const Member &Item);
  void silent(const std::string &Address);
  std::vector<std::string> contacts(size_t Count);
  std::vector<Member> alive() const;
  uint32_t sharers();
  bool leads(Milliseconds ForAtLeast);

  // An order that this instance gives or announces; told to the others for a
  // while.
  void ordered(const GivenOrder &Item);
  std::vector<GivenOrder> ownOrders() const;
  // Orders of all instances for the service that are told of, newest first.
  std::vector<GivenOrder> orders(const std::string &Service) const;

private:
  struct OwnOrder {
    GivenOrder Item;
    TimePoint At;
  };
  std::vector<GivenOrder> ownOrdersLocked() const;

  mutable std::mutex Mutex;
  MemberTable Table;
  std::vector<OwnOrder> Orders; // those that are still told
};

} // namespace crocusspur::gateway

#endif
