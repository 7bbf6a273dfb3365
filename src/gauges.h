// Gauges that are read from the plug-ins when metrics are rendered.
#ifndef CROCUSSPUR_GAUGES_H
#define CROCUSSPUR_GAUGES_H

#include "runtime.h"

namespace crocusspur {
class Kernel;
} // namespace crocusspur

namespace crocusspur::internal {

// Queries the core's thread; its gauges stay unchanged if it doesn't respond
// within 2 s.
void updateGauges(const Kernel &Owner, MetricsSink &Metrics);

} // namespace crocusspur::internal

#endif
