#include "entry_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusspur::internal {
namespace {

// A server that refused the connection is tried last for this long, so that a
// dead server doesn't use up the retry budget of its callers.
constexpr Milliseconds AvoidUnreachable{1000};
// A full server frees a slot within about one call.
constexpr Milliseconds AvoidFull{100};

} // namespace

// Chooses the server with the fewest outstanding calls of this entry, and the
// least recently used among equals. Calls with a key go to the servers in
// rendezvous order of the key, so that a home that lost its key to another
// reaches a server that has seen the other's fencing token.
std::string EntryRequests::State::chooseServer(CoreContext &Context,
                                               const OpenRequest &Request) {
  const ServiceConfig *service =
      Context.Config.findService(Request.Spec.Target);
  if (!service)
    return "";
  bool byKey = Request.KeyExecuting && Request.Fence != 0;
  std::vector<std::string> names = service->Servers;
  if (byKey)
    names = rankByRendezvous(Request.Spec.IdempotencyKey, std::move(names));
  std::string best;
  std::tuple<bool, uint32_t, uint64_t> bestRank;
  for (const std::string &it : names) {
    bool tried =
        std::find(Request.TriedServers.begin(), Request.TriedServers.end(),
                  it) != Request.TriedServers.end();
    if (tried || !isUsable(Context, Request.Spec.Group, it))
      continue;
    const ServiceServer &state = Services[it];
    std::tuple rank(Context.Now < state.AvoidUntil,
                    byKey ? uint32_t(0) : state.Outstanding,
                    byKey ? uint64_t(0) : state.LastUse);
    if (best.empty() || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

void EntryRequests::State::startService(CoreContext &Context,
                                        OpenRequest &Request) {
  TimePoint notAfter;
  if (!prepareStart(Context, Request, notAfter))
    return;
  Request.Server = chooseServer(Context, Request);
  if (Request.Server.empty()) {
    fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  if (isolateSuspect(Context, Request))
    return;
  if (Request.Dispatch == 0)
    record(Context, Request, DecisionKind::Admitted, Request.Server);
  ServiceServer &server = Services[Request.Server];
  ++server.Outstanding;
  server.LastUse = ++ServiceUses;
  Request.TriedServers.push_back(Request.Server);
  recordStart(Context, Request, Request.Server);
  Context.Out.push_back(StartService{Request.Id, Request.Dispatch,
                                     Request.Server, Request.Fence, notAfter,
                                     Context.Options.ProgressTimeout});
}

void EntryRequests::State::serviceFinished(CoreContext &Context,
                                           OpenRequest &Request,
                                           const StageFinished &Body) {
  releaseService(Request);
  if (Body.Outcome == StageOutcome::Ok) {
    complete(Context, Request, Body);
    return;
  }
  ServiceServer &server = Services[Request.Server];
  if (Body.Outcome == StageOutcome::RefusedFull)
    server.AvoidUntil = Context.Now + AvoidFull;
  else
    server.AvoidUntil = Context.Now + AvoidUnreachable;
  Request.OutputTokens = std::max(Request.OutputTokens, Body.OutputTokens);
  bool hasAlternative =
      !chooseServer(Context, Request).empty() && Request.OutputTokens == 0;
  if (Body.Outcome == StageOutcome::Failed ||
      Body.Outcome == StageOutcome::TimedOut) {
    cancelAt(Context, Request, Request.Server);
    if (hasAlternative)
      onAttemptBroken(Context, Request, Body);
    else
      fail(Context, Request, errorOf(Body.Outcome));
    return;
  }
  bool retryable = Request.Spec.Idempotent || !Request.MayHaveRun;
  if (retryable && hasAlternative && tryConsumeRetry(Context, Request))
    startService(Context, Request);
  else
    fail(Context, Request, errorOf(Body.Outcome));
}

void EntryRequests::State::releaseService(OpenRequest &Request) {
  auto it = Services.find(Request.Server);
  if (it != Services.end() && it->second.Outstanding > 0)
    --it->second.Outstanding;
}

} // namespace crocusspur::internal
