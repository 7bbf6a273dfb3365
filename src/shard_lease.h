// Lease that an entry instance holds from the owner of a shard for one request,
// from its arrival in the queue to the end of its decode.
#ifndef CROCUSSPUR_SHARD_LEASE_H
#define CROCUSSPUR_SHARD_LEASE_H

#include "crocusspur/peer_message.h"
#include "fair_queue.h"
#include "output_lengths.h"

#include <algorithm>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>
#include <vector>

namespace crocusspur::internal {

struct ShardLease
    : QueuedItem,
      boost::intrusive_ref_counter<ShardLease, boost::thread_unsafe_counter> {
  boost::intrusive::list_member_hook<> StageHook;
  RequestId Id;
  std::string Entry; // entry instance
  uint32_t Attempt = 1;
  LeaseStage Stage = LeaseStage::Waiting;
  RequestClass Class = RequestClass::Normal;
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 1;
  std::vector<uint64_t> PrefixHashes;
  bool MayWait = false;
  bool RunAlone = false;

  TimePoint ArrivedAt;
  TimePoint Deadline; // of the first output
  TimePoint PrefillStart;
  TimePoint PrefillEnd; // expected while the prefill runs, then actual
  TimePoint EvictAt;    // of the prefill's result
  TimePoint DecodeGranted;
  TimePoint DecodeStart; // expected end of the transfer
  std::string PrefillServer;
  std::string DecodeServer; // also set while a slot is reserved
  uint64_t KvBytes = 0;
  uint32_t OutputTokens = 0;      // of earlier placements
  uint32_t PlacementAttempts = 0; // since the last reset
  double PrefillEstimate = 0;     // seconds, before the correction
  SlotCost CompletedUse;          // slot seconds of completed stages
  bool ChargesGroup = false;      // the group is charged for its use
  double ChargedSeconds = 0;      // slot seconds charged so far
  double Lookahead = 0;           // part of ChargedSeconds for later use
  std::string LostOn;             // failed server, until a report shows why
  TimePoint LostAt;
  bool PrefillUnused = false;            // started, and not known to be used
  OutputLengths *GroupLengths = nullptr; // of its group and class
  // Servers that may hold state of the request.
  std::vector<std::string> UsedServers;

  void addUsedServer(const std::string &Server) {
    if (std::find(UsedServers.begin(), UsedServers.end(), Server) ==
        UsedServers.end())
      UsedServers.push_back(Server);
  }
  bool prefillsOnDecodeServer() const {
    return !DecodeServer.empty() && PrefillServer == DecodeServer;
  }
};

using StageList =
    boost::intrusive::list<ShardLease,
                           boost::intrusive::member_hook<
                               ShardLease, boost::intrusive::list_member_hook<>,
                               &ShardLease::StageHook>>;

using ShardLeasePtr = boost::intrusive_ptr<ShardLease>;

} // namespace crocusspur::internal

#endif
