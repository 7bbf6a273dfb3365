// Admits requests, starts prefills and places their results on the servers of
// one shard. ShardOwner passes messages to it and renews the leases.
#ifndef CROCUSSPUR_SHARD_SCHEDULER_H
#define CROCUSSPUR_SHARD_SCHEDULER_H

#include "core_context.h"
#include "fair_queue.h"
#include "output_lengths.h"
#include "prefix_affinity.h"
#include "shard_lease.h"
#include "shard_servers.h"
#include "start_rule.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur::internal {

class ShardScheduler {
public:
  // Called when a lease begins and when it ends.
  using LeaseListener =
      std::function<void(const ShardLease &Lease, bool Begins)>;

  ShardScheduler(std::string Shard, LeaseListener OnLease)
      : Servers(Shard), Shard(std::move(Shard)), OnLease(std::move(OnLease)) {}
  ~ShardScheduler();
  ShardScheduler(const ShardScheduler &) = delete;
  ShardScheduler &operator=(const ShardScheduler &) = delete;

  void setFence(uint64_t Number) { Fence = Number; }
  // While set, prefills start only for slots that are already free.
  void setTakingOver(bool Active) { TakingOver = Active; }
  // Applies changes of the configuration and the instance list.
  void sync(const CoreContext &Context);

  ShardServers &servers() { return Servers; }
  const ShardServers &servers() const { return Servers; }
  const std::map<RequestId, ShardLeasePtr> &leases() const { return Leases; }
  ShardLeasePtr find(const RequestId &Id) const;
  uint32_t queueLength() const;

  // Grants, queues or refuses a new request.
  void admit(CoreContext &Context, ShardLeasePtr Lease);
  // Adopts a lease of a former owner, in the stage that the entry instance
  // reports.
  void adopt(CoreContext &Context, ShardLeasePtr Lease,
             const LeaseEntry &Entry);
  // Sends the last grant again, since the entry instance may have missed it.
  void resendGrant(CoreContext &Context, const ShardLease &Lease);

  void prefillDone(CoreContext &Context, ShardLease &Lease, uint64_t KvBytes);
  void prefillLost(CoreContext &Context, ShardLease &Lease, bool ServerFull);
  void decodeLost(CoreContext &Context, ShardLease &Lease,
                  const DecodeLost &Message);
  void setRunAlone(ShardLease &Lease, bool Alone);
  // Replaces the current placement, which the entry instance has abandoned.
  void replacePlacement(CoreContext &Context, ShardLease &Lease);
  void finished(CoreContext &Context, ShardLease &Lease,
                const Finished &Message);
  // Ends the lease and cancels the request on all servers that may hold it.
  void expire(CoreContext &Context, ShardLease &Lease);
  // Ends the lease without cancelling the request.
  void endLease(CoreContext &Context, ShardLease &Lease);

  // Places results and starts prefills for which there are slots now.
  void schedule(CoreContext &Context);
  void onTimer(CoreContext &Context);
  void onCacheEvents(const CacheEventsReported &Report) {
    Affinity.onEvents(Report);
  }
  void onServerRestarted(const std::string &Server) {
    Affinity.discard(Server);
  }

private:
  // Servers on which a prefill can start now.
  struct Plan {
    ShardServer *Prefill = nullptr;
    ShardServer *Decode = nullptr; // set if its slot is reserved from the start
  };
  // Expected waits of a group's next request, not counting the queue.
  struct WaitEstimate {
    double SlotWait = 0;    // seconds until a decode slot is free
    double PrefillWait = 0; // seconds until a prefill slot is free
    double DecodeSlots = 0;
    double PrefillSlots = 0;
  };

  static bool usesReservations(PlacementPolicy Policy) {
    return Policy != PlacementPolicy::RoundRobin &&
           Policy != PlacementPolicy::LeastLoad;
  }

  void addLease(const ShardLeasePtr &Lease);
  void setGroup(const std::string &Name, RequestClass Class);
  void setStage(ShardLease &Lease, LeaseStage Stage);
  void unlink(ShardLease &Lease);
  void reserve(ShardServer &Server, const RequestId &Id);
  void release(const RequestId &Id);

  // Costs and times.
  double prefillSeconds(const ShardServer &Server,
                        const ShardLease &Lease) const;
  double kvBytes(const ShardLease &Lease) const;
  double slotsPerDecodeServer() const;
  SlotCost cost(const ShardLease &Lease) const;
  OutputLengths &lengths(ShardLease &Lease);
  double tokenRate(const std::string &Server) const;
  std::vector<RunningDecode> running(const std::vector<ShardServer *> &Decodes,
                                     TimePoint Now);
  std::vector<double> pending(const std::string &Group, TimePoint Now) const;
  double evictionSeconds() const;
  double dueSeconds(const ShardLease &Lease, TimePoint Now) const;
  uint32_t unknownResults() const;
  StartQuery startQuery(const std::string &Group, TimePoint Now);

  // Admission.
  TimePoint placementDeadline(const ShardLease &Lease) const;
  WaitEstimate estimateWaits(const std::string &Group, TimePoint Now,
                             TimePoint Deadline);
  double firstOutputSeconds(const WaitEstimate &Waits, const ShardLease &Lease,
                            const SlotCost &Ahead, TimePoint Now);
  double runAloneWait(const ShardLease &Lease, TimePoint Now);
  double firstOutputAheadOfQueue(const ShardLease &Lease, TimePoint Now);
  Milliseconds drainTime(const std::string &Group, TimePoint Now);
  bool refuseIfLate(CoreContext &Context, ShardLease &Lease,
                    double FirstOutput);
  void refuseUnreachable(CoreContext &Context);
  void refuse(CoreContext &Context, ShardLease &Lease, ErrorKind Kind,
              Milliseconds RetryAfter);

  // Start of prefills.
  std::optional<Plan> plan(CoreContext &Context, ShardLease &Lease);
  std::optional<Plan> planOnDecode(CoreContext &Context, ShardLease &Lease,
                                   const std::vector<ShardServer *> &Decodes);
  std::optional<Plan> planAlone(CoreContext &Context, ShardLease &Lease);
  std::optional<Plan> planUnreserved(CoreContext &Context, ShardLease &Lease);
  ShardServer *
  choosePrefill(CoreContext &Context, const ShardLease &Lease,
                const std::vector<ShardServer *> &Candidates) const;
  ShardServer *chooseUnreserved(CoreContext &Context,
                                const std::vector<ShardServer *> &Candidates);
  bool mayStartPrefill(CoreContext &Context, const ShardLease &Lease,
                       double Due);
  size_t expectedInteractive(CoreContext &Context) const;
  void recordInteractive(const ShardLease &Lease, TimePoint Now);
  bool leavesRoomForInteractive(CoreContext &Context, const ShardLease &Lease,
                                StartQuery Query);
  bool eligible(CoreContext &Context, const QueuedItem &Item);
  void start(CoreContext &Context, ShardLease &Lease, const Plan &Chosen);
  void startWaiting(CoreContext &Context);

  // Placement of results.
  void recordLoss(ShardLease &Lease, const ShardServer &Server, TimePoint Now);
  bool awaitsReport(ShardLease &Lease, TimePoint Now);
  void placeResults(CoreContext &Context);
  bool placeResult(CoreContext &Context, ShardLease &Lease);
  void grantDecode(CoreContext &Context, ShardLease &Lease,
                   ShardServer &Server);
  void expireResult(CoreContext &Context, ShardLease &Lease);
  void requeue(CoreContext &Context, ShardLease &Lease);

  // Ends of stages.
  void beginLocalDecode(ShardLease &Lease, TimePoint Now);
  void leavePrefill(CoreContext &Context, ShardLease &Lease);
  void leaveDecode(CoreContext &Context, ShardLease &Lease);
  void markUsedIfImported(ShardLease &Lease, TimePoint Now) const;
  double usedSlotSeconds(const ShardLease &Lease, TimePoint Now) const;
  void chargeUse(TimePoint Now);
  void recordWastedPrefill(CoreContext &Context, ShardLease &Lease);
  void recordDecision(CoreContext &Context, DecisionKind Kind,
                      const ShardLease &Lease, const std::string &Subject,
                      double Value = 0) const;

  ShardServers Servers;
  std::string Shard;
  uint64_t Fence = 0;
  bool TakingOver = false;
  LeaseListener OnLease;
  std::map<RequestId, ShardLeasePtr> Leases;
  StageList Prefilling;
  StageList Ready;
  StageList Decoding;
  FairQueue Queue;
  // Placed again ahead of the queue; their groups have already been charged.
  std::vector<ShardLeasePtr> Requeued;
  // Leases point to the values, so none is erased.
  std::map<std::pair<std::string, RequestClass>, OutputLengths> Lengths;
  OutputLengths AllLengths;
  PrefixAffinity Affinity;
  double PrefillRatio = 1;      // actual to estimated prefill time
  RequestId RunAloneId;         // the one request that may reserve a server
  uint64_t RoundRobinIndex = 0; // also for ties of LeastLoad
  TimePoint CostsUpdatedAt{};
  TimePoint AttemptsResetAt{};
  TimePoint LastInteractiveArrival{};
  double InteractiveRate = 0;       // arrivals per second
  double InteractiveTimeLeft = 0.5; // of the last interactive request
  double InteractivePrefill = 0.1;  // seconds, of the last interactive request
};

} // namespace crocusspur::internal

#endif
