// Mailbox for what the core and the peer links deliver to the relay of one
// request, and the table of the mailboxes of all requests.
#ifndef CROCUSSPUR_MAILBOX_H
#define CROCUSSPUR_MAILBOX_H

#include "checked_mutex.h"
#include "crocusspur/action.h"
#include "socket_io.h"

#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace crocusspur::internal {

using MailboxItem = std::variant<Action, PeerMessage>;

// Thread-safe. fd() is readable while there is an item or the mailbox is
// disconnected.
class Mailbox : public boost::intrusive_ref_counter<Mailbox> {
public:
  // Returns false if the mailbox is full.
  bool push(MailboxItem Item);
  bool pop(MailboxItem &Item);
  bool empty();

  // Call when the link to the peer was lost or the peer has cancelled. Earlier
  // items can still be popped.
  void disconnect();
  bool disconnected();

  // Clears the peer and the disconnected state.
  void clearPeer();

  // Instance that the request was forwarded to or came from.
  void setPeer(const std::string &Instance);
  bool hasPeer(const std::string &Instance);

  int fd() const { return Signal.fd(); }

private:
  LeafMutex Mutex;
  std::deque<MailboxItem> Items;
  std::string Peer;
  bool Disconnected = false;
  WakeUp Signal;
};

using MailboxPtr = boost::intrusive_ptr<Mailbox>;

// Thread-safe. Partitioned, so that requests that start and end concurrently
// rarely contend for a lock.
class MailboxTable {
public:
  // Returns null if the request already has a mailbox.
  MailboxPtr open(const RequestId &Id);
  void close(const RequestId &Id);
  MailboxPtr find(const RequestId &Id);
  std::vector<MailboxPtr> all();

private:
  struct Partition {
    LeafMutex Mutex;
    std::unordered_map<RequestId, MailboxPtr> Items;
  };
  Partition &partitionOf(const RequestId &Id);

  std::array<Partition, 16> Partitions;
};

} // namespace crocusspur::internal

#endif
