// The smallest memory with which an instance serves.
#ifndef CROCUSSPUR_GATEWAY_MEMORY_MINIMUM_H
#define CROCUSSPUR_GATEWAY_MEMORY_MINIMUM_H

#include <cstddef>

namespace crocusspur::gateway {

// Returns the least memory of a process that holds what an instance has at its
// start, and the smallest budget for bytes of others.
size_t minMemoryBytes();

} // namespace crocusspur::gateway

#endif
