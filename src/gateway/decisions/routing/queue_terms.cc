#include "gateway/decisions/routing/queue_terms.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Time from a reservation to the first event: calls and queueing, plus the
// prompt's tokens at about half of the rate of an idle prefill server.
constexpr Milliseconds MinStartTime{100};
constexpr uint64_t PromptTokensPerMs = 30;

} // namespace

QueueEntry streamTerms(const PathRoute &Route, const GenerationSize &Size,
                       const RankPosition &Rank, const std::string &Account,
                       TimePoint Arrived) {
  auto start =
      MinStartTime +
      Milliseconds(static_cast<int64_t>(Size.PromptTokens / PromptTokensPerMs));
  QueueEntry entry;
  entry.OnTimeDeadline = Arrived + Route.LatencyTarget - start;
  entry.ExpiresAt = entry.OnTimeDeadline;
  entry.Rank = Rank;
  entry.Priority = Rank.Above;
  entry.Account = Account;
  return entry;
}

PlainEntry plainTerms(const PathRoute &Route, const RankPosition &Rank,
                      const std::string &Account, Milliseconds AnswerTime,
                      TimePoint Arrived) {
  PlainEntry entry;
  entry.Priority = Rank.Above;
  entry.OnTimeDeadline = Arrived + Route.LatencyTarget;
  entry.Account = Account;
  // Where servers alone take longer than half of the target, waiting for half
  // of it isn't what makes responses late.
  entry.LatestSend =
      entry.OnTimeDeadline - std::min(AnswerTime, Route.LatencyTarget / 2);
  return entry;
}

} // namespace crocusspur::gateway
