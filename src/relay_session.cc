#include "relay_session.h"

#include "json_reader.h"

#include <algorithm>
#include <poll.h>
#include <type_traits>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr uint64_t ProgressEvery = 64; // tokens between two reports
constexpr size_t MaxRemembered = 65536;
constexpr size_t MaxPlainText = 16 * 1024 * 1024;
// Service answers up to this size are collected before the first byte goes to
// the caller, so that a server that breaks off midway can be replaced.
constexpr uint64_t MaxCollected = 65536;

uint32_t priorityOf(RequestClass Class) { return static_cast<uint32_t>(Class); }

uint64_t secondsNow() {
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                   WallTime::clock::now().time_since_epoch())
                                   .count());
}

// A stream that engines have completed ends either by length or by itself.
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
      TakeToken([this](std::string_view RawToken) { takeToken(RawToken); }) {
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
    summarize();
    return;
  }
  while (!Ended)
    step();
  Context.Events->post(RequestClosed{Request.Id, Delivered});
  summarize();
}

// After the core has been told, so that the line delays nobody.
void RelaySession::summarize() {
  Summary.EndedAt = Clock::now();
  Summary.Id = Request.Id;
  Summary.Group = Request.Spec.Group;
  Summary.Target = Request.Spec.Target;
  Summary.ForwardedBy = Request.ForwardedBy;
  Summary.Home = Home;
  Summary.Tokens = Sequence.next();
  if (ConfigPtr config = Context.Events->config())
    Summary.ConfigVersion = config->Version;
  reportFinished(Summary, Context.Metrics);
}

void RelaySession::noteFirstOutput() {
  if (!Summary.FirstOutputAt)
    Summary.FirstOutputAt = Clock::now();
}

void RelaySession::step() {
  MailboxItem item;
  if (nextItem(item, TimePoint::max()) != Next::Item)
    leave();
  else if (const auto *action = std::get_if<Action>(&item))
    carryOut(*action);
}

WaitResult RelaySession::wait(int Fd, short Events, TimePoint Until) {
  WaitSet::Result ready = Watched.wait(Fd, Events, Until);
  if (ready.TimedOut)
    return WaitResult::TimedOut;
  if (ready.Persistent >= 0 && ready.Persistent == Sink.watchedSocket())
    CallerGone = true;
  return ready.Persistent >= 0 ? WaitResult::Interrupted : WaitResult::Ready;
}

RelaySession::Next RelaySession::nextItem(MailboxItem &Item, TimePoint Until) {
  while (!CallerGone) {
    if (Mail.pop(Item))
      return Next::Item;
    if (Mail.disconnected())
      return Next::Broken;
    if (wait(-1, 0, Until) == WaitResult::TimedOut && Clock::now() >= Until)
      return Next::TimedOut;
  }
  return Next::CallerGone;
}

void RelaySession::carryOut(const Action &Item) {
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

bool RelaySession::callFor(const std::string &Server, TimePoint NotAfter,
                           Milliseconds Timeout, BackendCall &Call) const {
  ConfigPtr config = Context.Events->config();
  const ServerConfig *server = config->findServer(Server);
  if (!server)
    return false;
  Call.Address = server->Address;
  Call.NotAfter = NotAfter;
  Call.ConnectTimeout = Context.Values->ConnectTimeout;
  Call.Timeout =
      Timeout.count() > 0 ? Timeout : Context.Values->Core.ProgressTimeout;
  return true;
}

EngineWork RelaySession::workFor(uint32_t Attempt, uint64_t Fence) const {
  ConfigPtr config = Context.Events->config();
  const GroupConfig *group = config->findGroup(Request.Spec.Group);
  EngineWork work;
  work.Id = Request.Id;
  work.Attempt = Attempt;
  work.Fence = Fence;
  work.Model = Request.Spec.Target;
  work.Group = Request.Spec.Group;
  work.Priority = priorityOf(group ? group->Class : RequestClass::Normal);
  return work;
}

// A caller that has left is reported first, so that the core doesn't place the
// request again because of the stage that this has ended.
void RelaySession::report(StageFinished Result, const CallEnd &End) {
  Watched.removeTransient();
  if (CallerGone || Mail.disconnected())
    leave();
  Result.Id = Request.Id;
  Result.Outcome = End.Outcome;
  // For a service: whether a part of the answer has gone to the caller.
  Result.OutputTokens = Result.At == Stage::Service
                            ? (Begun ? 1 : 0)
                            : static_cast<uint32_t>(Sequence.next());
  Context.Events->post(std::move(Result));
}

void RelaySession::prefill(const StartPrefill &Item) {
  if (!Summary.PrefillAt)
    Summary.PrefillAt = Clock::now();
  Summary.Attempt = Item.Attempt;
  Summary.Server = Item.Server;
  StageFinished result;
  result.Attempt = Item.Attempt;
  result.At = Stage::Prefill;
  result.Server = Item.Server;
  PrefillEnd end;
  end.Outcome = StageOutcome::NotSent;
  BackendCall call;
  if (callFor(Item.Server, Item.NotAfter, Item.Timeout, call)) {
    PrefillWork work;
    work.Common = workFor(Item.Attempt, Item.Fence);
    work.PromptJson = &Request.PromptJson;
    work.PromptTokens = Request.Spec.PromptTokens;
    work.PrefixHashes = &Request.Spec.PrefixHashes;
    end = Context.Backends->prefill(call, work, *this);
  }
  if (end.Outcome == StageOutcome::Ok)
    ResultAt = Item.Server;
  result.KvBytes = end.KvBytes;
  report(std::move(result), end);
}

void RelaySession::decode(const StartDecode &Item) {
  StageFinished result;
  result.Attempt = Item.Attempt;
  result.At = Stage::Decode;
  result.Server = Item.Server;
  Attempt = Item.Attempt;
  if (!Summary.PrefillAt) // a short prompt's prefill is part of the decode
    Summary.PrefillAt = Clock::now();
  Summary.Attempt = Item.Attempt;
  Summary.Server = Item.Server;
  FirstIndex = Sequence.next();
  Sequence.discardBuffered();
  CallEnd end{StageOutcome::NotSent, false};
  BackendCall call;
  if (callFor(Item.Server, Item.NotAfter, Item.Timeout, call)) {
    DecodeWork work;
    work.Common = workFor(Item.Attempt, Item.Fence);
    ConfigPtr config = Context.Events->config();
    const ServerConfig *source = config->findServer(Item.PrefillServer);
    if (source && Item.PrefillServer != Item.Server)
      work.Source = source->Address;
    work.MaxTokens = Request.Spec.MaxOutputTokens;
    work.FirstIndex = FirstIndex;
    // Without a prefill's result the decode server prefills the prompt itself.
    if (ResultAt.empty() || ResultAt != Item.PrefillServer)
      work.PromptJson = &Request.PromptJson;
    end = Context.Backends->decode(call, work, *this, *this);
  }
  Summary.LastTokenAt = Clock::now();
  bool whole = end.Outcome == StageOutcome::Ok;
  std::string last = whole ? lastPiece() : "";
  remember(last);
  if (whole) {
    result.HttpStatus = 200;
    result.ContentType =
        Request.Stream ? "text/event-stream" : "application/json";
    result.Body = Remembered;
  }
  // Reported before the last write, because the report frees the slot and the
  // write may wait for the caller.
  report(std::move(result), end);
  if (whole && !Ended)
    finishDecode(last);
}

bool RelaySession::onEvent(const EngineEvent &Event) {
  if (Event.Imported) {
    ResultAt.clear();
    Context.Events->post(StageProgress{Request.Id, Attempt,
                                       static_cast<uint32_t>(Sequence.next())});
  }
  if (Event.HasIndex && Event.HasToken) {
    ResultAt.clear();
    return Sequence.accept(Event.Index, Event.RawToken, TakeToken) &&
           PlainText.size() <= MaxPlainText;
  }
  return !Event.Done || onDone(Event);
}

// The end counts only if every token has been sent; otherwise the stream is
// resumed. Engines count either all tokens or those of this call.
bool RelaySession::onDone(const EngineEvent &Event) const {
  uint64_t next = Sequence.next();
  return Sequence.complete() &&
         (Event.Tokens == next || Event.Tokens + FirstIndex == next);
}

void RelaySession::takeToken(std::string_view RawToken) {
  if (Request.Stream)
    Format.appendChunk(Batch, RawToken);
  else
    PlainText += RawToken;
}

bool RelaySession::onBatch() {
  if (Request.Stream && !Batch.empty()) {
    if (!Begun) {
      ResponseHead head;
      head.ContentType = "text/event-stream";
      Begun = true;
      noteFirstOutput();
      Sink.begin(head);
    }
    remember(Batch);
    if (!Sink.write(Batch))
      CallerGone = true;
    Batch.clear();
  }
  reportProgress();
  return !CallerGone;
}

void RelaySession::reportProgress() {
  uint64_t next = Sequence.next();
  bool first = ReportedTokens == 0 && next > 0;
  if (first && !Summary.FirstTokenAt)
    Summary.FirstTokenAt = Clock::now();
  if (!first && next < ReportedTokens + ProgressEvery)
    return;
  ReportedTokens = next;
  Context.Events->post(
      StageProgress{Request.Id, Attempt, static_cast<uint32_t>(next)});
}

// The end of a stream, or the whole plain answer.
std::string RelaySession::lastPiece() const {
  uint64_t n = Sequence.next();
  const char *reason = finishReason(n, Request.Spec.MaxOutputTokens);
  if (!Request.Stream)
    return Format.plainAnswer(PlainText, reason, Request.Spec.PromptTokens, n);
  std::string text;
  Format.appendEnd(text, reason);
  return text;
}

void RelaySession::finishDecode(const std::string &Last) {
  noteFirstOutput();
  ResponseHead head;
  if (!Request.Stream) {
    head.ContentType = "application/json";
    finish(writeResponse(Sink, head, Last));
    return;
  }
  head.ContentType = "text/event-stream";
  if (!Begun)
    Sink.begin(head);
  finish(Sink.write(Last) && Sink.end(true));
}

// Keeps the answer for its idempotency key. The core takes a body over the
// limit as one that can't be remembered, so a byte more than that is enough.
void RelaySession::remember(std::string_view Data) {
  if (!Request.Spec.IdempotencyKey.empty())
    Remembered += Data.substr(0, MaxRemembered + 1 - Remembered.size());
}

void RelaySession::service(const StartService &Item) {
  StageFinished result;
  result.Attempt = Item.Attempt;
  result.At = Stage::Service;
  result.Server = Item.Server;
  Summary.Attempt = Item.Attempt;
  Summary.Server = Item.Server;
  CallEnd end{StageOutcome::NotSent, false};
  BackendCall call;
  ServiceHead = ResponseHead();
  ServiceBody.clear();
  if (callFor(Item.Server, Item.NotAfter, Item.Timeout, call)) {
    ServiceWork work;
    work.Id = Request.Id;
    work.Fence = Item.Fence;
    work.Method = Request.Input.Method;
    work.Path = Request.Path.ServicePath;
    work.ContentType = Request.Input.ContentType;
    work.Accept = Request.Input.Accept;
    work.IdempotencyKey = Request.Input.IdempotencyKey;
    work.Body = &Request.Input.Body;
    end = Context.Backends->service(call, work, *this, *this);
  }
  bool whole = end.Outcome == StageOutcome::Ok;
  if (whole) {
    result.HttpStatus = ServiceHead.Status;
    result.ContentType = ServiceHead.ContentType;
    result.Body = Remembered;
  } else {
    Remembered.clear();
  }
  report(std::move(result), end);
  if (Ended)
    return;
  if (whole)
    finishService();
  else if (Begun) {
    Sink.end(false); // part of the answer is out and can't be taken back
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
  CollectService = ServiceHead.HasLength && framing.Length <= MaxCollected;
  if (CollectService)
    return true;
  Begun = true;
  noteFirstOutput();
  CallerGone = CallerGone || !Sink.begin(ServiceHead);
  return !CallerGone;
}

bool RelaySession::onBody(std::string_view Data) {
  remember(Data);
  if (CollectService)
    ServiceBody += Data;
  else if (!Sink.write(Data))
    CallerGone = true;
  return !CallerGone;
}

void RelaySession::finishService() {
  noteFirstOutput();
  if (!CollectService) {
    finish(Sink.end(true));
    return;
  }
  finish(Sink.begin(ServiceHead) &&
         (ServiceBody.empty() || Sink.write(ServiceBody)) && Sink.end(true));
}

void RelaySession::answerError(const AnswerError &Item) {
  answerProblem(
      {Item.Kind, Item.Run, Item.RetryAfter, Item.Detail, Request.Id});
}

void RelaySession::answerProblem(const Problem &Item) {
  Summary.Outcome = errorResponse(Item.Kind).Name;
  Summary.Run = Item.Run;
  if (!Begun) {
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
  Summary.Outcome = "repeated"; // the remembered answer
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

void RelaySession::leave() {
  if (Ended)
    return;
  Ended = true;
  Delivered = false;
  Summary.Outcome = "cancelled";
  // What has reached a backend server or the home may have run.
  Summary.Run = Summary.Attempt > 0 || !Home.empty() ? ExecutionState::Unknown
                                                     : ExecutionState::No;
  Context.Events->post(RequestCancelled{Request.Id});
}

struct RelaySession::ForwardState {
  bool Broken = false; // the link is lost or the answer broke off
  bool HeadSeen = false;
  bool Collect = false; // an error answer, whose Retry-After is in its body
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
  // Set first: the link may be lost directly after the frame was queued.
  Home = Item.Home;
  Mail.setPeer(Home);
  return peers->send(Home, std::move(message));
}

// The time without progress is not bounded here: a request may wait at the home
// or be answered as a whole after minutes. The link's own heartbeat finds a
// home that is gone, and the home bounds the stages that it runs.
void RelaySession::forward(const ForwardToHome &Item) {
  if (!sendForward(Item)) {
    reportForward(StageOutcome::NotSent);
    return;
  }
  ForwardState state;
  while (!Ended && !state.Broken) {
    MailboxItem next;
    switch (nextItem(next, TimePoint::max())) {
    case Next::Item:
      onForwardItem(next, state);
      break;
    case Next::Broken:
      state.Broken = true;
      break;
    case Next::CallerGone:
    case Next::TimedOut:
      leave(); // the core cancels at the home
      break;
    }
  }
  if (!Ended)
    reportForward(StageOutcome::Failed);
}

// The home's answer did not come; the core decides what the caller is told.
void RelaySession::reportForward(StageOutcome Outcome) {
  Mail.clearPeer();
  StageFinished result;
  result.Id = Request.Id;
  result.At = Stage::Service;
  result.Outcome = Outcome;
  result.Server = Home;
  result.OutputTokens = Begun ? 1 : 0;
  Context.Events->post(std::move(result));
}

void RelaySession::onForwardItem(const MailboxItem &Item, ForwardState &State) {
  if (const auto *action = std::get_if<Action>(&Item))
    carryOut(*action);
  else
    onForwardFrame(std::get<PeerMessage>(Item), State);
}

void RelaySession::onForwardFrame(const PeerMessage &Message,
                                  ForwardState &State) {
  if (const auto *head = std::get_if<ForwardHead>(&Message)) {
    State.HeadSeen = true;
    State.Head.Status = head->Status;
    State.Head.ContentType = head->ContentType;
    State.Collect = head->ContentType == ProblemType;
    if (State.Collect)
      return;
    Begun = true;
    noteFirstOutput();
    CallerGone = CallerGone || !Sink.begin(State.Head);
  } else if (const auto *body = std::get_if<ForwardBody>(&Message)) {
    if (State.Collect)
      State.Body += body->Data;
    else if (State.HeadSeen && !Sink.write(body->Data))
      CallerGone = true;
  } else if (const auto *end = std::get_if<ForwardEnd>(&Message))
    endForward(end->Complete && State.HeadSeen, State);
}

void RelaySession::endForward(bool Complete, ForwardState &State) {
  if (!Complete)
    State.Broken = true;
  else if (!State.Collect)
    finish(Sink.end(true));
  else {
    DiagnosticList diagnostics;
    JsonReader reader(State.Body, "problem", diagnostics);
    State.Head.RetryAfter = Milliseconds(reader.number("retry_after_ms", 0));
    Summary.Outcome = "refused_by_home"; // its log line has the kind
    Summary.Run = reader.text("run", "unknown") == "no"
                      ? ExecutionState::No
                      : ExecutionState::Unknown;
    finish(writeResponse(Sink, State.Head, State.Body));
  }
}

} // namespace crocusspur::internal
