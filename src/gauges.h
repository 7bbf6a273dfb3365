// Gauges that are read from the parts of a process when metrics are rendered.
#ifndef CROCUSSPUR_GAUGES_H
#define CROCUSSPUR_GAUGES_H

#include "runtime.h"

namespace crocusspur {
class Kernel;
} // namespace crocusspur

namespace crocusspur::internal {

// Asks the core's thread, and leaves its gauges as they are if it doesn't
// answer within 2 s.
void updateGauges(const Kernel &Owner, MetricsSink &Metrics);

} // namespace crocusspur::internal

#endif
