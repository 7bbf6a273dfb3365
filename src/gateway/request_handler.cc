#include "gateway/request_handler.h"

#include "gateway/decisions/content_fingerprint.h"
#include "gateway/decisions/routing/queue_terms.h"
#include "gateway/server_responses.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Timeout of an attempt that can be retried elsewhere, in multiples of the
// route's latency target. Most services finish 99 of 100 requests in half of
// that.
constexpr int AttemptTimeoutInTargets = 2;
constexpr Milliseconds MinAttemptTimeout{250};
// A slow server gets this many times the time that is expected there, since a
// repeat elsewhere costs another arrival.
constexpr int AttemptTimeoutFactor = 4;
// Retry-After for callers of plain services: several service times.
constexpr Milliseconds PlainRetryAfter{300};
// Retry-After while this instance can't confirm that keys are still valid. A
// caller that returns may reach another instance.
constexpr Milliseconds UnconfirmedRetryAfter{500};
// Each rank of priority halves the time for which a request may wait for a
// server's request limit, up to this many times.
constexpr uint32_t MaxPriorityShift = 8;
// The least urgent rank that servers distinguish.
constexpr uint32_t LowestServerPriority = 9;
// Status of a refusal by a server that is full.
constexpr uint32_t FullStatus = 503;
// A slot becomes free every few milliseconds; a shorter period costs wake-ups.
constexpr Milliseconds RoomPollPeriod{10};
// Servers that may show that a refused connection isn't refused by all.
constexpr size_t MaxServersToConnect = 2;
// Servers at their limits that are asked how long a request would wait. Each
// may cost an exchange with another instance.
constexpr size_t MaxServersAskedToWait = 3;

std::string seconds(Milliseconds Time) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f",
                static_cast<double>(Time.count()) / 1000);
  return buf;
}

uint64_t contentOf(const CallerRequest &Request) {
  return fingerprintOf(
      {Request.Host, Request.Method, Request.Target, Request.Body});
}

// The service that the first instance chose, if the route still has it.
const std::string &serviceFor(const PathRoute &Route,
                              const ForwardedOrigin *Origin,
                              ServiceDirectory &Directory) {
  if (Origin)
    for (const WeightedService &it : Route.Services)
      if (it.Service == Origin->Request.Service)
        return it.Service;
  return chooseService(Route, Directory.randomNumber());
}

} // namespace

RequestHandler::RequestHandler(const GatewayContext &Context,
                               RouteDocumentPtr Document,
                               const PathRoute &Route, CallerRequest Request,
                               internal::ResponseSink &Sink, TimePoint Arrived,
                               const ForwardedOrigin *Origin)
    : Context(Context), Document(std::move(Document)), Route(Route),
      Request(std::move(Request)), Content(contentOf(this->Request)),
      Sink(Sink), Origin(Origin), Arrived(Arrived),
      Deadline(Arrived +
               std::min(Route.Timeout,
                        this->Request.TimeLeft.value_or(Route.Timeout))),
      Waiter(Sink.watchedSocket(), Deadline),
      Service(serviceFor(Route, Origin, Context.Directory)),
      ConfirmedAgo(Context.Readers ? Context.Readers->confirmedAgo()
                                   : std::nullopt),
      Progress(Context.Codec.Event, this->Request.LastEventId),
      EventHold(makeHold(MemoryUse::Event)) {
  auto rule = this->Document->Services.find(Service);
  if (rule != this->Document->Services.end() && rule->second.Engine)
    Engine = &*rule->second.Engine;
  Returning = Context.Directory.isReturning(
      Route.Name, this->Request.TimeLeft.value_or(Route.Timeout));
  if (!Origin)
    return;
  Used = Origin->Request.UsedServers;
  Tried = Used;
  MayHaveExecuted = Origin->Request.MayHaveExecuted;
  Progress.requireVersion(Origin->Request.StreamVersion);
  Progress.requireWeights(Origin->Request.StreamWeights);
}

void RequestHandler::run() {
  if (!admitByQuota())
    return;
  if (!Origin) // the first instance has counted it
    Context.Directory.onRequest(Service);
  if (Route.Kind == RouteKind::Stream)
    runStream();
  else
    runPlain();
}

internal::LogFields RequestHandler::fields() const {
  internal::LogFields all{
      {"request", Request.Id},
      {"route", Route.Name},
      {"service", Service},
      {"config_version", std::to_string(Document->Version)}};
  if (!Request.Account.empty())
    all.emplace_back("account", Request.Account);
  return all;
}

void RequestHandler::addPromptParts(internal::LogFields &Fields) const {
  if (!Request.PromptParts.empty())
    Fields.emplace_back("prompt_parts", promptPartsText(Request.PromptParts));
}

void RequestHandler::logCall(const char *Stage, const ServerChoice &Server,
                             const ServerCall &Call, const std::string &Outcome,
                             TimePoint Started) {
  if (Call.maySent())
    ++Sends;
  if (!internal::isLogged(LogLevel::Info))
    return;
  auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - Started);
  internal::LogFields all = fields();
  all.emplace_back("stage", Stage);
  all.emplace_back("server", Server.Id);
  all.emplace_back("server_version", Server.Version);
  all.emplace_back("server_started_at", std::to_string(Server.StartedAt));
  all.emplace_back("connection", Call.usedKeptConnection() ? "kept" : "new");
  if (Call.maySent() && Call.process() != processOf(Server)) {
    all.emplace_back("opened_to_version", Call.process().Version);
    all.emplace_back("opened_to_started_at",
                     std::to_string(Call.process().StartedAt));
  }
  all.emplace_back("content", fingerprintText(Content));
  addPromptParts(all);
  all.emplace_back("send", std::to_string(Sends));
  all.emplace_back("outcome", Outcome);
  if (Call.connectFailure() != internal::ConnectFailure::None)
    all.emplace_back("connect", internal::nameOf(Call.connectFailure()));
  if (Call.head().Status != 0)
    all.emplace_back("framing", internal::nameOf(Call.bodyForm()));
  if (Call.info().ServerLeaving)
    all.emplace_back("server_leaving", "true");
  all.emplace_back("taken_ms", std::to_string(taken.count()));
  all.emplace_back("left_ms", std::to_string(timeLeft().count()));
  if (std::string_view(Stage) == "prefill") {
    all.emplace_back("placed_by", Placement.Server ? "owner" : "instance");
    all.emplace_back("dispatch", nameOf(Placement.Outcome));
    if (!Placement.Owner.empty())
      all.emplace_back("owner", Placement.Owner);
    if (Placement.Server)
      all.emplace_back("expected_wait_ms",
                       std::to_string(Placement.Wait.count()));
    if (Placement.Duration)
      all.emplace_back("expected_ms",
                       std::to_string(Placement.expected().count()));
  }
  if (std::optional<ServerLimit> limit = Context.Limits.find(Server.Id)) {
    all.emplace_back("limit_per_s", limitText(*limit->PerSecond));
    all.emplace_back("limit_age_ms", std::to_string(limit->Age.count()));
    all.emplace_back("limit_source", limit->Source);
  }
  log(LogLevel::Info, "request", "call ended", all);
}

void RequestHandler::finish(const std::string &Outcome,
                            const std::string &Why) {
  // As after a caller that left while the request waited.
  if (Sends == 0 && !MayHaveExecuted && !HeadSent && Status == 0)
    refundQuota();
  auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - Arrived);
  Context.Metrics.observe("request_seconds", Outcome,
                          static_cast<double>(taken.count()) / 1000);
  internal::LogFields all = fields();
  all.emplace_back("content", fingerprintText(Content));
  addPromptParts(all);
  all.emplace_back("sends", std::to_string(Sends));
  if (ConfirmedAgo)
    all.emplace_back("confirmed_ago_ms", std::to_string(ConfirmedAgo->count()));
  if (!Request.ResumedRequestId.empty())
    all.emplace_back("resumes", Request.ResumedRequestId);
  if (!Request.LastEventId.empty())
    all.emplace_back("last_event_id", Request.LastEventId);
  all.emplace_back("outcome", Outcome);
  all.emplace_back("why", Why);
  all.emplace_back("status", std::to_string(Status));
  all.emplace_back("taken_ms", std::to_string(taken.count()));
  if (FirstOutput)
    all.emplace_back("first_output_ms",
                     std::to_string(std::chrono::duration_cast<Milliseconds>(
                                        *FirstOutput - Arrived)
                                        .count()));
  if (Progress.passed() > 0) {
    all.emplace_back("events", std::to_string(Progress.passed()));
    all.emplace_back("longest_pause_ms", std::to_string(LongestPause.count()));
  }
  log(LogLevel::Info, "request", "request finished", all);
}

Milliseconds RequestHandler::timeLeft() const {
  return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(
                                       Deadline - Clock::now()));
}

bool RequestHandler::shouldStop() {
  if (!CrashRefusedFor) {
    CrashRefusedFor = Context.Crashes.refusedFor(Content);
    CrashRefusalReason = "the content crashes servers";
  }
  if (!CrashRefusedFor) {
    CrashRefusedFor =
        Context.Crashes.partsRefusedFor(Request.PromptParts, Request.Id);
    CrashRefusalReason = "a part of the prompt crashes servers";
  }
  return CrashRefusedFor || !hasAccess() || Waiter.callerLeft() ||
         Waiter.pastDeadline();
}

bool RequestHandler::hasNoCaller() {
  return Waiter.callerLeft() && !(Context.Exiting && Context.Exiting->load());
}

bool RequestHandler::hasAccess() {
  if (AccessRefused)
    return false;
  if (!Context.Access)
    return true;
  RouteDocumentPtr current = Context.Directory.routes();
  const PathRoute *route = &Route;
  // A newer version may make the route public, or no longer so.
  if (current->Version > Document->Version)
    if (const PathRoute *found =
            findRoute(*current, Request.Host, Request.Target))
      route = found;
  AccessVerdict verdict = Context.Access->check(Request, *current, *route);
  if (verdict == AccessVerdict::Granted)
    return true;
  AccessRefused = verdict;
  internal::LogFields all = fields();
  all.emplace_back("reason", nameOf(verdict));
  all.emplace_back("current_version", std::to_string(current->Version));
  log(LogLevel::Info, "request", "the key is no longer valid", all);
  return false;
}

RequestRank RequestHandler::rank() const {
  const ClientAccount *account = Document->Accounts.find(Request.Account);
  return requestRank(account ? account->Priority : std::nullopt,
                     Route.Priority);
}

bool RequestHandler::mayEndNextServer() {
  return EndedWithServer &&
         Context.Crashes.arePartsSuspected(Request.PromptParts);
}

RunTracker::Id RequestHandler::trackRun(const ServerChoice &Server,
                                        bool Answers) {
  TrackedRun run{Content, Request.Id, Server.Id, Server.StartedAt,
                 Clock::now()};
  if (Answers)
    run.PromptParts = Request.PromptParts;
  AnswerSurvived = false;
  return Context.Crashes.runStarted(std::move(run));
}

void RequestHandler::onAnswerSurvived(RunTracker::Id Run, TimePoint BegunAt) {
  if (!AnswerSurvived)
    Context.Crashes.onAnswerSurvived(Run, BegunAt);
  AnswerSurvived = true;
}

void RequestHandler::endRun(RunTracker::Id Run, const ServerChoice &Server,
                            CallStatus Status, RunEnd End) {
  if (Status == CallStatus::Responded)
    Context.Crashes.onResponded(Run);
  // The end of a server that announced its leaving isn't a crash.
  if (Status == CallStatus::ConnectionBroken &&
      !Context.Directory.isLeaving(Server.Id) &&
      refusesConnections(Context.Connections, Waiter, Server)) {
    End = reachesAnotherServer(Server) ? RunEnd::ServerEnded : RunEnd::Refused;
    // Raises a suspicion, so that probes show soon whether others respond.
    Context.Connections.reachability().onCall(Server, CallEvidence::Failed,
                                              Clock::now());
  } else if (Status == CallStatus::ConnectionBroken ||
             Status == CallStatus::TimedOut ||
             Status == CallStatus::DeadlineExceeded)
    End = RunEnd::Broken;
  EndedWithServer =
      (End == RunEnd::Refused || End == RunEnd::ServerEnded) && !AnswerSurvived;
  Context.Crashes.runEnded(Run, End);
}

bool RequestHandler::reachesAnotherServer(const ServerChoice &Server) {
  std::vector<ServerChoice> others = Context.Directory.others(Server);
  if (others.size() > MaxServersToConnect)
    others.resize(MaxServersToConnect);
  return others.empty() ||
         std::ranges::any_of(others, [this](const ServerChoice &It) {
           return tryConnect(Context.Connections, Waiter, It) ==
                  ConnectResult::Opened;
         });
}

void RequestHandler::countHungConnect(const ServerCall &Call) {
  HungConnects +=
      Call.connectFailure() == internal::ConnectFailure::Hangs ? 1 : 0;
}

bool RequestHandler::mayUse(const std::string &ServerId) const {
  return Used.contains(ServerId) || Used.size() < Route.MaxServers;
}

bool RequestHandler::tryConsumeRetry() {
  return Context.Directory.tryConsumeRetry(Service);
}

RankPosition RequestHandler::position() const {
  RankPosition rank = rankAmong(*Document, Service, this->rank());
  // Its caller has a part of the output already.
  if (HeadSent)
    return {0, rank.Above + rank.Below};
  return rank;
}

ForwardOptions RequestHandler::optionsFor(const ServerChoice &Server) const {
  ForwardOptions order;
  order.ServerId = Server.Id;
  order.TimeLeft = timeLeft();
  order.ContinueAfter = Progress.lastEventId();
  order.ExpectedWeights = Progress.weights();
  if (RankPosition rank = position(); rank.differs())
    order.Priority = std::min(rank.Above, LowestServerPriority);
  return order;
}

internal::ResponseHead
RequestHandler::responseHead(const ServerCall &Call,
                             const ServerChoice &Server) const {
  if (Origin && Call.info().ServerLeaving)
    Origin->OnServerLeaving(processOf(Server));
  internal::ResponseHead head;
  head.Status = Call.head().Status;
  head.Fields = Call.info().Returned;
  return head;
}

void RequestHandler::sendProblem(const internal::Problem &Item) {
  if (Origin) {
    Origin->OnProblem(Item);
    return;
  }
  internal::ResponseHead head;
  Status = static_cast<uint32_t>(errorResponse(Item.Kind).Status);
  head.Status = Status;
  head.ContentType = internal::ProblemType;
  if (Item.RetryAfter.count() > 0)
    head.Fields.emplace_back("Retry-After", seconds(Item.RetryAfter));
  internal::writeResponse(Sink, head, internal::formatProblem(Item));
}

void RequestHandler::refuse(ErrorKind Kind, const std::string &Why,
                            Milliseconds RetryAfter) {
  refundQuota();
  internal::Problem item = internal::makeProblem(Kind, Why, RequestId());
  item.Run = ExecutionState::No;
  item.RetryAfter = RetryAfter;
  sendProblem(item);
  finish("refused", Why);
}

void RequestHandler::refuseAsCrashing() {
  Context.Crashes.onRefused();
  refuse(ErrorKind::ContentRefused, CrashRefusalReason, *CrashRefusedFor);
}

void RequestHandler::refuseAccess() {
  if (mayBeGrantedLater(*AccessRefused))
    refuse(ErrorKind::NotReady, reasonOf(*AccessRefused),
           UnconfirmedRetryAfter);
  else
    refuse(ErrorKind::Unauthorized, reasonOf(*AccessRefused), Milliseconds(0));
}

void RequestHandler::fail(ErrorKind Kind, const std::string &Why) {
  sendProblem(internal::makeProblem(Kind, Why, RequestId()));
  finish("failed", Why);
}

bool RequestHandler::tryAcquire(const std::string &ServerId, uint32_t Calls) {
  CallPermit permit = Context.Limits.acquire(ServerId, Calls, Milliseconds(0));
  if (permit.Granted)
    LimitedUntil.reset();
  else
    onPermitDenied(ServerId, permit);
  return permit.Granted;
}

void RequestHandler::onPermitDenied(const std::string &ServerId,
                                    const CallPermit &Permit) {
  TimePoint until = Clock::now() + Permit.Delay;
  if (LimitedUntil && *LimitedUntil <= until)
    return;
  LimitedUntil = until;
  AllRest = false;
  LimitedFields = permitFields(ServerId, Permit);
}

internal::LogFields
RequestHandler::permitFields(const std::string &ServerId,
                             const CallPermit &Permit) const {
  internal::LogFields all = fields();
  all.emplace_back("server", ServerId);
  if (Permit.Limit && Permit.Limit->PerSecond) {
    all.emplace_back("limit_per_s", limitText(*Permit.Limit->PerSecond));
    all.emplace_back("limit_age_ms", std::to_string(Permit.Limit->Age.count()));
    all.emplace_back("limit_source", Permit.Limit->Source);
  }
  all.emplace_back("owner", Permit.DecidedBy);
  all.emplace_back("wait_ms", std::to_string(Permit.Delay.count()));
  return all;
}

// Requests that can still be on time go first, and less urgent routes wait for
// less, so that permits go to the urgent ones when there are too few.
Milliseconds RequestHandler::maxPermitDelay() const {
  auto left = std::chrono::duration_cast<Milliseconds>(
      Arrived + Route.LatencyTarget - Clock::now());
  int64_t divisor = int64_t(1) << std::min(rank().Account, MaxPriorityShift);
  return std::max(Milliseconds(0), std::min(left, timeLeft()) / divisor);
}

std::optional<ServerChoice>
RequestHandler::choosePermitted(ServerStage Stage,
                                const std::set<std::string> &Excluded,
                                Milliseconds MaxDelay) {
  LimitedUntil.reset();
  ServerQuery query{Service, Stage, Excluded};
  while (std::optional<ServerChoice> server = Context.Directory.choose(query)) {
    if (tryAcquire(server->Id, 1))
      return server;
    query.ExcludedIds.insert(server->Id);
  }
  if (!LimitedUntil)
    noteResting({Service, Stage, {}, {}});
  if (!LimitedUntil || MaxDelay <= Milliseconds(0))
    return std::nullopt;
  return waitForPermit(Stage, Excluded, MaxDelay);
}

std::optional<ServerChoice>
RequestHandler::waitForPermit(ServerStage Stage,
                              const std::set<std::string> &Excluded,
                              Milliseconds MaxDelay) {
  std::vector<ServerChoice> all =
      Context.Directory.rank({Service, Stage, Excluded});
  if (all.size() > MaxServersAskedToWait)
    all.resize(MaxServersAskedToWait);
  if (all.empty()) {
    std::optional<TimePoint> rested =
        Context.Directory.restingUntil({Service, Stage, Excluded, {}});
    if (!rested)
      return std::nullopt;
    auto wait = std::chrono::ceil<Milliseconds>(*rested - Clock::now());
    if (wait > MaxDelay)
      return std::nullopt;
    Waiter.pause(wait);
    if (shouldStop())
      return std::nullopt;
    return choosePermitted(Stage, Excluded, Milliseconds(0));
  }
  for (const ServerChoice &it : all) {
    CallPermit permit = Context.Limits.acquire(it.Id, 1, MaxDelay);
    if (!permit.Granted) {
      onPermitDenied(it.Id, permit);
      continue;
    }
    LimitedUntil.reset();
    if (permit.Delay > Milliseconds(0)) {
      log(LogLevel::Info, "request", "waiting for a server's request limit",
          permitFields(it.Id, permit));
      Waiter.pause(permit.Delay);
    }
    if (!shouldStop())
      return it;
    Context.Limits.release(it.Id, 1);
    return std::nullopt;
  }
  return std::nullopt;
}

void RequestHandler::noteResting(const ServerQuery &Query) {
  LimitedUntil = Context.Directory.restingUntil(Query);
  if (!LimitedUntil)
    return;
  LimitedFields = fields();
  LimitedFields.emplace_back(
      "wait_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                    *LimitedUntil - Clock::now())
                                    .count()));
  AllRest = true;
}

void RequestHandler::refuseForLimits() {
  log(LogLevel::Info, "request",
      AllRest ? "all servers want a pause" : "server's request limit reached",
      LimitedFields);
  auto wait =
      std::max(PlainRetryAfter,
               std::chrono::ceil<Milliseconds>(*LimitedUntil - Clock::now()));
  // Spread over the time in which as many permits become free again.
  auto spread = Milliseconds(static_cast<int64_t>(
      static_cast<double>(wait.count()) * Context.Directory.randomFraction()));
  refuse(ErrorKind::BackendRefused,
         AllRest ? "all servers want a pause"
                 : "all servers are at their request limits",
         wait + spread);
}

ServerQuery RequestHandler::plainQuery() const {
  ServerQuery query{Service, ServerStage::Whole, Tried, {}};
  // After refusals, only servers that it was sent to are left.
  if (RefusedByFull && Used.size() >= Route.MaxServers)
    for (const ServerChoice &it : Context.Directory.rank(query))
      if (!Used.contains(it.Id))
        query.ExcludedIds.insert(it.Id);
  return query;
}

bool RequestHandler::isPlainAdmitted() {
  double draw = Context.Directory.randomFraction();
  if (Context.Queues.withPlain(Service, [draw](PlainQueue &It, TimePoint Now) {
        return It.admits(draw, Now);
      }))
    return true;
  FoundFull = true;
  Context.Queues.countPlain(Service, "shed");
  log(LogLevel::Info, "request", "request rejected on arrival", fields());
  return false;
}

bool RequestHandler::awaitRoom() {
  bool full = Context.Directory.fullness(plainQuery()).All;
  bool others = Context.Queues.withPlain(
      Service, [](const PlainQueue &It, TimePoint) { return It.size() > 0; });
  // Waiting doesn't help a request that is late already.
  bool late = Clock::now() >= Arrived + Route.LatencyTarget;
  if (!full && (!others || late))
    return true;
  FoundFull = true;
  return waitForRoom();
}

bool RequestHandler::waitForRoom() {
  TimePoint started = Clock::now();
  PlainEntry entry;
  std::optional<uint64_t> ticket =
      Context.Queues.withPlain(Service, [&](PlainQueue &It, TimePoint Now) {
        entry = plainTerms(Route, position(), Request.Account, It.answerTime(),
                           Arrived);
        return It.join(entry, Now);
      });
  ServerQuery query = plainQuery();
  bool sent = false;
  while (ticket && !sent && !shouldStop() && Clock::now() < entry.LatestSend) {
    sent =
        !Context.Directory.fullness(query).All &&
        Context.Queues.withPlain(Service, [&](PlainQueue &It, TimePoint Now) {
          return It.trySend(*ticket, Now);
        });
    if (!sent)
      Waiter.pause(RoomPollPeriod);
  }
  size_t waiting =
      Context.Queues.withPlain(Service, [&](PlainQueue &It, TimePoint) {
        if (ticket)
          It.leave(*ticket);
        return It.size();
      });
  auto waited =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
  internal::LogFields all = fields();
  all.emplace_back("priority", std::to_string(entry.Priority));
  if (!entry.Account.empty())
    all.emplace_back("account", entry.Account);
  const char *outcome = sent ? "sent" : ticket ? "too_late" : "rejected";
  Context.Queues.countPlain(Service, outcome);
  all.emplace_back("outcome", outcome);
  all.emplace_back("waiting", std::to_string(waiting));
  all.emplace_back("waited_ms", std::to_string(waited.count()));
  log(LogLevel::Info, "request", "waited for room at a server", all);
  return sent;
}

// Retries go to other servers. Non-idempotent requests go to another server
// only if none of their bytes can have arrived.
void RequestHandler::runPlain() {
  bool repeatable = Route.Kind == RouteKind::Idempotent;
  while (!shouldStop()) {
    if (shouldForward() && Used.size() < Route.MaxServers) {
      AttemptResult result = forward();
      if (result == AttemptResult::Done)
        return;
      MayHaveExecuted = MayHaveExecuted || result == AttemptResult::Unknown;
      if (result == AttemptResult::Unknown && !repeatable)
        break;
      continue;
    }
    bool first = Tried.empty() && !RefusedByFull;
    if ((first && !Returning && !isPlainAdmitted()) || !awaitRoom())
      break;
    ServerQuery query = plainQuery();
    std::set<std::string> excluded = Context.Directory.fullness(query).Full;
    excluded.insert(query.ExcludedIds.begin(), query.ExcludedIds.end());
    std::optional<ServerChoice> server =
        choosePermitted(ServerStage::Whole, excluded, maxPermitDelay());
    if (!server && excluded.size() > query.ExcludedIds.size())
      server = choosePermitted(ServerStage::Whole, query.ExcludedIds,
                               maxPermitDelay());
    if (!server)
      break;
    bool last = !repeatable || Used.size() + 1 >= Route.MaxServers;
    Tried.insert(server->Id);
    bool charged = std::exchange(RetryCharged, false);
    if (!mayUse(server->Id) || (!first && !charged && !tryConsumeRetry())) {
      Context.Limits.release(server->Id, 1);
      break;
    }
    AttemptResult result = tryPlain(*server, last);
    if (result == AttemptResult::Done)
      return;
    MayHaveExecuted = MayHaveExecuted || result == AttemptResult::Unknown;
    if (result == AttemptResult::Unknown && (!repeatable || mayEndNextServer()))
      break;
  }
  if (hasNoCaller())
    finish("caller_left", "the caller closed its connection");
  else if (Failure) {
    Status = Failure->Head.Status;
    internal::writeResponse(Sink, Failure->Head, Failure->Body);
    finish("answered", "the server failed, and no other server took a retry");
  } else if (MayHaveExecuted)
    fail(Waiter.pastDeadline() ? ErrorKind::BackendTimeout
                               : ErrorKind::BackendFailed,
         "no server gave a usable answer");
  else if (CrashRefusedFor)
    refuseAsCrashing();
  else if (AccessRefused)
    refuseAccess();
  else if (LimitedUntil)
    refuseForLimits();
  else if (FoundFull)
    refuse(
        ErrorKind::BackendRefused, "all servers are full",
        plainRetryAfter(Context.Queues.withPlain(
                            Service, [](const PlainQueue &It,
                                        TimePoint) { return It.drainTime(); }),
                        timeLeft(), Context.Directory.randomFraction()));
  else
    refuse(Tried.empty() ? ErrorKind::NoServer : ErrorKind::BackendRefused,
           Tried.empty() ? "no server is known" : "no server took the request",
           PlainRetryAfter);
}

Milliseconds RequestHandler::attemptTimeout(const ServerChoice &Server) const {
  return std::max({MinAttemptTimeout,
                   Route.LatencyTarget * AttemptTimeoutInTargets,
                   Context.Directory.expectedDuration(Server.Id, 1)
                           .value_or(Milliseconds(0)) *
                       AttemptTimeoutFactor});
}

bool RequestHandler::mayRetryPlainElsewhere() {
  if (shouldForward())
    return !Context.Forwarding->Select(Service).empty();
  ServerQuery query = plainQuery();
  std::optional<ServerChoice> other = Context.Directory.choose(query);
  if (!other || !mayUse(other->Id) || Context.Directory.fullness(query).All)
    return false;
  return RetryCharged = tryConsumeRetry();
}

RequestHandler::AttemptResult
RequestHandler::tryPlain(const ServerChoice &Server, bool LastTry) {
  TimePoint started = Clock::now();
  if (!Context.Directory.usable(Server)) {
    Context.Limits.release(Server.Id, 1);
    Tried.erase(Server.Id); // the next call isn't a retry
    return AttemptResult::NotExecuted;
  }
  Milliseconds timeout = timeLeft();
  if (!LastTry)
    timeout = std::min(timeout, attemptTimeout(Server));
  ServerCall call(Context.Connections, Context.Codec, Context.Limits, Waiter);
  Context.Directory.callStarted(Server, 1);
  RunTracker::Id run = trackRun(Server, /*Answers=*/true);
  RunEnd runEnd = RunEnd::NoEvidence;
  CallStatus status = call.start(
      Server, Context.Codec.FormatRequest(Request, optionsFor(Server)),
      Request.Method, Request.Id, timeout, /*Permitted=*/true);
  // A silent server may be sound, so it is given up only for another one.
  while (status == CallStatus::TimedOut && !LastTry &&
         !mayRetryPlainElsewhere())
    status = call.awaitHead(std::min(timeLeft(), attemptTimeout(Server)));
  TimePoint answeredAt = Clock::now();
  std::string body;
  bool whole = false;
  MemoryHold hold = makeHold(MemoryUse::Response);
  if (status == CallStatus::Responded)
    status = readKept(call, LastTry, body, whole, hold);
  // A refusal says in its head that the request wasn't executed.
  if (status == CallStatus::Responded && whole && !call.info().NotExecuted)
    status = confirmKept(call, Server, LastTry, body, whole, hold);
  if (call.maySent())
    Used.insert(Server.Id);
  auto end = [&](CallResult Result, const std::string &Outcome,
                 AttemptResult After) {
    Context.Directory.callEnded(Server, 1, Result);
    logCall("run", Server, call, Outcome, started);
    if (runEnd == RunEnd::Completed)
      onAnswerSurvived(run, answeredAt);
    endRun(run, Server, status, runEnd);
    return After;
  };
  countHungConnect(call);
  switch (status) {
  case CallStatus::NotSent:
    Context.Connections.drop(Server.Address);
    return end(CallResult::Unreachable, "not_sent", AttemptResult::NotExecuted);
  case CallStatus::ConnectionBroken:
    return end(CallResult::Failed, "broken", AttemptResult::Unknown);
  case CallStatus::TimedOut:
    Context.Directory.onCallTimed(Server, 1, timeout); // at least this long
    return end(CallResult::TimedOut, "silent", AttemptResult::Unknown);
  case CallStatus::CallerLeft:
    return end(CallResult::Abandoned, "caller_left",
               call.maySent() ? AttemptResult::Unknown
                              : AttemptResult::NotExecuted);
  case CallStatus::DeadlineExceeded:
    return end(CallResult::TimedOut, "out_of_time",
               call.maySent() ? AttemptResult::Unknown
                              : AttemptResult::NotExecuted);
  case CallStatus::Responded:
    break;
  }
  const ResponseInfo &info = call.info();
  if (info.Load)
    Context.Directory.onLoadReport(Server, *info.Load);
  if (whole)
    call.finish();
  std::string code = std::to_string(call.head().Status);
  if (info.NotExecuted) {
    // Once room shows, the same server may be asked again. A route that allows
    // one server allows one send.
    if (call.head().Status == FullStatus && Route.MaxServers > 1) {
      FoundFull = RefusedByFull = true;
      Tried.erase(Server.Id);
    }
    if (info.Misdirected)
      Context.Directory.onStageRefused(Server, ServerStage::Whole,
                                       /*Misdirected=*/true);
    else
      Context.Queues.withPlain(
          Service, [](PlainQueue &It, TimePoint Now) { It.onRefused(Now); });
    return end(resultOfRefusal(info), "refused_" + code,
               AttemptResult::NotExecuted);
  }
  Context.Queues.withPlain(Service, [&](PlainQueue &It, TimePoint Now) {
    It.onAnswered(
        std::chrono::duration_cast<Milliseconds>(answeredAt - started),
        Now - Arrived <= Route.LatencyTarget, Now);
  });
  if (!info.Signed || info.Encoded)
    return end(CallResult::Failed, "unusable_" + code, AttemptResult::Unknown);
  bool failure = isServerError(call.head().Status);
  Milliseconds callerTime{0};
  bool passedOn = !whole;
  if (passedOn)
    status = passOn(call, Server, run, body, hold, callerTime);
  if (status == CallStatus::TimedOut)
    Context.Directory.onCallTimed(Server, 1, timeout);
  if (status != CallStatus::Responded) {
    bool left = status == CallStatus::CallerLeft;
    bool broken = status == CallStatus::ConnectionBroken;
    end(left     ? CallResult::Abandoned
        : broken ? CallResult::Failed
                 : CallResult::TimedOut,
        left                             ? "caller_left"
        : broken                         ? "broken_in_answer"
        : status == CallStatus::TimedOut ? "silent_in_answer"
                                         : "out_of_time",
        AttemptResult::Done);
    cutResponse(status);
    return AttemptResult::Done;
  }
  runEnd = endOfResponse(call.head().Status);
  if (!failure)
    Context.Directory.onCallTimed(Server, 1,
                                  std::chrono::duration_cast<Milliseconds>(
                                      Clock::now() - started - ProofTime) -
                                      callerTime);
  if (failure && !LastTry) {
    Failure = ServerFailure{responseHead(call, Server), std::move(body),
                            std::move(hold)};
    return end(CallResult::Failed, "failure_" + code, AttemptResult::Unknown);
  }
  end(failure ? CallResult::Failed : CallResult::Succeeded, "answered_" + code,
      AttemptResult::Done);
  if (passedOn) {
    call.finish();
    finish("answered", "");
    return AttemptResult::Done;
  }
  FirstOutput = Clock::now();
  Status = call.head().Status;
  bool passed = internal::writeResponse(Sink, responseHead(call, Server), body);
  finish(passed ? "answered" : "caller_left", "");
  return AttemptResult::Done;
}

} // namespace crocusspur::gateway
