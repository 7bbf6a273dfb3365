// Estimates the load of one backend server from its lagging reports and from
// the grants that this instance has given since then.
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
  // True for requests that this instance accounts for, on any server.
  using IsKnownId = std::function<bool(const RequestId &)>;

  void setSlots(uint32_t Count) { Slots = Count; }
  // `Held`: the ids in reports also name requests that only hold memory, so
  // they don't tell the number that runs (prefill servers).
  void setIdsIncludeIdle(bool Include) { IdsIncludeIdle = Include; }

  // A request of this instance occupies a slot, or no longer does. Granting
  // twice counts once.
  void onGranted(const RequestId &Id, TimePoint Now);
  void onEnded(const RequestId &Id, TimePoint Now);
  // A request that an entry re-asserts; it was part of the load of others.
  void onAdopted(const RequestId &Id);
  // Returns true if the server process has restarted since the last report.
  bool onReport(const LoadReported &Report, const IsKnownId &Known,
                TimePoint Now);
  // The server refused a request for lack of a slot: it counts as full until
  // a report that was measured later, or for one second.
  void onRefusedFull(TimePoint Now);
  // The server failed: it gets nothing until it reports again, or for one
  // second.
  void onFailed(TimePoint Now);

  bool reachable(TimePoint Now) const;
  uint32_t own() const { return static_cast<uint32_t>(Own.size()); }
  // Work of others that the server is believed to run.
  uint32_t foreign(TimePoint Now) const;
  uint32_t load(TimePoint Now) const { return own() + foreign(Now); }
  uint32_t free(TimePoint Now) const;
  uint32_t slots() const { return Slots; }
  // Running and queued by the last report, without any correction.
  uint32_t reportedLoad() const { return LastReported; }
  // Gets nothing until the next report.
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
  uint32_t CountedForeign = 0; // from the counts of the last report
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

// Transfers under way over the link of one server.
class LinkLoadEstimator {
public:
  void setRate(double BytesPerSecond) { Rate = BytesPerSecond; }
  double rate() const { return Rate; }
  void add(double Bytes, TimePoint Now);
  double bytesInFlight(TimePoint Now) const;
  // Seconds until the transfers under way are over.
  double backlogSeconds(TimePoint Now) const;

private:
  double Rate = 1e9;
  double Bytes = 0;
  TimePoint At{};
};

} // namespace crocusspur::internal

#endif
