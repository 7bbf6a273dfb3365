#include "gateway/decisions/stream_resumption.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Callers state the time left in whole milliseconds as of when they sent, and
// requests may be delayed on their way.
constexpr Milliseconds AgeMargin{1000};

std::optional<VersionKey>
recordedVersion(const OriginKnowledge &Own,
                const std::vector<OriginKnowledge> &Peers) {
  std::optional<VersionKey> found = Own.Recorded;
  for (const OriginKnowledge &it : Peers) {
    if (!it.Recorded)
      continue;
    if (found && *found != *it.Recorded)
      return VersionKey(0);
    found = it.Recorded;
  }
  return found;
}

} // namespace

ResumptionDecision decideResumption(const OriginKnowledge &Own,
                                    const std::vector<OriginKnowledge> &Peers,
                                    std::optional<VersionKey> CurrentVersion) {
  if (std::optional<VersionKey> recorded = recordedVersion(Own, Peers)) {
    if (*recorded == 0)
      return {std::nullopt, "contradictory records"};
    return {recorded, "recorded"};
  }
  if (!CurrentVersion)
    return {std::nullopt, "no record"};
  auto confirms = [&](const OriginKnowledge &It) {
    return It.SoleVersion == CurrentVersion;
  };
  if (confirms(Own) || std::ranges::any_of(Peers, confirms))
    return {CurrentVersion, "only version"};
  return {std::nullopt, "no record"};
}

Milliseconds maxStreamAge(Milliseconds MaxTimeLeft, Milliseconds TimeLeft) {
  return std::max(Milliseconds(0), MaxTimeLeft - TimeLeft) + AgeMargin;
}

} // namespace crocusspur::gateway
