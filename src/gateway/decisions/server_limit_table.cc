#include "gateway/decisions/server_limit_table.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

// A server that nobody calls states nothing; the next call to it shows whether
// its limit still holds. After this long it has probably ended.
constexpr std::chrono::seconds Retention{60};
// Limits sent to a peer, about 76 bytes each.
constexpr size_t MaxKnown = 64;
// Receipts by two instances are ordered by ages in whole milliseconds.
constexpr Milliseconds AgeTolerance{2};
// Bounds what peers can make an instance keep.
constexpr size_t MaxServers = 1024;
// Higher limits have no effect; keeps the arithmetic in range.
constexpr double MaxPerSecond = 1e6;

} // namespace

ServerLimitTable::StateMap::iterator
ServerLimitTable::addServer(const std::string &ServerId) {
  if (Limits.size() >= MaxServers)
    Limits.erase(std::ranges::min_element(
        Limits, {}, [](const auto &It) { return It.second.ReceivedAt; }));
  return Limits.try_emplace(ServerId).first;
}

bool ServerLimitTable::onResponse(const std::string &ServerId,
                                  const StatedLimit &Limit, TimePoint SentAt,
                                  TimePoint Now) {
  if (Limit.Malformed && !Limit.PerSecond)
    return false;
  auto it = Limits.find(ServerId);
  if (it == Limits.end()) {
    if (!Limit.PerSecond)
      return false;
    it = addServer(ServerId);
  } else if (SentAt < it->second.SentAt &&
             (!Limit.PerSecond || (it->second.PerSecond &&
                                   *Limit.PerSecond >= *it->second.PerSecond)))
    return false;
  std::optional<double> value = Limit.PerSecond;
  if (value)
    value = std::clamp(*value, 0.0, MaxPerSecond);
  bool changed = value != it->second.PerSecond;
  it->second = {value, Now, std::max(SentAt, it->second.SentAt), Instance};
  return changed;
}

bool ServerLimitTable::merge(const ServerLimit &Item, TimePoint Now) {
  if (Item.Age >= Retention || Item.Age < Milliseconds(0))
    return false;
  TimePoint at = Now - Item.Age;
  auto it = Limits.find(Item.ServerId);
  if (it == Limits.end()) {
    if (!Item.PerSecond)
      return false;
    it = addServer(Item.ServerId);
  } else if (at <= it->second.ReceivedAt + AgeTolerance)
    return false;
  std::optional<double> value = Item.PerSecond;
  if (value)
    value = std::clamp(*value, 0.0, MaxPerSecond);
  bool changed = value != it->second.PerSecond;
  it->second = {value, at, at, Item.Source};
  return changed;
}

ServerLimit ServerLimitTable::limitOf(const std::string &ServerId,
                                      const State &Item, TimePoint Now) const {
  return {ServerId, Item.PerSecond,
          std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(
                                        Now - Item.ReceivedAt)),
          Item.Source};
}

std::optional<ServerLimit> ServerLimitTable::find(const std::string &ServerId,
                                                  TimePoint Now) const {
  auto it = Limits.find(ServerId);
  if (it == Limits.end() || !it->second.PerSecond ||
      it->second.ReceivedAt + Retention <= Now)
    return std::nullopt;
  return limitOf(ServerId, it->second, Now);
}

std::vector<ServerLimit> ServerLimitTable::known(TimePoint Now) const {
  std::vector<ServerLimit> all;
  for (const auto &[id, it] : Limits)
    if (it.ReceivedAt + Retention > Now)
      all.push_back(limitOf(id, it, Now));
  if (all.size() > MaxKnown) {
    std::ranges::partial_sort(all, all.begin() + MaxKnown, {},
                              &ServerLimit::Age);
    all.resize(MaxKnown);
  }
  return all;
}

void ServerLimitTable::expire(TimePoint Now) {
  std::erase_if(Limits, [&](const auto &It) {
    return It.second.ReceivedAt + Retention <= Now;
  });
}

} // namespace crocusspur::gateway
