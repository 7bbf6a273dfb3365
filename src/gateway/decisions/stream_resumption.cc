#include "gateway/decisions/stream_resumption.h"

#include "gateway/decisions/stream_origin_table.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {
namespace {

// A request that its caller sends before its deadline may arrive that much
// later.
constexpr Milliseconds ArrivalMargin{2000};

// For how long a process serves before its entry is known everywhere: about the
// time between two heartbeats, and the way of the change.
constexpr Milliseconds LatestEntry{1500};

std::optional<VersionKey> possibleVersion(const OriginKnowledge &Known) {
  return Known.UnprovenVersion != 0 ? Known.UnprovenVersion : Known.Recorded;
}

std::optional<VersionKey>
recordedVersion(const OriginKnowledge &Own,
                const std::vector<OriginKnowledge> &Peers) {
  std::optional<VersionKey> found = possibleVersion(Own);
  for (const OriginKnowledge &it : Peers) {
    std::optional<VersionKey> version = possibleVersion(it);
    if (!version)
      continue;
    if (found && *found != *version)
      return VersionKey(0);
    found = version;
  }
  return found;
}

} // namespace

ResumptionDecision decideResumption(const OriginKnowledge &Own,
                                    const std::vector<OriginKnowledge> &Peers,
                                    std::optional<VersionKey> OnlyVersion) {
  if (std::optional<VersionKey> recorded = recordedVersion(Own, Peers)) {
    if (*recorded == 0)
      return {std::nullopt, "contradictory records"};
    ResumptionDecision decision{recorded, "recorded"};
    const OriginKnowledge *source = Own.Recorded ? &Own : nullptr;
    // A process that isn't certain for one of them is in doubt, and has to be
    // shown if it isn't proven for one.
    for (const OriginKnowledge &it : Peers) {
      bool isProven = !source || source->UnprovenVersion == 0;
      if (it.Recorded && (!source || source->Server.Id.empty() ||
                          (isProven && it.UnprovenVersion != 0)))
        source = &it;
    }
    decision.Server = source->Server;
    decision.RecordedAgo = source->RecordedAgo;
    decision.IsUnproven = source->UnprovenVersion != 0;
    return decision;
  }
  return {OnlyVersion, OnlyVersion ? "only version" : "no record"};
}

std::vector<OriginKnowledge> collectKnowledge(size_t Keepers,
                                              const AskKeeper &Ask) {
  std::vector<OriginKnowledge> known;
  for (size_t i = 0; i < Keepers; ++i) {
    std::optional<OriginKnowledge> knowledge = Ask(i);
    if (!knowledge)
      continue;
    known.push_back(std::move(*knowledge));
    if (known.back().isFinal())
      break;
  }
  return known;
}

bool isRecorded(const OriginKnowledge &Own,
                const std::vector<OriginKnowledge> &Peers) {
  return recordedVersion(Own, Peers).has_value();
}

OriginDoubt doubtOrigin(const ServerProcess &Recorded, Milliseconds RecordedAgo,
                        const ProcessNow &Now) {
  if (Recorded.Id.empty() || !Now.Entry)
    return OriginDoubt::None;
  if (*Now.Entry == Recorded)
    return OriginDoubt::AskServer;
  bool hasServedBefore = RecordedAgo < Now.MaxEntryAge + LatestEntry;
  return Now.Entry->Version != Recorded.Version && hasServedBefore
             ? OriginDoubt::Wrong
             : OriginDoubt::None;
}

Milliseconds originLifetime(std::optional<Milliseconds> TimeLeft) {
  constexpr Milliseconds Longest(MaxStreamAge);
  if (!TimeLeft)
    return Longest;
  return std::clamp(*TimeLeft, Milliseconds(0), Longest) + ArrivalMargin;
}

} // namespace crocusspur::gateway
