// Relaying part of RequestHandler: passes the events of a run on, waits for
// silent runs, and ends or leaves a run.
#include "gateway/memory_log.h"
#include "gateway/request_handler.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// A resumable stream continues at another server if no event arrives for this
// many times its longest allowed pause.
constexpr int StallTimeoutInGaps = 5;
constexpr Milliseconds MinStallTimeout{1200};
// Callers abandon a stream after a gap of two seconds, four times its latency
// target or eight times its longest allowed pause, whichever is longest. No
// run is waited for after that and the time on the way.
constexpr Milliseconds MinCallerPatience{2000};
constexpr int CallerPatienceInTargets = 4;
constexpr int CallerPatienceInGaps = 8;
constexpr Milliseconds CallerPatienceMargin{500};
// While a run is silent, its server's entry is looked up this often: a caller
// may leave and take the stream up elsewhere, where a record that its version
// is uncertain has to be by then. Events are more frequent, so that a run that
// speaks isn't woken for it.
constexpr Milliseconds ProcessCheckPeriod{100};
// Streams last many seconds, and a server may become slow within one of them.
constexpr Milliseconds DecodeSampleTime{500};
// Events hold some tokens each. The stream counts as broken beyond it.
constexpr size_t MaxEventBytes = 1048576;
// Within what each call may use.
constexpr size_t UnheldEventBytes = 32768;
// The part of an event that has arrived is kept in a buffer of up to twice its
// size, and in the one before while that grows.
constexpr size_t EventMemoryFactor = 3;

} // namespace

// Forwards whole events. Returns Unknown if the stream broke off and the caller
// is still connected. A stream that ends inside an event has broken off, even
// if its body is complete: a web server ends the body when the program behind
// it fails.
RequestHandler::AttemptResult
RequestHandler::relayStream(ServerCall &Call, const ServerChoice &Server,
                            RunTracker::Id Run, RunIdentity Identity) {
  std::optional<VersionKey> version;
  if (Identity.IsKnown)
    version = versionKeyOf(Server.Version);
  RecordsBegin = !Origin || !Origin->Request.SenderRecordsVersion;
  if (!HeadSent) {
    Status = 200;
    if (Origin && version) {
      PinnedVersion = version;
      // Without an id if the process has said itself which one it is.
      ServerProcess begunAt = Identity.Check == ProcessCheck::Same
                                  ? ServerProcess()
                                  : processOf(Server);
      Origin->OnOutputVersion(*version, RecordsBegin ? std::nullopt
                                                     : std::optional(begunAt));
    }
    Sink.begin(responseHead(Call, Server));
    HeadSent = true;
  }
  RelayedRun run;
  run.Id = Run;
  const std::string lastIdBefore = Progress.lastEventId();
  run.OnKeptConnection = Call.usedKeptConnection();
  run.OpenedAt = Call.openedAt();
  run.SentAt = Identity.SentAt;
  run.Number = Progress.begin(version, Identity.Check == ProcessCheck::Same,
                              Call.info().Weights);
  EventHold.reset();
  while (!run.End && run.Status == CallStatus::Responded &&
         !CallerWriteFailed) {
    readEvents(Call, Server, run, Clock::now() + stallTimeout());
    if (run.Status == CallStatus::TimedOut && Route.Resumable)
      awaitSilentRun(Server, [&](Milliseconds Time) {
        readEvents(Call, Server, run, Clock::now() + Time);
        return run.Status == CallStatus::TimedOut;
      });
  }
  logRunEnded(Server.Id, lastIdBefore);
  if (CallerWriteFailed || run.Status == CallStatus::CallerLeft) {
    // The caller may take the stream up elsewhere.
    confirmRunVersion(Server, run);
    finish("caller_left", "the caller closed its connection");
    return AttemptResult::Done;
  }
  bool ended = run.End && run.Status == CallStatus::Responded;
  bool inside = Progress.insideEvent();
  if (ended && inside)
    logEndInsideEvent(Server.Id);
  bool complete =
      ended && !inside &&
      confirmEnd(Call, Server, /*MayRunElsewhere=*/Route.Resumable) ==
          CallStatus::Responded;
  if (!complete && confirmRunVersion(Server, run) && !Progress.continues() &&
      Progress.begun())
    judgeFirstRun(Server, run);
  if (Progress.end(run.Number,
                   complete ? RunOutcome::Complete : RunOutcome::BrokenOff) ==
      StreamEnd::Complete) {
    Call.finish();
    if (!Progress.rest().empty())
      Sink.write(Progress.rest());
    Sink.end(true);
    if (Engine && Request.Generation)
      Context.Directory.onOutputFinished(Service, *Request.Generation,
                                         Progress.passed() *
                                             Engine->TokensPerEvent);
    finish("streamed", "");
    return AttemptResult::Done;
  }
  Tried.insert(Server.Id);
  return AttemptResult::Unknown;
}

Milliseconds RequestHandler::stallTimeout() const {
  if (!Route.Resumable)
    return timeLeft();
  return std::min(
      timeLeft(),
      std::max(MinStallTimeout, Route.InterTokenTarget * StallTimeoutInGaps));
}

Milliseconds RequestHandler::callerPatience() const {
  return std::max({MinCallerPatience,
                   Route.LatencyTarget * CallerPatienceInTargets,
                   Route.InterTokenTarget * CallerPatienceInGaps}) +
         CallerPatienceMargin;
}

void RequestHandler::readEvents(ServerCall &Call, const ServerChoice &Server,
                                RelayedRun &Run, TimePoint Until) {
  uint64_t passed = Progress.passed();
  Run.Status = CallStatus::Responded;
  // Only whole events are progress.
  while (!Run.End && Run.Status == CallStatus::Responded &&
         Progress.passed() == passed && !CallerWriteFailed) {
    std::string bytes;
    TimePoint now = Clock::now();
    TimePoint until = std::min(std::max(Until, now), now + ProcessCheckPeriod);
    Run.Status = Call.readSome(bytes, Run.End,
                               std::chrono::ceil<Milliseconds>(until - now));
    now = Clock::now();
    if (Run.Status == CallStatus::TimedOut && now < Until)
      Run.Status = CallStatus::Responded;
    bool checks =
        !bytes.empty() || now - Run.ProcessCheckedAt >= ProcessCheckPeriod;
    if ((checks && !confirmRunVersion(Server, Run)) ||
        (!bytes.empty() && !forwardEvents(Run.Number, bytes, Server.Id)))
      Run.Status = CallStatus::ConnectionBroken;
    if (Run.Status == CallStatus::Responded && !Run.End)
      seekProof(Server, Run);
    if (Progress.passed() > passed)
      onEventsForwarded(Server, Run);
    else if (!Run.End && Run.Status == CallStatus::Responded && now >= Until)
      Run.Status = CallStatus::TimedOut;
  }
}

void RequestHandler::onEventsForwarded(const ServerChoice &Server,
                                       RelayedRun &Run) {
  TimePoint now = Clock::now();
  if (!Run.SampledAt) {
    Run.SampledAt = now;
    Run.EventsBeforeSample = Progress.passed();
  } else if (now - *Run.SampledAt >= DecodeSampleTime) {
    Context.Directory.onCallTimed(
        Server, static_cast<double>(Progress.passed() - Run.EventsBeforeSample),
        std::chrono::duration_cast<Milliseconds>(now - *Run.SampledAt));
    Run.SampledAt = now;
    Run.EventsBeforeSample = Progress.passed();
  }
  if (!Run.BegunAt)
    Run.BegunAt = now;
  else if (now >= *Run.BegunAt + AnswerSurvivalTime)
    onAnswerSurvived(Run.Id, *Run.BegunAt);
}

void RequestHandler::awaitSilentRun(const ServerChoice &Server,
                                    const WaitHook &Wait) {
  Milliseconds before = stallTimeout(); // of silence
  TimePoint started = Clock::now();
  TimePoint until = started + callerPatience() - before;
  bool leaves = false;
  bool silent = true;
  auto wait = [&](Milliseconds Time) { return silent = Wait(Time); };
  while (silent && !leaves && !shouldStop() && Clock::now() < until) {
    // Where nothing may follow its events, it is only waited for.
    if (Progress.versionUncertain() || mayNotBeFollowed(Server))
      leaves = false;
    else if (shouldForward())
      leaves = !Context.Forwarding->Select(Service).empty();
    else
      leaves = reserveElsewhere(Server, wait);
    TimePoint now = Clock::now();
    if (silent && !leaves)
      wait(std::min(stallTimeout(), std::chrono::ceil<Milliseconds>(
                                        std::max(until, now) - now)));
  }
  auto waited =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
  internal::LogFields all = fields();
  all.emplace_back("server", Server.Id);
  all.emplace_back("silent_ms", std::to_string((before + waited).count()));
  all.emplace_back("outcome", leaves    ? "given_up"
                              : !silent ? "went_on"
                                        : "ended");
  log(LogLevel::Info, "request", "waited for a silent server", all);
}

bool RequestHandler::reserveElsewhere(const ServerChoice &Server,
                                      const WaitHook &Wait) {
  bool wasTried = !Tried.insert(Server.Id).second;
  bool silent = true;
  LeavesSilentRun = true;
  if (mayUseAnotherOutputServer())
    Takeover =
        reserveDecode([&](Milliseconds Time) { return silent = Wait(Time); });
  LeavesSilentRun = false;
  silent = silent && (!Takeover || Wait(Milliseconds(0)));
  if (Takeover && silent && tryConsumeRetry())
    return true;
  dropTakeover();
  if (!wasTried)
    Tried.erase(Server.Id);
  return false;
}

void RequestHandler::logRunEnded(const std::string &Source,
                                 const std::string &LastIdBefore) const {
  uint64_t before = Progress.passedBeforeRun();
  internal::LogFields all = fields();
  all.emplace_back("from", Source);
  all.emplace_back("events_before", std::to_string(before));
  all.emplace_back("events", std::to_string(Progress.passed() - before));
  all.emplace_back("last_id_before", LastIdBefore);
  all.emplace_back("last_id", Progress.lastEventId());
  all.emplace_back("line_end", nameOf(Progress.lineEnd()));
  all.emplace_back("inside_line_end", Progress.insideLineEnd() ? "yes" : "no");
  all.emplace_back("rest_bytes", std::to_string(Progress.rest().size()));
  log(LogLevel::Info, "request", "run of a stream ended", all);
}

void RequestHandler::countGivenUp(RunFault Fault) const {
  if (Context.Runs)
    ++Context.Runs->GivenUp[static_cast<size_t>(Fault)];
}

void RequestHandler::logEndInsideEvent(const std::string &Source) const {
  internal::LogFields all = fields();
  all.emplace_back("from", Source);
  all.emplace_back("events", std::to_string(Progress.passed()));
  all.emplace_back("last_event_id", Progress.lastEventId());
  log(LogLevel::Warn, "request", "the stream ended inside an event", all);
}

bool RequestHandler::continuesStream(const std::string *ContentType) {
  if (Progress.acceptType(ContentType))
    return true;
  internal::LogFields all = fields();
  all.emplace_back("content_type", ContentType ? *ContentType : "");
  all.emplace_back("events", std::to_string(Progress.passed()));
  log(LogLevel::Warn, "request", "the response isn't the stream", all);
  return false;
}

bool RequestHandler::forwardEvents(RunNumber Run, std::string_view Bytes,
                                   const std::string &Source) {
  size_t kept = Progress.rest().size() + Bytes.size();
  size_t most = MaxEventBytes;
  // Asked for in doubling steps, so that the budget is rarely used.
  if (kept > UnheldEventBytes && kept * EventMemoryFactor > EventHold.size() &&
      !EventHold.growTo(kept * 2 * EventMemoryFactor)) {
    logMemoryRefused(Context.Memory, MemoryUse::Event, Source);
    most = UnheldEventBytes;
  }
  PassedEvents passed = Progress.add(Run, Bytes, most);
  bool speaks = passed.Fault == RunFault::None;
  if (!speaks) {
    countGivenUp(passed.Fault);
    internal::LogFields all = fields();
    all.emplace_back("from", Source);
    all.emplace_back("why", nameOf(passed.Fault));
    all.emplace_back("id", passed.FaultyId);
    all.emplace_back("last_event_id", Progress.lastEventId());
    log(LogLevel::Warn, "request", "a run of the stream was given up", all);
  }
  if (passed.Count == 0)
    return speaks;
  if (Context.Runs &&
      Progress.passed() == Progress.passedBeforeRun() + passed.Count &&
      Progress.continues())
    ++Context.Runs->Continued;
  recordBegin();
  recordUncertainty();
  TimePoint now = Clock::now();
  if (LastOutput)
    LongestPause =
        std::max(LongestPause,
                 std::chrono::duration_cast<Milliseconds>(now - *LastOutput));
  LastOutput = now;
  if (!FirstOutput) {
    FirstOutput = now;
    Context.Metrics.observe(
        "first_output_seconds", Service,
        std::chrono::duration<double>(*FirstOutput - Arrived).count());
  }
  CallerWriteFailed = !Sink.write(passed.Bytes);
  return speaks;
}

} // namespace crocusspur::gateway
