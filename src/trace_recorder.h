// Plug-in that writes the core's events and actions to a trace file when the
// settings name one, and provides TraceSink.
#ifndef CROCUSSPUR_TRACE_RECORDER_H
#define CROCUSSPUR_TRACE_RECORDER_H

#include "crocusspur/kernel.h"

#include <memory>

namespace crocusspur::internal {

// `RingCapacity` is the number of entries that may wait for the writer. If
// there are more, recording stops, since a trace with a gap can't be replayed.
std::unique_ptr<Plugin> makeTraceRecorder(size_t RingCapacity = 16384);

} // namespace crocusspur::internal

#endif
