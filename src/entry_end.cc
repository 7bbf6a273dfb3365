#include "entry_state.h"

#include <algorithm>
#include <utility>

namespace crocusspur::internal {

void EntryRequests::State::record(CoreContext &Context,
                                  const OpenRequest &Request, DecisionKind Kind,
                                  const std::string &Subject, ErrorKind Error,
                                  double Value) {
  Context.record({Kind, Request.Id, Request.Spec.Group, Subject, Error, Value});
}

// State reported to the caller: No only if nothing was dispatched or each
// attempt was refused before execution.
ExecutionState
EntryRequests::State::executionState(const OpenRequest &Request) const {
  if (Request.OutputTokens > 0)
    return ExecutionState::Yes;
  if (Request.InFlight || Request.MayHaveRun)
    return ExecutionState::Unknown;
  return ExecutionState::No;
}

void EntryRequests::State::cancelAt(CoreContext &Context, OpenRequest &Request,
                                    const std::string &Server) {
  if (std::erase(Request.Holders, Server) > 0)
    Context.Out.push_back(CancelAtServer{Request.Id, Server, Request.Fence});
}

// Releases everything that is held for the request: servers, the owner's slot
// and lease, and the record of its key.
void EntryRequests::State::release(CoreContext &Context, OpenRequest &Request,
                                   FinishReason Reason) {
  if (Request.CurrentPhase == Phase::Forwarded)
    Context.send(Request.Home, ForwardCancel{Request.Id});
  for (const std::string &it : std::vector<std::string>(Request.Holders))
    cancelAt(Context, Request, it);
  Request.ResultReady = false;
  finishAtOwner(Context, Request, Reason);
  if (Request.InFlight) {
    Crashes.onEnded(Context, Request.Id, false, false);
    if (Request.CurrentPhase == Phase::Calling)
      releaseService(Request);
  }
  if (!Request.KeyExecuting)
    return;
  Request.KeyExecuting = false;
  if (executionState(Request) == ExecutionState::No)
    Keys.onNotRun(Context, Request.Id);
  else
    Keys.onOutcomeUnknown(Context, Request.Id);
}

void EntryRequests::State::fail(CoreContext &Context, OpenRequest &Request,
                                ErrorKind Error, Milliseconds RetryAfter) {
  ExecutionState run = executionState(Request);
  bool dispatched = Request.Dispatch > 0 || Request.MayHaveRun;
  release(Context, Request, FinishReason::Failed);
  Request.StartPending = false;
  setPhase(Context, Request, Phase::Answered);
  if (RetryAfter.count() == 0 && errorResponse(Error).RetryAdvised)
    RetryAfter = DefaultRetryAfter;
  Context.Out.push_back(AnswerError{Request.Id, Error, run, RetryAfter, ""});
  // The owner has already recorded its refusal of a request that never started.
  if (dispatched)
    record(Context, Request, DecisionKind::Failed, "", Error);
  else if (!Request.RefusedByOwner)
    record(Context, Request, DecisionKind::Shed, "", Error);
}

void EntryRequests::State::complete(CoreContext &Context, OpenRequest &Request,
                                    const StageFinished &Body) {
  if (Body.FinishedStage == Stage::Decode) {
    Request.ResultUsed = true;
    Request.ResultReady = false;
  }
  Request.Holders.clear();
  finishAtOwner(Context, Request, FinishReason::Completed);
  if (std::exchange(Request.KeyExecuting, false))
    Keys.onOutcome(Context, Request.Id,
                   Body.HttpStatus == 0 ? 200 : Body.HttpStatus,
                   Body.ContentType, Body.Body);
  setPhase(Context, Request, Phase::Answered);
  std::chrono::duration<double> took = Context.Now - Request.ArrivedAt;
  record(Context, Request, DecisionKind::Completed, Request.Server,
         ErrorKind::Internal, took.count());
}

// The caller has cancelled, so nothing may stay held for the request.
void EntryRequests::State::cancel(CoreContext &Context, OpenRequest &Request) {
  release(Context, Request, FinishReason::Cancelled);
  Request.StartPending = false;
  setPhase(Context, Request, Phase::Cancelled);
  record(Context, Request, DecisionKind::Cancelled);
}

} // namespace crocusspur::internal
