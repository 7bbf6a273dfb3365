// Owner of one shard. Manages the queues of waiting requests, the leases, the
// slots of the decode servers, running prefills and links, and decides when a
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

  // Starts ownership. With `TakeOver`, another instance may have owned the
  // shard before: for one lease period only slots that are free by the servers'
  // reported load are granted. Then requests that a server runs but no entry
  // instance has re-asserted are cancelled.
  void startOwnership(CoreContext &Context, bool TakeOver);

  // Messages of entry instances, including this one.
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
  // Renews the leases of the sender. Sends LeaseListRequest after two
  // mismatching summaries in a row.
  void onHeartbeat(CoreContext &Context, const std::string &Sender,
                   const LeaseSummary &Summary);

  // Expires the instance's leases at once, since its process is known to have
  // ended: its link broke and a new incarnation connected, or it sent Goodbye.
  void onInstanceStopped(CoreContext &Context, const std::string &Instance);

  void onLoad(CoreContext &Context, const LoadReported &Report);
  void onCacheEvents(CoreContext &Context, const CacheEventsReported &Report);
  // Starts waiting requests and expires leases. Must be called at least every
  // 50 ms.
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
