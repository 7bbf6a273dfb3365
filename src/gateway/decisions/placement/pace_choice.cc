#include "gateway/decisions/placement/pace_choice.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Waits that differ by less count as equal, in requests. Loads of other
// instances are known as averages only.
constexpr double MinWaitDifference = 0.1;

double weightOf(const PaceCandidate &Item) {
  return 1 / (Item.Pace * Item.Pace);
}

} // namespace

size_t chooseByPace(const std::vector<PaceCandidate> &Candidates,
                    const std::function<double()> &Draw) {
  double total = 0;
  for (const PaceCandidate &it : Candidates)
    total += weightOf(it);
  auto drawOne = [&] {
    double rest = Draw() * total;
    size_t i = 0;
    for (; i + 1 < Candidates.size(); ++i) {
      rest -= weightOf(Candidates[i]);
      if (rest < 0)
        break;
    }
    return i;
  };
  size_t first = drawOne();
  size_t second = drawOne();
  auto wait = [&](size_t I) { return Candidates[I].Load * Candidates[I].Pace; };
  return wait(second) + MinWaitDifference < wait(first) ? second : first;
}

} // namespace crocusspur::gateway
