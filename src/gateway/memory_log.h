// Log lines of refused memory.
#ifndef CROCUSSPUR_GATEWAY_MEMORY_LOG_H
#define CROCUSSPUR_GATEWAY_MEMORY_LOG_H

#include "gateway/decisions/memory_budget.h"

#include <string>

namespace crocusspur::gateway {

// Logs, at most once a second for each use, that memory was refused. `Source`:
// whose bytes were refused last. `Budget`: null if nothing is limited.
void logMemoryRefused(MemoryBudget *Budget, MemoryUse Use,
                      const std::string &Source);

// Memory of this process in bytes; 0 if it isn't known.
size_t residentBytes();

} // namespace crocusspur::gateway

#endif
