#include "gateway/fleet.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Longer than a server takes to change its stage, and than any pause between
// two orders.
constexpr Milliseconds OrderMemory{30000};

} // namespace

void Fleet::setSeeds(std::vector<std::string> Addresses) {
  std::lock_guard lock(Mutex);
  Table.setSeeds(std::move(Addresses));
}

void Fleet::onMemberSeen(const Member &Item) {
  std::lock_guard lock(Mutex);
  Table.onMemberSeen(Item, Clock::now());
}

void Fleet::onContactFailed(const std::string &Address) {
  std::lock_guard lock(Mutex);
  Table.onContactFailed(Address, Clock::now());
}

std::vector<std::string> Fleet::selectContacts(size_t Count) {
  std::lock_guard lock(Mutex);
  return Table.selectContacts(Count, Clock::now());
}

std::vector<Member> Fleet::alive() const {
  std::lock_guard lock(Mutex);
  return Table.alive(Clock::now());
}

uint32_t Fleet::budgetSharers() {
  std::lock_guard lock(Mutex);
  return Table.budgetSharers(Clock::now());
}

bool Fleet::isLeader(Milliseconds ForAtLeast) {
  std::lock_guard lock(Mutex);
  return Table.isLeader(ForAtLeast, Clock::now());
}

void Fleet::ordered(const IssuedStageOrder &Item) {
  std::lock_guard lock(Mutex);
  std::erase_if(Orders, [&](const OwnOrder &It) {
    return Clock::now() - It.At > OrderMemory;
  });
  Orders.push_back({Item, Clock::now()});
}

std::vector<IssuedStageOrder> Fleet::ownOrdersLocked() const {
  std::vector<IssuedStageOrder> all;
  for (const OwnOrder &it : Orders) {
    all.push_back(it.Item);
    all.back().Age =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - it.At);
  }
  return all;
}

std::vector<IssuedStageOrder> Fleet::ownOrders() const {
  std::lock_guard lock(Mutex);
  return ownOrdersLocked();
}

std::vector<IssuedStageOrder> Fleet::orders(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  std::vector<IssuedStageOrder> all = ownOrdersLocked();
  for (const Member &member : Table.alive(Clock::now()))
    for (IssuedStageOrder it : member.Orders) {
      it.Age += member.LastSeenAgo;
      all.push_back(it);
    }
  std::erase_if(all, [&](const IssuedStageOrder &It) {
    return It.Service != Service || It.Age > OrderMemory;
  });
  std::sort(all.begin(), all.end(),
            [](const IssuedStageOrder &Left, const IssuedStageOrder &Right) {
              return Left.Age < Right.Age;
            });
  return all;
}

} // namespace crocusspur::gateway
