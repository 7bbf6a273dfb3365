// Dependencies of a request handler.
#ifndef CROCUSSPUR_GATEWAY_GATEWAY_CONTEXT_H
#define CROCUSSPUR_GATEWAY_GATEWAY_CONTEXT_H

#include "gateway/accounts/access_control.h"
#include "gateway/accounts/account_quotas.h"
#include "gateway/crash_monitor.h"
#include "gateway/decisions/member_table.h"
#include "gateway/decisions/memory_budget.h"
#include "gateway/http_codec.h"
#include "gateway/prefill_dispatch.h"
#include "gateway/reservation_queues.h"
#include "gateway/server_call.h"
#include "gateway/service_directory.h"
#include "gateway/store_readers.h"
#include "gateway/stream_origins.h"
#include "gateway/stream_run_counts.h"
#include "gateway/waiting_answers.h"
#include "runtime.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// How requests are passed on to other instances. Thread-safe.
struct ForwardingHooks {
  // Returns the instances that reach the service's servers, best first.
  std::function<std::vector<Member>(const std::string &Service)> Select;
  // The instance didn't take a request.
  std::function<void(const Member &Peer, const std::string &Service)> OnRefused;
  // Routes of another instance that are newer.
  std::function<void(const std::string &Text)> ApplyRoutes;
  std::function<Member()> OwnMember;
};

struct GatewayContext {
  const HttpCodec &Codec;
  ServiceDirectory &Directory;
  ServerLimits &Limits;
  ConnectionPool &Connections;
  ReservationQueues &Queues;
  CrashMonitor &Crashes;
  StreamOrigins &Origins;
  AccountQuotas &Quotas;
  internal::MetricsSink &Metrics;
  const ForwardingHooks *Forwarding = nullptr; // null: none is passed on
  AccessControl *Access = nullptr;             // null: no key is checked
  PrefillDispatch *Dispatch = nullptr;         // null: prefills are placed here
  const StoreReaders *Readers = nullptr; // null: documents have no known age
  // Whether the process exits: callers are still there, but get their last
  // response now. Null: it never does.
  const std::atomic<bool> *Exiting = nullptr;
  StreamRunCounts *Runs = nullptr; // null: runs of streams aren't counted
  MemoryBudget *Memory = nullptr;  // null: memory isn't limited
  // Null: they hold what the budget has.
  WaitingAnswers *Waiting = nullptr;
};

} // namespace crocusspur::gateway

#endif
