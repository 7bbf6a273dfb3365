#include "gateway/fleet.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

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

void Fleet::ordered(const std::string &Service, const std::string &ServerId,
                    uint64_t Fence) {
  std::lock_guard lock(Mutex);
  std::erase_if(Orders,
                [&](const OwnOrder &It) { return It.Item.Service == Service; });
  Orders.push_back({{Service, ServerId, Fence, Milliseconds(0)}, Clock::now()});
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

std::optional<GivenOrder> Fleet::lastOrder(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  std::optional<GivenOrder> last;
  auto take = [&](const GivenOrder &Item, Milliseconds Older) {
    if (Item.Service != Service)
      return;
    GivenOrder found = Item;
    found.Ago += Older;
    uint64_t fence = std::max(last ? last->Fence : 0, found.Fence);
    if (!last || found.Ago < last->Ago)
      last = found;
    last->Fence = fence;
  };
  for (const GivenOrder &it : ownOrdersLocked())
    take(it, Milliseconds(0));
  for (const Member &member : Table.alive(Clock::now()))
    for (const GivenOrder &it : member.Orders)
      take(it, member.HeardAgo);
  return last;
}

} // namespace crocusspur::gateway
