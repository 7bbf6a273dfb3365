// Stages of the work of model servers.
#ifndef CROCUSSPUR_GATEWAY_SERVER_STAGE_H
#define CROCUSSPUR_GATEWAY_SERVER_STAGE_H

#include <cstdint>

namespace crocusspur::gateway {

// Part of a request that a model server handles; `Whole` is both stages.
enum class ServerStage : uint8_t { Whole, Prefill, Decode };

const char *nameOf(ServerStage Stage); // name in logs

} // namespace crocusspur::gateway

#endif
