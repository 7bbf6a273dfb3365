// Weighted fair queueing between the groups of one shard, by estimated cost.
// The wait of interactive groups is bounded, and batch groups are served last.
#ifndef CROCUSSPUR_FAIR_QUEUE_H
#define CROCUSSPUR_FAIR_QUEUE_H

#include "crocusspur/types.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <map>
#include <string>

namespace crocusspur::internal {

// Cost of a request in seconds of one prefill slot and of one decode slot.
struct SlotCost {
  double Prefill = 0;
  double Decode = 0;

  double total() const { return Prefill + Decode; }
  void add(const SlotCost &Other, double Factor = 1) {
    Prefill += Factor * Other.Prefill;
    Decode += Factor * Other.Decode;
  }
};

// Base class of the items of a FairQueue. An item must be removed with
// dequeue() or remove() before it is destroyed.
struct QueuedItem {
  boost::intrusive::list_member_hook<> QueueHook;
  std::string Group;
  SlotCost Cost;

  bool queued() const { return QueueHook.is_linked(); }
};

class FairQueue {
public:
  // Creates or updates a group. `Share` is its weight, greater than 0. A group
  // that is created later starts like one that was idle.
  void setGroup(const std::string &Name, double Share, RequestClass Class);
  // Calls the function with the name of each group that was created.
  void
  forEachGroup(const std::function<void(const std::string &)> &Callback) const;
  // Sets the slot seconds of the whole shard by which an interactive group may
  // be served ahead of its virtual time.
  void setInteractiveLead(double SlotSeconds) { InteractiveLead = SlotSeconds; }

  // Appends to the queue of Item.Group, which setGroup() must have created.
  void push(QueuedItem &Item);
  // Removes an item without charging its group.
  void remove(QueuedItem &Item);
  // Returns the first item in service order that the function accepts, or null.
  // Only the head of each group's queue is considered.
  QueuedItem *
  next(const std::function<bool(const QueuedItem &)> &Eligible) const;
  // Removes the item and charges its group in advance, at most the lookahead.
  // Later use and refunds are charged with adjustCharge(). Returns the charge.
  double dequeue(QueuedItem &Item);
  // Sets the cost of each queued item to the function's result.
  void updateCosts(const std::function<SlotCost(const QueuedItem &)> &CostOf);
  // Charges the group for use that dequeue() did not charge; a negative value
  // is a refund.
  void adjustCharge(const std::string &Group, double SlotSeconds);

  size_t size() const { return Count; }
  size_t size(const std::string &Group) const;
  SlotCost backlog(const std::string &Group) const;
  // Fraction of the capacity that the group gets while the groups that wait now
  // keep waiting.
  double activeShare(const std::string &Group) const;
  // Cost that is served before a new item of the group.
  SlotCost costAhead(const std::string &Group) const;
  // Sets the maximum charge of dequeue().
  void setLookahead(double SlotSeconds) { Lookahead = SlotSeconds; }
  // Calls the function for each item with the cost that is served before it.
  void
  forEach(const std::function<void(QueuedItem &, const SlotCost &)> &Callback);

private:
  using Items = boost::intrusive::list<
      QueuedItem, boost::intrusive::member_hook<
                      QueuedItem, boost::intrusive::list_member_hook<>,
                      &QueuedItem::QueueHook>>;
  struct Group {
    double Share = 1;
    RequestClass Class = RequestClass::Normal;
    double Tag = 0; // virtual time at which the head starts
    SlotCost QueuedCost;
    Items Queue;

    bool batch() const { return Class == RequestClass::Batch; }
  };

  double lead(const Group &Current) const;
  // Groups are served in increasing order of this virtual time.
  double key(const Group &Current) const { return Current.Tag - lead(Current); }
  SlotCost costBefore(const Group &Current, const SlotCost &OwnAhead) const;

  std::map<std::string, Group> Groups;
  // Groups whose queue isn't empty. A shard knows every group of the
  // configuration, thousands of them, while few have queued items.
  std::map<std::string, Group *> WaitingGroups;
  double VirtualTime[2] = {0, 0}; // of other groups and of batch groups
  double InteractiveLead = 0;
  double Lookahead = 1e9;
  size_t Count = 0;
};

} // namespace crocusspur::internal

#endif
