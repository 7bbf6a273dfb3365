#include "gateway_fixture.h"

#include "gateway/server_responses.h"
#include "http_sink.h"

#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::gateway;

FakeServer::FakeServer(Responder Reply)
    : Reply(std::move(Reply)), Server([this](int Fd, int) {
        {
          std::lock_guard lock(Mutex);
          Open.insert(Fd);
        }
        while (true) {
          std::string request = readRequest(Fd);
          if (request.empty())
            break;
          int number = 0;
          {
            std::lock_guard lock(Mutex);
            number = static_cast<int>(Seen.size());
            Seen.push_back(request);
          }
          std::string response = this->Reply(request, number);
          if (response.empty())
            break;
          sendText(Fd, response);
          if (response.find("Connection: close") != std::string::npos)
            break;
        }
        std::lock_guard lock(Mutex);
        Open.erase(Fd);
      }) {}

// Connections that the gateway keeps open would block the join of their
// threads.
FakeServer::~FakeServer() {
  std::lock_guard lock(Mutex);
  for (int it : Open)
    ::shutdown(it, SHUT_RDWR);
}

std::vector<std::string> FakeServer::requests() const {
  std::lock_guard lock(Mutex);
  return Seen;
}

size_t FakeServer::count(const std::string &Part) const {
  std::lock_guard lock(Mutex);
  size_t n = 0;
  for (const std::string &it : Seen)
    n += it.find(Part) != std::string::npos ? 1 : 0;
  return n;
}

std::string signedResponse(int Status, const std::string &Body,
                           const std::string &RequestId) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nServer-Signature: sig\r\nAttempt-Id: " + RequestId +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string refusal(int Status) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string modelServerResponse(const std::string &Request) {
  if (Request.starts_with("POST /api/hold-take"))
    return httpResponse(200, "{\"retention\":\"r1\"}");
  if (Request.starts_with("DELETE "))
    return httpResponse(200, "{}");
  if (Request.starts_with("GET /api/report"))
    return httpResponse(200, "{\"phase\":\"unified\",\"sequence\":0}");
  if (!headerField(Request, "Inference-Phase").empty())
    return httpResponse(
        200, "{\"kv-handle\":\"h\",\"token-count\":9,\"version\":1}");
  return signedResponse(200, "id: 1\ndata: x\n\n",
                        headerField(Request, "Attempt-Id"));
}

GatewayFixture::GatewayFixture()
    : Codec(platform::makeHttpCodec()),
      Document(std::make_shared<RouteDocument>()), Directory(Values, 7) {
  reportResponses(Connections, Directory);
  Values.FailureDomain = "hall-a";
  Values.Retries = {1, 1000};
  Directory.setRetryAllowance(Values.Retries);
  Directory.setInstances(1);
  Document->Version = 1;
  EngineTraits engine;
  engine.CapacityTokens = 60000;
  engine.TokensPerEvent = 11;
  engine.HandleLifetime = Milliseconds(500);
  engine.MaxReservation = Milliseconds(2000);
  Document->Services["summaries"] = {"summaries", engine};
  Document->Services["bays"] = {"bays", std::nullopt};
}

void GatewayFixture::addServer(const std::string &Id, const FakeServer &Server,
                               ServerStage Stage, const std::string &Version) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = Stage == ServerStage::Whole ? "bays" : "summaries";
  entry.Address = Server.address();
  entry.FailureDomain = "hall-a";
  entry.Slots = 4;
  entry.Stage = Stage;
  entry.Version = Version;
  Directory.applyServer({Id, {0, ++Revision}, entry}, UpdateOrigin::Store);
}

PathRoute GatewayFixture::route(RouteKind Kind) const {
  PathRoute route;
  route.Name = "r";
  route.Kind = Kind;
  route.Timeout = Milliseconds(20000);
  route.LatencyTarget = Milliseconds(900);
  route.InterTokenTarget = Milliseconds(300);
  route.MaxServers = 2;
  route.Services = {{Kind == RouteKind::Stream ? "summaries" : "bays", 1}};
  return route;
}

CallerRequest GatewayFixture::request() const {
  CallerRequest request;
  request.Id = "a1";
  request.Method = "POST";
  request.Target = "/x/y";
  request.Forwarded = {{"Host", "a.example"}, {"Attempt-Id", "a1"}};
  request.Body = "body";
  request.TimeLeft = Milliseconds(20000);
  request.Generation = GenerationSize{5000, 800};
  return request;
}

std::string GatewayFixture::run(const PathRoute &Route) {
  return run(Route, request());
}

std::string GatewayFixture::run(const PathRoute &Route, CallerRequest Request) {
  SocketPair sockets;
  internal::HttpSink sink(sockets.near(), {});
  GatewayContext context{Codec,    Directory,  Limits,  Connections,
                         Queues,   Crashes,    Origins, Quotas,
                         Counters, Forwarding, Access,  Dispatch};
  context.Memory = Memory;
  context.Waiting = &Waiting;
  std::thread helper([&] {
    if (WhileRunning)
      WhileRunning(sockets);
  });
  RequestHandler(context, Document, Route, std::move(Request), sink,
                 std::chrono::steady_clock::now(), Origin)
      .run();
  helper.join();
  ::shutdown(sockets.near(), SHUT_WR);
  return WhileRunning ? "" : readAll(sockets.far());
}
