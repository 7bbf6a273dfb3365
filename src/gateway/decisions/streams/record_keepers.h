// Which instances are sent a record of a stream: the first in rank for the
// stream, and the next ones for those that don't confirm it. An instance at
// which the stream is taken up asks the same ranks. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_RECORD_KEEPERS_H
#define CROCUSSPUR_GATEWAY_RECORD_KEEPERS_H

#include <algorithm>
#include <cstddef>

namespace crocusspur::gateway {

// Instances that keep a record besides its writer.
inline constexpr size_t KeepersPerStream = 3;
// Ranks that may have a record. More than keep it, since instances differ in
// whom they know, and since keepers may be silent.
inline constexpr size_t MaxKeepersAsked = 6;

class RecordKeepers {
public:
  // `Known`: how many keepers there are in rank.
  explicit RecordKeepers(size_t Known)
      : Known(std::min(Known, MaxKeepersAsked)) {}

  struct Ranks {
    size_t Begin = 0;
    size_t End = 0; // equal to `Begin`: no more are sent the record
  };
  // Returns the ranks to send to next, once those before have responded or are
  // taken for silent.
  Ranks next() {
    size_t begin = Tried;
    Tried = std::min(Known, Tried + KeepersPerStream - Confirmed);
    return {begin, Tried};
  }
  void onConfirmed() { ++Confirmed; }
  size_t confirmed() const { return Confirmed; }

private:
  size_t Known;
  size_t Tried = 0; // ranks, from the first on
  size_t Confirmed = 0;
};

} // namespace crocusspur::gateway

#endif
