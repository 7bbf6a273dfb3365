// Selects a server among candidates of different pace. Does no I/O.
//
// Intended for many instances that hold load reports of the same age: each
// draws a few candidates, so they don't all take the same server. The draws
// follow the pace, so that a slow server still gets the few calls that show
// its recovery.
#ifndef CROCUSSPUR_GATEWAY_PACE_CHOICE_H
#define CROCUSSPUR_GATEWAY_PACE_CHOICE_H

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace crocusspur::gateway {

struct PaceCandidate {
  double Pace = 1;        // time per unit of work; 1: as most servers
  double Load = 0;        // that a further call waits for or runs beside
  bool AboveKnee = false; // whether it has more load than it handles well
};

// Returns the index of the selected candidate, or nothing if there is none.
// Draws some, each with a probability that falls with the square of its pace,
// and returns the one at which the load takes the least time; of several with
// about the same, the first that was drawn. Prefers those below their knee.
// `Draw` returns uniform numbers in [0, 1).
std::optional<size_t> chooseByPace(const std::vector<PaceCandidate> &Candidates,
                                   const std::function<double()> &Draw);

} // namespace crocusspur::gateway

#endif
