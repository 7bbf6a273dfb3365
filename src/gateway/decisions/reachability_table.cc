#include "gateway/decisions/reachability_table.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Different servers that must fail without a response in between. Two may be
// lost at once, or one and a full one.
constexpr size_t CutOffFailures = 3;
// A failure that isn't repeated says nothing after this time. Probes repeat
// them while a service isn't reached.
constexpr Milliseconds FailureValidity{5000};

} // namespace

const char *nameOf(Reachability State) {
  switch (State) {
  case Reachability::Reached:
    return "reached";
  case Reachability::Suspected:
    return "suspected";
  case Reachability::CutOff:
    break;
  }
  return "cut_off";
}

void ReachabilityTable::onResponded(const std::string &Service,
                                    TimePoint StartedAt, TimePoint Now) {
  auto &service = Services[Service];
  service.RespondedAt = Now;
  service.RespondedStart = std::max(service.RespondedStart, StartedAt);
  std::erase_if(service.Failed,
                [&](const auto &It) { return It.second <= StartedAt; });
  if (service.SilentSince && *service.SilentSince <= StartedAt)
    service.SilentSince.reset();
}

void ReachabilityTable::onFailed(const std::string &Service,
                                 const std::string &ServerId,
                                 TimePoint StartedAt, TimePoint Now) {
  auto &service = Services[Service];
  if (StartedAt >= service.RespondedStart)
    service.Failed[ServerId] = Now;
}

void ReachabilityTable::onSilent(const std::string &Service,
                                 TimePoint StartedAt, TimePoint Now) {
  auto &service = Services[Service];
  if (StartedAt >= service.RespondedStart && !service.SilentSince)
    service.SilentSince = Now;
}

std::vector<std::string>
ReachabilityTable::failedServers(const std::string &Service,
                                 TimePoint Now) const {
  std::vector<std::string> ids;
  auto found = Services.find(Service);
  if (found != Services.end())
    for (const auto &[id, at] : found->second.Failed)
      if (at + FailureValidity > Now)
        ids.push_back(id);
  return ids;
}

Reachability ReachabilityTable::stateOf(const std::string &Service,
                                        size_t Servers, TimePoint Now) const {
  auto found = Services.find(Service);
  if (found == Services.end())
    return Reachability::Reached;
  size_t failed = failedServers(Service, Now).size();
  if (failed > 0 && failed >= std::min(CutOffFailures, Servers))
    return Reachability::CutOff;
  const std::optional<TimePoint> &silent = found->second.SilentSince;
  return failed > 0 || (silent && *silent + FailureValidity > Now)
             ? Reachability::Suspected
             : Reachability::Reached;
}

std::vector<ServiceReach> ReachabilityTable::reached(
    const std::function<size_t(const std::string &Service)> &CountServers,
    TimePoint Now) const {
  std::vector<ServiceReach> all;
  for (const auto &[name, service] : Services)
    if (service.RespondedAt &&
        stateOf(name, CountServers(name), Now) != Reachability::CutOff)
      all.push_back({name, std::chrono::duration_cast<Milliseconds>(
                               Now - *service.RespondedAt)});
  return all;
}

std::vector<std::string> ReachabilityTable::services() const {
  std::vector<std::string> names;
  for (const auto &[name, service] : Services)
    names.push_back(name);
  return names;
}

} // namespace crocusspur::gateway
