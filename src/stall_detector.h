// Tells a receiver that has stalled from one that is slow. Does no I/O; callers
// pass the time.
//
// If each byte counts as progress, a receiver that accepts a few now and then
// holds a thread, a server's run and what is kept for it for any time.
#ifndef CROCUSSPUR_STALL_DETECTOR_H
#define CROCUSSPUR_STALL_DETECTOR_H

#include "crocusspur/types.h"

#include <cstddef>
#include <optional>

namespace crocusspur::internal {

// Of callers and peers. Within the time-outs of writes, which are 10 s and
// more, slow connections accept a multiple of that.
inline constexpr size_t MinAcceptedBytes = 1024;

class StallDetector {
public:
  // A receiver has stalled that accepts less than `MinBytes` within `Window`
  // while data waits for it.
  StallDetector(Milliseconds Window, size_t MinBytes)
      : Window(Window), MinBytes(MinBytes) {}

  // The receiver has accepted all data without a wait.
  void onFree() { Until.reset(); }
  // Data waits for the receiver. Returns when it counts as stalled, unless it
  // accepts enough before.
  TimePoint onBlocked(TimePoint Now) {
    if (!Until)
      begin(Now);
    return *Until;
  }
  void onAccepted(size_t Bytes, TimePoint Now) {
    Accepted += Bytes;
    if (Until && Accepted >= MinBytes)
      begin(Now);
  }

private:
  void begin(TimePoint Now) {
    Until = Now + Window;
    Accepted = 0;
  }

  Milliseconds Window;
  size_t MinBytes;
  std::optional<TimePoint> Until; // end of the window, while data waits
  size_t Accepted = 0;            // in the window
};

} // namespace crocusspur::internal

#endif
