#include "gateway/decisions/accounts/fleet_memory.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

// An instance that vanished without announcing it is expected to run for this
// long. A longer partition is bounded by the operators; a fleet that is made
// smaller by killing instances uses the smaller part of the quotas meanwhile.
constexpr std::chrono::minutes LostMemberRetention{30};

} // namespace

void FleetMemory::update(const std::vector<Member> &Others, TimePoint Now) {
  for (auto &[name, state] : Members)
    state.WasAlive = std::exchange(state.Alive, false);
  bool changed = false;
  for (const Member &it : Others) {
    auto [place, added] = Members.try_emplace(it.Name);
    State &state = place->second;
    // One that is found for the first time can only take accounts away from
    // this instance, so it doesn't count.
    changed =
        changed || (!added && (state.Leaving != it.Leaving || !state.WasAlive));
    state.Address = it.Address;
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
  changed = changed || std::ranges::any_of(Members, [](const auto &It) {
              return It.second.WasAlive && !It.second.Alive;
            });
  if (changed)
    View.ChangedAt = Now;
  View.Alive = alive;
  View.Expected = static_cast<uint32_t>(Members.size()) + 1;
}

double FleetMemory::seedPart(const std::vector<std::string> &Seeds,
                             const std::string &OwnAddress, TimePoint Now) {
  if (Seeds.empty() || Now - StartedAt > LostMemberRetention)
    return 1;
  size_t known = 0;
  for (const std::string &seed : Seeds) {
    if (seed == OwnAddress || std::ranges::any_of(Members, [&](const auto &It) {
          return It.second.Address == seed;
        }))
      KnownSeeds.insert(seed);
    known += KnownSeeds.count(seed);
  }
  return static_cast<double>(known) / static_cast<double>(Seeds.size());
}

FleetView FleetMemory::view(uint32_t MinExpected, bool Discovered,
                            bool StartedWithFleet) const {
  FleetView view = View;
  view.Discovered = Discovered;
  view.StartedWithFleet = StartedWithFleet;
  view.Expected = std::max(view.Expected, MinExpected);
  return view;
}

} // namespace crocusspur::gateway
