// What the core and the peer links hand to the relay of one request, and the
// table of the mailboxes of all requests.
#ifndef CROCUSSPUR_MAILBOX_H
#define CROCUSSPUR_MAILBOX_H

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

// Thread-safe. The descriptor of wakeUp() is readable while there is an item or
// the mailbox is broken.
class Mailbox : public boost::intrusive_ref_counter<Mailbox> {
public:
  // Returns false if the mailbox is full.
  bool push(MailboxItem Item);
  bool pop(MailboxItem &Item);
  bool empty();

  // The instance at the other end is gone or has cancelled. Items that came
  // before can still be taken.
  void disconnect();
  bool disconnected();

  // Forgets the instance at the other end and that it is gone.
  void clearPeer();

  // Instance that the request was forwarded to or came from.
  void setPeer(const std::string &Instance);
  bool hasPeer(const std::string &Instance);

  int fd() const { return Signal.fd(); }

private:
  std::mutex Mutex;
  std::deque<MailboxItem> Items;
  std::string Peer;
  bool Disconnected = false;
  WakeUp Signal;
};

using MailboxPtr = boost::intrusive_ptr<Mailbox>;

// Thread-safe. Divided into parts, so that requests that begin and end at the
// same time rarely wait for each other.
class MailboxTable {
public:
  // Returns null if the request is there already.
  MailboxPtr open(const RequestId &Id);
  void close(const RequestId &Id);
  MailboxPtr find(const RequestId &Id);
  std::vector<MailboxPtr> all();

private:
  struct Partition {
    std::mutex Mutex;
    std::unordered_map<RequestId, MailboxPtr> Items;
  };
  Partition &partitionOf(const RequestId &Id);

  std::array<Partition, 16> Partitions;
};

} // namespace crocusspur::internal

#endif
