#include "gateway/request_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// An answer of a plain service is passed on only when it is whole.
constexpr size_t MostAnswerBytes = 16777216;
// A repeatable request that has waited this many times its target is sent to
// another server; most services end all but one request in a hundred in half
// of that.
constexpr int PatienceInTargets = 2;
constexpr Milliseconds LeastPatience{250};
// After this, callers of plain services come back: some service times.
constexpr Milliseconds PlainReturn{300};

std::string seconds(Milliseconds Time) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f",
                static_cast<double>(Time.count()) / 1000);
  return buf;
}

} // namespace

RequestRun::RequestRun(const GatewayParts &Parts, RouteDocumentPtr Document,
                       const PathRoute &Route, CallerRequest Request,
                       internal::HttpSink &Sink, TimePoint Arrived)
    : Parts(Parts), Document(std::move(Document)), Route(Route),
      Request(std::move(Request)), Sink(Sink), Arrived(Arrived),
      End(Arrived + std::min(Route.Timeout,
                             this->Request.TimeLeft.value_or(Route.Timeout))),
      Waiter(Sink.watchedSocket(), End),
      Service(chooseService(Route, Parts.Known.drawNumber())) {
  auto rule = this->Document->Services.find(Service);
  if (rule != this->Document->Services.end() && rule->second.Engine)
    Engine = &*rule->second.Engine;
  LastEventId = this->Request.LastEventId;
  Returning = Parts.Known.isReturning(
      Route.Name, this->Request.TimeLeft.value_or(Route.Timeout));
}

void RequestRun::run() {
  Parts.Known.onRequest(Service);
  if (Route.Kind == RouteKind::Stream)
    runStream();
  else
    runPlain();
}

internal::LogFields RequestRun::fields() const {
  return {{"request", Request.Id},
          {"route", Route.Name},
          {"service", Service},
          {"config_version", std::to_string(Document->Version)}};
}

void RequestRun::logCall(const char *Stage, const ServerChoice &Server,
                         const std::string &Outcome, TimePoint Started) const {
  if (!internal::logged(LogLevel::Info))
    return;
  auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - Started);
  internal::LogFields all = fields();
  all.emplace_back("stage", Stage);
  all.emplace_back("server", Server.Id);
  all.emplace_back("outcome", Outcome);
  all.emplace_back("taken_ms", std::to_string(taken.count()));
  all.emplace_back("left_ms", std::to_string(timeLeft().count()));
  log(LogLevel::Info, "request", "call ended", all);
}

void RequestRun::finish(const std::string &Outcome, const std::string &Why) {
  auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - Arrived);
  Parts.Metrics.observe("request_seconds", Outcome,
                        static_cast<double>(taken.count()) / 1000);
  internal::LogFields all = fields();
  all.emplace_back("outcome", Outcome);
  all.emplace_back("why", Why);
  all.emplace_back("status", std::to_string(Status));
  all.emplace_back("taken_ms", std::to_string(taken.count()));
  if (FirstOutput)
    all.emplace_back("first_output_ms",
                     std::to_string(std::chrono::duration_cast<Milliseconds>(
                                        *FirstOutput - Arrived)
                                        .count()));
  if (EventsPassed > 0) {
    all.emplace_back("events", std::to_string(EventsPassed));
    all.emplace_back("longest_pause_ms", std::to_string(LongestPause.count()));
  }
  log(LogLevel::Info, "request", "request finished", all);
}

Milliseconds RequestRun::timeLeft() const {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(End - Clock::now()));
}

bool RequestRun::ended() { return Waiter.callerLeft() || Waiter.pastEnd(); }

bool RequestRun::mayUse(const std::string &ServerId) const {
  return Used.contains(ServerId) || Used.size() < Route.MaxServers;
}

bool RequestRun::mayRepeat() { return Parts.Known.tryConsumeRetry(Service); }

RunOrder RequestRun::orderFor(const ServerChoice &Server) const {
  RunOrder order;
  order.ServerId = Server.Id;
  order.TimeLeft = timeLeft();
  order.ContinueAfter = LastEventId;
  return order;
}

internal::ResponseHead RequestRun::headOf(const ServerCall &Call) const {
  internal::ResponseHead head;
  head.Status = Call.head().Status;
  head.Fields = Call.facts().Returned;
  return head;
}

void RequestRun::answerProblem(const internal::Problem &Item) {
  internal::ResponseHead head;
  Status = static_cast<uint32_t>(errorResponse(Item.Kind).Status);
  head.Status = Status;
  head.ContentType = internal::ProblemType;
  if (Item.RetryAfter.count() > 0)
    head.Fields.emplace_back("Retry-After", seconds(Item.RetryAfter));
  internal::writeResponse(Sink, head, internal::formatProblem(Item));
}

void RequestRun::refuse(ErrorKind Kind, const std::string &Why,
                        Milliseconds RetryAfter) {
  internal::Problem item = internal::makeProblem(Kind, Why, RequestId());
  item.Run = ExecutionState::No;
  item.RetryAfter = RetryAfter;
  answerProblem(item);
  finish("refused", Why);
}

void RequestRun::fail(ErrorKind Kind, const std::string &Why) {
  answerProblem(internal::makeProblem(Kind, Why, RequestId()));
  finish("failed", Why);
}

// Repeats go to other servers. Requests that may not be repeated go to another
// server only if no byte of them can have arrived.
void RequestRun::runPlain() {
  bool repeatable = Route.Kind == RouteKind::Idempotent;
  while (!ended()) {
    std::optional<ServerChoice> server =
        Parts.Known.choose({Service, ServerStage::Whole, Tried});
    if (!server)
      break;
    bool last = !repeatable || Used.size() + 1 >= Route.MaxServers;
    bool first = Tried.empty();
    Tried.insert(server->Id);
    if (!mayUse(server->Id) || (!first && !mayRepeat()))
      break;
    Next next = tryPlain(*server, last);
    if (next == Next::Done)
      return;
    MayHaveRun = MayHaveRun || next == Next::Unknown;
    if (next == Next::Unknown && !repeatable)
      break;
  }
  if (Waiter.callerLeft())
    finish("caller_left", "the caller closed its connection");
  else if (Failure) {
    Status = Failure->Head.Status;
    internal::writeResponse(Sink, Failure->Head, Failure->Body);
    finish("answered", "the server failed, and no other took a repeat");
  } else if (MayHaveRun)
    fail(Waiter.pastEnd() ? ErrorKind::BackendTimeout
                          : ErrorKind::BackendFailed,
         "no server gave a usable answer");
  else
    refuse(Tried.empty() ? ErrorKind::NoServer : ErrorKind::BackendRefused,
           Tried.empty() ? "no server is known" : "no server took the request",
           PlainReturn);
}

RequestRun::Next RequestRun::tryPlain(const ServerChoice &Server,
                                      bool LastTry) {
  TimePoint started = Clock::now();
  if (!Parts.Known.usable(Server))
    return Next::NotRun;
  Milliseconds patience = timeLeft();
  if (!LastTry)
    patience =
        std::min(patience, std::max(LeastPatience,
                                    Route.LatencyTarget * PatienceInTargets));
  ServerCall call(Parts.Connections, Parts.Wire, Waiter);
  Parts.Known.callStarted(Server.Id, 1);
  CallStatus status = call.start(
      Server.Address, Parts.Wire.FormatRun(Request, orderFor(Server)),
      Request.Method, Request.Id, patience);
  std::string body;
  if (status == CallStatus::Answered)
    status = call.readWhole(body, MostAnswerBytes);
  if (call.maySent())
    Used.insert(Server.Id);
  auto end = [&](CallResult Result, const std::string &Outcome, Next After) {
    Parts.Known.callEnded(Server.Id, 1, Result);
    logCall("run", Server, Outcome, started);
    return After;
  };
  switch (status) {
  case CallStatus::NotSent:
    Parts.Connections.drop(Server.Address);
    return end(CallResult::Unreachable, "not_sent", Next::NotRun);
  case CallStatus::Broken:
    return end(CallResult::Failed, "broken", Next::Unknown);
  case CallStatus::Silent:
    return end(CallResult::TimedOut, "silent", Next::Unknown);
  case CallStatus::CallerLeft:
    return end(CallResult::Abandoned, "caller_left", Next::Unknown);
  case CallStatus::OutOfTime:
    return end(CallResult::TimedOut, "out_of_time",
               call.maySent() ? Next::Unknown : Next::NotRun);
  case CallStatus::Answered:
    break;
  }
  const AnswerFacts &facts = call.facts();
  if (facts.Load)
    Parts.Known.onLoadReport(Server.Id, *facts.Load);
  call.finish();
  std::string code = std::to_string(call.head().Status);
  if (facts.NotRun)
    return end(CallResult::Overloaded, "refused_" + code, Next::NotRun);
  if (!facts.Signed || facts.Encoded)
    return end(CallResult::Failed, "unusable_" + code, Next::Unknown);
  bool failure = call.head().Status >= 500;
  if (failure && !LastTry) {
    Failure = ServerFailure{headOf(call), std::move(body)};
    return end(CallResult::Failed, "failure_" + code, Next::Unknown);
  }
  end(failure ? CallResult::Failed : CallResult::Succeeded, "answered_" + code,
      Next::Done);
  FirstOutput = Clock::now();
  Status = call.head().Status;
  bool passed = internal::writeResponse(Sink, headOf(call), body);
  finish(passed ? "answered" : "caller_left", "");
  return Next::Done;
}

} // namespace crocusspur::gateway
