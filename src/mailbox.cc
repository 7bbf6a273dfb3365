#include "mailbox.h"

#include <utility>

namespace crocusspur::internal {
namespace {

// Far more than the actions that one request can have outstanding; it bounds
// the pieces of a forwarded answer that a slow caller has not taken.
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
  if (Items.empty() && !Broken)
    Signal.clear();
  return true;
}

bool Mailbox::empty() {
  std::lock_guard lock(Mutex);
  return Items.empty();
}

void Mailbox::disconnect() {
  std::lock_guard lock(Mutex);
  Broken = true;
  Signal.set();
}

bool Mailbox::disconnected() {
  std::lock_guard lock(Mutex);
  return Broken;
}

void Mailbox::clearPeer() {
  std::lock_guard lock(Mutex);
  Peer.clear();
  Broken = false;
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

MailboxTable::Part &MailboxTable::partOf(const RequestId &Id) {
  return Parts[Id.Sequence % Parts.size()];
}

MailboxPtr MailboxTable::open(const RequestId &Id) {
  MailboxPtr mailbox(new Mailbox);
  Part &part = partOf(Id);
  std::lock_guard lock(part.Mutex);
  return part.Items.emplace(Id, mailbox).second ? mailbox : nullptr;
}

void MailboxTable::close(const RequestId &Id) {
  Part &part = partOf(Id);
  std::lock_guard lock(part.Mutex);
  part.Items.erase(Id);
}

MailboxPtr MailboxTable::find(const RequestId &Id) {
  Part &part = partOf(Id);
  std::lock_guard lock(part.Mutex);
  auto it = part.Items.find(Id);
  return it == part.Items.end() ? nullptr : it->second;
}

std::vector<MailboxPtr> MailboxTable::all() {
  std::vector<MailboxPtr> found;
  for (Part &it : Parts) {
    std::lock_guard lock(it.Mutex);
    for (auto &item : it.Items)
      found.push_back(item.second);
  }
  return found;
}

} // namespace crocusspur::internal
