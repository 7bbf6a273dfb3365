// Decides when an instance asks a peer for newer knowledge of the store, and
// which one. Does no I/O; callers pass the time.
//
// Changes are sent to instances as they are read. Questions cover what isn't
// sent: that nothing has changed, without which an instance can't tell whether
// those that read the store still do; and changes that were sent to others
// only.
#ifndef CROCUSSPUR_GATEWAY_DECISIONS_FLEET_KNOWLEDGE_QUERIES_H
#define CROCUSSPUR_GATEWAY_DECISIONS_FLEET_KNOWLEDGE_QUERIES_H

#include "crocusspur/types.h"
#include "gateway/decisions/fleet/propagation_budget.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Addresses of instances that may be asked. Called only when one is chosen.
struct QueryTargets {
  std::function<std::vector<std::string>()> DomainReaders; // of the own domain
  std::function<std::vector<std::string>()> OtherReaders;  // of the others
  std::function<std::vector<std::string>()> Members;
};

enum class QueryGroup : uint8_t { DomainReaders, OtherReaders, Members };

// Whom to ask.
struct KnowledgeQuery {
  std::string Peer; // its address; empty: one of the group
  QueryGroup Group = QueryGroup::Members;
  uint64_t Random = 0; // which of them
};

// Returns the address to ask; empty: there is none.
std::string targetOf(const KnowledgeQuery &Query, const QueryTargets &Targets);

class KnowledgeQueries {
public:
  explicit KnowledgeQueries(uint64_t Seed) : Random(Seed) {}

  // A peer has named a newer change than this instance knows.
  void onBehind(const std::string &Peer, TimePoint Now);
  // This instance knows all that peers have named.
  void onCaughtUp();
  bool isBehind() const { return !Ahead.empty(); }

  // When the next question is due. `ConfirmedAt`: when the store had what this
  // instance knows.
  TimePoint dueAt(const PropagationBudget &Budget,
                  std::optional<TimePoint> ConfirmedAt) const;
  // Notes that a question is asked. `IsReading`: whether this instance reads
  // the store itself.
  KnowledgeQuery begin(bool IsReading, TimePoint Now);
  // The question has made the knowledge recent.
  void onFresh() { InRow = 0; }

private:
  Milliseconds period(const PropagationBudget &Budget) const;

  std::mt19937_64 Random;
  std::string Ahead;
  TimePoint BehindSince;
  TimePoint AskedAt;
  uint32_t InRow = 0; // questions since the knowledge was recent
};

} // namespace crocusspur::gateway

#endif
