// The owner's part of one shard: queues of waiting requests, leases, slots of
// the decode servers, prefills under way and links, and the decisions when a
// prefill starts and where a request decodes.
#ifndef CROCUSSPUR_SHARD_OWNER_H
#define CROCUSSPUR_SHARD_OWNER_H

#include "core_context.h"

#include <memory>
#include <string>

namespace crocusspur::internal {

class ShardOwner {
public:
  explicit ShardOwner(std::string Shard);
  ~ShardOwner();

  // Ownership begins. With `TakeOver`, another instance may have owned the
  // shard before: nothing is granted beyond the servers' reported load until
  // one lease period has passed, and then requests that a server runs but no
  // entry has re-asserted are cancelled.
  void startOwnership(CoreContext &Context, bool TakeOver);

  // Messages of entries, including this instance's own.
  void onAcquire(CoreContext &Context, const std::string &Sender,
                 const AcquireRequest &Message);
  void onPrefillDone(CoreContext &Context, const std::string &Sender,
                     const PrefillDone &Message);
  void onPrefillLost(CoreContext &Context, const std::string &Sender,
                     const PrefillLost &Message);
  void onDecodeLost(CoreContext &Context, const std::string &Sender,
                    const DecodeLost &Message);
  void onFinished(CoreContext &Context, const std::string &Sender,
                  const Finished &Message);
  void onLeaseList(CoreContext &Context, const std::string &Sender,
                   const LeaseList &Message);
  // Renews the leases of the sender. A summary that disagrees twice in a row
  // is answered with LeaseListRequest.
  void onHeartbeat(CoreContext &Context, const std::string &Sender,
                   const LeaseSummary &Summary);

  // The instance's process is known to be gone (its link broke and a new
  // incarnation came, or it said goodbye): its leases lapse at once.
  void onInstanceStopped(CoreContext &Context, const std::string &Instance);

  void onLoad(CoreContext &Context, const LoadReported &Report);
  void onCacheEvents(CoreContext &Context, const CacheEventsReported &Report);
  // Called at least every 50 ms: starts what may start, lets leases lapse.
  void onTimer(CoreContext &Context);

  uint32_t queueLength() const;
  // Returns a JSON object.
  std::string dump(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
