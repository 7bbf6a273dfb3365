#include "relay_session.h"

#include "json_reader.h"

#include <algorithm>
#include <poll.h>
#include <type_traits>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr uint64_t ProgressInterval = 64; // tokens between two reports
constexpr size_t MaxReplayBytes = 65536;
constexpr size_t MaxResponseTextBytes = 16 * 1024 * 1024;
// Service responses up to this size are buffered before the first byte is sent
// to the caller, so that the request can be retried if the server fails midway.
constexpr uint64_t MaxBufferedBytes = 65536;

uint32_t priorityOf(RequestClass Class) { return static_cast<uint32_t>(Class); }

uint64_t secondsNow() {
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                   WallTime::clock::now().time_since_epoch())
                                   .count());
}

// A completed stream has either reached the token limit or been stopped by the
// engine.
const char *finishReason(uint64_t Tokens, uint32_t MaxTokens) {
  return Tokens >= MaxTokens ? "length" : "stop";
}

} // namespace

RelaySession::RelaySession(const RelayContext &Context,
                           const CallerRequest &Request, ResponseSink &Sink,
                           Mailbox &Mail)
    : Context(Context), Request(Request), Sink(Sink), Mail(Mail),
      Format(Request.Id, Request.Spec.Target,
             Request.Path.Kind == RouteKind::Chat, secondsNow()),
      OnToken([this](std::string_view RawToken) { onToken(RawToken); }) {
  if (Sink.watchedSocket() >= 0)
    Watched.add(Sink.watchedSocket(), POLLRDHUP);
  Watched.add(Mail.fd(), POLLIN);
}

void RelaySession::run() {
  Summary.ArrivedAt = Clock::now();
  RequestArrived arrived{Request.Id, Request.Spec, Request.ForwardedBy};
  if (!Context.Events->tryPost(std::move(arrived))) {
    writeProblem(Sink,
                 makeProblem(ErrorKind::Overloaded,
                             "the queue of new requests is full", Request.Id));
    Summary.Outcome = errorResponse(ErrorKind::Overloaded).Name;
    Summary.Run = ExecutionState::No;
    reportSummary();
    return;
  }
  while (!Ended)
    processNext();
  Context.Events->post(RequestClosed{Request.Id, Delivered});
  reportSummary();
}

// Called last, so that the log line doesn't delay the report to the core.
void RelaySession::reportSummary() {
  Summary.EndedAt = Clock::now();
  Summary.Id = Request.Id;
  Summary.Group = Request.Spec.Group;
  Summary.Target = Request.Spec.Target;
  Summary.ForwardedBy = Request.ForwardedBy;
  Summary.Home = Home;
  Summary.Tokens = ReorderBuffer.next();
  if (ConfigPtr config = Context.Events->config())
    Summary.ConfigVersion = config->Version;
  reportFinished(Summary, Context.Metrics);
}

void RelaySession::recordFirstOutput() {
  if (!Summary.FirstOutputAt)
    Summary.FirstOutputAt = Clock::now();
}

void RelaySession::processNext() {
  MailboxItem item;
  if (waitForItem(item, TimePoint::max()) != WaitOutcome::Item)
    cancel();
  else if (const auto *action = std::get_if<Action>(&item))
    execute(*action);
}

WaitResult RelaySession::wait(int Fd, short Events, TimePoint Until) {
  WaitSet::Result ready = Watched.wait(Fd, Events, Until);
  if (ready.TimedOut)
    return WaitResult::TimedOut;
  if (ready.Persistent >= 0 && ready.Persistent == Sink.watchedSocket())
    CallerDisconnected = true;
  return ready.Persistent >= 0 ? WaitResult::Interrupted : WaitResult::Ready;
}

RelaySession::WaitOutcome RelaySession::waitForItem(MailboxItem &Item,
                                                    TimePoint Until) {
  while (!CallerDisconnected) {
    if (Mail.pop(Item))
      return WaitOutcome::Item;
    if (Mail.disconnected())
      return WaitOutcome::Disconnected;
    if (wait(-1, 0, Until) == WaitResult::TimedOut && Clock::now() >= Until)
      return WaitOutcome::TimedOut;
  }
  return WaitOutcome::CallerDisconnected;
}

void RelaySession::execute(const Action &Item) {
  std::visit(
      [this](const auto &It) {
        using T = std::decay_t<decltype(It)>;
        if constexpr (std::is_same_v<T, StartPrefill>)
          prefill(It);
        else if constexpr (std::is_same_v<T, StartDecode>)
          decode(It);
        else if constexpr (std::is_same_v<T, StartService>)
          service(It);
        else if constexpr (std::is_same_v<T, ForwardToHome>)
          forward(It);
        else if constexpr (std::is_same_v<T, AnswerError>)
          answerError(It);
        else if constexpr (std::is_same_v<T, AnswerStored>)
          answerStored(It);
      },
      Item);
}

bool RelaySession::callerLeft() {
  pollfd item{Sink.watchedSocket(), POLLRDHUP, 0};
  if (item.fd >= 0 && ::poll(&item, 1, 0) > 0)
    CallerDisconnected = true;
  return CallerDisconnected || Mail.disconnected();
}

// A start that is in the mailbox is read before the caller's disconnect. If it
// were sent, the cancel, which has a connection of its own, might reach the
// server first and have no effect.
bool RelaySession::makeCall(const std::string &Server, TimePoint NotAfter,
                            Milliseconds Timeout, BackendCall &Call) {
  ConfigPtr config = Context.Events->config();
  const ServerConfig *server = config->findServer(Server);
  if (!server || callerLeft())
    return false;
  Call.Address = server->Address;
  Call.NotAfter = NotAfter;
  Call.ConnectTimeout = Context.Values->ConnectTimeout;
  Call.Timeout =
      Timeout.count() > 0 ? Timeout : Context.Values->Core.ProgressTimeout;
  return true;
}

EngineRequest RelaySession::makeEngineRequest(uint32_t Attempt,
                                              uint64_t Fence) const {
  ConfigPtr config = Context.Events->config();
  const GroupConfig *group = config->findGroup(Request.Spec.Group);
  EngineRequest request;
  request.Id = Request.Id;
  request.Attempt = Attempt;
  request.Fence = Fence;
  request.Model = Request.Spec.Target;
  request.Group = Request.Spec.Group;
  request.Priority = priorityOf(group ? group->Class : RequestClass::Normal);
  return request;
}

// A caller that has disconnected is reported first, so that the core doesn't
// retry the request because of the stage that the disconnect has ended.
void RelaySession::report(StageFinished Result,
                          const BackendCallResult &CallResult) {
  Watched.removeTransient();
  if (CallerDisconnected || Mail.disconnected())
    cancel();
  Result.Id = Request.Id;
  Result.Outcome = CallResult.Outcome;
  // For a service: whether a part of the response has been sent to the caller.
  Result.OutputTokens = Result.FinishedStage == Stage::Service
                            ? (ResponseStarted ? 1 : 0)
                            : static_cast<uint32_t>(ReorderBuffer.next());
  Context.Events->post(std::move(Result));
}

void RelaySession::prefill(const StartPrefill &Item) {
  if (!Summary.PrefillAt)
    Summary.PrefillAt = Clock::now();
  Summary.Attempt = Item.Attempt;
  Summary.Server = Item.Server;
  StageFinished result;
  result.Attempt = Item.Attempt;
  result.FinishedStage = Stage::Prefill;
  result.Server = Item.Server;
  PrefillResult callResult;
  callResult.Outcome = StageOutcome::NotSent;
  BackendCall call;
  if (makeCall(Item.Server, Item.NotAfter, Item.Timeout, call)) {
    PrefillRequest request;
    request.Common = makeEngineRequest(Item.Attempt, Item.Fence);
    request.PromptJson = &Request.PromptJson;
    request.PromptTokens = Request.Spec.PromptTokens;
    request.PrefixHashes = &Request.Spec.PrefixHashes;
    callResult = Context.Backends->prefill(call, request, *this);
  }
  if (callResult.Outcome == StageOutcome::Ok)
    PrefillResultServer = Item.Server;
  result.KvBytes = callResult.KvBytes;
  report(std::move(result), callResult);
}

void RelaySession::decode(const StartDecode &Item) {
  StageFinished result;
  result.Attempt = Item.Attempt;
  result.FinishedStage = Stage::Decode;
  result.Server = Item.Server;
  Attempt = Item.Attempt;
  if (!Summary.PrefillAt) // a short prompt is prefilled within the decode
    Summary.PrefillAt = Clock::now();
  Summary.Attempt = Item.Attempt;
  Summary.Server = Item.Server;
  FirstIndex = ReorderBuffer.next();
  ReorderBuffer.discardBuffered();
  BackendCallResult callResult{StageOutcome::NotSent, false};
  BackendCall call;
  if (makeCall(Item.Server, Item.NotAfter, Item.Timeout, call)) {
    DecodeRequest request;
    request.Common = makeEngineRequest(Item.Attempt, Item.Fence);
    ConfigPtr config = Context.Events->config();
    const ServerConfig *source = config->findServer(Item.PrefillServer);
    if (source && Item.PrefillServer != Item.Server)
      request.Source = source->Address;
    request.MaxTokens = Request.Spec.MaxOutputTokens;
    request.FirstIndex = FirstIndex;
    // Without a prefill's result the decode server prefills the prompt itself.
    if (PrefillResultServer.empty() ||
        PrefillResultServer != Item.PrefillServer)
      request.PromptJson = &Request.PromptJson;
    callResult = Context.Backends->decode(call, request, *this, *this);
  }
  Summary.LastTokenAt = Clock::now();
  bool succeeded = callResult.Outcome == StageOutcome::Ok;
  std::string output = succeeded ? finalOutput() : "";
  recordForReplay(output);
  if (succeeded) {
    result.HttpStatus = 200;
    result.ContentType =
        Request.Stream ? "text/event-stream" : "application/json";
    result.Body = ReplayBody;
  }
  // Reported before the last write, because the report frees the slot and the
  // write may wait for the caller.
  report(std::move(result), callResult);
  if (succeeded && !Ended)
    finishDecode(output);
}

bool RelaySession::onEvent(const EngineEvent &Event) {
  if (Event.Imported) {
    PrefillResultServer.clear();
    Context.Events->post(StageProgress{
        Request.Id, Attempt, static_cast<uint32_t>(ReorderBuffer.next())});
  }
  if (Event.HasIndex && Event.HasToken) {
    PrefillResultServer.clear();
    return ReorderBuffer.accept(Event.Index, Event.RawToken, OnToken) &&
           ResponseText.size() <= MaxResponseTextBytes;
  }
  return !Event.Done || onDone(Event);
}

// The end counts only if every token has been passed on; otherwise the stream
// is resumed. Engines count either all tokens or those of this call.
bool RelaySession::onDone(const EngineEvent &Event) const {
  uint64_t next = ReorderBuffer.next();
  return ReorderBuffer.complete() &&
         (Event.Tokens == next || Event.Tokens + FirstIndex == next);
}

void RelaySession::onToken(std::string_view RawToken) {
  if (Request.Stream)
    Format.appendChunk(Batch, RawToken);
  else
    ResponseText += RawToken;
}

bool RelaySession::onBatch() {
  if (Request.Stream && !Batch.empty()) {
    if (!ResponseStarted) {
      ResponseHead head;
      head.ContentType = "text/event-stream";
      ResponseStarted = true;
      recordFirstOutput();
      Sink.begin(head);
    }
    recordForReplay(Batch);
    if (!Sink.write(Batch))
      CallerDisconnected = true;
    Batch.clear();
  }
  reportProgress();
  return !CallerDisconnected;
}

void RelaySession::reportProgress() {
  uint64_t next = ReorderBuffer.next();
  bool first = ReportedTokens == 0 && next > 0;
  if (first && !Summary.FirstTokenAt)
    Summary.FirstTokenAt = Clock::now();
  if (!first && next < ReportedTokens + ProgressInterval)
    return;
  ReportedTokens = next;
  Context.Events->post(
      StageProgress{Request.Id, Attempt, static_cast<uint32_t>(next)});
}

// The end of a stream, or the complete non-streaming response.
std::string RelaySession::finalOutput() const {
  uint64_t n = ReorderBuffer.next();
  const char *reason = finishReason(n, Request.Spec.MaxOutputTokens);
  if (!Request.Stream)
    return Format.completeResponse(ResponseText, reason,
                                   Request.Spec.PromptTokens, n);
  std::string text;
  Format.appendEnd(text, reason);
  return text;
}

void RelaySession::finishDecode(const std::string &Output) {
  recordFirstOutput();
  ResponseHead head;
  if (!Request.Stream) {
    head.ContentType = "application/json";
    finish(writeResponse(Sink, head, Output));
    return;
  }
  head.ContentType = "text/event-stream";
  if (!ResponseStarted)
    Sink.begin(head);
  finish(Sink.write(Output) && Sink.end(true));
}

// Keeps the response for its idempotency key. The core treats a body over the
// limit as too large to store, so one byte over the limit is enough.
void RelaySession::recordForReplay(std::string_view Data) {
  if (!Request.Spec.IdempotencyKey.empty())
    ReplayBody += Data.substr(0, MaxReplayBytes + 1 - ReplayBody.size());
}

void RelaySession::service(const StartService &Item) {
  StageFinished result;
  result.Attempt = Item.Attempt;
  result.FinishedStage = Stage::Service;
  result.Server = Item.Server;
  Summary.Attempt = Item.Attempt;
  Summary.Server = Item.Server;
  BackendCallResult callResult{StageOutcome::NotSent, false};
  BackendCall call;
  ServiceHead = ResponseHead();
  ServiceBody.clear();
  if (makeCall(Item.Server, Item.NotAfter, Item.Timeout, call)) {
    ServiceRequest request;
    request.Id = Request.Id;
    request.Fence = Item.Fence;
    request.Method = Request.Input.Method;
    request.Path = Request.Path.ServicePath;
    request.ContentType = Request.Input.ContentType;
    request.Accept = Request.Input.Accept;
    request.IdempotencyKey = Request.Input.IdempotencyKey;
    request.Body = &Request.Input.Body;
    callResult = Context.Backends->service(call, request, *this, *this);
  }
  bool succeeded = callResult.Outcome == StageOutcome::Ok;
  if (succeeded) {
    result.HttpStatus = ServiceHead.Status;
    result.ContentType = ServiceHead.ContentType;
    result.Body = ReplayBody;
  } else {
    ReplayBody.clear();
  }
  report(std::move(result), callResult);
  if (Ended)
    return;
  if (succeeded)
    finishService();
  else if (ResponseStarted) {
    Sink.end(false); // part of the response is sent and can't be undone
    finish(false);
  }
}

bool RelaySession::onHead(const HttpHead &Head) {
  ServiceHead.Status = Head.Status;
  if (const std::string *type = Head.find("Content-Type"))
    ServiceHead.ContentType = *type;
  BodyFraming framing;
  responseFraming(Head, Request.Input.Method, framing);
  ServiceHead.HasLength =
      framing.Form == BodyForm::Length || framing.Form == BodyForm::None;
  ServiceHead.Length = framing.Length;
  BufferService = ServiceHead.HasLength && framing.Length <= MaxBufferedBytes;
  if (BufferService)
    return true;
  ResponseStarted = true;
  recordFirstOutput();
  CallerDisconnected = CallerDisconnected || !Sink.begin(ServiceHead);
  return !CallerDisconnected;
}

bool RelaySession::onBody(std::string_view Data) {
  recordForReplay(Data);
  if (BufferService)
    ServiceBody += Data;
  else if (!Sink.write(Data))
    CallerDisconnected = true;
  return !CallerDisconnected;
}

void RelaySession::finishService() {
  recordFirstOutput();
  if (!BufferService) {
    finish(Sink.end(true));
    return;
  }
  finish(Sink.begin(ServiceHead) &&
         (ServiceBody.empty() || Sink.write(ServiceBody)) && Sink.end(true));
}

void RelaySession::answerError(const AnswerError &Item) {
  sendProblem({Item.Kind, Item.Run, Item.RetryAfter, Item.Detail, Request.Id});
}

void RelaySession::sendProblem(const Problem &Item) {
  Summary.Outcome = errorResponse(Item.Kind).Name;
  Summary.Run = Item.Run;
  if (!ResponseStarted) {
    finish(writeProblem(Sink, Item));
    return;
  }
  if (Request.Stream) {
    std::string event;
    appendErrorEvent(event, formatProblem(Item));
    finish(Sink.write(event) && Sink.end(true));
    return;
  }
  Sink.end(false);
  finish(false);
}

void RelaySession::answerStored(const AnswerStored &Item) {
  Summary.Outcome = "repeated"; // the stored response is replayed
  ResponseHead head;
  head.Status = Item.HttpStatus;
  head.ContentType = Item.ContentType;
  finish(writeResponse(Sink, head, Item.Body));
}

void RelaySession::finish(bool Written) {
  Ended = true;
  Delivered = Written;
  if (!Written && std::string_view(Summary.Outcome) == "completed")
    Summary.Outcome = "not_delivered";
}

void RelaySession::cancel() {
  if (Ended)
    return;
  Ended = true;
  Delivered = false;
  Summary.Outcome = "cancelled";
  // A request that has reached a backend server or the home may have run.
  Summary.Run = Summary.Attempt > 0 || !Home.empty() ? ExecutionState::Unknown
                                                     : ExecutionState::No;
  Context.Events->post(RequestCancelled{Request.Id});
}

struct RelaySession::ForwardState {
  bool Broken = false; // the link is lost or the response was cut off
  bool HeadReceived = false;
  bool BufferBody = false; // an error response; Retry-After is in its body
  ResponseHead Head;
  std::string Body;
};

bool RelaySession::sendForward(const ForwardToHome &Item) {
  PeerSender *peers = Context.Peers ? Context.Peers() : nullptr;
  if (!peers)
    return false;
  ConfigPtr config = Context.Events->config();
  const GroupConfig *group = config->findGroup(Request.Spec.Group);
  ForwardRequest message;
  message.Id = Request.Id;
  message.Method = Request.Input.Method;
  message.Path = Request.Input.Target;
  message.ContentType = Request.Input.ContentType;
  message.Group = Request.Spec.Group;
  message.IdempotencyKey = Request.Spec.IdempotencyKey;
  message.Body = Request.Input.Body;
  message.TimeLeft = group ? group->FirstOutputTarget : Milliseconds(0);
  // Set before sending: the link may be lost directly after the frame is
  // queued.
  Home = Item.Home;
  Mail.setPeer(Home);
  return peers->send(Home, std::move(message));
}

// The time without progress isn't bounded here: a request may wait in the
// home's queue, or its response may arrive as a whole after minutes. The link's
// heartbeat detects a home that has failed, and the home bounds the stages that
// it runs.
void RelaySession::forward(const ForwardToHome &Item) {
  if (!sendForward(Item)) {
    reportForwardFailure(StageOutcome::NotSent);
    return;
  }
  ForwardState state;
  while (!Ended && !state.Broken) {
    MailboxItem next;
    switch (waitForItem(next, TimePoint::max())) {
    case WaitOutcome::Item:
      onForwardItem(next, state);
      break;
    case WaitOutcome::Disconnected:
      state.Broken = true;
      break;
    case WaitOutcome::CallerDisconnected:
    case WaitOutcome::TimedOut:
      cancel(); // the core cancels the request at the home
      break;
    }
  }
  if (!Ended)
    reportForwardFailure(StageOutcome::Failed);
}

// The home's response didn't arrive; the core decides how to respond to the
// caller.
void RelaySession::reportForwardFailure(StageOutcome Outcome) {
  Mail.clearPeer();
  StageFinished result;
  result.Id = Request.Id;
  result.FinishedStage = Stage::Service;
  result.Outcome = Outcome;
  result.Server = Home;
  result.OutputTokens = ResponseStarted ? 1 : 0;
  Context.Events->post(std::move(result));
}

void RelaySession::onForwardItem(const MailboxItem &Item, ForwardState &State) {
  if (const auto *action = std::get_if<Action>(&Item))
    execute(*action);
  else
    onForwardFrame(std::get<PeerMessage>(Item), State);
}

void RelaySession::onForwardFrame(const PeerMessage &Message,
                                  ForwardState &State) {
  if (const auto *head = std::get_if<ForwardHead>(&Message)) {
    State.HeadReceived = true;
    State.Head.Status = head->Status;
    State.Head.ContentType = head->ContentType;
    State.BufferBody = head->ContentType == ProblemType;
    if (State.BufferBody)
      return;
    ResponseStarted = true;
    recordFirstOutput();
    CallerDisconnected = CallerDisconnected || !Sink.begin(State.Head);
  } else if (const auto *body = std::get_if<ForwardBody>(&Message)) {
    if (State.BufferBody)
      State.Body += body->Data;
    else if (State.HeadReceived && !Sink.write(body->Data))
      CallerDisconnected = true;
  } else if (const auto *end = std::get_if<ForwardEnd>(&Message))
    endForward(end->Complete && State.HeadReceived, State);
}

void RelaySession::endForward(bool Complete, ForwardState &State) {
  if (!Complete)
    State.Broken = true;
  else if (!State.BufferBody)
    finish(Sink.end(true));
  else {
    DiagnosticList diagnostics;
    JsonReader reader(State.Body, "problem", diagnostics);
    State.Head.RetryAfter = Milliseconds(reader.number("retry_after_ms", 0));
    Summary.Outcome = "refused_by_home"; // the home's log line has the kind
    Summary.Run = reader.text("run", "unknown") == "no"
                      ? ExecutionState::No
                      : ExecutionState::Unknown;
    finish(writeResponse(Sink, State.Head, State.Body));
  }
}

} // namespace crocusspur::internal
