// What exchanges tell of members, so that they don't name every member with its
// figures. Does no I/O; callers pass the time.
//
// A frame says of each member in six bytes when it was heard and which version
// of its state is known. The state itself is sent to peers that lack it, few in
// each response. At 400 members a frame takes 2.4 kB instead of 100 kB and
// more.
#ifndef CROCUSSPUR_GATEWAY_DECISIONS_FLEET_MEMBER_DELTAS_H
#define CROCUSSPUR_GATEWAY_DECISIONS_FLEET_MEMBER_DELTAS_H

#include "gateway/decisions/member_table.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace crocusspur::gateway {

// Differs between members that know or are of different states. Never 0, which
// frames of earlier builds have.
uint64_t digestOf(const std::vector<Member> &Members);

// What a frame tells of the members other than its sender.
struct MemberNews {
  uint64_t Digest = 0;         // of all members and the sender
  std::vector<Member> Members; // with their state
  std::vector<MemberHeard> Heard;
  bool Discovered = true; // whether the sender has discovered the fleet
  // In a response: how many states the receiver lacks beside `Members`.
  std::optional<uint32_t> Omitted;
};

// Bounds the states that an instance sends to those that haven't discovered the
// fleet. Hundreds of them may ask a seed at once, and 400 states of an idle
// fleet are 44 kB.
class StateAllowance {
public:
  size_t available(TimePoint Now) const;
  void onSent(size_t States, TimePoint Now);

private:
  TimePoint FullAt; // when all that was sent has been made up for
};

// Return what a request and its response tell. `Known`: the other members that
// the sender knows. In a small fleet, and towards earlier builds, that is all
// with their state; in a request only if `WithStates`. A peer that hasn't
// discovered the fleet gets as many states as the allowance has.
MemberNews newsForRequest(std::vector<Member> Known, const Member &Own,
                          bool IsEarlierBuild, bool WithStates = true);
MemberNews newsForResponse(std::vector<Member> Known, const Member &Own,
                           const MemberNews &Request, const Member &Requester,
                           StateAllowance &Allowance, std::mt19937_64 &Random,
                           TimePoint Now);

// Whether a response holds every member that its receiver lacked. `Omitted`: as
// the response says; earlier builds don't.
bool namesAllMembers(uint64_t Digest, size_t States,
                     std::optional<uint32_t> Omitted);

std::vector<MemberHeard> heardOf(const std::vector<Member> &Members);

// Those of `Members` that were heard later than the peer says that it has.
std::vector<MemberHeard> heardLater(const std::vector<Member> &Members,
                                    const std::vector<MemberHeard> &ByPeer);

// Those of `Members` whose state the peer lacks, in random order,
// those that are leaving first.
struct MissingMembers {
  std::vector<Member> Members;
  size_t Unknown = 0; // of which it doesn't know the process
};
MissingMembers missingAt(std::vector<Member> Members,
                         const std::vector<MemberHeard> &ByPeer,
                         std::mt19937_64 &Random);

// Six bytes each: the key, the version, and the age in units of 50 ms.
std::vector<uint8_t> packHeard(const std::vector<MemberHeard> &Items);
std::vector<MemberHeard> unpackHeard(std::span<const uint8_t> Bytes);

// Gives this instance's state a new version when peers should learn it. Figures
// change all the time, so only changes that matter count, in a large fleet at
// most one in 20 s.
class StateVersion {
public:
  // `Members`: that are known.
  uint64_t versionOf(const Member &Own, size_t Members, TimePoint Now);

private:
  uint64_t Version = 0;
  Member Announced;
  TimePoint FiguresAt; // when the announced figures were taken
};

} // namespace crocusspur::gateway

#endif
