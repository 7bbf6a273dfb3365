#include "server_load_estimator.h"

#include <algorithm>

namespace crocusspur::internal {

// A refusal or a failure counts for at most this long without a newer report.
static constexpr Milliseconds MaxCorrectionAge{1000};

// Ended grants are kept for this long, which bounds the age of the reports that
// they can be compared with.
static constexpr Milliseconds EndedRetention{3000};

// A report may still list a request for this long after its end, since the end
// and the report arrive over different paths.
static constexpr Milliseconds EndedReportDelay{1000};

void ServerLoadEstimator::onGranted(const RequestId &Id, TimePoint Now) {
  Own.emplace(Id, Now);
  removeUnknown(Id);
}

void ServerLoadEstimator::onEnded(const RequestId &Id, TimePoint Now) {
  auto it = Own.find(Id);
  if (it == Own.end())
    return;
  Ended.push_back({Id, it->second, Now});
  Own.erase(it);
  pruneEnded(Now);
}

void ServerLoadEstimator::onAdopted(const RequestId &Id) {
  // Starts before any report, so that the request counts as own in delayed
  // reports too.
  if (Own.emplace(Id, TimePoint::min()).second && !ReportsIds && CountedForeign)
    --CountedForeign;
  removeUnknown(Id);
}

void ServerLoadEstimator::removeUnknown(const RequestId &Id) {
  Unknown.erase(std::remove(Unknown.begin(), Unknown.end(), Id), Unknown.end());
}

void ServerLoadEstimator::pruneEnded(TimePoint Now) {
  while (!Ended.empty() && Ended.front().To + EndedRetention < Now)
    Ended.pop_front();
}

uint32_t ServerLoadEstimator::ownAt(TimePoint At) const {
  uint32_t count = 0;
  for (const auto &[id, from] : Own)
    count += from <= At;
  for (const EndedGrant &it : Ended)
    count += it.From <= At && At < it.To;
  return count;
}

bool ServerLoadEstimator::endedRecently(const RequestId &Id,
                                        TimePoint Now) const {
  return std::any_of(Ended.begin(), Ended.end(), [&](const EndedGrant &It) {
    return It.Id == Id && Now < It.To + EndedReportDelay;
  });
}

bool ServerLoadEstimator::onReport(const LoadReported &Report,
                                   const IsKnownId &Known, TimePoint Now) {
  Reachable = Report.Reachable;
  if (!Report.Reachable)
    return false;
  TimePoint measured = Now - Report.Age;
  FailedUntil = {};
  bool restarted = Epoch != 0 && Epoch != Report.Epoch;
  Epoch = Report.Epoch;
  Held = false;
  LastReported = Report.Running + Report.Queued;
  uint32_t running = Report.Running + Report.Queued;
  uint32_t own = ownAt(measured);
  CountedForeign = running > own ? running - own : 0;
  Unknown.clear();
  for (const RequestId &it : Report.RequestIds)
    if (!Own.count(it) && !Known(it) && !endedRecently(it, Now))
      Unknown.push_back(it);
  ReportsIds |= !Report.RequestIds.empty();
  if (measured > RefusedAt)
    Refused = false;
  pruneEnded(Now);
  return restarted;
}

void ServerLoadEstimator::onRefusedFull(TimePoint Now) {
  Refused = true;
  RefusedAt = Now;
  RefusedForeign = Slots > own() ? Slots - own() : 0;
}

void ServerLoadEstimator::onFailed(TimePoint Now) {
  FailedUntil = Now + MaxCorrectionAge;
}

bool ServerLoadEstimator::reachable(TimePoint Now) const {
  return Reachable && Now >= FailedUntil;
}

uint32_t ServerLoadEstimator::foreign(TimePoint Now) const {
  auto listed = static_cast<uint32_t>(Unknown.size());
  // Ids are current while counts lag, so ids are used if the server reports
  // them. Ids that include requests that only hold memory are just an upper
  // bound.
  uint32_t count = !ReportsIds      ? CountedForeign
                   : IdsIncludeIdle ? std::min(listed, CountedForeign)
                                    : listed;
  if (Refused && Now < RefusedAt + MaxCorrectionAge)
    count = std::max(count, RefusedForeign);
  return count;
}

uint32_t ServerLoadEstimator::free(TimePoint Now) const {
  if (Held)
    return 0;
  uint32_t used = load(Now);
  return used < Slots ? Slots - used : 0;
}

void LinkLoadEstimator::add(double MoreBytes, TimePoint Now) {
  Bytes = bytesInFlight(Now) + MoreBytes;
  At = Now;
}

double LinkLoadEstimator::bytesInFlight(TimePoint Now) const {
  double sent = std::chrono::duration<double>(Now - At).count() * Rate;
  return std::max(0.0, Bytes - sent);
}

double LinkLoadEstimator::backlogSeconds(TimePoint Now) const {
  return Rate > 0 ? bytesInFlight(Now) / Rate : 0;
}

} // namespace crocusspur::internal
