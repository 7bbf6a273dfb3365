#include "gateway/decisions/route_table.h"

#include <algorithm>
#include <limits>
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

// Number of ranks that each rank of an account is divided into.
uint64_t routeRanks(const RouteDocument &Document) {
  uint64_t most = 0;
  for (const PathRoute &it : Document.Routes)
    most = std::max<uint64_t>(most, it.Priority);
  return most + 1;
}

uint32_t rankOf(uint32_t Level, uint64_t RanksPerLevel,
                uint32_t RoutePriority) {
  uint64_t rank = Level * RanksPerLevel + RoutePriority;
  return static_cast<uint32_t>(
      std::min<uint64_t>(rank, std::numeric_limits<uint32_t>::max()));
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

uint32_t requestRank(const RouteDocument &Document,
                     const ClientAccount *Account, uint32_t RoutePriority) {
  return rankOf(Document.Accounts.level(Account), routeRanks(Document),
                RoutePriority);
}

RankPosition rankAmong(const RouteDocument &Document,
                       const std::string &Service, uint32_t Rank) {
  std::set<uint32_t> ranks;
  uint64_t perLevel = routeRanks(Document);
  for (const PathRoute &it : Document.Routes) {
    if (std::ranges::find(it.Services, Service, &WeightedService::Service) ==
        it.Services.end())
      continue;
    for (uint32_t level = 0; level < Document.Accounts.levels(); ++level)
      ranks.insert(rankOf(level, perLevel, it.Priority));
    if (it.Public) // also without an account
      ranks.insert(
          rankOf(Document.Accounts.level(nullptr), perLevel, it.Priority));
  }
  RankPosition position;
  for (uint32_t it : ranks) {
    position.Above += it < Rank ? 1 : 0;
    position.Below += it > Rank ? 1 : 0;
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
