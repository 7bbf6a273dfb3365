#include "gateway/membership.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// Longer than a server takes to change its stage, and than any pause between
// two orders.
constexpr Milliseconds OrderRetention{30000};

} // namespace

void Membership::setSeeds(std::vector<std::string> Addresses) {
  std::lock_guard lock(Mutex);
  Table.setSeeds(std::move(Addresses));
}

void Membership::onMemberSeen(const Member &Item) {
  std::lock_guard lock(Mutex);
  Table.onMemberSeen(Item, Clock::now());
}

void Membership::onMembersHeard(const std::vector<MemberHeard> &Items) {
  std::lock_guard lock(Mutex);
  Table.onMembersHeard(Items, Clock::now());
}

void Membership::setFailureDomain(std::string Name) {
  std::lock_guard lock(Mutex);
  Table.setFailureDomain(std::move(Name));
}

void Membership::onContactFailed(const std::string &Address) {
  std::lock_guard lock(Mutex);
  Table.onContactFailed(Address, Clock::now());
}

std::vector<std::string> Membership::selectContacts(size_t Count) {
  std::lock_guard lock(Mutex);
  return Table.selectContacts(Count, Clock::now());
}

std::vector<Member> Membership::alive() const {
  std::lock_guard lock(Mutex);
  return Table.alive(Clock::now());
}

uint32_t Membership::budgetSharers() {
  std::lock_guard lock(Mutex);
  return Table.budgetSharers(Clock::now());
}

void Membership::onPeerHeard(const PeerDiscovery &Peer) {
  std::lock_guard lock(Mutex);
  Table.onPeerHeard(Peer, Clock::now());
}

FleetDiscovery Membership::discovery() const {
  std::lock_guard lock(Mutex);
  return Table.discovery();
}

bool Membership::isDiscovered() const {
  std::lock_guard lock(Mutex);
  return Table.isDiscovered(Clock::now());
}

bool Membership::isLeader(Milliseconds ForAtLeast) {
  std::lock_guard lock(Mutex);
  return Table.isLeader(ForAtLeast, Clock::now());
}

std::vector<std::string> Membership::keepersOf(const std::string &Key) const {
  std::lock_guard lock(Mutex);
  return Table.keepersOf(Key, Clock::now());
}

std::vector<std::string> Membership::receiversOf(const std::string &Key) const {
  std::lock_guard lock(Mutex);
  return Table.receiversOf(Key, Clock::now());
}

ReaderView Membership::readerView(const std::string &FailureDomain) const {
  std::lock_guard lock(Mutex);
  return Table.readerView(FailureDomain, Clock::now());
}

std::vector<std::string>
Membership::otherReaders(const std::string &FailureDomain) const {
  std::lock_guard lock(Mutex);
  return Table.otherReaders(FailureDomain, Clock::now());
}

std::string Membership::addressOf(const std::string &Name) const {
  std::lock_guard lock(Mutex);
  return Table.addressOf(Name);
}

std::vector<Member> Membership::reaching(const std::string &Service) {
  std::lock_guard lock(Mutex);
  return Table.reaching(Service, Clock::now());
}

void Membership::onForwardRefused(const std::string &Name,
                                  const std::string &Service) {
  std::lock_guard lock(Mutex);
  Table.onForwardRefused(Name, Service, Clock::now());
}

KeyOwner Membership::ownerOf(const std::string &Key, bool OwnLeaving) const {
  std::lock_guard lock(Mutex);
  return Table.ownerOf(Key, OwnLeaving, Clock::now());
}

void Membership::recordOrder(const IssuedStageOrder &Item) {
  std::lock_guard lock(Mutex);
  std::erase_if(Orders, [&](const OwnOrder &It) {
    return Clock::now() - It.At > OrderRetention;
  });
  Orders.push_back({Item, Clock::now()});
}

std::vector<IssuedStageOrder> Membership::ownOrdersLocked() const {
  std::vector<IssuedStageOrder> all;
  for (const OwnOrder &it : Orders) {
    all.push_back(it.Item);
    all.back().Age =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - it.At);
  }
  return all;
}

std::vector<IssuedStageOrder> Membership::ownOrders() const {
  std::lock_guard lock(Mutex);
  return ownOrdersLocked();
}

std::vector<IssuedStageOrder>
Membership::orders(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  std::vector<IssuedStageOrder> all = ownOrdersLocked();
  for (const Member &member : Table.alive(Clock::now()))
    for (IssuedStageOrder it : member.Orders) {
      it.Age += member.LastSeenAgo;
      all.push_back(it);
    }
  std::erase_if(all, [&](const IssuedStageOrder &It) {
    return It.Service != Service || It.Age > OrderRetention;
  });
  std::sort(all.begin(), all.end(),
            [](const IssuedStageOrder &Left, const IssuedStageOrder &Right) {
              return Left.Age < Right.Age;
            });
  return all;
}

} // namespace crocusspur::gateway
