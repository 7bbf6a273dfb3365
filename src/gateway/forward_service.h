// Handles requests that other instances pass on since they reach no server.
#ifndef CROCUSSPUR_GATEWAY_FORWARD_SERVICE_H
#define CROCUSSPUR_GATEWAY_FORWARD_SERVICE_H

#include "checked_mutex.h"
#include "gateway/forward_call.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_runtime.h"

#include <mutex>
#include <set>
#include <string>

namespace crocusspur::gateway {

class ForwardService {
public:
  ForwardService(GatewayRuntime &Runtime, const GatewayContext &Context)
      : Runtime(Runtime), Context(Context) {}

  // Handles a request on the thread of its connection. A request is passed on
  // once only, so it isn't passed on from here.
  void handle(int Fd, const std::string &From, ForwardedRequest Request,
              uint64_t ConfigVersion);
  // Ends the open requests.
  void stop();

  // Requests handled at once. Beyond it they are refused, since this instance
  // has callers of its own.
  static constexpr size_t MaxRequests = 64;

private:
  void run(ForwardSink &Sink, const std::string &From, ForwardedRequest Request,
           uint64_t ConfigVersion);
  // Why this instance doesn't handle the request, or null.
  const char *refusalReason(const ForwardedRequest &Request,
                            uint64_t ConfigVersion) const;

  GatewayRuntime &Runtime;
  const GatewayContext &Context;
  internal::LeafMutex Mutex;
  std::set<int> Open; // connections of requests
};

} // namespace crocusspur::gateway

#endif
