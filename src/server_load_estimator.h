// Estimates the load of one backend server from its delayed reports and the
// grants that this instance has made since.
#ifndef CROCUSSPUR_SERVER_LOAD_ESTIMATOR_H
#define CROCUSSPUR_SERVER_LOAD_ESTIMATOR_H

#include "crocusspur/event.h"
#include "crocusspur/types.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusspur::internal {

class ServerLoadEstimator {
public:
  // Returns true for requests that this instance accounts for, on any server.
  using IsKnownId = std::function<bool(const RequestId &)>;

  void setSlots(uint32_t Count) { Slots = Count; }
  // If set, the ids in reports include requests that only hold memory, so their
  // number isn't the number of running requests (prefill servers).
  void setIdsIncludeIdle(bool Include) { IdsIncludeIdle = Include; }

  // Record that a request of this instance occupies a slot, or no longer does.
  // A repeated grant counts once.
  void onGranted(const RequestId &Id, TimePoint Now);
  void onEnded(const RequestId &Id, TimePoint Now);
  // Records a request that an entry instance re-asserts. Until then it counted
  // as load of others.
  void onAdopted(const RequestId &Id);
  // Returns true if the server process has restarted since the last report.
  bool onReport(const LoadReported &Report, const IsKnownId &Known,
                TimePoint Now);
  // Records that the server refused a request for lack of a slot. It counts as
  // full until a report that was measured later, at most for one second.
  void onRefusedFull(TimePoint Now);
  // Records a failure of the server. It counts as unreachable until its next
  // report, at most for one second.
  void onFailed(TimePoint Now);

  bool reachable(TimePoint Now) const;
  uint32_t own() const { return static_cast<uint32_t>(Own.size()); }
  // Estimated number of requests of others that the server runs.
  uint32_t foreign(TimePoint Now) const;
  uint32_t load(TimePoint Now) const { return own() + foreign(Now); }
  uint32_t free(TimePoint Now) const;
  uint32_t slots() const { return Slots; }
  // Running and queued requests of the last report, without any correction.
  uint32_t reportedLoad() const { return LastReported; }
  // Counts the server as full until the next report.
  void holdUntilReport() { Held = true; }
  void endHold() { Held = false; }
  bool held() const { return Held; }
  bool runs(const RequestId &Id) const { return Own.count(Id) > 0; }
  // Requests of the last report that this instance doesn't account for.
  const std::vector<RequestId> &unknownIds() const { return Unknown; }

private:
  void removeUnknown(const RequestId &Id);
  struct EndedGrant {
    RequestId Id;
    TimePoint From;
    TimePoint To;
  };
  uint32_t ownAt(TimePoint At) const;
  bool endedRecently(const RequestId &Id, TimePoint Now) const;
  void pruneEnded(TimePoint Now);

  std::unordered_map<RequestId, TimePoint> Own;
  std::deque<EndedGrant> Ended;
  std::vector<RequestId> Unknown;
  uint32_t Slots = 0;
  uint32_t CountedForeign = 0; // by the counts of the last report
  uint32_t LastReported = 0;
  uint32_t RefusedForeign = 0;
  TimePoint RefusedAt{};
  TimePoint FailedUntil{};
  uint64_t Epoch = 0;
  bool IdsIncludeIdle = false;
  bool ReportsIds = false;
  bool Held = false;
  bool Reachable = true;
  bool Refused = false;
};

// Estimates the transfers in progress over the link of one server.
class LinkLoadEstimator {
public:
  void setRate(double BytesPerSecond) { Rate = BytesPerSecond; }
  double rate() const { return Rate; }
  void add(double Bytes, TimePoint Now);
  double bytesInFlight(TimePoint Now) const;
  // Seconds until the transfers in progress are complete.
  double backlogSeconds(TimePoint Now) const;

private:
  double Rate = 1e9;
  double Bytes = 0;
  TimePoint At{};
};

} // namespace crocusspur::internal

#endif
