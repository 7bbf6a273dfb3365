#include "gateway/forward_service.h"

#include "gateway/request_handler.h"
#include "log.h"

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

} // namespace

const char *ForwardService::refusalReason(const ForwardedRequest &Request,
                                          uint64_t ConfigVersion) const {
  if (Runtime.Stopping.load())
    return "this instance is leaving";
  if (!Runtime.Directory.isComplete() ||
      Runtime.Directory.routes()->Version < ConfigVersion)
    return "this instance has an older configuration";
  if (Runtime.Connections.reachability().isCutOff(Request.Service))
    return "this instance reaches no server either";
  return nullptr;
}

void ForwardService::handle(int Fd, const std::string &From,
                            ForwardedRequest Request, uint64_t ConfigVersion) {
  ForwardSink sink(Fd);
  const char *refusal = refusalReason(Request, ConfigVersion);
  {
    std::lock_guard lock(Mutex);
    if (!refusal && Open.size() >= MaxRequests)
      refusal = "this instance handles enough requests of others";
    if (!refusal)
      Open.insert(Fd);
  }
  if (refusal) {
    log(LogLevel::Info, "forward_service", "refused a request of a peer",
        {{"request", Request.Request.Id}, {"from", From}, {"why", refusal}});
    sink.sendProblem(
        internal::makeProblem(ErrorKind::BackendUnreachable, refusal, {}),
        /*Elsewhere=*/true);
    return;
  }
  ++Runtime.OpenRequests;
  try {
    run(sink, From, std::move(Request), ConfigVersion);
  } catch (const std::exception &error) {
    log(LogLevel::Error, "forward_service", "request of a peer failed",
        {{"from", From}, {"reason", error.what()}});
  }
  --Runtime.OpenRequests;
  std::lock_guard lock(Mutex);
  Open.erase(Fd);
}

void ForwardService::run(ForwardSink &Sink, const std::string &From,
                         ForwardedRequest Request, uint64_t ConfigVersion) {
  RouteDocumentPtr document = Runtime.Directory.routes();
  if (document->Version > ConfigVersion)
    Sink.setRoutes(document->Version, document->Text);
  const PathRoute *route =
      findRoute(*document, Request.Request.Host, Request.Request.Target);
  if (!route) {
    Sink.sendProblem(
        internal::makeProblem(ErrorKind::NotFound, "no route matches", {}),
        /*Elsewhere=*/false);
    return;
  }
  if (!route->Supported) {
    Sink.sendProblem(internal::makeProblem(ErrorKind::NotReady,
                                           "the route's type isn't supported",
                                           {}),
                     /*Elsewhere=*/true);
    return;
  }
  // The first instance has checked the key, but its configuration may be older,
  // or that of a build without accounts.
  AccessVerdict verdict =
      Runtime.Access.check(Request.Request, *document, *route);
  if (verdict != AccessVerdict::Granted) {
    bool later = mayBeGrantedLater(verdict);
    log(LogLevel::Info, "forward_service", "refused a request of a peer",
        {{"request", Request.Request.Id},
         {"from", From},
         {"why", reasonOf(verdict)},
         {"config_version", std::to_string(document->Version)}});
    Sink.sendProblem(internal::makeProblem(later ? ErrorKind::NotReady
                                                 : ErrorKind::Unauthorized,
                                           reasonOf(verdict), {}),
                     /*Elsewhere=*/later);
    return;
  }
  log(LogLevel::Info, "forward_service", "handling a request of a peer",
      {{"request", Request.Request.Id},
       {"from", From},
       {"account", Request.Request.Account}});
  TimePoint arrived = Clock::now() - Request.Elapsed;
  CallerRequest callerRequest = std::move(Request.Request);
  std::string service = Request.Service;
  ForwardedOrigin origin{std::move(Request), {}, {}, {}, {}};
  origin.OnProblem = [&](const internal::Problem &Item) {
    bool elsewhere = Item.Run == ExecutionState::No &&
                     Runtime.Connections.reachability().isCutOff(service);
    Sink.sendProblem(Item, elsewhere);
  };
  origin.OnOutputVersion = [&](VersionKey Version,
                               std::optional<ServerProcess> Server) {
    Sink.setOutputVersion(Version, std::move(Server));
  };
  origin.OnVersionUncertain = [&] { Sink.setVersionUncertain(); };
  origin.OnServerLeaving = [&](const ServerProcess &Server) {
    Sink.setLeavingServer(Server);
  };
  RequestHandler(Context, document, *route, std::move(callerRequest), Sink,
                 arrived, &origin)
      .run();
}

void ForwardService::stop() {
  std::lock_guard lock(Mutex);
  for (int it : Open)
    ::shutdown(it, SHUT_RD);
}

} // namespace crocusspur::gateway
