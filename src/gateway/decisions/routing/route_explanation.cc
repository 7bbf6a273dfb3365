#include "gateway/decisions/routing/route_explanation.h"

#include "gateway/decisions/routing/queue_terms.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

// Draws at which the admission of plain requests is asked, for the share of
// them that is admitted.
constexpr int AdmissionDraws = 20;
// Stands for a random draw of the time after which a caller comes back.
constexpr double MiddleDraw = 0.5;
constexpr Milliseconds NoServerRetryAfter{1000};

StageExplanation stageOf(const ServerQuery &Query, RoutingState &State,
                         TimePoint Now) {
  StageExplanation stage;
  stage.Stage = Query.Stage;
  std::vector<ServerCandidate> all = State.Servers.candidates(Query, Now);
  auto take = [&](const std::string &Id) {
    auto it = std::ranges::find(
        all, Id, [](const ServerCandidate &It) { return It.Choice.Id; });
    if (it == all.end())
      return;
    stage.Candidates.push_back(std::move(*it));
    all.erase(it);
  };
  if (std::optional<ServerChoice> first = State.Servers.choose(Query, Now))
    take(first->Id);
  for (const ServerChoice &it : State.Servers.rank(Query, Now))
    take(it.Id);
  std::ranges::move(all, std::back_inserter(stage.Candidates));
  for (ServerCandidate &it : stage.Candidates)
    if (auto limit = State.LimitsPerSecond.find(it.Choice.Id);
        limit != State.LimitsPerSecond.end())
      it.LimitPerSecond = limit->second;
  return stage;
}

void explainStream(ServiceExplanation &Service, const PathRoute &Route,
                   const EngineTraits *Engine, const RouteQuestion &Question,
                   RoutingState &State, TimePoint Now) {
  for (ServerStage it :
       {ServerStage::Prefill, ServerStage::Decode, ServerStage::Whole})
    if (State.Servers.count(Service.Service, it) > 0)
      Service.Stages.push_back(
          stageOf({Service.Service, it, {}, {}}, State, Now));
  bool known =
      State.Servers.hasServer(Service.Service, ServerStage::Decode, Now) ||
      State.Servers.hasServer(Service.Service, ServerStage::Whole, Now);
  if (!known) {
    Service.Refusal = "no server is known";
    Service.RetryAfter = NoServerRetryAfter;
    return;
  }
  if (!Engine || Engine->MaxReservation == Milliseconds(0) || !Question.Size)
    return;
  Service.ReservedTokens = tokensToReserve(
      State.Outputs[Service.Service], *Question.Size, Engine->CapacityTokens);
  auto queues = State.Queues.find(Service.Service);
  if (queues == State.Queues.end())
    return;
  ServiceQueues &queue = queues->second;
  QueueEntry entry =
      streamTerms(Route, *Question.Size, Service.Rank, Question.Account, Now);
  Service.Waiting = queue.Streams.size();
  Service.Contended = queue.Streams.isContended(Now);
  if (queue.Streams.wouldTimeOut(entry, Now)) {
    Service.Refusal = "no memory for the output is expected in time";
    Service.RetryAfter =
        retryAfter(queue.Streams.drainTime(Now), Route.Timeout / 3, MiddleDraw);
  } else if (entry.Rank.differs()) {
    Service.AdmittedShare =
        queue.Admission
            .decide(entry.Rank, entry.OnTimeDeadline, MiddleDraw, Now)
            .AdmittedShare;
  }
}

void explainPlain(ServiceExplanation &Service, const PathRoute &Route,
                  const RouteQuestion &Question, RoutingState &State,
                  TimePoint Now) {
  ServerQuery query{Service.Service, ServerStage::Whole, {}, {}};
  Service.Stages.push_back(stageOf(query, State, Now));
  if (State.Servers.rank(query, Now).empty()) {
    Service.Refusal = "no server is known";
    Service.RetryAfter = NoServerRetryAfter;
    return;
  }
  Service.Contended = State.Servers.fullness(query, Now).All;
  auto queues = State.Queues.find(Service.Service);
  if (queues == State.Queues.end())
    return;
  const PlainQueue &queue = queues->second.Plain;
  int admitted = 0;
  for (int i = 0; i < AdmissionDraws; ++i) {
    PlainQueue copy = queue;
    admitted += copy.admits((i + MiddleDraw) / AdmissionDraws, Now) ? 1 : 0;
  }
  Service.AdmittedShare = static_cast<double>(admitted) / AdmissionDraws;
  Service.Waiting = queue.size();
  if (!Service.Contended && Service.Waiting == 0)
    return;
  PlainQueue copy = queue;
  if (copy.join(plainTerms(Route, Service.Rank, Question.Account,
                           queue.answerTime(), Now),
                Now))
    return;
  Service.Refusal = "all servers are full";
  Service.RetryAfter =
      plainRetryAfter(queue.drainTime(), Route.Timeout, MiddleDraw);
}

} // namespace

bool isRefused(const RouteExplanation &Explanation) {
  return !Explanation.Refusal.empty() ||
         std::ranges::any_of(
             Explanation.Services, [](const ServiceExplanation &It) {
               return !It.Refusal.empty() || It.AdmittedShare == 0;
             });
}

RouteExplanation explainRoute(const RouteQuestion &Question, RoutingState State,
                              TimePoint Now) {
  RouteExplanation found;
  const RouteDocument &document = *State.Document;
  found.ConfigVersion = document.Version;
  const PathRoute *route = findRoute(document, Question.Host, Question.Path);
  if (!route) {
    found.Refusal = document.Version == 0 ? "no configuration is known"
                                          : "no route matches";
    return found;
  }
  found.Route = *route;
  if (!route->Supported) {
    found.Refusal = "the route's type isn't supported";
    return found;
  }
  std::optional<uint32_t> priority;
  const ClientAccount *account = document.Accounts.find(Question.Account);
  if (account) {
    priority = account->Priority;
    if (account->Quota.TokensPerSecond > 0) {
      found.QuotaPerSecond = account->Quota.TokensPerSecond;
      found.QuotaTokens = quotaTokens(account->Quota, Question.Size);
      found.Quota = State.Quota;
    }
  } else if (!Question.Account.empty()) {
    found.Refusal = "the account isn't known";
  } else if (document.Accounts.size() > 0 && !route->Public) {
    found.Refusal = "the route needs a key";
  }
  State.Servers.expire(Now);
  for (const WeightedService &it : route->Services) {
    ServiceExplanation service;
    service.Service = it.Service;
    service.Weight = it.Weight;
    service.Rank =
        rankAmong(document, it.Service, requestRank(priority, route->Priority));
    service.PassedOn = State.CutOffFrom.contains(it.Service);
    auto config = document.Services.find(it.Service);
    const EngineTraits *engine = nullptr;
    if (config != document.Services.end() && config->second.Engine)
      engine = &*config->second.Engine;
    if (route->Kind == RouteKind::Stream)
      explainStream(service, *route, engine, Question, State, Now);
    else
      explainPlain(service, *route, Question, State, Now);
    found.Services.push_back(std::move(service));
  }
  return found;
}

} // namespace crocusspur::gateway
