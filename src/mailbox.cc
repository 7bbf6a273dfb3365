#include "mailbox.h"

#include <utility>

namespace crocusspur::internal {
namespace {

// Far more than the actions that one request can have outstanding. It bounds
// the parts of a forwarded response that a slow caller has not read yet.
constexpr size_t MaxItems = 4096;

} // namespace

bool Mailbox::push(MailboxItem Item) {
  std::lock_guard lock(Mutex);
  if (Items.size() >= MaxItems)
    return false;
  Items.push_back(std::move(Item));
  if (Items.size() == 1)
    Signal.set();
  return true;
}

bool Mailbox::pop(MailboxItem &Item) {
  std::lock_guard lock(Mutex);
  if (Items.empty())
    return false;
  Item = std::move(Items.front());
  Items.pop_front();
  if (Items.empty() && !Disconnected)
    Signal.clear();
  return true;
}

bool Mailbox::empty() {
  std::lock_guard lock(Mutex);
  return Items.empty();
}

void Mailbox::disconnect() {
  std::lock_guard lock(Mutex);
  Disconnected = true;
  Signal.set();
}

bool Mailbox::disconnected() {
  std::lock_guard lock(Mutex);
  return Disconnected;
}

void Mailbox::clearPeer() {
  std::lock_guard lock(Mutex);
  Peer.clear();
  Disconnected = false;
  if (Items.empty())
    Signal.clear();
}

void Mailbox::setPeer(const std::string &Instance) {
  std::lock_guard lock(Mutex);
  Peer = Instance;
}

bool Mailbox::hasPeer(const std::string &Instance) {
  std::lock_guard lock(Mutex);
  return Peer == Instance;
}

MailboxTable::Partition &MailboxTable::partitionOf(const RequestId &Id) {
  return Partitions[Id.Sequence % Partitions.size()];
}

MailboxPtr MailboxTable::open(const RequestId &Id) {
  MailboxPtr mailbox(new Mailbox);
  Partition &partition = partitionOf(Id);
  std::lock_guard lock(partition.Mutex);
  return partition.Items.emplace(Id, mailbox).second ? mailbox : nullptr;
}

void MailboxTable::close(const RequestId &Id) {
  Partition &partition = partitionOf(Id);
  std::lock_guard lock(partition.Mutex);
  partition.Items.erase(Id);
}

MailboxPtr MailboxTable::find(const RequestId &Id) {
  Partition &partition = partitionOf(Id);
  std::lock_guard lock(partition.Mutex);
  auto it = partition.Items.find(Id);
  return it == partition.Items.end() ? nullptr : it->second;
}

std::vector<MailboxPtr> MailboxTable::all() {
  std::vector<MailboxPtr> found;
  for (Partition &it : Partitions) {
    std::lock_guard lock(it.Mutex);
    for (auto &item : it.Items)
      found.push_back(item.second);
  }
  return found;
}

} // namespace crocusspur::internal
