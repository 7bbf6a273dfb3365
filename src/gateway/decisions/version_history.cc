#include "gateway/decisions/version_history.h"

#include "gateway/decisions/stream_resumption.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Instances learn of a removed entry at different times, and some use its
// server as a last resort for a while.
constexpr Milliseconds OtherInstancesDelay{4000};
// Versions whose servers have been gone for this long are forgotten.
constexpr std::chrono::minutes Retention = MaxStreamAge;

} // namespace

void VersionHistory::onServer(const ServerEntry &Entry, TimePoint Now) {
  VersionKey version = versionKeyOf(Entry.Version);
  auto known = Places.find(Entry.Id);
  if (known != Places.end() && (known->second.Service != Entry.Service ||
                                known->second.Version != version))
    onServerGone(Entry.Id, Now);
  Places[Entry.Id] = {Entry.Service, version};
  Services[Entry.Service][version].Servers.insert(Entry.Id);
}

void VersionHistory::onServerGone(const std::string &Id, TimePoint LastUse) {
  auto place = Places.find(Id);
  if (place == Places.end())
    return;
  auto &versions = Services[place->second.Service];
  Use &use = versions[place->second.Version];
  use.Servers.erase(Id);
  use.LastUse = std::max(use.LastUse, LastUse + OtherInstancesDelay);
  std::erase_if(versions, [&](const auto &It) {
    return It.second.Servers.empty() && It.second.LastUse + Retention < LastUse;
  });
  Places.erase(place);
}

std::optional<VersionKey>
VersionHistory::soleVersion(const std::string &Service, TimePoint From) const {
  auto versions = Services.find(Service);
  if (!CoveredSince || *CoveredSince > From || versions == Services.end())
    return std::nullopt;
  std::optional<VersionKey> sole;
  for (const auto &[version, use] : versions->second) {
    if (use.Servers.empty() && use.LastUse < From)
      continue;
    if (sole)
      return std::nullopt;
    sole = version;
  }
  return sole;
}

} // namespace crocusspur::gateway
