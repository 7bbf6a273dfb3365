#include "fair_queue.h"

#include <algorithm>

namespace crocusspur::internal {

void FairQueue::setGroup(const std::string &Name, double Share,
                         RequestClass Class) {
  Group &group = Groups[Name];
  group.Share = Share > 0 ? Share : 1;
  group.Class = Class;
}

void FairQueue::forEachGroup(
    const std::function<void(const std::string &)> &Callback) const {
  for (const auto &[name, group] : Groups)
    Callback(name);
}

void FairQueue::push(QueuedItem &Item) {
  Group &group = Groups[Item.Group];
  // An idle group restarts at the current virtual time, so unused time earns it
  // no credit. Its tag is at most one request ahead: only a decrease of the
  // virtual time, not the group's own use, can have put it further ahead.
  if (group.Queue.empty()) {
    double now = VirtualTime[group.batch()];
    double latest = now + lead(group) + Item.Cost.total() / group.Share;
    group.Tag = std::clamp(group.Tag, now, latest);
    WaitingGroups.emplace(Item.Group, &group);
  }
  group.Queue.push_back(Item);
  group.QueuedCost.add(Item.Cost);
  ++Count;
}

void FairQueue::remove(QueuedItem &Item) {
  Group &group = Groups[Item.Group];
  group.Queue.erase(group.Queue.iterator_to(Item));
  group.QueuedCost.add(Item.Cost, -1);
  if (group.Queue.empty()) {
    group.QueuedCost = {};
    WaitingGroups.erase(Item.Group);
  }
  --Count;
}

QueuedItem *
FairQueue::next(const std::function<bool(const QueuedItem &)> &Eligible) const {
  const Group *best = nullptr;
  for (const auto &[name, group] : WaitingGroups) {
    if (!Eligible(group->Queue.front()))
      continue;
    auto rank = [&](const Group &It) {
      return std::make_pair(It.batch(), key(It));
    };
    if (!best || rank(*group) < rank(*best))
      best = group;
  }
  return best ? const_cast<QueuedItem *>(&best->Queue.front()) : nullptr;
}

double FairQueue::dequeue(QueuedItem &Item) {
  Group &group = Groups[Item.Group];
  double &now = VirtualTime[group.batch()];
  // The virtual time may decrease: after overestimated costs, adjustCharge()
  // sets the waiting groups back, and a new group must not start behind them.
  // An interactive group may run ahead and never decreases it.
  now = lead(group) > 0 ? std::max(now, key(group)) : group.Tag;
  remove(Item);
  double charge = std::min(Item.Cost.total(), Lookahead);
  group.Tag += charge / group.Share;
  return charge;
}

void FairQueue::updateCosts(
    const std::function<SlotCost(const QueuedItem &)> &CostOf) {
  for (auto &[name, group] : WaitingGroups) {
    group->QueuedCost = {};
    for (QueuedItem &it : group->Queue) {
      it.Cost = CostOf(it);
      group->QueuedCost.add(it.Cost);
    }
  }
}

void FairQueue::adjustCharge(const std::string &Name, double SlotSeconds) {
  auto it = Groups.find(Name);
  if (it != Groups.end())
    it->second.Tag += SlotSeconds / it->second.Share;
}

size_t FairQueue::size(const std::string &Name) const {
  auto it = Groups.find(Name);
  return it == Groups.end() ? 0 : it->second.Queue.size();
}

SlotCost FairQueue::backlog(const std::string &Name) const {
  auto it = Groups.find(Name);
  return it == Groups.end() ? SlotCost{} : it->second.QueuedCost;
}

double FairQueue::activeShare(const std::string &Name) const {
  auto own = Groups.find(Name);
  if (own == Groups.end())
    return 1;
  double sum = own->second.Queue.empty() ? own->second.Share : 0;
  for (const auto &[name, group] : WaitingGroups)
    if (group->batch() == own->second.batch())
      sum += group->Share;
  return own->second.Share / sum;
}

double FairQueue::lead(const Group &Current) const {
  if (Current.Class != RequestClass::Interactive || InteractiveLead <= 0)
    return 0;
  double sum = Current.Queue.empty() ? Current.Share : 0;
  for (const auto &[name, group] : WaitingGroups)
    if (!group->batch())
      sum += group->Share;
  return InteractiveLead / sum;
}

SlotCost FairQueue::costBefore(const Group &Current,
                               const SlotCost &OwnAhead) const {
  double tag = Current.Queue.empty()
                   ? std::max(Current.Tag, VirtualTime[Current.batch()])
                   : Current.Tag;
  double reached = tag + OwnAhead.total() / Current.Share - lead(Current);
  SlotCost sum = OwnAhead;
  for (const auto &[name, group] : WaitingGroups) {
    if (group == &Current || (group->batch() && !Current.batch()))
      continue;
    double waiting = group->QueuedCost.total();
    double served = std::max(0.0, (reached - key(*group)) * group->Share);
    double fraction = group->batch() == Current.batch() && waiting > 0
                          ? std::min(1.0, served / waiting)
                          : 1.0;
    sum.add(group->QueuedCost, fraction);
  }
  return sum;
}

SlotCost FairQueue::costAhead(const std::string &Name) const {
  auto it = Groups.find(Name);
  return it == Groups.end() ? SlotCost{}
                            : costBefore(it->second, it->second.QueuedCost);
}

void FairQueue::forEach(
    const std::function<void(QueuedItem &, const SlotCost &)> &Callback) {
  for (auto &[name, group] : WaitingGroups) {
    SlotCost own;
    for (QueuedItem &it : group->Queue) {
      Callback(it, costBefore(*group, own));
      own.add(it.Cost);
    }
  }
}

} // namespace crocusspur::internal
