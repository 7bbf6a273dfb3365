// Request handling of an entry instance: the state machine of each request
// whose caller is connected to this instance, or that was forwarded here as the
// home of its key.
#ifndef CROCUSSPUR_ENTRY_REQUESTS_H
#define CROCUSSPUR_ENTRY_REQUESTS_H

#include "core_context.h"
#include "crash_tracker.h"
#include "key_home.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Returns the current owner of a shard in this instance's view.
using OwnerLookup = std::function<std::string(const std::string &Shard)>;

class EntryRequests {
public:
  EntryRequests(KeyHome &Keys, CrashTracker &Crashes, OwnerLookup Owner);
  ~EntryRequests();

  void onArrived(CoreContext &Context, const RequestArrived &Body);
  void onCancelled(CoreContext &Context, const RequestCancelled &Body);
  void onStageFinished(CoreContext &Context, const StageFinished &Body);
  void onStageProgress(CoreContext &Context, const StageProgress &Body);
  void onClosed(CoreContext &Context, const RequestClosed &Body);

  void onPrefillGrant(CoreContext &Context, const std::string &From,
                      const PrefillGrant &Message);
  void onDecodeGrant(CoreContext &Context, const std::string &From,
                     const DecodeGrant &Message);
  void onRefusal(CoreContext &Context, const std::string &From,
                 const Refusal &Message);
  void onLeaseListRequest(CoreContext &Context, const std::string &From,
                          const LeaseListRequest &Message);

  // Resumes requests that waited for former homes of their key.
  void takeResolvedKeys(CoreContext &Context);

  // Called when the owner of some shard may have changed. Moves waiting
  // requests and reasserts leases.
  void onOwnersChanged(CoreContext &Context);
  // Called when a link came up. Messages sent before may be lost, so what this
  // entry still expects from the instance is requested again.
  void onPeerUp(CoreContext &Context, const std::string &Instance);
  // Called at least every 50 ms. Handles deadlines, responses of former homes
  // and retries.
  void onTimer(CoreContext &Context);
  // Refuses new requests from now on; see openRequests().
  void drain(CoreContext &Context);
  // Fails every open request and cancels its work. Returns their number.
  uint32_t abandonAll(CoreContext &Context);

  // While dispatch is held, no Start action is emitted. Releasing emits the
  // pending ones.
  void holdDispatch();
  void releaseDispatch(CoreContext &Context);

  // Leases held from the owner, by shard, for the heartbeat to that owner.
  std::vector<LeaseSummary> leasesFrom(const std::string &Owner) const;
  // The same for every owner at once, in one pass over the requests.
  std::map<std::string, std::vector<LeaseSummary>> leasesByOwner() const;
  // Number of requests that their relay hasn't closed, without cancelled ones.
  uint32_t openRequests() const;
  std::string dump(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
