#include "entry_state.h"
#include "ticket.h"

#include <algorithm>

namespace crocusspur::internal {
namespace {

// Number of progress timeouts that a broken stream waits to be resumed. It has
// no other deadline, so its caller would wait forever if no server is left.
// With 5 s each, suspects have 20 s to resume one after the other.
constexpr int ResumeTimeouts = 4;

bool wasRefused(StageOutcome Outcome) {
  return Outcome == StageOutcome::NotSent ||
         Outcome == StageOutcome::RefusedFull ||
         Outcome == StageOutcome::RefusedFence ||
         Outcome == StageOutcome::RefusedOther;
}

bool isBroken(StageOutcome Outcome) {
  return Outcome == StageOutcome::Failed || Outcome == StageOutcome::TimedOut;
}

Phase phaseOf(Stage At) {
  switch (At) {
  case Stage::Prefill:
    return Phase::Prefilling;
  case Stage::Decode:
    return Phase::Decoding;
  case Stage::Service:
    return Phase::Calling;
  }
  return Phase::Calling;
}

} // namespace

ErrorKind errorOf(StageOutcome Outcome) {
  switch (Outcome) {
  case StageOutcome::NotSent:
    return ErrorKind::BackendUnreachable;
  case StageOutcome::Failed:
    return ErrorKind::BackendFailed;
  case StageOutcome::TimedOut:
    return ErrorKind::BackendTimeout;
  default:
    return ErrorKind::BackendRefused;
  }
}

// Returns true if a Start action may be emitted now, and sets its `NotAfter`.
// Fails the request if its key may no longer be dispatched.
bool EntryRequests::State::prepareStart(CoreContext &Context,
                                        OpenRequest &Request,
                                        TimePoint &NotAfter) {
  NotAfter = Context.Now + DispatchWindow;
  Request.StartPending = DispatchHeld;
  if (DispatchHeld)
    return false;
  if (!Request.KeyExecuting)
    return true;
  NotAfter = std::min(NotAfter,
                      Keys.dispatchLimit(Context, Request.Spec.IdempotencyKey));
  if (NotAfter > Context.Now)
    return true;
  fail(Context, Request, ErrorKind::KeyLeaseMissing,
       Context.Options.LeasePeriod);
  return false;
}

// Other requests with the same content may have crashed a server since this one
// was placed. Refuses such a request or makes it run alone. Returns true if the
// caller must not start it.
bool EntryRequests::State::isolateSuspect(CoreContext &Context,
                                          OpenRequest &Request) {
  CrashVerdict verdict =
      Crashes.verdictFor(Context.Now, Request.Spec.Fingerprint);
  if (verdict == CrashVerdict::Refuse) {
    record(Context, Request, DecisionKind::SuspectRefused);
    fail(Context, Request, ErrorKind::RequestCrashesServers);
    return true;
  }
  bool retryable = Request.Spec.Idempotent || !Request.MayHaveRun;
  if (verdict == CrashVerdict::Run || Request.RunAlone || !retryable)
    return false;
  Request.RunAlone = true;
  if (Request.Spec.Kind == RequestKind::Service)
    return false;
  cancelAt(Context, Request, Request.PrefillServer);
  Request.ResultReady = false;
  ++Request.Placement;
  acquire(Context, Request);
  return true;
}

void EntryRequests::State::recordStart(CoreContext &Context,
                                       OpenRequest &Request,
                                       const std::string &Server) {
  ++Request.Dispatch;
  Request.InFlight = true;
  if (std::find(Request.Holders.begin(), Request.Holders.end(), Server) ==
      Request.Holders.end())
    Request.Holders.push_back(Server);
  // Other entries' calls on a service's server are not known, so a suspect
  // counts as alone if this entry has no other call there.
  bool alone = Request.RunAlone && (Request.CurrentPhase != Phase::Calling ||
                                    Services[Server].Outstanding == 1);
  Crashes.onStarted(Request.Id, Server, Request.Spec.Fingerprint, alone);
  if (Request.KeyExecuting)
    Keys.onDispatched(Context, Request.Id);
}

void EntryRequests::State::startPrefill(CoreContext &Context,
                                        OpenRequest &Request) {
  setPhase(Context, Request, Phase::Prefilling);
  TimePoint notAfter;
  if (!prepareStart(Context, Request, notAfter))
    return;
  if (!isUsable(Context, Request.Spec.Group, Request.PrefillServer)) {
    offerList(Context, Request.Owner);
    if (++Request.Placements < MaxPlacements)
      reportPrefillLost(Context, Request, false);
    else
      fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  if (isolateSuspect(Context, Request))
    return;
  recordStart(Context, Request, Request.PrefillServer);
  Context.Out.push_back(
      StartPrefill{Request.Id, Request.Dispatch, Request.PrefillServer,
                   Request.Fence, notAfter, Context.Options.ProgressTimeout});
}

void EntryRequests::State::startDecode(CoreContext &Context,
                                       OpenRequest &Request) {
  setPhase(Context, Request, Phase::Decoding);
  TimePoint notAfter;
  if (!prepareStart(Context, Request, notAfter))
    return;
  if (!isUsable(Context, Request.Spec.Group, Request.Server)) {
    offerList(Context, Request.Owner);
    if (++Request.Placements < MaxPlacements)
      reportDecodeLost(Context, Request, false);
    else
      fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  if (isolateSuspect(Context, Request))
    return;
  recordStart(Context, Request, Request.Server);
  Context.Out.push_back(StartDecode{
      Request.Id, Request.Dispatch, Request.Server, Request.PrefillServer,
      Request.Fence, notAfter, Context.Options.ProgressTimeout});
}

void EntryRequests::State::startPending(CoreContext &Context,
                                        OpenRequest &Request) {
  Request.StartPending = false;
  if (Request.CurrentPhase == Phase::Prefilling)
    startPrefill(Context, Request);
  else if (Request.CurrentPhase == Phase::Decoding)
    startDecode(Context, Request);
  else if (Request.CurrentPhase == Phase::Calling)
    startService(Context, Request);
}

void EntryRequests::State::stageFinished(CoreContext &Context,
                                         OpenRequest &Request,
                                         const StageFinished &Body) {
  if (Request.CurrentPhase == Phase::Forwarded) {
    forwardFinished(Context, Request, Body);
    return;
  }
  if (!Request.InFlight || Body.Attempt != Request.Dispatch)
    return;
  if (!isActive(Request)) {
    // The first cancel may have reached the server before the request did.
    Request.InFlight = false;
    if (!wasRefused(Body.Outcome))
      Context.Out.push_back(
          CancelAtServer{Request.Id, Body.Server, Request.Fence});
    return;
  }
  if (Request.CurrentPhase != phaseOf(Body.FinishedStage))
    return;
  Request.InFlight = false;
  bool completed =
      Body.Outcome == StageOutcome::Ok && Body.FinishedStage != Stage::Prefill;
  Crashes.onEnded(Context, Request.Id, isBroken(Body.Outcome), completed);
  if (wasRefused(Body.Outcome))
    std::erase(Request.Holders, Body.Server);
  else
    Request.MayHaveRun = true;
  if (Body.FinishedStage == Stage::Prefill)
    prefillFinished(Context, Request, Body);
  else if (Body.FinishedStage == Stage::Decode)
    decodeFinished(Context, Request, Body);
  else
    serviceFinished(Context, Request, Body);
}

void EntryRequests::State::prefillFinished(CoreContext &Context,
                                           OpenRequest &Request,
                                           const StageFinished &Body) {
  if (Body.Outcome == StageOutcome::Ok) {
    Request.ResultReady = true;
    Request.ResultUsed = false;
    Request.KvBytes = Body.KvBytes;
    askForDecode(Context, Request);
    return;
  }
  if (isBroken(Body.Outcome)) {
    cancelAt(Context, Request, Request.PrefillServer);
    onAttemptBroken(Context, Request, Body);
    return;
  }
  bool retryable = Request.Spec.Idempotent || !Request.MayHaveRun;
  if (retryable && tryConsumeRetry(Context, Request))
    reportPrefillLost(Context, Request,
                      Body.Outcome == StageOutcome::RefusedFull);
  else
    fail(Context, Request, errorOf(Body.Outcome));
}

void EntryRequests::State::decodeFinished(CoreContext &Context,
                                          OpenRequest &Request,
                                          const StageFinished &Body) {
  Request.OutputTokens = std::max(Request.OutputTokens, Body.OutputTokens);
  if (Body.Outcome == StageOutcome::Ok) {
    complete(Context, Request, Body);
    return;
  }
  if (isBroken(Body.Outcome)) {
    decodeBroken(Context, Request, Body);
    return;
  }
  if (Body.Outcome == StageOutcome::RefusedOther && Request.ResultReady) {
    // The result was evicted, or its server can't be read.
    Request.ResultReady = false;
    cancelAt(Context, Request, Request.PrefillServer);
  }
  // Without the result the next placement repeats the prefill.
  bool retryable =
      Request.Spec.Idempotent || !Request.MayHaveRun || Request.ResultReady;
  if (retryable && tryConsumeRetry(Context, Request))
    reportDecodeLost(Context, Request,
                     Body.Outcome == StageOutcome::RefusedFull);
  else
    fail(Context, Request, errorOf(Body.Outcome));
}

// The decode broke after data may have been sent.
void EntryRequests::State::decodeBroken(CoreContext &Context,
                                        OpenRequest &Request,
                                        const StageFinished &Body) {
  if (Request.OutputTokens > 0) {
    Request.ResultUsed = true;
    Request.ResultReady = false;
    if (Request.ResumeBy == TimePoint::max())
      Request.ResumeBy =
          Context.Now + ResumeTimeouts * Context.Options.ProgressTimeout;
  }
  cancelAt(Context, Request, Request.Server);
  // A stalled transfer holds memory at both ends.
  bool stalled = Body.Outcome == StageOutcome::TimedOut;
  if (stalled || Request.Server == Request.PrefillServer) {
    cancelAt(Context, Request, Request.PrefillServer);
    Request.ResultReady = false;
  }
  onAttemptBroken(Context, Request, Body);
}

// An attempt broke after data may have been sent. If a retry is allowed, it
// follows once it is known whether the server crashed.
void EntryRequests::State::onAttemptBroken(CoreContext &Context,
                                           OpenRequest &Request,
                                           const StageFinished &Body) {
  if (!Request.Spec.Idempotent || !tryConsumeRetry(Context, Request)) {
    fail(Context, Request, errorOf(Body.Outcome));
    return;
  }
  Request.BrokenAt = Body.FinishedStage;
  Request.LostOn = Body.FinishedStage == Stage::Prefill ? Request.PrefillServer
                                                        : Request.Server;
  setPhase(Context, Request, Phase::Broken);
  // A crashed server would not have stayed silent for the whole timeout.
  if (Body.Outcome == StageOutcome::TimedOut)
    retryBroken(Context, Request);
}

void EntryRequests::State::retryBroken(CoreContext &Context,
                                       OpenRequest &Request) {
  if (isolateSuspect(Context, Request))
    return;
  if (Request.BrokenAt == Stage::Service) {
    setPhase(Context, Request, Phase::Calling);
    startService(Context, Request);
  } else if (Request.BrokenAt == Stage::Prefill) {
    reportPrefillLost(Context, Request, false);
  } else {
    reportDecodeLost(Context, Request, false);
  }
}

// The relay reports here only if the home could not be reached or the link
// broke; the home's own response is copied and ends with RequestClosed.
void EntryRequests::State::forwardFinished(CoreContext &Context,
                                           OpenRequest &Request,
                                           const StageFinished &Body) {
  if (Body.Outcome == StageOutcome::Ok)
    return;
  // An earlier request with the same ticket may have run at its executor, which
  // may never come back; the homes of other keys move to another instance.
  bool ticket = hasTicketPrefix(Request.Spec.IdempotencyKey);
  if (wasRefused(Body.Outcome) && !ticket) {
    Request.MayHaveRun = false;
    fail(Context, Request, ErrorKind::HomeUnreachable,
         Context.Options.LeasePeriod);
    return;
  }
  Request.OutputTokens = std::max(Request.OutputTokens, Body.OutputTokens);
  fail(Context, Request, ErrorKind::OutcomeUnknown);
}

} // namespace crocusspur::internal
