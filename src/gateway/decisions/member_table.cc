#include "gateway/decisions/member_table.h"

#include "crocusspur/instance_list.h"

#include <algorithm>
#include <set>
#include <utility>

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
// A seed is contacted once in this many rounds, even if members are known.
constexpr uint32_t SeedContactRounds = 10;
// Assumed until a member is known: about the largest fleet planned for the near
// term, so that an isolated instance doesn't use budget that belongs to others.
constexpr uint32_t DefaultSharers = 64;
constexpr Milliseconds FleetSizeRetention{60000};
// From the first member seen until the others are known too. After a restart of
// many processes, each finds one first and the rest in its next rounds.
constexpr Milliseconds DiscoveryTime{3000};

} // namespace

void MemberTable::setSeeds(std::vector<std::string> Addresses) {
  std::erase(Addresses, OwnAddress);
  Seeds = std::move(Addresses);
}

void MemberTable::onMemberSeen(const Member &Item, TimePoint Now) {
  if (Item.Name == OwnName || Item.Address == OwnAddress ||
      Item.LastSeenAgo >= MemberRetention)
    return;
  if (!FirstMemberSeenAt)
    FirstMemberSeenAt = Now;
  TimePoint at = Now - Item.LastSeenAgo;
  State &state = Members[Item.Name];
  if (at <= state.LastSeenAt)
    return;
  if (state.Item.Incarnation != Item.Incarnation)
    state.SkipUntil = TimePoint();
  state.Item = Item;
  state.LastSeenAt = at;
}

void MemberTable::onContactFailed(const std::string &Address, TimePoint Now) {
  for (auto &[name, state] : Members)
    if (state.Item.Address == Address)
      state.SkipUntil = Now + FailedContactPause;
}

std::vector<std::string> MemberTable::selectContacts(size_t Count,
                                                     TimePoint Now) {
  ++Round;
  std::vector<std::string> ring;
  // Members after the own name in name order, then those before it.
  auto add = [&](auto From, auto To) {
    for (auto it = From; it != To; ++it)
      if (Now - it->second.LastSeenAt < MemberRetention &&
          it->second.SkipUntil <= Now)
        ring.push_back(it->second.Item.Address);
  };
  auto own = Members.upper_bound(OwnName);
  add(own, Members.end());
  add(Members.begin(), own);
  std::vector<std::string> chosen;
  if (!ring.empty() && Count > 0) {
    chosen.push_back(ring.front());
    ring.erase(ring.begin());
  }
  std::shuffle(ring.begin(), ring.end(), Random);
  bool contactSeed = chosen.empty() || Round % SeedContactRounds == 0;
  if (contactSeed && !Seeds.empty())
    chosen.push_back(Seeds[Random() % Seeds.size()]);
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
  }
  return all;
}

bool MemberTable::isLeader(Milliseconds ForAtLeast, TimePoint Now) {
  std::vector<Member> others = alive(Now);
  bool firstByName =
      FirstMemberSeenAt && 2 * (others.size() + 1) > fleetSize(Now);
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
  if (!FirstMemberSeenAt && !Seeds.empty())
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

ReaderView MemberTable::readerView(const std::string &FailureDomain,
                                   TimePoint Now) const {
  ReaderView view;
  std::set<std::string> domains{FailureDomain};
  for (const auto &[name, state] : Members) {
    if (Now - state.LastSeenAt >= MemberRetention)
      continue;
    ++view.FleetSize;
    if (!state.Item.FailureDomain.empty())
      domains.insert(state.Item.FailureDomain);
    if (!FailureDomain.empty() && state.Item.FailureDomain == FailureDomain &&
        !state.Item.Leaving && state.SkipUntil <= Now)
      view.Others.push_back({name, state.Item.StoreFailing});
  }
  view.Domains = domains.size();
  return view;
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
    else if (it->Age + seenAgo < ReachValidity)
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

bool MemberTable::isDiscovered(TimePoint Now) const {
  return FirstMemberSeenAt && Now - *FirstMemberSeenAt >= DiscoveryTime;
}

uint32_t MemberTable::budgetSharers(TimePoint Now) {
  uint32_t seen = fleetSize(Now);
  return isDiscovered(Now) ? seen : std::max(seen, DefaultSharers);
}

} // namespace crocusspur::gateway
