#include "gateway/decisions/member_table.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// A member that nobody has heard for this long is gone. Ten rounds, so that
// news of a living one arrive in time over random contacts.
constexpr Milliseconds MemberRetention{10000};
// A member that didn't answer isn't contacted again for a while.
constexpr Milliseconds FailedContactPause{2000};
// Every so many rounds a seed is contacted even if members are known.
constexpr uint32_t SeedContactRounds = 10;
// Assumed while nobody is known: about the largest fleet that is planned for
// soon, so that a lone instance doesn't spend what others may spend too.
constexpr uint32_t DefaultSharers = 64;
constexpr Milliseconds SharerRetention{60000};

} // namespace

void MemberTable::setSeeds(std::vector<std::string> Addresses) {
  std::erase(Addresses, OwnAddress);
  Seeds = std::move(Addresses);
}

void MemberTable::onMemberSeen(const Member &Item, TimePoint Now) {
  if (Item.Name == OwnName || Item.Address == OwnAddress ||
      Item.LastSeenAgo >= MemberRetention)
    return;
  EverSeenMember = true;
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
  // From the own name on, then from the start.
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
      EverSeenMember && 2 * (others.size() + 1) > budgetSharers(Now);
  for (const Member &it : others)
    firstByName = firstByName && (it.Leaving || OwnName < it.Name);
  if (!firstByName)
    FirstByNameSince.reset();
  else if (!FirstByNameSince)
    FirstByNameSince = Now;
  return FirstByNameSince && Now - *FirstByNameSince >= ForAtLeast;
}

uint32_t MemberTable::budgetSharers(TimePoint Now) {
  if (!EverSeenMember)
    return DefaultSharers;
  auto now = static_cast<uint32_t>(alive(Now).size() + 1);
  if (now >= MaxSharers || Now - MaxSharersAt > SharerRetention) {
    MaxSharers = now;
    MaxSharersAt = Now;
  }
  return MaxSharers;
}

} // namespace crocusspur::gateway
