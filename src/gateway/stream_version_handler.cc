// Part of RequestHandler that keeps a stream to the software version that began
// it: finds the version when a caller takes the stream up, records it for other
// instances, and selects servers by it.
#include "gateway/request_handler.h"

#include "gateway/decisions/content_fingerprint.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Retry-After for callers whose stream no server may continue. Coming back
// early can't help them.
constexpr Milliseconds NotResumableRetryAfter{5000};
// Servers report from memory; one that takes longer says nothing in time.
constexpr Milliseconds ReportTimeout{150};
// The end of an answer is held back for this long while keepers haven't
// confirmed that nobody may go on with its stream: the time that a silent one
// is waited for, and what the others take.
constexpr Milliseconds UncertaintyConfirmTimeout{200};
// Between two looks at whether the process of a run has to be asked. A store
// that is lost is noticed no faster.
constexpr Milliseconds ProofPeriod{100};

const char *recordText(const OriginKnowledge &Known) {
  if (!Known.Recorded)
    return "none";
  if (Known.UnprovenVersion != 0)
    return "unproven";
  return Known.isFinal() ? "uncertain" : "version";
}

} // namespace

bool RequestHandler::resolveStreamVersion() {
  StreamKey stream =
      streamKeyOf(Request.Host, Request.Target, Request.ResumedRequestId);
  auto ownKnowledge = [&] {
    OriginKnowledge known;
    if (!Request.ResumedRequestId.empty())
      known = Context.Origins.knowledgeOf(stream);
    return known;
  };
  OriginKnowledge own = ownKnowledge();
  std::vector<OriginKnowledge> peers;
  // An own record may be older than another instance's that nobody may go on.
  if (!own.isFinal()) {
    peers = Context.Origins.askKeepers(stream);
    own = ownKnowledge();
  }
  ResumptionDecision decision = decideResumption(own, peers);
  if (!isRecorded(own, peers) && Context.Directory.soleVersion(Service) &&
      Context.Origins.catchUpServers())
    decision = decideResumption(ownKnowledge(), peers,
                                Context.Directory.soleVersion(Service));
  if (decision.IsUnproven) {
    if (isOriginProven(decision))
      decision.Basis = "proven";
    else
      decision = {std::nullopt, "its process isn't shown"};
  } else if (decision.Version && mayHaveBegunElsewhere(decision)) {
    decision = {std::nullopt, "its server was replaced"};
    Progress.requireNothingFollows();
    recordUncertainty();
  }
  Progress.requireVersion(decision.Version);
  internal::LogFields all = fields();
  all.emplace_back("resumes", Request.ResumedRequestId);
  all.emplace_back("last_event_id", Request.LastEventId);
  all.emplace_back("basis", decision.Basis);
  all.emplace_back("version",
                   decision.Version ? fingerprintText(*decision.Version) : "");
  all.emplace_back("own_record", recordText(own));
  all.emplace_back("peers", std::to_string(peers.size()));
  all.emplace_back("peers_with_record",
                   std::to_string(std::ranges::count_if(
                       peers, [](const OriginKnowledge &It) {
                         return It.Recorded.has_value();
                       })));
  all.emplace_back("caller_left_ms",
                   callerTimeLeft() ? std::to_string(callerTimeLeft()->count())
                                    : "");
  log(LogLevel::Info, "request", "stream taken up", all);
  return decision.Version.has_value();
}

ServerChoice RequestHandler::choiceOf(const ServerProcess &Process) const {
  ServerChoice server;
  server.Id = Process.Id;
  server.Address = Process.Address;
  server.Version = Process.Version;
  server.StartedAt = Process.StartedAt;
  server.Service = Service;
  return server;
}

bool RequestHandler::isOriginProven(const ResumptionDecision &Decision) {
  const ServerProcess &process = Decision.Server;
  // A process that lives has lived since then.
  ProcessCheck check = checkProcess(choiceOf(process));
  bool isProven = check == ProcessCheck::Same;
  // Otherwise it is as certain as where the run was, had that instance known
  // the entries: what another process has written since would be seen here.
  bool readsStore = !Context.Readers || Context.Readers->isReading();
  if (check == ProcessCheck::Unknown && readsStore &&
      Context.Origins.readServerChanges().isCurrentFor(process)) {
    std::optional<TimePoint> since = Context.Directory.entriesWholeSince();
    isProven = since && *since <= Arrived - Decision.RecordedAgo &&
               Context.Directory.isLatestProcess(process);
  }
  if (isProven)
    Context.Origins.recordProven(streamKey(), *Decision.Version,
                                 originLifetime(callerTimeLeft()));
  return isProven;
}

bool RequestHandler::mayHaveBegunElsewhere(const ResumptionDecision &Decision) {
  BegunAtServer = Decision.Server;
  const ServerProcess &begunAt = Decision.Server;
  switch (doubtOrigin(begunAt, Decision.RecordedAgo,
                      Context.Directory.processNow(begunAt.Id))) {
  case OriginDoubt::None:
    return false;
  case OriginDoubt::Wrong:
    return true;
  case OriginDoubt::AskServer:
    break;
  }
  ProcessCheck check = checkProcess(choiceOf(begunAt));
  if (check == ProcessCheck::Same)
    BegunAtServer = {};
  return check == ProcessCheck::Replaced;
}

bool RequestHandler::hasOutputServer() const {
  return !Context.Directory.rank(outputQuery(ServerStage::Decode)).empty() ||
         !Context.Directory.rank(outputQuery(ServerStage::Whole)).empty();
}

bool RequestHandler::mayUseAnotherOutputServer() const {
  for (ServerStage stage : {ServerStage::Decode, ServerStage::Whole})
    for (const ServerChoice &it : Context.Directory.rank(outputQuery(stage)))
      if (mayUse(it.Id))
        return true;
  return false;
}

bool RequestHandler::knowsOutputServer() const {
  return Context.Directory.hasServer(Service, ServerStage::Decode) ||
         Context.Directory.hasServer(Service, ServerStage::Whole);
}

void RequestHandler::refuseResumption(const std::string &Why) {
  refuse(ErrorKind::StreamNotResumable, Why, NotResumableRetryAfter);
}

void RequestHandler::recordOrigin(const ServerChoice &Server,
                                  ProcessCheck Check) {
  if (!Route.Resumable)
    return;
  if (!Progress.begun())
    BegunAtServer =
        Check == ProcessCheck::Same ? ServerProcess() : processOf(Server);
  if (Origin && !Progress.version())
    return;
  PinnedVersion = versionKeyOf(Server.Version);
  recordVersion(*PinnedVersion);
}

void RequestHandler::recordBegin() {
  if (RecordsBegin && !VersionRecorded && Progress.begun() &&
      Progress.version() && !Progress.versionUncertain())
    recordVersion(*Progress.version());
}

void RequestHandler::recordVersion(VersionKey Version) {
  if (!Route.Resumable)
    return;
  VersionRecorded = true;
  Context.Origins.record(streamKey(), Version, originLifetime(callerTimeLeft()),
                         BegunAtServer);
}

std::optional<Milliseconds> RequestHandler::callerTimeLeft() const {
  if (!Request.TimeLeft)
    return std::nullopt;
  return *Request.TimeLeft -
         std::chrono::duration_cast<Milliseconds>(Clock::now() - Arrived);
}

StreamKey RequestHandler::streamKey() const {
  const std::string &first =
      Request.ResumedRequestId.empty() ? Request.Id : Request.ResumedRequestId;
  return streamKeyOf(Request.Host, Request.Target, first);
}

ProcessCheck RequestHandler::identify(ServerCall &Call,
                                      const ServerChoice &Server,
                                      bool IsRequired) {
  ProcessProofs &proofs = Context.Origins.processes();
  ServerProcess process = processOf(Server);
  if (!Route.Resumable || Server.StartedAt == 0 ||
      !Context.Directory.usable(Server))
    return ProcessCheck::Unknown;
  TimePoint askedAt = Clock::now();
  bool mayAsk = IsRequired || (!Context.Limits.find(Server.Id) &&
                               proofs.isResponsive(process, askedAt));
  ProcessCheck check = Call.identify(
      Server, Request.Id, std::min(ReportTimeout, timeLeft()), mayAsk);
  // A refused connection takes no time, and the next process may accept one.
  if (check == ProcessCheck::Unknown && Call.hasAsked())
    proofs.onUnanswered(process, Clock::now());
  // On an older connection it may answer though its successor accepts others.
  if (check == ProcessCheck::Same && Call.openedAt() >= askedAt)
    proofs.onConfirmed(process, askedAt);
  if (check != ProcessCheck::Replaced)
    return check;
  internal::LogFields all = fields();
  all.emplace_back("server", Server.Id);
  all.emplace_back("server_started_at", std::to_string(Server.StartedAt));
  all.emplace_back("reported_started_at", std::to_string(Call.reportedStart()));
  all.emplace_back("events", std::to_string(Progress.passed()));
  log(LogLevel::Warn, "request",
      "the server was replaced and its entry doesn't say so yet", all);
  return check;
}

bool RequestHandler::mustIdentify() const {
  return Progress.begun() || Context.Directory.entriesMayBeOld();
}

ProcessCheck RequestHandler::checkProcess(const ServerChoice &Server) {
  CallerWaiter noCaller(-1, Clock::now() + ReportTimeout);
  ServerCall call(Context.Connections, Context.Codec, Context.Limits, noCaller);
  call.requireNewConnection();
  ProcessCheck check = identify(call, Server, /*IsRequired=*/true);
  call.keepUnused();
  return check;
}

bool RequestHandler::areEntriesCurrent(ProcessCheck Check,
                                       const ServerChoice &Server) const {
  return Check != ProcessCheck::Unknown || !Route.Resumable ||
         Context.Origins.readServerChanges().isCurrentFor(processOf(Server));
}

bool RequestHandler::isChosenProcess(ProcessCheck Check,
                                     const ServerChoice &Server) const {
  return Check != ProcessCheck::Replaced && areEntriesCurrent(Check, Server) &&
         !Context.Directory.isReplaced(Server);
}

bool RequestHandler::isRunUncertain(ProcessCheck Check) const {
  return Check == ProcessCheck::Replaced ||
         (Check == ProcessCheck::Unknown && Route.Resumable &&
          !Progress.runConfirmed() && Context.Directory.entriesMayBeOld());
}

bool RequestHandler::mayNotBeFollowed(const ServerChoice &Server) {
  bool isFirstWithEvents = !Progress.continues() && Progress.passed() > 0;
  return isFirstWithEvents && !Progress.runConfirmed() &&
         Context.Directory.entriesMayBeOld() &&
         isRunUncertain(checkProcess(Server));
}

void RequestHandler::confirmFirstRun() {
  if (!Route.Resumable || !FirstRunServer || Progress.versionUncertain())
    return;
  std::optional<std::string> successor =
      Context.Directory.successorVersion(*FirstRunServer);
  if (!successor || *successor == FirstRunServer->Version)
    return;
  Progress.requireNothingFollows();
  recordUncertainty();
}

void RequestHandler::logNothingFollows(const ServerChoice &Server,
                                       const RelayedRun &Run,
                                       ProcessCheck Check,
                                       bool EntriesRead) const {
  const char *const answers[] = {"same", "replaced", "unknown"};
  internal::LogFields all = fields();
  all.emplace_back("server", Server.Id);
  all.emplace_back("server_says", answers[static_cast<size_t>(Check)]);
  all.emplace_back("entries_read", EntriesRead ? "yes" : "no");
  all.emplace_back("entries_old",
                   Context.Directory.entriesMayBeOld() ? "yes" : "no");
  all.emplace_back("events", std::to_string(Progress.passed()));
  all.emplace_back("connection", Run.OnKeptConnection ? "kept" : "new");
  all.emplace_back("opened_ago_ms",
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      Clock::now() - Run.OpenedAt)
                                      .count()));
  bool confirmed = Context.Origins.processes().isConfirmedSince(
      processOf(Server), Run.OpenedAt);
  all.emplace_back("confirmed_since_opened", confirmed ? "yes" : "no");
  log(LogLevel::Warn, "request",
      "nothing may follow a broken run, whose process isn't certain", all);
}

void RequestHandler::seekProof(const ServerChoice &Server, RelayedRun &Run) {
  TimePoint now = Clock::now();
  if (!Route.Resumable || Progress.continues() || Progress.runConfirmed() ||
      Progress.versionUncertain() || Unproven ||
      now - Run.ProofSoughtAt < ProofPeriod)
    return;
  Run.ProofSoughtAt = now;
  if (!Context.Directory.entriesMayBeOld())
    return;
  ServerProcess process = processOf(Server);
  ProcessProofs &proofs = Context.Origins.processes();
  ProcessCheck check = ProcessCheck::Unknown;
  if (proofs.isConfirmedSince(process, Run.OpenedAt))
    check = ProcessCheck::Same;
  else if (proofs.mayAsk(process, now))
    check = checkProcess(Server);
  if (check == ProcessCheck::Same) {
    onRunProven(Run.Number);
  } else if (check == ProcessCheck::Replaced) {
    Progress.requireNothingFollows();
    recordUncertainty();
  }
}

void RequestHandler::onRunProven(RunNumber Run) {
  Progress.confirm(Run);
  BegunAtServer = {};
  // Other instances compare the process that they have with later ones.
  if (VersionRecorded && PinnedVersion)
    recordVersion(*PinnedVersion);
}

void RequestHandler::judgeFirstRun(const ServerChoice &Server,
                                   RelayedRun &Run) {
  if (Progress.runConfirmed()) {
    BegunAtServer = {};
    return;
  }
  ServerProcess process = processOf(Server);
  ProcessCheck check =
      Context.Origins.processes().isConfirmedSince(process, Run.OpenedAt)
          ? ProcessCheck::Same
          : checkProcess(Server);
  bool isCurrent = areEntriesCurrent(check, Server);
  if (isRunUncertain(check) || !isCurrent) {
    if (check == ProcessCheck::Replaced)
      Unproven.reset();
    else if (!Unproven)
      Unproven = UnprovenRun{process, Run.SentAt};
    logNothingFollows(Server, Run, check, isCurrent);
    Progress.requireNothingFollows();
    recordUncertainty();
  } else if (check == ProcessCheck::Unknown) {
    confirmRunVersion(Server, Run);
    FirstRunServer = Server;
  } else {
    BegunAtServer = {};
    if (Unproven) // by now it is
      Context.Origins.recordProven(streamKey(), versionKeyOf(process.Version),
                                   originLifetime(callerTimeLeft()));
  }
}

void RequestHandler::recordUncertainty() {
  if (!Route.Resumable || !Progress.versionUncertain())
    return;
  Uncertainty kind = Unproven ? Uncertainty::Unproven : Uncertainty::Final;
  if (UncertaintyRecorded >= kind)
    return;
  UncertaintyRecorded = kind;
  Milliseconds lifetime = originLifetime(callerTimeLeft());
  if (Unproven)
    UncertaintyDelivery = Context.Origins.recordUnproven(
        streamKey(), versionKeyOf(Unproven->Process.Version), lifetime,
        Unproven->Process,
        std::chrono::duration_cast<Milliseconds>(Clock::now() -
                                                 Unproven->SentAt));
  else
    UncertaintyDelivery =
        Context.Origins.recordUncertain(streamKey(), lifetime);
  if (Origin)
    Origin->OnVersionUncertain();
}

void RequestHandler::awaitUncertaintyRecorded() {
  recordUncertainty();
  if (!UncertaintyDelivery)
    return;
  TimePoint started = Clock::now();
  RecordDelivery::State state =
      UncertaintyDelivery->await(UncertaintyConfirmTimeout);
  UncertaintyDelivery.reset();
  internal::LogFields all = fields();
  all.emplace_back("confirmed", std::to_string(state.Confirmed));
  all.emplace_back("failed", std::to_string(state.Failed));
  all.emplace_back("silent", std::to_string(state.Pending));
  all.emplace_back("waited_ms",
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      Clock::now() - started)
                                      .count()));
  bool whole = state.Failed + state.Pending == 0;
  log(whole ? LogLevel::Info : LogLevel::Warn, "request",
      whole
          ? "keepers know that the stream's version isn't certain"
          : "not all keepers confirmed that the stream's version isn't certain",
      all);
}

bool RequestHandler::confirmRunVersion(const ServerChoice &Server,
                                       RelayedRun &Run) {
  if (!Route.Resumable || Run.Replaced)
    return true;
  Run.ProcessCheckedAt = Clock::now();
  std::optional<std::string> successor =
      Context.Directory.successorVersion(Server);
  if (!successor)
    return true;
  bool isSame = *successor == Server.Version;
  // Each change of the entry counts, also after one of the same version.
  Run.Replaced = !isSame;
  if (!isSame)
    Unproven.reset();
  bool kept = Progress.onServerReplaced(Run.Number, versionKeyOf(*successor));
  if (isSame && std::exchange(Run.ReplacedBySame, true))
    return kept;
  if (!kept)
    countGivenUp(RunFault::OtherVersion);
  internal::LogFields all = fields();
  all.emplace_back("server", Server.Id);
  all.emplace_back("version", Server.Version);
  all.emplace_back("successor_version", *successor);
  all.emplace_back("events_before", std::to_string(Progress.passedBeforeRun()));
  all.emplace_back("events", std::to_string(Progress.passed()));
  all.emplace_back("outcome", kept ? "kept" : "given_up");
  log(LogLevel::Warn, "request", "the server was replaced during a run", all);
  recordUncertainty();
  return kept;
}

ServerQuery RequestHandler::outputQuery(ServerStage Stage) const {
  return {Service, Stage, Tried, requiredVersion()};
}

} // namespace crocusspur::gateway
