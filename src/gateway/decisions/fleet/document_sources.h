// Distributes the published documents to instances that lack them, as after all
// instances were killed at once. Does no I/O; callers pass the time.
//
// At 400 instances and 600 servers a list is 150 kB, and hundreds of instances
// know nothing but the seeds. A seed that served all of them would need minutes
// on a small share of a core, and each response would exceed its time limit. So
// an instance sends few lists at a time and names those that it has served to
// the others, which ask them next. The instances form a tree whose size
// multiplies with each generation.
#ifndef CROCUSSPUR_GATEWAY_DECISIONS_FLEET_DOCUMENT_SOURCES_H
#define CROCUSSPUR_GATEWAY_DECISIONS_FLEET_DOCUMENT_SOURCES_H

#include "gateway/decisions/member_table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// The members that a response names first may have the documents if it holds
// none: those that were served last, and others.
inline constexpr size_t MaxNamedHolders = 32;

// The peers that an instance without documents asks for them.
class DocumentSources {
public:
  explicit DocumentSources(uint64_t Seed) : Random(Seed) {}

  // The instance at the address has the documents.
  void onHolder(const std::string &Address, TimePoint Now);
  // It has them and serves others, or it didn't respond. Others are asked
  // before it.
  void onRefused(const std::string &Address, TimePoint Now);
  // The result of a round in which documents were missing.
  void onRound(bool HasResponse);

  // Returns the addresses to ask in this round, in random order.
  std::vector<std::string> choose(size_t Count, TimePoint Now);
  // Time until the next round while documents are missing. Spread, since all
  // instances may start at once; longer while nobody responds, so that seeds
  // that return aren't overrun.
  Milliseconds nextRound();

private:
  struct Holder {
    TimePoint SeenAt;
    TimePoint SkipUntil;
  };

  std::mt19937_64 Random;
  std::map<std::string, Holder> Holders; // by address
  uint32_t FailedRounds = 0;
};

// Bounds the lists that an instance sends.
class DocumentServing {
public:
  explicit DocumentServing(uint64_t Seed) : Random(Seed) {}

  // Returns false if the receiver is to ask another instance.
  bool tryBegin(TimePoint Now);
  // The response to an instance was sent, or failed.
  void onEnd(const std::string &Receiver, bool Sent, TimePoint Now);
  // Puts those of the known members that were served last in front of
  // `Members`, which a response to an instance without documents names.
  void nameReceivers(const std::vector<Member> &Known,
                     std::vector<Member> &Members, TimePoint Now) const;
  // Returns which of the known members a response to an instance without
  // documents of an earlier build names: those that were served last, and
  // others by chance.
  std::vector<Member> membersForNewcomer(std::vector<Member> Known,
                                         TimePoint Now);

private:
  struct Served {
    std::string Name;
    TimePoint At;
  };
  // Moves those that were served last to the front and returns their number.
  size_t moveReceiversFirst(std::vector<Member> &Known, TimePoint Now) const;

  std::mt19937_64 Random;
  uint32_t Active = 0;
  std::deque<TimePoint> Begun; // within the period
  std::deque<Served> Latest;
};

} // namespace crocusspur::gateway

#endif
