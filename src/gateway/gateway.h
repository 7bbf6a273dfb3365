// The parts that a request's run uses.
#ifndef CROCUSSPUR_GATEWAY_GATEWAY_H
#define CROCUSSPUR_GATEWAY_GATEWAY_H

#include "gateway/dialect.h"
#include "gateway/reservation_queues.h"
#include "gateway/server_link.h"
#include "gateway/service_directory.h"
#include "runtime.h"

namespace crocusspur::gateway {

struct GatewayParts {
  const Dialect &Wire;
  ServiceDirectory &Known;
  ConnectionPool &Connections;
  ReservationQueues &Lines;
  internal::MetricsSink &Metrics;
};

} // namespace crocusspur::gateway

#endif
