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
                       const std::string &Service, uint32_t Priority) {
  std::set<uint32_t> ranks;
  for (const PathRoute &it : Document.Routes)
    if (std::ranges::find(it.Services, Service, &WeightedService::Service) !=
        it.Services.end())
      ranks.insert(it.Priority);
  RankPosition position;
  for (uint32_t it : ranks) {
    position.Above += it < Priority ? 1 : 0;
    position.Below += it > Priority ? 1 : 0;
  }
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
