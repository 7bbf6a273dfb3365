#include "gateway/decisions/route_table.h"

#include <algorithm>
#include <set>
#include <strings.h>

namespace crocusspur::gateway {
namespace {

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

bool sameHost(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

const PathRoute *findRoute(const RouteDocument &Document, std::string_view Host,
                           std::string_view Path) {
  Host = withoutPort(Host);
  Path = Path.substr(0, Path.find('?'));
  const PathRoute *best = nullptr;
  for (const PathRoute &it : Document.Routes)
    if (sameHost(it.Host, Host) && Path.starts_with(it.PathPrefix) &&
        (!best || it.PathPrefix.size() > best->PathPrefix.size()))
      best = &it;
  return best;
}

RankPosition rankAmong(const RouteDocument &Document,
                       const std::string &Service, const RequestRank &Rank) {
  std::set<RequestRank> ranks;
  for (const PathRoute &it : Document.Routes) {
    if (std::ranges::find(it.Services, Service, &WeightedService::Service) ==
        it.Services.end())
      continue;
    if (Document.Accounts.empty() || it.Public)
      ranks.insert(requestRank(std::nullopt, it.Priority));
    for (std::optional<uint32_t> priority : Document.Accounts.priorities())
      ranks.insert(requestRank(priority, it.Priority));
  }
  RankPosition position;
  uint32_t sameAccount = 0;      // ranks that differ by the route only
  uint32_t sameAccountAbove = 0; // of them, those that are more urgent
  for (const RequestRank &it : ranks) {
    position.Above += it < Rank ? 1 : 0;
    position.Below += it > Rank ? 1 : 0;
    sameAccount += it.Account == Rank.Account ? 1 : 0;
    sameAccountAbove += it.Account == Rank.Account && it < Rank ? 1 : 0;
  }
  // The most urgent accounts go first with all kinds of request.
  bool isFirstAccount = position.Above == sameAccountAbove;
  if (sameAccount > 1 && sameAccount < ranks.size())
    position.IntervalSteps = isFirstAccount ? 0 : sameAccountAbove;
  return position;
}

const std::string &chooseService(const PathRoute &Route, uint64_t Draw) {
  uint64_t sum = 0;
  for (const WeightedService &it : Route.Services)
    sum += it.Weight;
  uint64_t left = sum ? Draw % sum : 0;
  for (const WeightedService &it : Route.Services) {
    if (left < it.Weight)
      return it.Service;
    left -= it.Weight;
  }
  return Route.Services.front().Service;
}

} // namespace crocusspur::gateway
