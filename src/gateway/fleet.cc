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

void Fleet::heard(const Member &Item) {
  std::lock_guard lock(Mutex);
  Table.heard(Item, Clock::now());
}

void Fleet::silent(const std::string &Address) {
  std::lock_guard lock(Mutex);
  Table.silent(Address, Clock::now());
}

std::vector<std::string> Fleet::contacts(size_t Count) {
  std::lock_guard lock(Mutex);
  return Table.contacts(Count, Clock::now());
}

std::vector<Member> Fleet::alive() const {
  std::lock_guard lock(Mutex);
  return Table.alive(Clock::now());
}

uint32_t Fleet::sharers() {
  std::lock_guard lock(Mutex);
  return Table.sharers(Clock::now());
}

bool Fleet::leads(Milliseconds ForAtLeast) {
  std::lock_guard lock(Mutex);
  return Table.leads(ForAtLeast, Clock::now());
}

void Fleet::ordered(const GivenOrder &Item) {
  std::lock_guard lock(Mutex);
  std::erase_if(Orders, [&](const OwnOrder &It) {
    return Clock::now() - It.At > OrderMemory;
  });
  Orders.push_back({Item, Clock::now()});
}

std::vector<GivenOrder> Fleet::ownOrdersLocked() const {
  std::vector<GivenOrder> all;
  for (const OwnOrder &it : Orders) {
    all.push_back(it.Item);
    all.back().Ago =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - it.At);
  }
  return all;
}

std::vector<GivenOrder> Fleet::ownOrders() const {
  std::lock_guard lock(Mutex);
  return ownOrdersLocked();
}

std::vector<GivenOrder> Fleet::orders(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  std::vector<GivenOrder> all = ownOrdersLocked();
  for (const Member &member : Table.alive(Clock::now()))
    for (GivenOrder it : member.Orders) {
      it.Ago += member.HeardAgo;
      all.push_back(it);
    }
  std::erase_if(all, [&](const GivenOrder &It) {
    return It.Service != Service || It.Ago > OrderMemory;
  });
  std::sort(all.begin(), all.end(),
            [](const GivenOrder &Left, const GivenOrder &Right) {
              return Left.Ago < Right.Ago;
            });
  return all;
}

} // namespace crocusspur::gateway
