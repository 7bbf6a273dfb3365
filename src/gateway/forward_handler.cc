// Passing-on part of RequestHandler: while this instance reaches no server of
// the request's service, an instance that does handles the request.
#include "gateway/forward_call.h"
#include "gateway/request_handler.h"

#include <algorithm>
#include <strings.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Instances that are asked to handle one request in any case. One that accepts
// no connection costs a tenth of a second.
constexpr size_t MinForwardTargets = 3;
// More are asked only within this time. An instance that is cut off itself
// refuses within a millisecond, and after a cut of many, three in a row are
// likely to be such ones.
constexpr Milliseconds ExtraTargetsTime{300};
constexpr size_t MaxForwardTargets = 16;
// Connections to servers that hung before the request is passed on, whether or
// not this instance is known to be cut off. Each costs ConnectTimeout.
constexpr int MaxHungConnects = 2;
// An instance that sends nothing for this long may be frozen. A request that
// may be repeated goes elsewhere then; others wait for their deadline.
constexpr Milliseconds SilenceTimeout{3000};

// Returns null if the response states none.
const std::string *contentTypeOf(const internal::ResponseHead &Head) {
  if (!Head.ContentType.empty())
    return &Head.ContentType;
  for (const auto &it : Head.Fields)
    if (strcasecmp(it.first.c_str(), "Content-Type") == 0)
      return &it.second;
  return nullptr;
}

} // namespace

bool RequestHandler::shouldForward() const {
  return !Origin && !ForwardingRefused && Context.Forwarding &&
         Context.Forwarding->Select &&
         (HungConnects >= MaxHungConnects ||
          Context.Connections.reachability().isCutOff(Service));
}

RequestHandler::AttemptResult RequestHandler::forward() {
  AttemptResult result = AttemptResult::NotExecuted;
  size_t asked = 0;
  TimePoint extraUntil = Clock::now() + ExtraTargetsTime;
  for (const Member &it : Context.Forwarding->Select(Service)) {
    if (result != AttemptResult::NotExecuted || shouldStop() ||
        asked == MaxForwardTargets ||
        (asked >= MinForwardTargets && Clock::now() >= extraUntil))
      break;
    ++asked;
    if (Sends > 0 && !tryConsumeRetry()) {
      RetryBudgetExhausted = true;
      break;
    }
    result = forwardTo(it);
  }
  // With no instance that takes it, the own servers are tried all the same.
  ForwardingRefused = result == AttemptResult::NotExecuted;
  return result;
}

RequestHandler::AttemptResult RequestHandler::forwardTo(const Member &Peer) {
  MemberFrame frame;
  frame.Sender = Context.Forwarding->OwnMember();
  frame.ConfigVersion = Document->Version;
  ForwardedRequest forwarded;
  forwarded.Request = Request;
  forwarded.Request.LastEventId = Progress.lastEventId();
  forwarded.Service = Service;
  forwarded.Elapsed =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Arrived);
  forwarded.UsedServers = Used;
  forwarded.MayHaveExecuted = MayHaveExecuted || HeadSent;
  forwarded.StreamVersion = requiredVersion();
  forwarded.StreamWeights = Progress.weights();
  forwarded.SenderRecordsVersion = true;
  frame.Forwarded = std::move(forwarded);
  bool repeatable = Route.Kind == RouteKind::Idempotent || Route.Resumable;
  Milliseconds timeout =
      repeatable ? std::min(SilenceTimeout, timeLeft()) : timeLeft();
  TimePoint started = Clock::now();
  ForwardCall call(Waiter, Context.Memory);
  CallStatus status = call.start(Peer.Address, frame);
  bool sent = status == CallStatus::Responded;
  ForwardResponse first;
  if (sent)
    status = call.read(first, timeout);
  AttemptResult result =
      sent ? AttemptResult::Unknown : AttemptResult::NotExecuted;
  std::string outcome = sent ? "broken" : "not_sent";
  if (status == CallStatus::Responded) {
    if (!first.RoutesText.empty())
      Context.Forwarding->ApplyRoutes(first.RoutesText);
    // The caller gets that statement from this instance.
    if (first.ResponseHead && first.ResponseHead->LeavingServer)
      Context.Directory.onServerLeaving({*first.ResponseHead->LeavingServer},
                                        LeavingOrigin::Peer, Peer.Name);
    if (first.Failure && first.Failure->Elsewhere) {
      result = AttemptResult::NotExecuted;
      outcome = "refused";
    } else {
      ++Sends;
      Used.insert(Peer.Name);
      outcome = first.Failure ? "problem" : "answered";
    }
  } else if (sent) {
    ++Sends;
    Used.insert(Peer.Name);
  }
  if (result == AttemptResult::NotExecuted)
    Context.Forwarding->OnRefused(Peer, Service);
  internal::LogFields all = fields();
  all.emplace_back("peer", Peer.Name);
  all.emplace_back("outcome", outcome);
  all.emplace_back("why", first.Failure ? first.Failure->Item.Detail : "");
  all.emplace_back("taken_ms",
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      Clock::now() - started)
                                      .count()));
  log(LogLevel::Info, "request", "passed on to a peer", all);
  if (status != CallStatus::Responded || result == AttemptResult::NotExecuted)
    return result;
  if (first.Failure) {
    returnProblem(first.Failure->Item);
    return AttemptResult::Done;
  }
  return relayForwarded(call, Peer.Name, std::move(first), timeout);
}

void RequestHandler::returnProblem(internal::Problem Item) {
  if (HeadSent) {
    abortStream(Item.Detail);
    return;
  }
  bool refused = Item.Run == ExecutionState::No && !MayHaveExecuted;
  if (!refused)
    Item.Run = ExecutionState::Unknown;
  Item.Id = RequestId();
  if (refused)
    refundQuota();
  sendProblem(Item);
  finish(refused ? "refused" : "failed", Item.Detail);
}

RequestHandler::AttemptResult
RequestHandler::relayForwarded(ForwardCall &Call, const std::string &PeerName,
                               ForwardResponse First,
                               Milliseconds SilenceTime) {
  if (!First.ResponseHead)
    return AttemptResult::Unknown;
  ForwardResponse::Head head = std::move(*First.ResponseHead);
  bool isStream = Route.Kind == RouteKind::Stream &&
                  head.Response.Status == 200 && !head.Response.HasLength;
  if (isStream && !continuesStream(contentTypeOf(head.Response)))
    return AttemptResult::Unknown;
  if (isStream && !HeadSent) {
    Status = 200;
    Sink.begin(head.Response);
    HeadSent = true;
  }
  if (isStream)
    return relayForwardedStream(Call, PeerName, head, std::move(First),
                                SilenceTime);
  std::string body = std::move(First.Data);
  ForwardResponse frame = std::move(First);
  MemoryHold hold = makeHold(MemoryUse::Response);
  while (!frame.End) {
    // A failure to go on with a stream isn't the caller's answer.
    if (HeadSent)
      body.clear();
    if (HeadSent && Waiter.pastDeadline())
      return AttemptResult::Unknown;
    // What is passed on sooner, since memory is short, can't be retried.
    if (!body.empty() &&
        (body.size() > MaxKeptBytes || !hold.growTo(2 * body.size())))
      return passOnForwarded(Call, head.Response, std::move(body),
                             std::move(hold), SilenceTime);
    CallStatus status = readForwarded(Call, frame, SilenceTime);
    if (status == CallStatus::CallerLeft)
      return AttemptResult::Done;
    if (status != CallStatus::Responded)
      return AttemptResult::Unknown;
    body += frame.Data;
  }
  if (!frame.End.value_or(false))
    return AttemptResult::Unknown;
  if (HeadSent) {
    abortStream("another server failed to continue the stream");
    return AttemptResult::Done;
  }
  FirstOutput = Clock::now();
  Status = head.Response.Status;
  bool passed = internal::writeResponse(Sink, head.Response, body);
  finish(passed ? "answered" : "caller_left", "by another instance");
  return AttemptResult::Done;
}

RequestHandler::AttemptResult RequestHandler::passOnForwarded(
    ForwardCall &Call, const internal::ResponseHead &Head, std::string Part,
    MemoryHold Hold, Milliseconds SilenceTime) {
  FirstOutput = Clock::now();
  Status = Head.Status;
  HeadSent = true;
  CallerWriteFailed = !Sink.begin(Head);
  ForwardResponse frame;
  CallStatus status = CallStatus::Responded;
  while (true) {
    bool written = writePart(Part);
    if (!written || (!frame.End && Waiter.pastDeadline()))
      status = CallStatus::DeadlineExceeded;
    if (frame.End || status != CallStatus::Responded)
      break;
    status = readForwarded(Call, frame, SilenceTime);
    if (status == CallStatus::CallerLeft) // the request is finished
      return AttemptResult::Done;
    if (status != CallStatus::Responded)
      break;
    Part = std::move(frame.Data);
    Hold.reset();
  }
  if (status == CallStatus::Responded && frame.End.value_or(false)) {
    bool passed = Sink.end(true);
    finish(passed ? "answered" : "caller_left", "by another instance");
  } else
    cutResponse(status);
  return AttemptResult::Done;
}

CallStatus RequestHandler::readForwarded(ForwardCall &Call,
                                         ForwardResponse &Frame,
                                         Milliseconds SilenceTime) {
  Frame = ForwardResponse();
  CallStatus status = Call.read(Frame, SilenceTime);
  if (status != CallStatus::CallerLeft)
    return status;
  // The wait also ends when this instance exits, with the caller still there.
  if (!hasNoCaller())
    return CallStatus::ConnectionBroken;
  finish("caller_left", "the caller closed its connection");
  return status;
}

RequestHandler::AttemptResult RequestHandler::relayForwardedStream(
    ForwardCall &Call, const std::string &PeerName,
    const ForwardResponse::Head &Head, ForwardResponse First,
    Milliseconds SilenceTime) {
  const std::string lastIdBefore = Progress.lastEventId();
  std::optional<VersionKey> version;
  if (Head.OutputVersion != 0)
    version = Head.OutputVersion;
  internal::HttpHead fields;
  fields.Fields = Head.Response.Fields;
  RunNumber run =
      Progress.begin(version, /*Confirmed=*/false,
                     Context.Codec.ParseResponseHead(fields).Weights);
  EventHold.reset();
  RecordsBegin = Head.OutputServer.has_value();
  if (RecordsBegin && !Progress.begun()) {
    BegunAtServer = *Head.OutputServer;
    VersionRecorded = false; // with that process
  }
  ForwardResponse frame = std::move(First);
  CallStatus status = CallStatus::Responded;
  bool speaks = true;
  while (true) {
    if (frame.VersionUncertain)
      Progress.requireNothingFollows();
    speaks = forwardEvents(run, frame.Data, PeerName);
    recordUncertainty();
    if (CallerWriteFailed)
      finish("caller_left", "the caller closed its connection");
    if (!speaks || CallerWriteFailed || frame.End)
      break;
    status = readForwarded(Call, frame, SilenceTime);
    if (status != CallStatus::Responded)
      break;
  }
  logRunEnded(PeerName, lastIdBefore);
  if (CallerWriteFailed || status == CallStatus::CallerLeft)
    return AttemptResult::Done;
  bool complete = status == CallStatus::Responded && frame.End.value_or(false);
  // Instances of older builds pass on such streams as complete.
  if (complete && Progress.insideEvent())
    logEndInsideEvent(PeerName);
  if (Progress.end(run,
                   complete ? RunOutcome::Complete : RunOutcome::BrokenOff) !=
      StreamEnd::Complete)
    return AttemptResult::Unknown;
  if (!Progress.rest().empty())
    Sink.write(Progress.rest());
  Sink.end(true);
  finish("streamed", "by another instance");
  return AttemptResult::Done;
}

} // namespace crocusspur::gateway
