#include "gateway/route_report.h"

#include "gateway/gateway_runtime.h"
#include "json_text.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <charconv>
#include <cmath>

namespace crocusspur::gateway {
namespace {

using internal::jsonString;

std::string number(double Value) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f", std::isfinite(Value) ? Value : 0.0);
  return buf;
}

// Adds members to a JSON object.
class ObjectText {
public:
  void add(const char *Name, const std::string &Json) {
    Text += (Text.empty() ? "\"" : ",\"") + std::string(Name) + "\":" + Json;
  }
  void addText(const char *Name, const std::string &Value) {
    add(Name, jsonString(Value));
  }
  void addFlag(const char *Name, bool Value) {
    add(Name, Value ? "true" : "false");
  }
  template <typename T>
  void addNumber(const char *Name, const std::optional<T> &Value) {
    add(Name, Value ? number(static_cast<double>(*Value)) : "null");
  }
  void addTime(const char *Name, const std::optional<Milliseconds> &Value) {
    add(Name, Value ? std::to_string(Value->count()) : "null");
  }
  std::string str() const { return "{" + Text + "}"; }

private:
  std::string Text;
};

template <typename T, typename F>
std::string listText(const std::vector<T> &Items, F Format) {
  std::string text;
  for (const T &it : Items)
    text += (text.empty() ? "" : ",") + Format(it);
  return "[" + text + "]";
}

std::string candidateText(const ServerCandidate &Item) {
  ObjectText text;
  text.addText("server", Item.Choice.Id);
  text.addText("address", Item.Choice.Address);
  text.addText("failure_domain", Item.Choice.FailureDomain);
  text.addText("version", Item.Choice.Version);
  text.addText("bar", Item.Bar);
  text.addFlag("last_resort", Item.LastResort);
  text.addFlag("avoided", Item.Avoided);
  text.addFlag("full", Item.Full);
  text.add("load", number(Item.Load));
  text.add("failure_rate", number(Item.FailureRate));
  text.add("pace", number(Item.Pace));
  text.add("score", number(Item.Score));
  text.add("knee", Item.Capacity.Known ? number(Item.Capacity.Knee) : "null");
  text.addNumber("limit_per_s", Item.LimitPerSecond);
  return text.str();
}

std::string serviceText(const ServiceExplanation &Item) {
  ObjectText text;
  text.addText("service", Item.Service);
  text.add("weight", std::to_string(Item.Weight));
  text.add("ranks_above", std::to_string(Item.Rank.Above));
  text.add("ranks_below", std::to_string(Item.Rank.Below));
  text.add("waiting", std::to_string(Item.Waiting));
  text.addFlag("contended", Item.Contended);
  text.add("reserved_tokens", std::to_string(Item.ReservedTokens));
  text.add("admitted_share", number(Item.AdmittedShare));
  text.addFlag("passed_on", Item.PassedOn);
  text.addText("refusal", Item.Refusal);
  text.add("retry_after_ms", std::to_string(Item.RetryAfter.count()));
  text.add("stages", listText(Item.Stages, [](const StageExplanation &Stage) {
             ObjectText stage;
             stage.addText("stage", nameOf(Stage.Stage));
             stage.add("servers", listText(Stage.Candidates, candidateText));
             return stage.str();
           }));
  return text.str();
}

const char *nameOf(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Idempotent:
    return "idempotent";
  case RouteKind::NonIdempotent:
    return "non_idempotent";
  case RouteKind::Stream:
    return "stream";
  }
  return "";
}

std::string routeText(const PathRoute &Route) {
  ObjectText text;
  text.addText("name", Route.Name);
  text.addText("host", Route.Host);
  text.addText("path_prefix", Route.PathPrefix);
  text.addText("kind", nameOf(Route.Kind));
  text.add("priority", std::to_string(Route.Priority));
  text.addTime("timeout_ms", Route.Timeout);
  text.addTime("latency_target_ms", Route.LatencyTarget);
  text.add("max_servers", std::to_string(Route.MaxServers));
  text.addFlag("resumable", Route.Resumable);
  text.addFlag("public", Route.Public);
  return text.str();
}

std::string quotaText(const RouteExplanation &Item) {
  ObjectText text;
  text.add("tokens", std::to_string(Item.QuotaTokens));
  text.addNumber("rate_per_s", Item.QuotaPerSecond);
  if (Item.Quota) {
    text.add("leased_tokens", std::to_string(Item.Quota->LeasedTokens));
    text.addText("home", Item.Quota->Home);
    text.addTime("home_heard_ago_ms", Item.Quota->HomeHeardAgo);
    text.addNumber("bucket_level", Item.Quota->BucketLevel);
    text.addFlag("local_share", Item.Quota->UsesLocalShare);
  }
  return text.str();
}

bool parseCount(const std::string &Text, uint64_t &Value) {
  const char *end = Text.data() + Text.size();
  auto result = std::from_chars(Text.data(), end, Value);
  return result.ec == std::errc() && result.ptr == end;
}

} // namespace

RoutingState copyRoutingState(GatewayRuntime &Runtime,
                              const std::string &Account) {
  ServiceDirectory::ServersCopy servers = Runtime.Directory.copyServers();
  RoutingState state{Runtime.Directory.routes(),
                     std::move(servers.Registry),
                     std::move(servers.Outputs),
                     Runtime.Queues.copies(),
                     {},
                     {},
                     {}};
  for (const AccountUse &it : Runtime.Quotas.uses())
    if (it.Account == Account)
      state.Quota = {it.LeasedTokens, it.Home, it.HomeHeardAgo, it.BucketLevel,
                     it.UsesLocalShare};
  for (const ServerLimit &it : Runtime.Limits.active())
    if (it.PerSecond)
      state.LimitsPerSecond[it.ServerId] = *it.PerSecond;
  for (const auto &[service, config] : state.Document->Services)
    if (Runtime.Connections.reachability().isCutOff(service))
      state.CutOffFrom.insert(service);
  return state;
}

std::string formatExplanation(const RouteExplanation &Explanation,
                              const std::string &Instance) {
  ObjectText text;
  text.addText("instance", Instance);
  text.add("config_version", std::to_string(Explanation.ConfigVersion));
  text.add("route", Explanation.Route ? routeText(*Explanation.Route) : "null");
  text.addFlag("refused", isRefused(Explanation));
  text.addText("refusal", Explanation.Refusal);
  text.add("quota",
           Explanation.QuotaPerSecond ? quotaText(Explanation) : "null");
  text.add("services", listText(Explanation.Services, serviceText));
  return text.str();
}

std::optional<RouteQuestion> parseRouteQuestion(const std::string &Target) {
  RouteQuestion question;
  GenerationSize size;
  try {
    for (const auto &[name, value] : Poco::URI(Target).getQueryParameters()) {
      if (name == "host")
        question.Host = value;
      else if (name == "path")
        question.Path = value;
      else if (name == "account")
        question.Account = value;
      else if (name == "prompt_tokens" && parseCount(value, size.PromptTokens))
        question.Size = size;
      else if (name == "output_tokens" &&
               parseCount(value, size.MaxOutputTokens))
        question.Size = size;
      else
        return std::nullopt;
    }
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
  if (question.Host.empty() || question.Path.empty())
    return std::nullopt;
  return question;
}

} // namespace crocusspur::gateway
