#include "gateway/decisions/fleet/knowledge_queries.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Questions in quick succession. After them the readers are likely to be gone,
// and an instance that has read in their place tells the others.
constexpr uint32_t QuickQuestions = 6;
constexpr int MaxPeriods = 4;

} // namespace

void KnowledgeQueries::onBehind(const std::string &Peer, TimePoint Now) {
  if (Ahead.empty())
    BehindSince = Now;
  Ahead = Peer;
}

void KnowledgeQueries::onCaughtUp() { Ahead.clear(); }

Milliseconds KnowledgeQueries::period(const PropagationBudget &Budget) const {
  return InRow < QuickQuestions ? Budget.AskPeriod
                                : MaxPeriods * Budget.AskPeriod;
}

TimePoint KnowledgeQueries::dueAt(const PropagationBudget &Budget,
                                  std::optional<TimePoint> ConfirmedAt) const {
  TimePoint due = std::max(ConfirmedAt.value_or(TimePoint()) + Budget.AskAge,
                           AskedAt + period(Budget));
  if (!Ahead.empty())
    due = std::min(due, std::max(BehindSince + Budget.BehindPatience,
                                 AskedAt + Budget.AskPeriod));
  return due;
}

std::string KnowledgeQueries::ask(const QueryTargets &Targets, bool IsReading,
                                  TimePoint Now) {
  AskedAt = Now;
  uint32_t turn = InRow++;
  if (!Ahead.empty()) {
    // It may have gone since; the others are asked by turns.
    std::string peer = Ahead;
    if (turn % 2 == 0)
      return peer;
  }
  // A reader asks those of other domains first, whose knowledge doesn't come
  // from its own.
  const auto *order = &Targets.DomainReaders;
  uint32_t which = (turn + (IsReading ? 1 : 0)) % 3;
  if (which == 1)
    order = &Targets.OtherReaders;
  else if (which == 2)
    order = &Targets.Members;
  std::vector<std::string> found = (*order)();
  if (found.empty() && which != 2)
    found = Targets.Members();
  if (found.empty())
    return "";
  return found[Random() % found.size()];
}

} // namespace crocusspur::gateway
