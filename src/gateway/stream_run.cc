// The part of RequestRun that runs streams: a place for the output at a decode
// server, then the prompt at a prefill server, then the stream.
#include "gateway/request_run.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Rounds of place, prompt and stream for one request. Each after the first is
// a repeat and draws on the budget.
constexpr int MostRounds = 4;
constexpr int MostPrefills = 2; // in one round
// From a place to the first event: calls and queue, and the prompt's tokens at
// about half of the rate at which an idle prefill server reads.
constexpr Milliseconds StartTime{100};
constexpr uint64_t PromptTokensPerMs = 30;
// A caller that has been refused before is late anyway and waits for at most
// this long.
constexpr Milliseconds ReturningPatience{2500};
// Servers that are asked for a place in one try: a part of them, since each
// refuses while it is full, but some at least.
constexpr size_t LeastServersPerTry = 3;
constexpr size_t ServersPerTryPart = 4;
// A reservation is answered from memory; a server that is slower than this is
// overloaded or gone.
constexpr Milliseconds ReserveTime{150};
// A prefill that takes longer is repeated elsewhere.
constexpr Milliseconds PrefillTime{1000};
constexpr Milliseconds ReleaseTime{200};
constexpr Milliseconds LinePause{10}; // between two looks at the line
// Load of a prefill call: one unit for a usual prompt.
constexpr double TokensPerLoadUnit = 5000;
// A resumable stream continues elsewhere after this many times its longest
// pause without an event.
constexpr int SilenceInGaps = 5;
constexpr Milliseconds LeastSilence{1200};
// After this, callers come back when no server is known.
constexpr Milliseconds NoServerReturn{1000};
constexpr size_t MostPrefillAnswer = 65536;
constexpr size_t MostAnswerBytes = 16777216;

struct CallEnd {
  CallResult Result;
  const char *Outcome; // as the log names it
};

// How a call without an answer ended that costs nothing but its time.
CallEnd unanswered(CallStatus Status) {
  switch (Status) {
  case CallStatus::NotSent:
    return {CallResult::Unreachable, "not_sent"};
  case CallStatus::Broken:
    return {CallResult::Failed, "broken"};
  case CallStatus::Silent:
    return {CallResult::TimedOut, "silent"};
  case CallStatus::Answered:
  case CallStatus::CallerLeft:
  case CallStatus::OutOfTime:
    break;
  }
  return {CallResult::Abandoned, "abandoned"};
}

} // namespace

void RequestRun::runStream() {
  Next next = Next::NotRun;
  for (int round = 0; round < MostRounds && !ended() && !BudgetSpent; ++round) {
    if (round > 0 && !mayRepeat())
      break;
    // After a refusal the prompt's memory is the most likely cause.
    next = tryStream(/*ReadAtDecode=*/round > 0 && next == Next::NotRun);
    if (next == Next::Done)
      return;
    MayHaveRun = MayHaveRun || next == Next::Unknown;
    if (next == Next::Unknown && !Route.Resumable)
      break;
  }
  if (HeadPassed) {
    endBrokenStream("no server continued the stream");
    return;
  }
  if (Waiter.callerLeft())
    finish("caller_left", "the caller closed its connection");
  else if (MayHaveRun)
    fail(Waiter.pastEnd() ? ErrorKind::BackendTimeout
                          : ErrorKind::BackendFailed,
         "the server's answer broke off");
  else
    refuse(ErrorKind::BackendRefused, "no server took the request",
           NoServerReturn);
}

void RequestRun::endBrokenStream(const std::string &Why) {
  Sink.end(false);
  finish(Waiter.callerLeft() ? "caller_left" : "broken", Why);
}

RequestRun::Next RequestRun::tryStream(bool ReadAtDecode) {
  std::optional<Place> place = takePlace();
  if (!place) {
    if (Waiter.callerLeft()) {
      finish("caller_left", "left while waiting for a place");
      return Next::Done;
    }
    if (HeadPassed) {
      endBrokenStream("no place to continue the stream");
      return Next::Done;
    }
    if (MayHaveRun) {
      fail(ErrorKind::BackendFailed, "no place for a repeat");
      return Next::Done;
    }
    bool known = Parts.Known.serversIn(Service, ServerStage::Decode) > 0 ||
                 Parts.Known.serversIn(Service, ServerStage::Whole) > 0;
    Milliseconds drain = Parts.Lines.drainTime(Service);
    // Callers honour a wait of up to a third of what they have left.
    refuse(known ? ErrorKind::DeadlineUnreachable : ErrorKind::NoServer,
           known ? "no memory for the output became free in time"
                 : "no server is known",
           known ? retryAfter(drain, timeLeft() / 3, Parts.Known.draw())
                 : NoServerReturn);
    return Next::Done;
  }
  std::optional<PromptMemory> memory;
  if (!ReadAtDecode)
    memory = readPrompt();
  if (ended() || BudgetSpent) {
    release(*place);
    if (memory)
      release(*memory);
    return Next::NotRun;
  }
  return startStream(*place, memory);
}

std::optional<RequestRun::Place> RequestRun::unreservedPlace() {
  for (ServerStage stage : {ServerStage::Decode, ServerStage::Whole})
    for (const ServerChoice &it : Parts.Known.rank({Service, stage, Tried}))
      if (mayUse(it.Id))
        return Place{it, "", TimePoint()};
  return std::nullopt;
}

// Waits in the line until a decode server reserves memory for the request, or
// until waiting makes no sense any more.
std::optional<RequestRun::Place> RequestRun::takePlace() {
  if (!Engine || Engine->MaxReservation == Milliseconds(0) ||
      !Request.Generation)
    return unreservedPlace();
  const GenerationSize &size = *Request.Generation;
  uint64_t tokens = std::min(
      Parts.Known.reservedTokens(Service, size, Engine->CapacityTokens),
      Engine->CapacityTokens);
  auto start =
      StartTime +
      Milliseconds(static_cast<int64_t>(size.PromptTokens / PromptTokensPerMs));
  QueueEntry entry;
  entry.Priority = Route.Priority;
  entry.OnTimeDeadline = Arrived + Route.LatencyTarget - start;
  entry.ExpiresAt = entry.OnTimeDeadline;
  if (HeadPassed || Returning)
    entry.ExpiresAt = std::min(End, Clock::now() + ReturningPatience);
  TimePoint joined = Clock::now();
  if (Parts.Lines.wouldTimeOut(Service, entry.ExpiresAt))
    return std::nullopt;
  Parts.Known.onMemoryRequested(Service, tokens);
  uint64_t ticket = Parts.Lines.join(Service, entry);
  std::optional<Place> place;
  uint32_t tries = 0;
  while (!place && !ended() && Clock::now() < entry.ExpiresAt) {
    if (Parts.Lines.tryStartAttempt(Service, ticket)) {
      place = askForPlace(tokens);
      Parts.Lines.onAttemptEnded(Service, ticket);
      ++tries;
    }
    if (!place)
      Waiter.pause(LinePause);
  }
  Parts.Lines.leave(Service, ticket);
  if (place)
    Parts.Lines.onGranted(Service);
  auto waited = std::chrono::duration_cast<Milliseconds>(Clock::now() - joined);
  if (!Returning)
    Parts.Known.onReservationEnded(Service, waited, place.has_value());
  Parts.Metrics.observe("reservation_wait_seconds", Service,
                        static_cast<double>(waited.count()) / 1000);
  internal::LogFields all = fields();
  all.emplace_back("server", place ? place->Server.Id : "");
  all.emplace_back("prompt_tokens", std::to_string(size.PromptTokens));
  all.emplace_back("tokens", std::to_string(tokens));
  all.emplace_back("waited_ms", std::to_string(waited.count()));
  all.emplace_back("tries", std::to_string(tries));
  all.emplace_back("returning", Returning ? "true" : "false");
  log(LogLevel::Info, "request", place ? "place reserved" : "no place", all);
  return place;
}

std::optional<RequestRun::Place> RequestRun::askForPlace(uint64_t Tokens) {
  std::vector<ServerChoice> ranked =
      Parts.Known.rank({Service, ServerStage::Decode, Tried});
  std::erase_if(ranked, [&](const ServerChoice &It) { return !mayUse(It.Id); });
  size_t most = std::max(LeastServersPerTry, ranked.size() / ServersPerTryPart);
  for (const ServerChoice &server :
       Parts.Known.serverSubset(Service, ranked, Tokens, most)) {
    if (ended())
      break;
    ServerCall call(Parts.Connections, Parts.Wire, Waiter);
    Parts.Known.callStarted(server.Id, 0);
    CallStatus status = call.start(
        server.Address,
        Parts.Wire.FormatReserve(server, Tokens, Engine->MaxReservation),
        "POST", "", ReserveTime);
    std::string body;
    if (status == CallStatus::Answered)
      status = call.readWhole(body, MostPrefillAnswer);
    if (status != CallStatus::Answered) {
      Parts.Known.callEnded(server.Id, 0, unanswered(status).Result);
      continue;
    }
    call.finish();
    std::optional<std::string> name;
    if (call.head().Status == 200)
      name = Parts.Wire.ReadReservation(body);
    Parts.Known.callEnded(
        server.Id, 0, name ? CallResult::Succeeded : CallResult::Overloaded);
    if (name)
      return Place{server, *name, Clock::now() + Engine->MaxReservation};
  }
  return std::nullopt;
}

// Returns nothing if the decode server has to read the prompt itself. The first
// prefill that a server accepts is no repeat. After one that wasn't accepted,
// the next call is, whether to another prefill server or to the decode server.
std::optional<RequestRun::PromptMemory> RequestRun::readPrompt() {
  std::set<std::string> excluded = Tried;
  if (Request.Generation)
    Parts.Known.onPrompt(Service, Request.Generation->PromptTokens);
  for (int i = 0; i < MostPrefills && !ended(); ++i) {
    std::optional<ServerChoice> server =
        Parts.Known.choose({Service, ServerStage::Prefill, excluded});
    if (!server)
      return std::nullopt;
    excluded.insert(server->Id);
    std::optional<PromptMemory> memory = tryPrefill(*server);
    if (memory)
      return memory;
    if (PrefillSent && !mayRepeat()) {
      BudgetSpent = true;
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<RequestRun::PromptMemory>
RequestRun::tryPrefill(const ServerChoice &Server) {
  TimePoint started = Clock::now();
  double weight = Request.Generation
                      ? static_cast<double>(Request.Generation->PromptTokens) /
                            TokensPerLoadUnit
                      : 1;
  RunOrder order = orderFor(Server);
  order.PrefillOnly = true;
  ServerCall call(Parts.Connections, Parts.Wire, Waiter);
  Parts.Known.callStarted(Server.Id, weight);
  CallStatus status =
      call.start(Server.Address, Parts.Wire.FormatRun(Request, order),
                 Request.Method, Request.Id, PrefillTime);
  PrefillSent = call.maySent();
  std::string body;
  if (status == CallStatus::Answered)
    status = call.readWhole(body, MostPrefillAnswer);
  auto end = [&](CallResult Result, const std::string &Outcome) {
    Parts.Known.callEnded(Server.Id, weight, Result);
    logCall("prefill", Server, Outcome, started);
  };
  if (status != CallStatus::Answered) {
    if (status == CallStatus::NotSent)
      Parts.Connections.drop(Server.Address);
    end(unanswered(status).Result, unanswered(status).Outcome);
    return std::nullopt;
  }
  if (call.facts().Load)
    Parts.Known.onLoadReport(Server.Id, *call.facts().Load);
  call.finish();
  std::string code = std::to_string(call.head().Status);
  std::optional<PrefillDone> done;
  if (call.head().Status == 200)
    done = Parts.Wire.ReadPrefill(body);
  if (!done) {
    end(call.facts().NotRun ? CallResult::Overloaded : CallResult::Failed,
        "refused_" + code);
    return std::nullopt;
  }
  end(CallResult::Succeeded, "answered_" + code);
  if (Request.Generation)
    Parts.Known.promptRead(
        Service, Request.Generation->PromptTokens,
        std::chrono::duration_cast<Milliseconds>(Clock::now() - started));
  return PromptMemory{Server, done->Handle};
}

void RequestRun::sendRelease(const ServerChoice &Server,
                             const std::string &Bytes) {
  std::string body;
  if (callServer(Parts.Connections, Parts.Wire, Server, Bytes, "DELETE",
                 ReleaseTime, MostPrefillAnswer, body) == 0)
    log(LogLevel::Warn, "request", "memory at a server was not released",
        {{"request", Request.Id},
         {"server", Server.Id},
         {"why", "no answer; it is freed when its time ends"}});
}

void RequestRun::release(const Place &Where) {
  if (!Where.Reservation.empty() && Clock::now() < Where.ReservedUntil)
    sendRelease(Where.Server, Parts.Wire.FormatReleaseReservation(
                                  Where.Server, Where.Reservation));
}

void RequestRun::release(const PromptMemory &Memory) {
  sendRelease(Memory.Server,
              Parts.Wire.FormatReleaseMemory(Memory.Server, Memory.Handle));
}

RequestRun::Next
RequestRun::startStream(const Place &Where,
                        const std::optional<PromptMemory> &From) {
  TimePoint started = Clock::now();
  const ServerChoice &server = Where.Server;
  auto giveBack = [&] {
    release(Where);
    if (From)
      release(*From);
  };
  if (!Parts.Known.usable(server)) {
    giveBack();
    return Next::NotRun;
  }
  RunOrder order = orderFor(server);
  order.Reservation = Where.Reservation;
  if (From)
    order.MemoryAt = Parts.Wire.MemoryName(From->Server.Address, From->Handle);
  Milliseconds patience = timeLeft();
  if (Route.Resumable)
    patience =
        std::min(patience, std::max(LeastSilence,
                                    Route.InterTokenTarget * SilenceInGaps));
  ServerCall call(Parts.Connections, Parts.Wire, Waiter);
  Parts.Known.callStarted(server.Id, 1);
  CallStatus status =
      call.start(server.Address, Parts.Wire.FormatRun(Request, order),
                 Request.Method, Request.Id, patience);
  if (call.maySent())
    Used.insert(server.Id);
  auto end = [&](CallResult Result, const std::string &Outcome, Next After) {
    Parts.Known.callEnded(server.Id, 1, Result);
    logCall("run", server, Outcome, started);
    return After;
  };
  switch (status) {
  case CallStatus::NotSent:
    Parts.Connections.drop(server.Address);
    giveBack();
    return end(CallResult::Unreachable, "not_sent", Next::NotRun);
  case CallStatus::Broken:
    Tried.insert(server.Id);
    return end(CallResult::Failed, "broken", Next::Unknown);
  case CallStatus::Silent:
    Tried.insert(server.Id);
    return end(CallResult::TimedOut, "silent", Next::Unknown);
  case CallStatus::CallerLeft:
  case CallStatus::OutOfTime:
    if (From && !call.maySent())
      giveBack();
    return end(CallResult::Abandoned,
               status == CallStatus::CallerLeft ? "caller_left" : "out_of_time",
               call.maySent() ? Next::Unknown : Next::NotRun);
  case CallStatus::Answered:
    break;
  }
  const AnswerFacts &facts = call.facts();
  if (facts.Load)
    Parts.Known.onLoadReport(server.Id, *facts.Load);
  std::string code = std::to_string(call.head().Status);
  if (call.head().Status == 200 && facts.Signed && !facts.Encoded) {
    Next next = relayStream(call, server);
    return end(next == Next::Done ? CallResult::Succeeded : CallResult::Failed,
               next == Next::Done ? "streamed" : "broken_in_stream", next);
  }
  std::string body;
  status = call.readWhole(body, MostAnswerBytes);
  if (status == CallStatus::Answered)
    call.finish();
  if (facts.NotRun) {
    if (From)
      release(*From);
    // Without the prompt's memory nothing but the server itself can be the
    // cause. It has not run the request, so it doesn't count as used.
    if (!Where.Reservation.empty() && !From) {
      Parts.Known.refusedReserved(server.Id);
      Used.erase(server.Id);
    }
    return end(CallResult::Overloaded, "refused_" + code, Next::NotRun);
  }
  if (status != CallStatus::Answered || !facts.Signed || facts.Encoded ||
      HeadPassed || (Route.Resumable && Used.size() < Route.MaxServers)) {
    Tried.insert(server.Id);
    return end(CallResult::Failed, "unusable_" + code, Next::Unknown);
  }
  end(CallResult::Failed, "failure_" + code, Next::Done);
  Status = call.head().Status;
  internal::writeResponse(Sink, headOf(call), body);
  finish("answered", "the server failed the request");
  return Next::Done;
}

// Passes whole events on. Returns Unknown if the stream broke off and the
// caller still waits.
RequestRun::Next RequestRun::relayStream(ServerCall &Call,
                                         const ServerChoice &Server) {
  if (!HeadPassed) {
    Status = 200;
    Sink.begin(headOf(Call));
    HeadPassed = true;
  }
  EventSplitter events;
  bool end = false;
  CallStatus status = CallStatus::Answered;
  Milliseconds silence = timeLeft();
  if (Route.Resumable)
    silence = std::max(LeastSilence, Route.InterTokenTarget * SilenceInGaps);
  while (!end && status == CallStatus::Answered && !PassFailed) {
    std::string bytes;
    status = Call.readSome(bytes, end, silence);
    events.add(bytes);
    passEvents(events);
  }
  if (PassFailed || status == CallStatus::CallerLeft) {
    finish("caller_left", "the caller closed its connection");
    return Next::Done;
  }
  if (end && status == CallStatus::Answered) {
    Call.finish();
    if (!events.rest().empty())
      Sink.write(events.rest());
    Sink.end(true);
    if (Engine && Request.Generation)
      Parts.Known.outputEnded(Service, *Request.Generation,
                              EventsPassed * Engine->TokensPerEvent);
    finish("streamed", "");
    return Next::Done;
  }
  Tried.insert(Server.Id);
  return Next::Unknown;
}

bool RequestRun::passEvents(EventSplitter &Events) {
  std::string all;
  std::string event;
  while (Events.next(event)) {
    std::string id = Parts.Wire.EventId(event);
    if (!id.empty())
      LastEventId = id;
    ++EventsPassed;
    all += event;
  }
  if (all.empty())
    return true;
  TimePoint now = Clock::now();
  if (LastOutput)
    LongestPause =
        std::max(LongestPause,
                 std::chrono::duration_cast<Milliseconds>(now - *LastOutput));
  LastOutput = now;
  if (!FirstOutput) {
    FirstOutput = now;
    Parts.Metrics.observe(
        "first_output_seconds", Service,
        std::chrono::duration<double>(*FirstOutput - Arrived).count());
  }
  PassFailed = !Sink.write(all);
  return !PassFailed;
}

} // namespace crocusspur::gateway
