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

KnowledgeQuery KnowledgeQueries::begin(bool IsReading, TimePoint Now) {
  AskedAt = Now;
  uint32_t turn = InRow++;
  // A peer that is ahead may have gone since; the others are asked by turns.
  if (!Ahead.empty() && turn % 2 == 0)
    return {Ahead};
  // A reader asks those of other domains first, whose knowledge doesn't come
  // from its own.
  uint32_t which = (turn + (IsReading ? 1 : 0)) % 3;
  return {"", static_cast<QueryGroup>(which), Random()};
}

std::string targetOf(const KnowledgeQuery &Query, const QueryTargets &Targets) {
  if (!Query.Peer.empty())
    return Query.Peer;
  std::vector<std::string> found;
  if (Query.Group == QueryGroup::DomainReaders)
    found = Targets.DomainReaders();
  else if (Query.Group == QueryGroup::OtherReaders)
    found = Targets.OtherReaders();
  if (found.empty())
    found = Targets.Members();
  if (found.empty())
    return "";
  return found[Query.Random % found.size()];
}

} // namespace crocusspur::gateway
