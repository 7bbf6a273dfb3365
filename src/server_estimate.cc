#include "server_estimate.h"

#include <algorithm>

namespace crocusspur::internal {

// How long a refusal or a failure counts when no newer report comes.
static constexpr Milliseconds CorrectionLife{1000};

// Ended grants are remembered for this long, which bounds the age of a report
// that they can be compared with.
static constexpr Milliseconds PastKept{3000};

// A report may name a request for this long after its end, since the end and
// the report travel on different ways.
static constexpr Milliseconds EndTransit{1000};

void ServerEstimate::granted(const RequestId &Id, TimePoint Now) {
  Own.emplace(Id, Now);
  claim(Id);
}

void ServerEstimate::ended(const RequestId &Id, TimePoint Now) {
  auto it = Own.find(Id);
  if (it == Own.end())
    return;
  Ended.push_back({Id, it->second, Now});
  Own.erase(it);
  forgetPast(Now);
}

void ServerEstimate::adopted(const RequestId &Id) {
  // Granted before any report, so that it counts as own in late reports too.
  if (Own.emplace(Id, TimePoint::min()).second && !GivesIds && CountedForeign)
    --CountedForeign;
  claim(Id);
}

void ServerEstimate::claim(const RequestId &Id) {
  Unknown.erase(std::remove(Unknown.begin(), Unknown.end(), Id), Unknown.end());
}

void ServerEstimate::forgetPast(TimePoint Now) {
  while (!Ended.empty() && Ended.front().To + PastKept < Now)
    Ended.pop_front();
}

uint32_t ServerEstimate::ownAt(TimePoint At) const {
  uint32_t count = 0;
  for (const auto &[id, from] : Own)
    count += from <= At;
  for (const Past &it : Ended)
    count += it.From <= At && At < it.To;
  return count;
}

bool ServerEstimate::endedLately(const RequestId &Id, TimePoint Now) const {
  return std::any_of(Ended.begin(), Ended.end(), [&](const Past &It) {
    return It.Id == Id && Now < It.To + EndTransit;
  });
}

bool ServerEstimate::report(const LoadReported &Report, const KnownIds &Known,
                            TimePoint Now) {
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
    if (!Own.count(it) && !Known(it) && !endedLately(it, Now))
      Unknown.push_back(it);
  GivesIds |= !Report.RequestIds.empty();
  if (measured > RefusedAt)
    Refused = false;
  forgetPast(Now);
  return restarted;
}

void ServerEstimate::refusedFull(TimePoint Now) {
  Refused = true;
  RefusedAt = Now;
  RefusedForeign = Slots > own() ? Slots - own() : 0;
}

void ServerEstimate::failed(TimePoint Now) {
  FailedUntil = Now + CorrectionLife;
}

bool ServerEstimate::reachable(TimePoint Now) const {
  return Reachable && Now >= FailedUntil;
}

uint32_t ServerEstimate::foreign(TimePoint Now) const {
  auto listed = static_cast<uint32_t>(Unknown.size());
  // The ids are current while the counts lag, so ids decide where a server
  // gives them. Memory held without running only bounds the count.
  uint32_t count = !GivesIds       ? CountedForeign
                   : IdsHoldMemory ? std::min(listed, CountedForeign)
                                   : listed;
  if (Refused && Now < RefusedAt + CorrectionLife)
    count = std::max(count, RefusedForeign);
  return count;
}

uint32_t ServerEstimate::free(TimePoint Now) const {
  if (Held)
    return 0;
  uint32_t used = load(Now);
  return used < Slots ? Slots - used : 0;
}

void LinkEstimate::add(double More, TimePoint Now) {
  Bytes = bytesInFlight(Now) + More;
  At = Now;
}

double LinkEstimate::bytesInFlight(TimePoint Now) const {
  double sent = std::chrono::duration<double>(Now - At).count() * Rate;
  return std::max(0.0, Bytes - sent);
}

double LinkEstimate::backlogSeconds(TimePoint Now) const {
  return Rate > 0 ? bytesInFlight(Now) / Rate : 0;
}

} // namespace crocusspur::internal
