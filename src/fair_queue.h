// Weighted fair queueing between the groups of one shard by estimated cost,
// with a bounded wait of the interactive class and batch work last.
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

// Base of everything that can wait in a FairQueue. Leaves its queue when it is
// destroyed only if take() or remove() was called before.
struct QueuedItem {
  boost::intrusive::list_member_hook<> QueueHook;
  std::string Group;
  SlotCost Cost;

  bool queued() const { return QueueHook.is_linked(); }
};

class FairQueue {
public:
  // Creates or changes a group. `Share` is its weight, greater than 0. A group
  // that is created late starts like one that was idle.
  void setGroup(const std::string &Name, double Share, RequestClass Class);
  // Calls the function with the name of each group that was created.
  void
  forEachGroup(const std::function<void(const std::string &)> &Callback) const;
  // Work, in slot seconds of all groups, that an interactive group may be
  // served ahead of its virtual time.
  void setInteractiveLead(double SlotSeconds) { InteractiveLead = SlotSeconds; }

  // Appends to the queue of Item.Group, which setGroup() has created.
  void push(QueuedItem &Item);
  // Takes an item out without charging its group.
  void remove(QueuedItem &Item);
  // The first item, in the order of service, that the function accepts; only
  // the head of each group is offered. Null if there is none.
  QueuedItem *
  next(const std::function<bool(const QueuedItem &)> &Eligible) const;
  // Removes the item and charges its group for the use of the next time. What
  // it uses and gives back later is charged with correct(). Returns the charge.
  double dequeue(QueuedItem &Item);
  // Sets the cost of all that wait to what the function gives.
  void updateCosts(const std::function<SlotCost(const QueuedItem &)> &CostOf);
  // Charges the group for use that take() did not, or gives back (negative).
  void adjustCharge(const std::string &Group, double SlotSeconds);

  size_t size() const { return Count; }
  size_t size(const std::string &Group) const;
  SlotCost backlog(const std::string &Group) const;
  // Part of the capacity that the group gets while all that wait now wait.
  double activeShare(const std::string &Group) const;
  // Work that is served before a new item of the group.
  SlotCost costAhead(const std::string &Group) const;
  // Greatest charge of take(), in seconds.
  void setLookahead(double SlotSeconds) { Lookahead = SlotSeconds; }
  // Calls the function for each item with the work that is served before it.
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
  // Virtual time by which items are ordered: smaller is served first.
  double key(const Group &Current) const { return Current.Tag - lead(Current); }
  SlotCost costBefore(const Group &Current, const SlotCost &OwnAhead) const;

  std::map<std::string, Group> Groups;
  // Groups whose queue isn't empty. A shard knows every group of the
  // configuration, thousands of them, while few have work that waits.
  std::map<std::string, Group *> WaitingGroups;
  double VirtualTime[2] = {0, 0}; // of batch and of all other groups
  double InteractiveLead = 0;
  double Lookahead = 1e9;
  size_t Count = 0;
};

} // namespace crocusspur::internal

#endif
