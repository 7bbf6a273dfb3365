// Streaming part of RequestHandler: reserves memory at a decode server, runs
// the prompt at a prefill server and starts the stream there.
#include "gateway/request_handler.h"

#include "gateway/decisions/routing/queue_terms.h"
#include "gateway/server_responses.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Rounds of reservation, prefill and stream for one request. Each after the
// first is a retry and draws on the retry budget.
constexpr int MaxRounds = 4;
constexpr int MaxPrefillAttempts = 2; // in one round
// A caller that was refused before is late anyway and waits for at most this
// long.
constexpr Milliseconds ReturningCallerMaxWait{2500};
// Servers asked for a reservation in one try: a fraction of them, since full
// servers refuse, but a minimum number.
constexpr size_t MinServersPerTry = 3;
constexpr size_t ServersPerTryDivisor = 4;
// Servers grant reservations from memory; one that is slower than this is
// overloaded or down.
constexpr Milliseconds ReserveTimeout{150};
// A prefill that takes longer than this many times the time expected at its
// server is retried at another one. A prompt that is read slowly is left to
// finish, since a repeat reads it all again.
constexpr int PrefillTimeoutFactor = 6;
// Lower bound, and the time-out at a server of unknown pace. Expectations lag
// behind a burst of requests, in which prompts queue.
constexpr Milliseconds MinPrefillTimeout{1000};
constexpr Milliseconds ReleaseTimeout{200};
constexpr Milliseconds QueuePollPeriod{10};
// Prompt tokens for which a prefill call counts as one unit of load; the size
// of a typical prompt.
constexpr double TokensPerLoadUnit = 5000;
// Retry-After for callers when no server is known.
constexpr Milliseconds NoServerRetryAfter{1000};
constexpr size_t MaxPrefillResponseBytes = 65536;

struct FailedCall {
  CallResult Result;
  const char *Outcome; // as logged
};

// Result of a call without a response that has no effect besides the time it
// took.
FailedCall failedCall(CallStatus Status) {
  switch (Status) {
  case CallStatus::NotSent:
    return {CallResult::Unreachable, "not_sent"};
  case CallStatus::ConnectionBroken:
    return {CallResult::Failed, "broken"};
  case CallStatus::TimedOut:
    return {CallResult::TimedOut, "silent"};
  case CallStatus::Responded:
  case CallStatus::CallerLeft:
  case CallStatus::DeadlineExceeded:
    break;
  }
  return {CallResult::Abandoned, "abandoned"};
}

} // namespace

void RequestHandler::runStream() {
  if (takesUpStream() && !Progress.version() && !resolveStreamVersion()) {
    refuseResumption("the stream's software version isn't known");
    return;
  }
  AttemptResult result = AttemptResult::NotExecuted;
  for (int round = 0; round < MaxRounds && !shouldStop() &&
                      !RetryBudgetExhausted && Progress.mayContinue();
       ++round) {
    if (shouldForward()) {
      dropTakeover();
      result = forward();
      if (result == AttemptResult::Done)
        return;
      MayHaveExecuted = MayHaveExecuted || result == AttemptResult::Unknown;
      if (result == AttemptResult::Unknown && !Route.Resumable)
        break;
      continue;
    }
    if (round > 0 && !Takeover && !tryConsumeRetry()) {
      RetryBudgetExhausted = true;
      break;
    }
    // After a refusal, the most likely cause is that the prompt's KV cache was
    // lost.
    bool wasRefused = result == AttemptResult::NotExecuted &&
                      !std::exchange(RefusedForWeights, false);
    result = tryStream(/*ReadAtDecode=*/round > 0 && wasRefused);
    if (result == AttemptResult::Done)
      return;
    MayHaveExecuted = MayHaveExecuted || result == AttemptResult::Unknown;
    if (result == AttemptResult::Unknown &&
        (!Route.Resumable || mayEndNextServer()))
      break;
  }
  dropTakeover();
  if (HeadSent) {
    abortStream(CrashRefusedFor ? CrashRefusalReason
                : AccessRefused ? reasonOf(*AccessRefused)
                : Progress.versionUncertain()
                    ? "its server's version is uncertain"
                : !Progress.mayContinue() ? "its last event has no id"
                : mayEndNextServer()      ? "its server ended with it"
                : RetryBudgetExhausted    ? "the retry allowance is used up"
                                       : "no server could continue the stream");
    return;
  }
  if (hasNoCaller())
    finish("caller_left", "the caller closed its connection");
  else if (MayHaveExecuted)
    fail(Waiter.pastDeadline() ? ErrorKind::BackendTimeout
                               : ErrorKind::BackendFailed,
         "the server's answer broke off");
  else if (CrashRefusedFor)
    refuseAsCrashing();
  else if (AccessRefused)
    refuseAccess();
  else
    refuse(ErrorKind::BackendRefused, "no server took the request",
           NoServerRetryAfter);
}

void RequestHandler::abortStream(const std::string &Why) {
  if (!Waiter.callerLeft())
    awaitUncertaintyRecorded();
  Sink.end(false);
  if (Context.Runs && !Waiter.callerLeft())
    ++Context.Runs->Incomplete;
  finish(Waiter.callerLeft() ? "caller_left" : "broken", Why);
}

void RequestHandler::dropTakeover() {
  if (Takeover)
    release(*std::exchange(Takeover, std::nullopt));
}

RequestHandler::AttemptResult RequestHandler::tryStream(bool ReadAtDecode) {
  if (!Takeover && requiredVersion() && !hasOutputServer()) {
    const char *why = "no server of the stream's software version is left";
    if (HeadSent)
      abortStream(why);
    else if (MayHaveExecuted)
      fail(ErrorKind::BackendFailed, why);
    else if (Progress.version())
      refuseResumption(why);
    else // a new attempt of the caller is a stream of its own
      refuse(ErrorKind::BackendRefused, why, NoServerRetryAfter);
    return AttemptResult::Done;
  }
  std::optional<DecodeReservation> reservation =
      std::exchange(Takeover, std::nullopt);
  if (!reservation)
    reservation = reserveDecode([this](Milliseconds Time) {
      Waiter.pause(Time);
      return true;
    });
  if (!reservation && shouldForward())
    return AttemptResult::NotExecuted;
  if (!reservation) {
    if (hasNoCaller()) {
      finish("caller_left", "the caller left while waiting for a reservation");
      return AttemptResult::Done;
    }
    if (HeadSent) {
      abortStream(AccessRefused ? reasonOf(*AccessRefused)
                                : "no reservation to continue the stream");
      return AttemptResult::Done;
    }
    if (MayHaveExecuted) {
      fail(ErrorKind::BackendFailed, "no place for a repeat");
      return AttemptResult::Done;
    }
    if (CrashRefusedFor) {
      refuseAsCrashing();
      return AttemptResult::Done;
    }
    if (AccessRefused) {
      refuseAccess();
      return AttemptResult::Done;
    }
    if (LimitedUntil) {
      refuseForLimits();
      return AttemptResult::Done;
    }
    bool known = knowsOutputServer();
    Milliseconds drain = Context.Queues.drainTime(Service);
    // Callers honor a Retry-After of up to a third of their remaining time.
    refuse(known ? ErrorKind::DeadlineUnreachable : ErrorKind::NoServer,
           Rejected ? "no memory for the output is expected in time"
           : known  ? "no memory for the output became free in time"
                    : "no server is known",
           known ? retryAfter(drain, timeLeft() / 3,
                              Context.Directory.randomFraction())
                 : NoServerRetryAfter);
    return AttemptResult::Done;
  }
  ServerCall call(Context.Connections, Context.Codec, Context.Limits, Waiter);
  ProcessCheck check = identify(call, reservation->Server, mustIdentify());
  recordOrigin(reservation->Server, check);
  std::optional<PromptKvCache> kvCache;
  // Without a retry for it, the decode server reads the prompt.
  if (!ReadAtDecode && (!PrefillAccepted || tryConsumeRetry()))
    kvCache = runPrefill();
  if (shouldStop() || RetryBudgetExhausted) {
    call.keepUnused();
    release(*reservation);
    if (kvCache)
      release(*kvCache);
    return AttemptResult::NotExecuted;
  }
  return startStream(call, check, *reservation, kvCache);
}

std::optional<RequestHandler::DecodeReservation>
RequestHandler::selectUnreservedDecode() {
  LimitedUntil.reset();
  for (ServerStage stage : {ServerStage::Decode, ServerStage::Whole})
    for (const ServerChoice &it : Context.Directory.rank(outputQuery(stage)))
      if (mayUse(it.Id) && tryAcquire(it.Id, 1))
        return DecodeReservation{it, "", TimePoint(), /*Permitted=*/true};
  return std::nullopt;
}

bool RequestHandler::isAdmitted(const QueueEntry &Entry) {
  AdmissionDecision decision =
      Context.Queues.decide(Service, Entry, Context.Directory.randomFraction());
  if (decision.Admitted)
    return true;
  Rejected = true;
  Context.Queues.countStream(Service, Entry.Priority,
                             ReservationQueues::QueueOutcome::Rejected);
  // Role decisions must see the demand.
  Context.Directory.onReservationEnded(Service, Milliseconds(0),
                                       /*Got=*/false);
  internal::LogFields all = fields();
  all.emplace_back("priority", std::to_string(Entry.Priority));
  all.emplace_back("ranks_above", std::to_string(Entry.Rank.Above));
  all.emplace_back("chance", std::to_string(decision.Chance));
  all.emplace_back("admitted_share", std::to_string(decision.AdmittedShare));
  log(LogLevel::Info, "request", "request rejected on arrival", all);
  return false;
}

// Waits in the queue until a decode server reserves memory for the request or
// the queue entry expires.
std::optional<RequestHandler::DecodeReservation>
RequestHandler::reserveDecode(const WaitHook &Wait) {
  if (!Engine || Engine->MaxReservation == Milliseconds(0) ||
      !Request.Generation)
    return selectUnreservedDecode();
  const GenerationSize &size = *Request.Generation;
  uint64_t tokens =
      Context.Directory.reservedTokens(Service, size, Engine->CapacityTokens);
  QueueEntry entry =
      streamTerms(Route, size, position(), Request.Account, Arrived);
  bool isNew =
      !HeadSent && !Returning && !Progress.version() && !LeavesSilentRun;
  if (!isNew)
    entry.ExpiresAt = std::min(Deadline, Clock::now() + ReturningCallerMaxWait);
  if (HeadSent && entry.Rank.differs()) {
    entry.Priority = 0;
    entry.OnTimeDeadline = entry.ExpiresAt;
  }
  LimitedUntil.reset();
  TimePoint joined = Clock::now();
  if (Context.Queues.wouldTimeOut(Service, entry))
    return std::nullopt;
  Context.Directory.onMemoryRequested(Service, tokens);
  if (entry.Rank.differs() && isNew && !isAdmitted(entry))
    return std::nullopt;
  bool contended = Context.Queues.isContended(Service); // on arrival
  uint64_t ticket = Context.Queues.join(Service, entry);
  std::optional<DecodeReservation> reservation;
  uint32_t tries = 0;
  bool waits = true;
  while (!reservation && waits && knowsOutputServer() && !shouldStop() &&
         !shouldForward() &&
         std::max(Clock::now(), LimitedUntil.value_or(TimePoint())) <
             entry.ExpiresAt) {
    if (Context.Queues.tryStartAttempt(Service, ticket)) {
      reservation = tryReserveDecode(tokens);
      Context.Queues.onAttemptEnded(Service, ticket);
      ++tries;
    }
    if (!reservation)
      waits = Wait(QueuePollPeriod);
  }
  if (reservation)
    Context.Queues.onGranted(Service, ticket);
  Context.Queues.leave(Service, ticket);
  Context.Queues.countStream(Service, entry.Priority,
                             reservation
                                 ? ReservationQueues::QueueOutcome::Granted
                                 : ReservationQueues::QueueOutcome::Refused);
  auto waited = std::chrono::duration_cast<Milliseconds>(Clock::now() - joined);
  if (!Returning)
    Context.Directory.onReservationEnded(Service, waited,
                                         reservation.has_value());
  Context.Metrics.observe("reservation_wait_seconds", Service,
                          static_cast<double>(waited.count()) / 1000);
  internal::LogFields all = fields();
  all.emplace_back("server", reservation ? reservation->Server.Id : "");
  all.emplace_back("prompt_tokens", std::to_string(size.PromptTokens));
  all.emplace_back("tokens", std::to_string(tokens));
  all.emplace_back("waited_ms", std::to_string(waited.count()));
  all.emplace_back("tries", std::to_string(tries));
  all.emplace_back("returning", Returning ? "true" : "false");
  all.emplace_back("priority", std::to_string(entry.Priority));
  if (!entry.Account.empty())
    all.emplace_back("account", entry.Account);
  all.emplace_back("ranks_above", std::to_string(entry.Rank.Above));
  all.emplace_back("ranks_below", std::to_string(entry.Rank.Below));
  all.emplace_back("contended", contended ? "true" : "false");
  log(LogLevel::Info, "request",
      reservation ? "reservation granted" : "no reservation", all);
  return reservation;
}

std::optional<RequestHandler::DecodeReservation>
RequestHandler::tryReserveDecode(uint64_t Tokens) {
  std::vector<ServerChoice> ranked =
      Context.Directory.rank(outputQuery(ServerStage::Decode));
  std::erase_if(ranked, [&](const ServerChoice &It) { return !mayUse(It.Id); });
  size_t most =
      std::max(MinServersPerTry, ranked.size() / ServersPerTryDivisor);
  std::vector<ServerChoice> order =
      Context.Directory.serverSubset(Service, ranked, Tokens, most);
  // Others take the places of servers that may be at their request limits.
  bool limited = std::ranges::any_of(order, [&](const ServerChoice &It) {
    return Context.Limits.find(It.Id).has_value();
  });
  for (const ServerChoice &it : ranked)
    if (limited &&
        std::ranges::find(order, it.Id, &ServerChoice::Id) == order.end())
      order.push_back(it);
  LimitedUntil.reset();
  if (ranked.empty())
    noteResting(outputQuery(ServerStage::Decode));
  size_t asked = 0;
  size_t full = 0; // of those asked, refused
  auto taken = [started = Clock::now()] {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
  };
  for (const ServerChoice &server : order) {
    if (shouldStop() || shouldForward() || asked == most)
      break;
    // Earlier calls may have taken long.
    if (!Context.Directory.usable(server))
      continue;
    // One for the reservation and one for the run.
    if (!tryAcquire(server.Id, 2))
      continue;
    ++asked;
    ServerCall call(Context.Connections, Context.Codec, Context.Limits, Waiter);
    Context.Directory.callStarted(server, 0);
    CallStatus status = call.start(
        server,
        Context.Codec.FormatReserve(server, Tokens, Engine->MaxReservation),
        "POST", "", ReserveTimeout, /*Permitted=*/true);
    countHungConnect(call);
    std::string body;
    if (status == CallStatus::Responded)
      status = call.readWhole(body, MaxPrefillResponseBytes, ReserveTimeout);
    if (status != CallStatus::Responded) {
      Context.Directory.callEnded(server, 0, failedCall(status).Result);
      Context.Limits.release(server.Id, 1);
      continue;
    }
    call.finish();
    std::optional<std::string> name;
    if (call.head().Status == 200)
      name = Context.Codec.ParseReservation(body);
    Context.Directory.callEnded(
        server, 0, name ? CallResult::Succeeded : resultOfRefusal(call.info()));
    if (call.info().Misdirected)
      Context.Directory.onStageRefused(server, ServerStage::Decode,
                                       /*Misdirected=*/true);
    full += name || call.info().Misdirected ? 0 : 1;
    DecodeReservation granted{server, name.value_or(""),
                              Clock::now() + Engine->MaxReservation,
                              /*Permitted=*/true};
    // The response may say that the server leaves.
    if (name && Context.Directory.usable(server)) {
      Context.Queues.onAttemptAnswered(Service, /*Granted=*/true, taken());
      return granted;
    }
    release(granted);
  }
  if (asked > 0)
    LimitedUntil.reset();
  if (full > 0 && full == asked)
    Context.Queues.onAttemptAnswered(Service, /*Granted=*/false, taken());
  return std::nullopt;
}

// Returns nullopt if the decode server has to read the prompt itself. The first
// prefill that a server accepts isn't a retry; in a later round, tryStream()
// has charged it. After a prefill that wasn't accepted, the next call is one,
// whether to another prefill server or to the decode server.
std::optional<RequestHandler::PromptKvCache> RequestHandler::runPrefill() {
  std::set<std::string> excluded = Tried;
  if (Request.Generation)
    Context.Directory.onPrompt(Service, Request.Generation->PromptTokens);
  for (int i = 0; i < MaxPrefillAttempts && !shouldStop(); ++i) {
    std::optional<ServerChoice> server = choosePrefill(excluded);
    if (!server) {
      LimitedUntil.reset(); // the decode server isn't at its limit
      return std::nullopt;
    }
    excluded.insert(server->Id);
    std::optional<PromptKvCache> kvCache = tryPrefill(*server);
    if (kvCache)
      return kvCache;
    if (PrefillSent && !tryConsumeRetry()) {
      RetryBudgetExhausted = true;
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<ServerChoice>
RequestHandler::choosePrefill(const std::set<std::string> &Excluded) {
  Placement = {};
  uint64_t tokens = Request.Generation ? Request.Generation->PromptTokens : 0;
  if (Context.Dispatch && tokens > 0 && !DispatchTried) {
    DispatchTried = true;
    Placement =
        Context.Dispatch->choose({Service, ServerStage::Prefill, Excluded, {}},
                                 tokens, Context.Directory.randomFraction());
    if (Placement.Server && tryAcquire(Placement.Server->Id, 1)) {
      Context.Dispatch->onPlaced(/*ByOwner=*/true);
      return Placement.Server;
    }
    if (Placement.Server)
      Placement.Outcome = DispatchOutcome::AtLimit;
    Placement.Server.reset();
    Placement.Wait = Milliseconds(0);
    Context.Dispatch->onPlaced(/*ByOwner=*/false);
  }
  std::optional<ServerChoice> server =
      choosePermitted(ServerStage::Prefill, Excluded, Milliseconds(0));
  Placement.Duration.reset();
  if (server && tokens > 0)
    Placement.Duration = Context.Directory.expectedDuration(
        server->Id, static_cast<double>(tokens));
  return server;
}

Milliseconds RequestHandler::prefillTimeout(const ServerChoice &Server) const {
  std::optional<Milliseconds> expected;
  if (Request.Generation)
    expected = Context.Directory.expectedDuration(
        Server.Id, static_cast<double>(Request.Generation->PromptTokens));
  return std::min(timeLeft(), std::max(MinPrefillTimeout,
                                       expected.value_or(Milliseconds(0)) *
                                           PrefillTimeoutFactor));
}

std::optional<RequestHandler::PromptKvCache>
RequestHandler::tryPrefill(const ServerChoice &Server) {
  TimePoint started = Clock::now();
  double weight = Request.Generation
                      ? static_cast<double>(Request.Generation->PromptTokens) /
                            TokensPerLoadUnit
                      : 1;
  ForwardOptions order = optionsFor(Server);
  order.PrefillOnly = true;
  Milliseconds timeout = prefillTimeout(Server);
  ServerCall call(Context.Connections, Context.Codec, Context.Limits, Waiter);
  Context.Directory.callStarted(Server, weight);
  RunTracker::Id run = trackRun(Server, /*Answers=*/false);
  CallStatus status =
      call.start(Server, Context.Codec.FormatRequest(Request, order),
                 Request.Method, Request.Id, timeout,
                 /*Permitted=*/true);
  PrefillSent = call.maySent();
  std::string body;
  if (status == CallStatus::Responded)
    status = call.readWhole(body, MaxPrefillResponseBytes, timeout);
  auto end = [&](CallResult Result, const std::string &Outcome) {
    Context.Directory.callEnded(Server, weight, Result);
    logCall("prefill", Server, call, Outcome, started);
    endRun(run, Server, status, RunEnd::NoEvidence);
  };
  if (status != CallStatus::Responded) {
    if (status == CallStatus::NotSent)
      Context.Connections.drop(Server.Address);
    // It takes at least this long.
    if (status == CallStatus::TimedOut && Request.Generation)
      Context.Directory.onCallTimed(
          Server, static_cast<double>(Request.Generation->PromptTokens),
          timeout);
    end(failedCall(status).Result, failedCall(status).Outcome);
    return std::nullopt;
  }
  std::optional<ServerLoad> load = call.info().Load;
  if (load)
    Context.Directory.onLoadReport(Server, *load);
  call.finish();
  std::string code = std::to_string(call.head().Status);
  std::optional<PrefillResult> done;
  if (call.head().Status == 200)
    done = Context.Codec.ParsePrefill(body);
  if (!done) {
    end(call.info().NotExecuted ? resultOfRefusal(call.info())
                                : CallResult::Failed,
        "refused_" + code);
    // A server with other weights refuses in the same way as one that isn't in
    // the stage.
    bool misdirected = call.info().Misdirected;
    if (call.info().NotExecuted && !(misdirected && order.ExpectedWeights))
      Context.Directory.onStageRefused(Server, ServerStage::Prefill,
                                       misdirected);
    return std::nullopt;
  }
  PrefillAccepted = true;
  end(CallResult::Succeeded, "answered_" + code);
  if (Request.Generation) {
    auto taken =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
    Context.Directory.onPrefillFinished(
        Service, Request.Generation->PromptTokens, taken);
    Context.Directory.onCallTimed(
        Server, static_cast<double>(Request.Generation->PromptTokens), taken);
    if (Context.Dispatch)
      Context.Dispatch->onPrefillEnded(Server, Request.Generation->PromptTokens,
                                       taken, load, Placement);
  }
  PromptKvCache cache{Server, done->Handle, done->Weights};
  if (order.ExpectedWeights && cache.Weights &&
      cache.Weights != order.ExpectedWeights) {
    release(cache);
    return std::nullopt;
  }
  return cache;
}

void RequestHandler::sendRelease(const ServerChoice &Server,
                                 const std::string &Bytes, bool Permitted) {
  std::string body;
  if (callServer(Context.Connections, Context.Codec, Context.Limits, Server,
                 Bytes, "DELETE", ReleaseTimeout, MaxPrefillResponseBytes, body,
                 Permitted) == 0)
    log(LogLevel::Warn, "request", "releasing memory at a server failed",
        {{"request", Request.Id},
         {"server", Server.Id},
         {"why", "no response; the server frees it on expiry"}});
}

void RequestHandler::release(const DecodeReservation &Target) {
  if (!Target.Reservation.empty() && Clock::now() < Target.ReservedUntil)
    sendRelease(Target.Server,
                Context.Codec.FormatReleaseReservation(Target.Server,
                                                       Target.Reservation),
                Target.Permitted);
  else if (Target.Permitted)
    Context.Limits.release(Target.Server.Id, 1);
}

void RequestHandler::release(const PromptKvCache &Cache) {
  sendRelease(Cache.Server,
              Context.Codec.FormatReleaseKvCache(Cache.Server, Cache.Handle),
              /*Permitted=*/false);
}

RequestHandler::AttemptResult
RequestHandler::startStream(ServerCall &Call, ProcessCheck Recorded,
                            const DecodeReservation &Target,
                            const std::optional<PromptKvCache> &Cache) {
  TimePoint started = Clock::now();
  const ServerChoice &server = Target.Server;
  // The call takes over the permit.
  DecodeReservation unused = Target;
  auto releaseAll = [&] {
    release(unused);
    if (Cache)
      release(*Cache);
  };
  if (!Context.Directory.usable(server)) {
    Call.keepUnused();
    releaseAll();
    return AttemptResult::NotExecuted;
  }
  bool mayBeOld = Route.Resumable && Context.Directory.entriesMayBeOld();
  // Its connection may have been closed since.
  ProcessCheck check = identify(Call, server, mustIdentify());
  if (check != Recorded)
    recordOrigin(server, check);
  // Old entries tell versions only of processes that are confirmed.
  bool isKnown = check == ProcessCheck::Same ||
                 (check == ProcessCheck::Unknown && !mayBeOld);
  if (Progress.begun()) {
    confirmFirstRun();
    if (!isKnown || !isChosenProcess(check, server) ||
        Progress.versionUncertain()) {
      Call.keepUnused();
      releaseAll();
      Tried.insert(server.Id);
      return AttemptResult::NotExecuted;
    }
  }
  ForwardOptions order = optionsFor(server);
  order.Reservation = Target.Reservation;
  if (Cache) {
    order.KvSource =
        Context.Codec.FormatKvSource(Cache->Server.Address, Cache->Handle);
    // What other weights have read is of no use to the server.
    if (!order.ExpectedWeights)
      order.ExpectedWeights = Cache->Weights;
  }
  Context.Directory.callStarted(server, 1);
  RunTracker::Id run = trackRun(server, /*Answers=*/true);
  RunEnd runEnd = RunEnd::NoEvidence;
  CallStatus status =
      Call.start(server, Context.Codec.FormatRequest(Request, order),
                 Request.Method, Request.Id, stallTimeout(), Target.Permitted);
  unused.Permitted = false;
  if (Call.maySent())
    Used.insert(server.Id);
  if (status == CallStatus::TimedOut && Route.Resumable)
    awaitSilentRun(server, [&](Milliseconds Time) {
      status = Call.awaitHead(Time);
      return status == CallStatus::TimedOut;
    });
  TimePoint answeredAt = Clock::now();
  auto end = [&](CallResult Result, const std::string &Outcome,
                 AttemptResult After) {
    Context.Directory.callEnded(server, 1, Result);
    logCall("run", server, Call, Outcome, started);
    if (runEnd == RunEnd::Completed)
      onAnswerSurvived(run, answeredAt);
    endRun(run, server, status, runEnd);
    return After;
  };
  switch (status) {
  case CallStatus::NotSent:
    Context.Connections.drop(server.Address);
    releaseAll();
    return end(CallResult::Unreachable, "not_sent", AttemptResult::NotExecuted);
  case CallStatus::ConnectionBroken:
    Tried.insert(server.Id);
    return end(CallResult::Failed, "broken", AttemptResult::Unknown);
  case CallStatus::TimedOut:
    Tried.insert(server.Id);
    return end(CallResult::TimedOut, "silent", AttemptResult::Unknown);
  case CallStatus::CallerLeft:
  case CallStatus::DeadlineExceeded:
    if (Cache && !Call.maySent())
      releaseAll();
    return end(CallResult::Abandoned,
               status == CallStatus::CallerLeft ? "caller_left" : "out_of_time",
               Call.maySent() ? AttemptResult::Unknown
                              : AttemptResult::NotExecuted);
  case CallStatus::Responded:
    break;
  }
  const ResponseInfo &info = Call.info();
  if (info.Load)
    Context.Directory.onLoadReport(server, *info.Load);
  std::string code = std::to_string(Call.head().Status);
  if (Call.head().Status == 200 && info.Signed && !info.Encoded &&
      continuesStream(Call.head().find("Content-Type"))) {
    if (!Progress.begun())
      Unproven = isKnown || check == ProcessCheck::Replaced
                     ? std::nullopt
                     : std::optional(UnprovenRun{processOf(server), started});
    AttemptResult result =
        relayStream(Call, server, run, {isKnown, check, started});
    if (result != AttemptResult::Done)
      status = CallStatus::ConnectionBroken;
    else if (!CallerWriteFailed && !Waiter.callerLeft())
      runEnd = RunEnd::Completed;
    return end(result == AttemptResult::Done ? CallResult::Succeeded
                                             : CallResult::Failed,
               result == AttemptResult::Done ? "streamed" : "broken_in_stream",
               result);
  }
  std::string body;
  MemoryHold hold = makeHold(MemoryUse::Response);
  bool whole = info.NotExecuted;
  status = whole ? Call.discardBody(MaxDiscardedBytes)
                 : readHeld(Call, body, whole, hold);
  if (status == CallStatus::Responded && !whole)
    status = CallStatus::ConnectionBroken;
  if (status == CallStatus::Responded)
    Call.finish();
  if (info.NotExecuted) {
    if (Cache)
      release(*Cache);
    // Its weights are others.
    if (info.Misdirected && Progress.begun() && order.ExpectedWeights) {
      Tried.insert(server.Id);
      RefusedForWeights = true;
    }
    // Without a KV cache as input, only the server itself can be the cause. It
    // hasn't executed the request, so it doesn't count as used.
    if (!Target.Reservation.empty() && !Cache) {
      Context.Directory.onReservedRequestRefused(server);
      Used.erase(server.Id);
    }
    return end(resultOfRefusal(info), "refused_" + code,
               AttemptResult::NotExecuted);
  }
  if (status != CallStatus::Responded || !info.Signed || info.Encoded ||
      HeadSent || Call.head().Status == 200 ||
      (Route.Resumable && Used.size() < Route.MaxServers)) {
    Tried.insert(server.Id);
    return end(CallResult::Failed, "unusable_" + code, AttemptResult::Unknown);
  }
  runEnd = endOfResponse(Call.head().Status);
  end(CallResult::Failed, "failure_" + code, AttemptResult::Done);
  Status = Call.head().Status;
  internal::writeResponse(Sink, responseHead(Call, server), body);
  finish("answered", "the server failed the request");
  return AttemptResult::Done;
}

} // namespace crocusspur::gateway
