#include "gateway/decisions/accounts/fleet_memory.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// An instance that vanished without announcing it is expected to run for this
// long. A longer partition is bounded by the operators; a fleet that is made
// smaller by killing instances uses the smaller part of the quotas meanwhile.
constexpr std::chrono::minutes LostMemberRetention{30};

} // namespace

void FleetMemory::update(const std::vector<Member> &Others, TimePoint Now) {
  for (auto &[name, state] : Members)
    state.Alive = false;
  bool changed = false;
  for (const Member &it : Others) {
    auto [place, added] = Members.try_emplace(it.Name);
    State &state = place->second;
    changed = changed || added || state.Leaving != it.Leaving ||
              Now - state.SeenAt > LostMemberRetention;
    state.SeenAt = Now;
    state.Leaving = it.Leaving;
    state.Alive = true;
  }
  std::erase_if(Members, [&](const auto &It) {
    const State &state = It.second;
    return !state.Alive &&
           (state.Leaving || Now - state.SeenAt > LostMemberRetention);
  });
  auto alive = static_cast<uint32_t>(std::ranges::count_if(
                   Members, [](const auto &It) { return It.second.Alive; })) +
               1;
  if (changed || alive != View.Alive)
    View.ChangedAt = Now;
  View.Alive = alive;
  View.Expected = static_cast<uint32_t>(Members.size()) + 1;
}

FleetView FleetMemory::view(uint32_t MinExpected, bool Discovered) const {
  FleetView view = View;
  view.Discovered = Discovered;
  view.Expected = std::max(view.Expected, MinExpected);
  return view;
}

} // namespace crocusspur::gateway
