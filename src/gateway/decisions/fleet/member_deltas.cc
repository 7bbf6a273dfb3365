#include "gateway/decisions/fleet/member_deltas.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

// In a fleet that knows more members, exchanges don't name all with their
// state.
constexpr size_t MaxMembersInFull = 16;
constexpr Milliseconds AgeUnit{50};
constexpr int64_t MaxAgeUnits = 255; // beyond the retention of members
constexpr size_t EntryBytes = 6;
// States in one response. Twelve of 350 bytes twice a second are 8 kB/s, and
// more than change.
constexpr size_t MaxStates = 12;
// The same for a peer that doesn't know many members at all, as after a cut.
constexpr size_t MaxStatesForNew = 48;
constexpr size_t ManyUnknown = 64;
// To peers that haven't discovered the fleet. States of 350 bytes at this rate
// are 0.3 of a link of 10 Mbit/s; the burst is a fleet of 400.
constexpr double StatesPerSecond = 1024;
constexpr double BurstStates = 512;
// A difference of ages that is worth six bytes in a response.
constexpr Milliseconds LaterBy{500};
// Decisions about a service add up the figures of all instances, so an error of
// one of them hardly counts.
constexpr double FigureTolerance = 0.25;
constexpr Milliseconds MinFigurePeriod{5000};
// States of a fleet change at most 20 times a second in all.
constexpr Milliseconds FigurePeriodPerMember{50};
// Below the time for which a response of a server says that it is reached.
constexpr Milliseconds ReachedAge{3000};

bool differs(double Left, double Right) {
  return std::abs(Left - Right) >
         FigureTolerance * std::max(std::abs(Left), std::abs(Right));
}

bool figuresDiffer(const Member &Left, const Member &Right) {
  if (Left.Stats.size() != Right.Stats.size())
    return true;
  for (size_t i = 0; i < Left.Stats.size(); ++i) {
    const ServiceStats &l = Left.Stats[i];
    const ServiceStats &r = Right.Stats[i];
    if (l.Service != r.Service ||
        differs(l.Demand.PromptTokenRate, r.Demand.PromptTokenRate) ||
        differs(l.Demand.ReservationRate, r.Demand.ReservationRate) ||
        differs(l.Demand.StarvedReservationRate,
                r.Demand.StarvedReservationRate) ||
        differs(l.PrefillRate, r.PrefillRate))
      return true;
  }
  return false;
}

std::vector<std::string> reachedServices(const Member &Of) {
  std::vector<std::string> names;
  for (const ServiceReach &it : Of.Reached)
    if (it.Age < ReachedAge)
      names.push_back(it.Service);
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<uint64_t> fencesOf(const Member &Of) {
  std::vector<uint64_t> fences;
  for (const IssuedStageOrder &it : Of.Orders)
    fences.push_back(it.Fence);
  return fences;
}

std::map<uint32_t, const MemberHeard *>
byKey(const std::vector<MemberHeard> &Items) {
  std::map<uint32_t, const MemberHeard *> found;
  for (const MemberHeard &it : Items)
    found[it.Key] = &it;
  return found;
}

} // namespace

uint64_t digestOf(const std::vector<Member> &Members) {
  uint64_t digest = 0;
  for (const Member &it : Members)
    digest ^= XXH64(it.Name.data(), it.Name.size(),
                    it.Incarnation * 31 + it.StateVersion);
  return digest == 0 ? 1 : digest;
}

MemberNews newsForRequest(std::vector<Member> Known, const Member &Own,
                          bool IsEarlierBuild, bool WithStates) {
  MemberNews news;
  Known.push_back(Own);
  news.Digest = digestOf(Known);
  Known.pop_back();
  if (WithStates && (IsEarlierBuild || Known.size() <= MaxMembersInFull))
    news.Members = std::move(Known);
  else
    news.Heard = heardOf(Known);
  return news;
}

MemberNews newsForResponse(std::vector<Member> Known, const Member &Own,
                           const MemberNews &Request, const Member &Requester,
                           StateAllowance &Allowance, std::mt19937_64 &Random,
                           TimePoint Now) {
  MemberNews news;
  Known.push_back(Own);
  news.Digest = digestOf(Known);
  Known.pop_back();
  news.Omitted = 0;
  if (Request.Digest == 0 || Known.size() <= MaxMembersInFull) {
    news.Members = std::move(Known);
    return news;
  }
  std::vector<MemberHeard> byPeer = Request.Heard;
  for (const MemberHeard &it : heardOf(Request.Members))
    byPeer.push_back(it);
  byPeer.push_back(heardOf({Requester}).front());
  news.Heard = heardLater(Known, byPeer);
  if (Request.Digest == news.Digest)
    return news;
  auto [members, unknown] = missingAt(std::move(Known), byPeer, Random);
  size_t most = unknown > ManyUnknown ? MaxStatesForNew : MaxStates;
  if (!Request.Discovered) {
    most = std::max(MaxStates, Allowance.available(Now));
    Allowance.onSent(std::min(most, members.size()), Now);
  }
  if (members.size() > most) {
    news.Omitted = static_cast<uint32_t>(members.size() - most);
    members.resize(most);
  }
  news.Members = std::move(members);
  return news;
}

bool namesAllMembers(uint64_t Digest, size_t States,
                     std::optional<uint32_t> Omitted) {
  // Earlier builds hold back states only beyond the most that they send.
  return Omitted ? *Omitted == 0 : Digest != 0 && States < MaxStates;
}

std::vector<MemberHeard> heardOf(const std::vector<Member> &Members) {
  std::vector<MemberHeard> all;
  all.reserve(Members.size());
  for (const Member &it : Members)
    all.push_back({memberKey(it.Name, it.Incarnation),
                   static_cast<uint8_t>(it.StateVersion), it.LastSeenAgo});
  return all;
}

std::vector<MemberHeard> heardLater(const std::vector<Member> &Members,
                                    const std::vector<MemberHeard> &ByPeer) {
  auto known = byKey(ByPeer);
  std::vector<MemberHeard> later = heardOf(Members);
  std::erase_if(later, [&](const MemberHeard &It) {
    auto it = known.find(It.Key);
    return it == known.end() || It.Ago + LaterBy > it->second->Ago;
  });
  return later;
}

size_t StateAllowance::available(TimePoint Now) const {
  double owed =
      std::chrono::duration<double>(std::max(FullAt, Now) - Now).count();
  double left = BurstStates - owed * StatesPerSecond;
  return left > 0 ? static_cast<size_t>(left) : 0;
}

void StateAllowance::onSent(size_t States, TimePoint Now) {
  FullAt = std::max(FullAt, Now) +
           std::chrono::duration_cast<TimePoint::duration>(
               std::chrono::duration<double>(States / StatesPerSecond));
}

MissingMembers missingAt(std::vector<Member> Members,
                         const std::vector<MemberHeard> &ByPeer,
                         std::mt19937_64 &Random) {
  auto known = byKey(ByPeer);
  size_t unknown = 0;
  std::erase_if(Members, [&](const Member &It) {
    auto it = known.find(memberKey(It.Name, It.Incarnation));
    unknown += it == known.end();
    // The version is that of the peer, or one that differs by less than half of
    // the range is later.
    return it != known.end() &&
           static_cast<int8_t>(static_cast<uint8_t>(It.StateVersion) -
                               it->second->Version) <= 0;
  });
  std::shuffle(Members.begin(), Members.end(), Random);
  // Owners of keys and homes of accounts depend on who is leaving.
  std::stable_partition(Members.begin(), Members.end(),
                        [](const Member &It) { return It.Leaving; });
  return {std::move(Members), unknown};
}

std::vector<uint8_t> packHeard(const std::vector<MemberHeard> &Items) {
  std::vector<uint8_t> bytes;
  bytes.reserve(Items.size() * EntryBytes);
  for (const MemberHeard &it : Items) {
    for (int shift = 0; shift < 32; shift += 8)
      bytes.push_back(static_cast<uint8_t>(it.Key >> shift));
    bytes.push_back(it.Version);
    bytes.push_back(static_cast<uint8_t>(
        std::clamp<int64_t>(it.Ago / AgeUnit, 0, MaxAgeUnits)));
  }
  return bytes;
}

std::vector<MemberHeard> unpackHeard(std::span<const uint8_t> Bytes) {
  std::vector<MemberHeard> items;
  for (; Bytes.size() >= EntryBytes; Bytes = Bytes.subspan(EntryBytes)) {
    MemberHeard item;
    for (size_t i = 0; i < 4; ++i)
      item.Key |= static_cast<uint32_t>(Bytes[i]) << (8 * i);
    item.Version = Bytes[4];
    item.Ago = AgeUnit * Bytes[5];
    items.push_back(item);
  }
  return items;
}

uint64_t StateVersion::versionOf(const Member &Own, size_t Members,
                                 TimePoint Now) {
  Milliseconds period = std::max(
      MinFigurePeriod, FigurePeriodPerMember * static_cast<int64_t>(Members));
  bool eventful = Version == 0 || Own.Leaving != Announced.Leaving ||
                  Own.StoreFailing != Announced.StoreFailing ||
                  fencesOf(Own) != fencesOf(Announced) ||
                  reachedServices(Own) != reachedServices(Announced);
  if (!eventful && (Now - FiguresAt < period || !figuresDiffer(Own, Announced)))
    return Version;
  Announced = Own;
  FiguresAt = Now;
  return ++Version;
}

} // namespace crocusspur::gateway
