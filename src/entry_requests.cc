#include "entry_requests.h"

#include "entry_state.h"

#include <Poco/JSON/Object.h>
#include <sstream>
#include <utility>

namespace crocusspur::internal {

const char *toString(Phase At) {
  switch (At) {
  case Phase::KeyWait:
    return "key_wait";
  case Phase::Forwarded:
    return "forwarded";
  case Phase::Waiting:
    return "waiting";
  case Phase::Prefilling:
    return "prefilling";
  case Phase::Ready:
    return "ready";
  case Phase::Decoding:
    return "decoding";
  case Phase::Calling:
    return "calling";
  case Phase::Broken:
    return "broken";
  case Phase::Answered:
    return "answered";
  case Phase::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

EntryRequests::State::State(KeyHome &Keys, CrashTracker &Crashes,
                            OwnerLookup Owner)
    : Keys(Keys), Crashes(Crashes), Owner(std::move(Owner)) {}

EntryRequests::EntryRequests(KeyHome &Keys, CrashTracker &Crashes,
                             OwnerLookup Owner)
    : Impl(std::make_unique<State>(Keys, Crashes, std::move(Owner))) {}

EntryRequests::~EntryRequests() = default;

OpenRequest *EntryRequests::State::find(const RequestId &Id) {
  auto it = Requests.find(Id);
  return it == Requests.end() ? nullptr : &it->second;
}

void EntryRequests::State::setPhase(CoreContext &Context, OpenRequest &Request,
                                    Phase At) {
  Request.CurrentPhase = At;
  Request.PhaseSince = Context.Now;
  Request.ResendAt = TimePoint::max();
}

void EntryRequests::onArrived(CoreContext &Context,
                              const RequestArrived &Body) {
  if (Impl->Requests.count(Body.Id))
    return;
  OpenRequest request;
  request.Id = Body.Id;
  request.Spec = Body.Spec;
  request.ForwardedBy = Body.ForwardedBy;
  request.ArrivedAt = Context.Now;
  request.PhaseSince = Context.Now;
  bool full = openRequests() >= Context.Options.MaxRequests;
  auto it = Impl->Requests.emplace(Body.Id, std::move(request)).first;
  if (full)
    Impl->reject(Context, it->second, ErrorKind::Overloaded);
  else
    Impl->arrive(Context, it->second);
}

void EntryRequests::State::arrive(CoreContext &Context, OpenRequest &Request) {
  ErrorKind error;
  if (!checkArrival(Context, Request, error)) {
    reject(Context, Request, error);
    return;
  }
  const GroupConfig *group = Context.Config.findGroup(Request.Spec.Group);
  Request.Class = group->Class;
  Request.MayWait = group->MayWait;
  Request.Deadline = Context.Now + group->FirstOutputTarget;
  switch (Crashes.verdictFor(Context.Now, Request.Spec.Fingerprint)) {
  case CrashVerdict::Refuse:
    record(Context, Request, DecisionKind::SuspectRefused);
    reject(Context, Request, ErrorKind::RequestCrashesServers);
    return;
  case CrashVerdict::RunAlone:
    Request.RunAlone = true;
    break;
  case CrashVerdict::Run:
    break;
  }
  if (Request.Spec.IdempotencyKey.empty()) {
    execute(Context, Request);
    return;
  }
  applyKeyDecision(Context, Request,
                   Keys.admit(Context, Request.Id, Request.Spec,
                              !Request.ForwardedBy.empty()));
}

// Returns false and sets Error if the request can't be admitted here.
bool EntryRequests::State::checkArrival(CoreContext &Context,
                                        OpenRequest &Request,
                                        ErrorKind &Error) {
  const ConfigDocument &config = Context.Config;
  const GroupConfig *group = config.findGroup(Request.Spec.Group);
  bool known = Request.Spec.Kind == RequestKind::Model
                   ? config.findModel(Request.Spec.Target) != nullptr
                   : config.findService(Request.Spec.Target) != nullptr;
  if (Draining)
    Error = ErrorKind::ShuttingDown;
  else if (config.Version == 0)
    Error = ErrorKind::NotReady;
  else if (!group)
    Error = ErrorKind::Forbidden;
  else if (!isAllowedIn(*group, Context.Options.Region,
                        Context.Options.FailureDomain))
    Error = ErrorKind::ResidencyViolation;
  else if (!known)
    Error = ErrorKind::NotFound;
  else
    return true;
  return false;
}

void EntryRequests::State::applyKeyDecision(CoreContext &Context,
                                            OpenRequest &Request,
                                            const KeyDecision &Decision) {
  switch (Decision.Action) {
  case KeyAction::Execute:
    Request.KeyExecuting = true;
    Request.Fence = Decision.Fence;
    execute(Context, Request);
    return;
  case KeyAction::Forward:
    setPhase(Context, Request, Phase::Forwarded);
    Request.Home = Decision.Home;
    Request.MayHaveRun = true; // at the home, until reported otherwise
    record(Context, Request, DecisionKind::Admitted, Decision.Home);
    Context.Out.push_back(ForwardToHome{Request.Id, Decision.Home,
                                        Context.Options.ProgressTimeout});
    return;
  case KeyAction::Replay:
    setPhase(Context, Request, Phase::Answered);
    record(Context, Request, DecisionKind::KeyReplayed);
    Context.Out.push_back(AnswerStored{Request.Id, Decision.HttpStatus,
                                       Decision.ContentType, Decision.Body});
    return;
  case KeyAction::Wait:
    setPhase(Context, Request, Phase::KeyWait);
    return;
  case KeyAction::Reject:
    setPhase(Context, Request, Phase::Answered);
    record(Context, Request, DecisionKind::KeyRefused, "", Decision.Error);
    Context.Out.push_back(AnswerError{Request.Id, Decision.Error, Decision.Run,
                                      Decision.RetryAfter, ""});
    return;
  }
}

// Starts the execution on backend servers.
void EntryRequests::State::execute(CoreContext &Context, OpenRequest &Request) {
  Budgets[Request.Spec.Group].onFirstAttempt(Context.Now);
  if (Request.Spec.Kind == RequestKind::Service) {
    setPhase(Context, Request, Phase::Calling);
    startService(Context, Request);
  } else {
    place(Context, Request);
  }
}

// Fails a request that has not reached any server.
void EntryRequests::State::reject(CoreContext &Context, OpenRequest &Request,
                                  ErrorKind Error, Milliseconds RetryAfter) {
  fail(Context, Request, Error, RetryAfter);
}

void EntryRequests::onCancelled(CoreContext &Context,
                                const RequestCancelled &Body) {
  OpenRequest *request = Impl->find(Body.Id);
  if (request && isActive(*request))
    Impl->cancel(Context, *request);
}

void EntryRequests::onStageFinished(CoreContext &Context,
                                    const StageFinished &Body) {
  if (OpenRequest *request = Impl->find(Body.Id))
    Impl->stageFinished(Context, *request, Body);
}

void EntryRequests::onStageProgress(CoreContext &Context,
                                    const StageProgress &Body) {
  OpenRequest *request = Impl->find(Body.Id);
  if (!request || request->CurrentPhase != Phase::Decoding ||
      Body.Attempt != request->Dispatch || !request->InFlight)
    return;
  request->ResultUsed = true;
  request->ResultReady = false;
  if (Body.OutputTokens > request->OutputTokens)
    request->ResumeBy = TimePoint::max();
  request->OutputTokens = std::max(request->OutputTokens, Body.OutputTokens);
  // The owner doesn't see the end of a prefill on the decode server, but needs
  // it to estimate the remaining time.
  bool local =
      !request->Server.empty() && request->Server == request->PrefillServer;
  if (local && std::exchange(request->ReportedDispatch, request->Dispatch) !=
                   request->Dispatch)
    Context.send(request->Owner, PrefillDone{request->Id, request->Shard,
                                             request->Placement, 0});
}

void EntryRequests::onClosed(CoreContext &Context, const RequestClosed &Body) {
  OpenRequest *request = Impl->find(Body.Id);
  if (!request)
    return;
  if (request->CurrentPhase == Phase::Forwarded && Body.Delivered)
    Impl->record(Context, *request, DecisionKind::Completed, request->Home);
  else if (isActive(*request))
    Impl->cancel(Context, *request);
  Impl->Requests.erase(Body.Id);
}

void EntryRequests::takeResolvedKeys(CoreContext &Context) {
  for (auto &it : Impl->Keys.takeResolved(Context)) {
    OpenRequest *request = Impl->find(it.first);
    if (request && request->CurrentPhase == Phase::KeyWait)
      Impl->applyKeyDecision(Context, *request, it.second);
  }
}

void EntryRequests::onTimer(CoreContext &Context) {
  takeResolvedKeys(Context);
  for (auto it = Impl->Requests.begin(); it != Impl->Requests.end();) {
    OpenRequest &request = it->second;
    if (request.CurrentPhase == Phase::Cancelled &&
        Context.Now - request.PhaseSince >= CancelledRetention) {
      it = Impl->Requests.erase(it);
      continue;
    }
    Impl->checkWaiting(Context, request);
    ++it;
  }
}

void EntryRequests::drain(CoreContext &) { Impl->Draining = true; }

uint32_t EntryRequests::abandonAll(CoreContext &Context) {
  uint32_t n = openRequests();
  for (auto &it : Impl->Requests)
    if (isActive(it.second))
      Impl->fail(Context, it.second, ErrorKind::ShuttingDown);
  return n;
}

void EntryRequests::holdDispatch() { Impl->DispatchHeld = true; }

void EntryRequests::releaseDispatch(CoreContext &Context) {
  Impl->DispatchHeld = false;
  for (auto &it : Impl->Requests)
    if (it.second.StartPending)
      Impl->startPending(Context, it.second);
}

uint32_t EntryRequests::openRequests() const {
  uint32_t n = 0;
  for (const auto &it : Impl->Requests)
    n += it.second.CurrentPhase != Phase::Cancelled;
  return n;
}

std::string EntryRequests::dump(TimePoint Now) const {
  Poco::JSON::Object phases;
  std::map<std::string, uint32_t> counts;
  int64_t oldest = 0;
  for (const auto &it : Impl->Requests) {
    ++counts[toString(it.second.CurrentPhase)];
    auto age =
        std::chrono::duration_cast<Milliseconds>(Now - it.second.ArrivedAt);
    oldest = std::max<int64_t>(oldest, age.count());
  }
  for (const auto &it : counts)
    phases.set(it.first, it.second);
  Poco::JSON::Object budgets;
  for (const auto &it : Impl->Budgets) {
    Poco::JSON::Object budget;
    budget.set("first_attempts", it.second.firstAttempts(Now));
    budget.set("retries", it.second.retries(Now));
    budgets.set(it.first, budget);
  }
  Poco::JSON::Object object;
  object.set("open", openRequests());
  object.set("phases", phases);
  object.set("oldest_ms", oldest);
  object.set("retry_budgets", budgets);
  object.set("draining", Impl->Draining);
  object.set("dispatch_held", Impl->DispatchHeld);
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

} // namespace crocusspur::internal
