// Counts of runs of streams and of ends of answers, for the metrics.
// Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_STREAM_RUN_COUNTS_H
#define CROCUSSPUR_GATEWAY_STREAM_RUN_COUNTS_H

#include "gateway/decisions/streams/sender_state.h"
#include "gateway/decisions/streams/stream_progress.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace crocusspur::gateway {

struct StreamRunCounts {
  std::atomic<uint64_t> Continued{0}; // runs that went on with a stream
  // Runs that were given up while they still sent, by reason.
  std::array<std::atomic<uint64_t>, RunFaultCount> GivenUp{};
  std::atomic<uint64_t> Incomplete{0}; // streams that ended visibly incomplete
  // Senders of answers that ended with their connection, plain ones too.
  std::array<std::atomic<uint64_t>, SenderStateCount> Senders{};
};

} // namespace crocusspur::gateway

#endif
