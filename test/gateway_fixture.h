// Gateway components in the test process, with scripted servers and a caller's
// connection.
#ifndef CROCUSSPUR_TEST_GATEWAY_FIXTURE_H
#define CROCUSSPUR_TEST_GATEWAY_FIXTURE_H

#include "gateway/gateway_context.h"
#include "gateway/request_handler.h"
#include "metrics.h"
#include "platform/http_codec.h"
#include "test_socket.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

// A server with scripted responses. Records the requests that it receives.
class FakeServer {
public:
  // Returns the response bytes; an empty string closes the connection without a
  // response.
  using Responder =
      std::function<std::string(const std::string &Request, int Number)>;

  explicit FakeServer(Responder Reply);
  ~FakeServer();
  std::string address() const { return Server.address(); }
  // From now on connections are refused. May be called by the responder.
  void stopListening() { Server.stopListening(); }
  std::vector<std::string> requests() const;
  size_t count(const std::string &Part) const; // requests that contain it

private:
  Responder Reply;
  mutable std::mutex Mutex;
  std::vector<std::string> Seen;
  std::set<int> Open; // connections
  ScriptServer Server;
};

// A complete, signed response of a server to the request with this id.
std::string signedResponse(int Status, const std::string &Body,
                           const std::string &RequestId = "a1");
// A refusal that states that the request wasn't executed.
std::string refusal(int Status = 503);

// Response of a server that serves plain requests, prefills, reservations,
// reports and streams of one event.
std::string modelServerResponse(const std::string &Request);

struct GatewayFixture {
  GatewayFixture();

  void addServer(const std::string &Id, const FakeServer &Server,
                 crocusspur::gateway::ServerStage Stage =
                     crocusspur::gateway::ServerStage::Whole,
                 const std::string &Version = "");
  // Handles a request on the route and returns everything sent to the caller.
  std::string run(const crocusspur::gateway::PathRoute &Route,
                  crocusspur::gateway::CallerRequest Request);
  // The same with the request from request().
  std::string run(const crocusspur::gateway::PathRoute &Route);

  crocusspur::gateway::PathRoute
  route(crocusspur::gateway::RouteKind Kind) const;
  crocusspur::gateway::CallerRequest request() const;

  crocusspur::gateway::GatewaySettings Values;
  crocusspur::gateway::HttpCodec Codec;
  std::shared_ptr<crocusspur::gateway::RouteDocument> Document;
  crocusspur::gateway::ServiceDirectory Directory;
  crocusspur::gateway::ServerLimits Limits{"g1"};
  crocusspur::gateway::ConnectionPool Connections;
  crocusspur::gateway::ReservationQueues Queues;
  crocusspur::gateway::CrashMonitor Crashes{"g1"};
  crocusspur::gateway::StreamOrigins Origins{1};
  crocusspur::gateway::AccountQuotas Quotas{"g1"};
  crocusspur::internal::Metrics Counters;
  // Null: no request is passed on.
  const crocusspur::gateway::ForwardingHooks *Forwarding = nullptr;
  // Null: no key is checked.
  crocusspur::gateway::AccessControl *Access = nullptr;
  // Null: prefills are placed without owners of shards.
  crocusspur::gateway::PrefillDispatch *Dispatch = nullptr;
  // Null: the caller sent the request to this instance.
  const crocusspur::gateway::ForwardedOrigin *Origin = nullptr;
  // Null: memory isn't limited.
  crocusspur::gateway::MemoryBudget *Memory = nullptr;
  crocusspur::gateway::WaitingAnswers Waiting;
  uint64_t Revision = 0;
  std::function<void(SocketPair &)> WhileRunning; // on another thread
};

#endif
