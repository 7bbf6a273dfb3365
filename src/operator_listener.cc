#include "crocusspur/kernel.h"
#include "digest.h"
#include "gauges.h"
#include "log.h"
#include "patch_report.h"
#include "problem_document.h"
#include "runtime.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <optional>
#include <utility>

namespace crocusspur::internal {
namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int MaxThreads = 8;
constexpr int MaxQueued = 64;
constexpr int IdleSeconds = 60;
constexpr int StackBytes = 524288;
constexpr Milliseconds DumpTimeout{2000};

struct OperatorResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

OperatorResponse problemResponse(ErrorKind Kind, const std::string &Detail) {
  return {errorResponse(Kind).Status, ProblemType,
          formatProblem(makeProblem(Kind, Detail, RequestId()))};
}

class OperatorListener : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  OperatorResponse handle(HTTPServerRequest &Request);

private:
  bool authorized(const HTTPServerRequest &Request) const;
  OperatorResponse handleAdmin(const std::string &Path);
  OperatorResponse handleMetrics();
  OperatorResponse handleState();
  OperatorResponse handleConfig();
  OperatorResponse handlePatch(HTTPServerRequest &Request);

  Kernel *Owner = nullptr;
  EventSink *Events = nullptr;
  const Settings *Values = nullptr;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(OperatorListener &Owner) : Owner(Owner) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    OperatorResponse response = Owner.handle(Request);
    Response.setStatusAndReason(
        static_cast<HTTPResponse::HTTPStatus>(response.Status));
    Response.setContentType(response.ContentType);
    Response.sendBuffer(response.Body.data(), response.Body.size());
  }

private:
  OperatorListener &Owner;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(OperatorListener &Owner) : Owner(Owner) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(Owner);
  }

private:
  OperatorListener &Owner;
};

bool OperatorListener::start(Kernel &Owner) {
  this->Owner = &Owner;
  Events = Owner.find<EventSink>();
  Values = &Owner.settings();
  if (!Events) {
    log(LogLevel::Error, "operator_front", "there is no decision core");
    return false;
  }
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(Values->OperatorAddress), true, false);
    socket.listen();
    Pool = std::make_unique<Poco::ThreadPool>("operators", 1, MaxThreads,
                                              IdleSeconds, StackBytes);
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(MaxThreads);
    params->setMaxQueued(MaxQueued);
    params->setTimeout(Poco::Timespan(Values->IdleTimeout.count() * 1000));
    Server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(*this),
                                                     *Pool, socket, params);
    Server->start();
    log(LogLevel::Info, "operator_front", "listening",
        {{"front", "operators"}, {"address", socket.address().toString()}});
  } catch (const Poco::Exception &error) {
    log(LogLevel::Error, "operator_front", "could not listen",
        {{"address", Values->OperatorAddress},
         {"reason", error.displayText()}});
    return false;
  }
  return true;
}

void OperatorListener::stop() {
  Server->stopAll(true);
  Pool->joinAll();
  Server.reset();
}

bool OperatorListener::authorized(const HTTPServerRequest &Request) const {
  std::string token = bearerToken(Request.get("Authorization", ""));
  return !token.empty() && sha256Hex(token) == Values->OperatorTokenDigest;
}

OperatorResponse OperatorListener::handle(HTTPServerRequest &Request) {
  std::string path = Request.getURI();
  path = path.substr(0, path.find('?'));
  if (path == "/healthz")
    return {200, "text/plain", "ok\n"};
  if (path == "/readyz")
    return Events->ready() ? OperatorResponse{200, "text/plain", "ready\n"}
                           : OperatorResponse{503, "text/plain", "not ready\n"};
  if (path != "/metrics" && path.compare(0, 7, "/admin/") != 0)
    return problemResponse(ErrorKind::NotFound, "");
  if (!authorized(Request))
    return problemResponse(ErrorKind::Unauthorized, "");
  if (path == "/admin/v1/config/patches")
    return handlePatch(Request);
  return handleAdmin(path);
}

OperatorResponse OperatorListener::handleAdmin(const std::string &Path) {
  if (Path == "/metrics")
    return handleMetrics();
  if (Path == "/admin/v1/state")
    return handleState();
  if (Path == "/admin/v1/config")
    return handleConfig();
  return problemResponse(ErrorKind::NotFound, "");
}

OperatorResponse OperatorListener::handleMetrics() {
  MetricsSink *metrics = Owner->find<MetricsSink>();
  if (!metrics)
    return problemResponse(ErrorKind::NotReady, "");
  updateGauges(*Owner, *metrics);
  return {200, "text/plain; version=0.0.4", metrics->render()};
}

OperatorResponse OperatorListener::handleState() {
  std::string state = Events->dumpState(DumpTimeout);
  if (state.empty())
    return problemResponse(ErrorKind::Overloaded,
                           "the core did not answer in time");
  return {200, "application/json", state};
}

OperatorResponse OperatorListener::handleConfig() {
  ConfigPtr config = Events->config();
  if (config->Version == 0)
    return problemResponse(ErrorKind::NotReady, "no version is in force");
  return {200, "application/json", config->Text};
}

// Reads at most one byte more than allowed, to detect a longer body.
std::string readBounded(std::istream &In, size_t MaxBytes) {
  std::string body(MaxBytes + 1, '\0');
  In.read(body.data(), static_cast<std::streamsize>(body.size()));
  body.resize(static_cast<size_t>(In.gcount()));
  return body;
}

OperatorResponse OperatorListener::handlePatch(HTTPServerRequest &Request) {
  if (Request.getMethod() != "POST")
    return problemResponse(ErrorKind::BadRequest, "patches are sent with POST");
  std::string body = readBounded(Request.stream(), Values->MaxBodyBytes);
  if (body.size() > Values->MaxBodyBytes)
    return problemResponse(ErrorKind::BodyTooLarge, "");
  // The versions of refused documents can't be used again either.
  auto *monitor = Owner->find<CoreMonitor>();
  std::optional<CoreStats> core =
      monitor ? monitor->stats(DumpTimeout) : std::nullopt;
  if (!core)
    return problemResponse(ErrorKind::Overloaded,
                           "the core did not answer in time");
  PatchResult verdict =
      evaluatePatch(*Events->config(), body, core->LastEvaluatedConfig);
  if (verdict.Accepted)
    return {200, "application/json", verdict.Result->Text};
  return {errorResponse(verdict.Error).Status, ProblemType,
          formatPatchRejection(verdict)};
}

const PluginRegistration Registration{
    {"operator_front", Phase::Listeners,
     [] { return std::make_unique<OperatorListener>(); }}};

} // namespace
} // namespace crocusspur::internal
