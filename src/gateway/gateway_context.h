// Dependencies of a request handler.
#ifndef CROCUSSPUR_GATEWAY_GATEWAY_CONTEXT_H
#define CROCUSSPUR_GATEWAY_GATEWAY_CONTEXT_H

#include "gateway/crash_monitor.h"
#include "gateway/http_codec.h"
#include "gateway/reservation_queues.h"
#include "gateway/server_call.h"
#include "gateway/service_directory.h"
#include "gateway/stream_origins.h"
#include "runtime.h"

namespace crocusspur::gateway {

struct GatewayContext {
  const HttpCodec &Codec;
  ServiceDirectory &Directory;
  ServerLimits &Limits;
  ConnectionPool &Connections;
  ReservationQueues &Queues;
  CrashMonitor &Crashes;
  StreamOrigins &Origins;
  internal::MetricsSink &Metrics;
};

} // namespace crocusspur::gateway

#endif
