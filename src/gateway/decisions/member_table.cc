#include "gateway/decisions/member_table.h"

#include "crocusspur/instance_list.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

// A member that no instance has seen for this long counts as stopped. Ten
// rounds give updates about a running member time to arrive over random
// contacts.
constexpr Milliseconds MemberRetention{10000};
// Time during which a member that didn't respond isn't contacted.
constexpr Milliseconds FailedContactPause{2000};
// Responses of servers to a member that are older say nothing about now. What a
// member reports is itself some seconds old in a large fleet.
constexpr Milliseconds ReachValidity{10000};
// Time during which no request is passed on to a member that refused one.
constexpr Milliseconds RefusedForwardPause{500};
// A seed is contacted once in this many rounds, even if members are known, and
// less often in a large fleet, so that it gets less than one such contact in a
// second.
constexpr size_t SeedContactRounds = 10;
// Assumed until a member is known: about the largest fleet planned for the near
// term, so that an isolated instance doesn't use budget that belongs to others.
constexpr uint32_t DefaultSharers = 64;
constexpr Milliseconds FleetSizeRetention{60000};
// In a fleet that knows more members, contacts are mostly within the failure
// domain: bytes between domains are dear. One contact in this many is chosen
// from all, so that a domain of ten hears of a change within a round or two.
constexpr size_t MinFleetWithDomains = 16;
constexpr size_t MinDomainMembers = 4;
constexpr uint64_t AnyDomainShare = 4;

} // namespace

uint32_t memberKey(const std::string &Name, uint64_t Incarnation) {
  return static_cast<uint32_t>(XXH64(Name.data(), Name.size(), Incarnation));
}

void MemberTable::setSeeds(std::vector<std::string> Addresses) {
  std::erase(Addresses, OwnAddress);
  Seeds = std::move(Addresses);
}

void MemberTable::onMemberSeen(const Member &Item, TimePoint Now) {
  if (Item.Name == OwnName || Item.Address == OwnAddress ||
      Item.LastSeenAgo >= MemberRetention)
    return;
  Discovery.onMemberSeen(Now);
  TimePoint at = Now - Item.LastSeenAgo;
  State &state = Members[Item.Name];
  bool isSame = state.Item.Incarnation == Item.Incarnation;
  bool isNewState = isSame && Item.StateVersion > state.Item.StateVersion;
  bool isLater = at > state.LastSeenAt;
  if (!isLater && !isNewState)
    return;
  if (!isSame)
    state.SkipUntil = TimePoint();
  state.LastSeenAt = std::max(state.LastSeenAt, at);
  if (isSame && Item.StateVersion < state.Item.StateVersion) {
    // From a peer that lacks the latest state, or its own frame without it.
    if (Item.StateVersion == 0)
      state.Item.StoreFailing = Item.StoreFailing;
    return;
  }
  state.Item = Item;
  state.Key = memberKey(Item.Name, Item.Incarnation);
  state.Domain = domainNumber(Item.FailureDomain);
  state.StateAt = at;
  state.ConfirmedAt = at;
}

void MemberTable::onMembersHeard(const std::vector<MemberHeard> &Items,
                                 TimePoint Now) {
  std::unordered_map<uint32_t, State *> byKey;
  for (auto &[name, state] : Members)
    byKey[state.Key] = &state;
  for (const MemberHeard &it : Items) {
    auto found = byKey.find(it.Key);
    if (found == byKey.end() || it.Ago >= MemberRetention)
      continue;
    State &state = *found->second;
    TimePoint at = Now - it.Ago;
    state.LastSeenAt = std::max(state.LastSeenAt, at);
    if (it.Version == static_cast<uint8_t>(state.Item.StateVersion))
      state.ConfirmedAt = std::max(state.ConfirmedAt, at);
  }
}

void MemberTable::onContactFailed(const std::string &Address, TimePoint Now) {
  Discovery.onContactFailed(Address);
  for (auto &[name, state] : Members)
    if (state.Item.Address == Address)
      state.SkipUntil = Now + FailedContactPause;
}

std::vector<std::string> MemberTable::selectContacts(size_t Count,
                                                     TimePoint Now) {
  ++Round;
  std::vector<std::string> ring;
  auto isContact = [&](const State &It) {
    return Now - It.LastSeenAt < MemberRetention && It.SkipUntil <= Now;
  };
  size_t members = 0;
  size_t inDomain = 0;
  for (const auto &[name, state] : Members) {
    members += isContact(state);
    inDomain += isContact(state) && state.Item.FailureDomain == OwnDomain;
  }
  // What a part of the domain knows is no more than it.
  bool discovered = isDiscovered(Now);
  bool within = discovered && !OwnDomain.empty() &&
                members >= MinFleetWithDomains &&
                inDomain >= MinDomainMembers && Random() % AnyDomainShare != 0;
  // Members after the own name in name order, then those before it.
  auto add = [&](auto From, auto To) {
    for (auto it = From; it != To; ++it)
      if (isContact(it->second) &&
          (!within || it->second.Item.FailureDomain == OwnDomain))
        ring.push_back(it->second.Item.Address);
  };
  auto own = Members.upper_bound(OwnName);
  add(own, Members.end());
  add(Members.begin(), own);
  std::vector<std::string> chosen;
  if (!discovered && !Discovery.source().empty()) {
    chosen.push_back(Discovery.source());
    std::erase(ring, Discovery.source());
  }
  if (!ring.empty() && Count > chosen.size()) {
    chosen.push_back(ring.front());
    ring.erase(ring.begin());
  }
  std::shuffle(ring.begin(), ring.end(), Random);
  size_t seedRounds = std::max(SeedContactRounds,
                               2 * members / std::max<size_t>(Seeds.size(), 1));
  // Instances that start together don't contact seeds in the same round.
  bool contactSeed =
      chosen.empty() || Round % seedRounds == SeedPhase % seedRounds;
  if (contactSeed && !Seeds.empty())
    chosen.push_back(Seeds[Random() % Seeds.size()]);
  // Others may be up while one isn't.
  if (ring.empty() && Members.empty())
    for (const std::string &it : Seeds)
      if (chosen.size() < Count && it != chosen.front())
        chosen.push_back(it);
  for (const std::string &it : ring) {
    if (chosen.size() >= Count)
      break;
    chosen.push_back(it);
  }
  return chosen;
}

std::vector<Member> MemberTable::alive(TimePoint Now) const {
  std::vector<Member> all;
  for (const auto &[name, state] : Members) {
    if (Now - state.LastSeenAt >= MemberRetention)
      continue;
    all.push_back(state.Item);
    all.back().LastSeenAgo =
        std::chrono::duration_cast<Milliseconds>(Now - state.LastSeenAt);
    // Ages are relative to the time of the latest sign of life.
    auto since = [seenAt = state.LastSeenAt](TimePoint At) {
      return std::chrono::duration_cast<Milliseconds>(seenAt - At);
    };
    for (IssuedStageOrder &it : all.back().Orders)
      it.Age += since(state.StateAt);
    for (ServiceReach &it : all.back().Reached)
      it.Age += since(state.ConfirmedAt);
  }
  return all;
}

bool MemberTable::isLeader(Milliseconds ForAtLeast, TimePoint Now) {
  std::vector<Member> others = alive(Now);
  bool firstByName =
      Discovery.hasBegun() && 2 * (others.size() + 1) > fleetSize(Now);
  for (const Member &it : others)
    firstByName = firstByName && (it.Leaving || OwnName < it.Name);
  if (!firstByName)
    FirstByNameSince.reset();
  else if (!FirstByNameSince)
    FirstByNameSince = Now;
  return FirstByNameSince && Now - *FirstByNameSince >= ForAtLeast;
}

KeyOwner MemberTable::ownerOf(const std::string &Key, bool OwnLeaving,
                              TimePoint Now) const {
  // A process that has just started knows nobody yet.
  if (!Discovery.hasBegun() && !Seeds.empty())
    return {};
  std::vector<std::string> names;
  if (!OwnLeaving)
    names.push_back(OwnName);
  for (const auto &[name, state] : Members)
    if (Now - state.LastSeenAt < MemberRetention && !state.Item.Leaving)
      names.push_back(name);
  if (names.empty())
    return {OwnName, "", true};
  std::string first = rankByRendezvous(Key, std::move(names)).front();
  if (first == OwnName)
    return {first, "", true};
  return {first, Members.at(first).Item.Address, true};
}

std::vector<std::string> MemberTable::keepersOf(const std::string &Key,
                                                TimePoint Now) const {
  std::vector<std::string> names;
  for (const auto &[name, state] : Members)
    if (Now - state.LastSeenAt < MemberRetention && state.SkipUntil <= Now)
      names.push_back(name);
  if (names.empty())
    return Seeds; // as after the start
  std::vector<std::string> addresses;
  for (const std::string &it : rankByRendezvous(Key, std::move(names)))
    addresses.push_back(Members.at(it).Item.Address);
  return addresses;
}

std::vector<std::string> MemberTable::receiversOf(const std::string &Key,
                                                  TimePoint Now) const {
  std::set<std::string> leaving; // addresses
  for (const auto &[name, state] : Members)
    if (state.Item.Leaving)
      leaving.insert(state.Item.Address);
  std::vector<std::string> all = keepersOf(Key, Now);
  std::stable_partition(all.begin(), all.end(), [&](const std::string &It) {
    return !leaving.contains(It);
  });
  return all;
}

ReaderView MemberTable::readerView(const std::string &FailureDomain,
                                   TimePoint Now) const {
  ReaderView view;
  auto found = std::ranges::find(Domains, FailureDomain);
  size_t own = static_cast<size_t>(found - Domains.begin());
  std::vector<bool> seen(Domains.size());
  for (const auto &[name, state] : Members) {
    if (Now - state.LastSeenAt >= MemberRetention)
      continue;
    ++view.FleetSize;
    if (state.Domain == 0)
      continue;
    seen[state.Domain] = true;
    if (state.Domain == own && !state.Item.Leaving && state.SkipUntil <= Now)
      view.Others.push_back({name, state.Item.StoreFailing});
  }
  view.Domains = static_cast<size_t>(std::ranges::count(seen, true));
  if (own == Domains.size() || !seen[own])
    ++view.Domains; // this instance is the only one of its own
  return view;
}

size_t MemberTable::domainNumber(const std::string &Name) {
  auto it = std::ranges::find(Domains, Name);
  if (it == Domains.end())
    it = Domains.insert(it, Name);
  return static_cast<size_t>(it - Domains.begin());
}

std::vector<std::string>
MemberTable::otherReaders(const std::string &FailureDomain,
                          TimePoint Now) const {
  std::vector<std::vector<ReaderCandidate>> byDomain(Domains.size());
  for (const auto &[name, state] : Members)
    if (Now - state.LastSeenAt < MemberRetention && state.SkipUntil <= Now &&
        !state.Item.Leaving)
      byDomain[state.Domain].push_back({name, state.Item.StoreFailing});
  auto domains = static_cast<size_t>(std::ranges::count_if(
      byDomain, [](const auto &It) { return !It.empty(); }));
  std::vector<std::string> addresses;
  for (size_t i = 1; i < Domains.size(); ++i)
    if (Domains[i] != FailureDomain)
      for (const std::string &it :
           firstReaders(Domains[i], byDomain[i], readersPerDomain(domains)))
        addresses.push_back(addressOf(it));
  return addresses;
}

std::string MemberTable::addressOf(const std::string &Name) const {
  auto it = Members.find(Name);
  return it == Members.end() ? "" : it->second.Item.Address;
}

std::vector<Member> MemberTable::reaching(const std::string &Service,
                                          TimePoint Now) {
  std::vector<Member> found;
  std::vector<Member> unknown;
  for (const auto &[name, state] : Members) {
    auto skip = state.ForwardSkipUntil.find(Service);
    Milliseconds seenAgo =
        std::chrono::duration_cast<Milliseconds>(Now - state.LastSeenAt);
    if (seenAgo >= MemberRetention || state.Item.Leaving ||
        state.SkipUntil > Now ||
        (skip != state.ForwardSkipUntil.end() && skip->second > Now))
      continue;
    const std::vector<ServiceReach> &all = state.Item.Reached;
    auto it = std::ranges::find(all, Service, &ServiceReach::Service);
    if (it == all.end())
      unknown.push_back(state.Item);
    else if (it->Age + std::chrono::duration_cast<Milliseconds>(
                           Now - state.ConfirmedAt) <
             ReachValidity)
      found.push_back(state.Item);
  }
  std::shuffle(found.begin(), found.end(), Random);
  std::shuffle(unknown.begin(), unknown.end(), Random);
  found.insert(found.end(), unknown.begin(), unknown.end());
  return found;
}

void MemberTable::onForwardRefused(const std::string &Name,
                                   const std::string &Service, TimePoint Now) {
  auto it = Members.find(Name);
  if (it != Members.end())
    it->second.ForwardSkipUntil[Service] = Now + RefusedForwardPause;
}

uint32_t MemberTable::fleetSize(TimePoint Now) {
  auto now = static_cast<uint32_t>(alive(Now).size() + 1);
  if (now >= MaxSeen || Now - MaxSeenAt > FleetSizeRetention) {
    MaxSeen = now;
    MaxSeenAt = Now;
  }
  return MaxSeen;
}

uint32_t MemberTable::budgetSharers(TimePoint Now) {
  uint32_t seen = fleetSize(Now);
  return isDiscovered(Now) ? seen : std::max(seen, DefaultSharers);
}

} // namespace crocusspur::gateway
