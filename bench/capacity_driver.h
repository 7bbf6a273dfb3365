// Runs one decision core in virtual time with simulated peers, callers and
// backend servers, as an instance would run in a fleet of the given size. All
// randomness is derived from the seed.
#ifndef CROCUSSPUR_BENCH_CAPACITY_DRIVER_H
#define CROCUSSPUR_BENCH_CAPACITY_DRIVER_H

#include "capacity_documents.h"
#include "capacity_meter.h"

#include "crocusspur/decision_core.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::bench {

struct DriverOptions {
  FleetSize Size;
  int Self = 0;             // index of the instance that runs the core
  double EntryRate = 0;     // requests per second from its own callers
  double ShardRate = 0;     // requests per second from peers to each shard
  bool PeersConfirm = true; // false: their heartbeats carry no list digest
  uint64_t Seed = 1;
};

class CapacityDriver {
public:
  explicit CapacityDriver(DriverOptions Opts);
  ~CapacityDriver();

  void runFor(Milliseconds Duration);
  // Passes the event to the core and performs the resulting actions.
  void handleEvent(const std::string &Kind, EventBody Body);
  // From now on peers announce these versions in their heartbeats. They answer
  // each request for a newer version after the delay, which represents the
  // transfer time.
  void announceConfig(const ConfigPtr &Document, Milliseconds Delay);
  void announceList(const InstanceListPtr &NewList, Milliseconds Delay);

  Meter &meter() { return CostMeter; }
  size_t openRequests() const { return OpenRequests.size(); }
  size_t ownedRequests() const { return OwnedRequests.size(); }
  size_t ownedShards() const { return PolledServers.size() / 4; }
  // Requests for newer versions of documents.
  uint64_t documentRequests() const { return DocumentRequests; }
  uint64_t completed() const { return Completed; }
  uint64_t failed() const { return Failed; }
  uint64_t activeConfigVersion() const { return ActiveConfigVersion; }
  // Destroys the core and returns the number of heap bytes that it held.
  uint64_t dropCore();

private:
  struct Task {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Run;
  };
  struct RunsLater {
    bool operator()(const Task &A, const Task &B) const {
      return A.At != B.At ? A.At > B.At : A.Order > B.Order;
    }
  };
  // A request of this instance's callers or, if `Entry` is set, of a peer's.
  struct Request {
    std::string Entry;
    std::string Shard;
    uint32_t Tokens = 0;
  };
  struct PeerState {
    uint64_t Number = 0; // of the last heartbeat sent
    uint64_t Echo = 0;   // highest number received from the core
    std::map<std::string, LeaseSummary> Leases;
  };

  void schedule(double Seconds, std::function<void()> Run);
  void schedulePeriodic(double Seconds, double First,
                        std::function<void()> Run);
  double arrivalGap(double Rate);
  void start();
  void tick();
  void sendHeartbeat(const std::string &Peer);
  void reportLoads();
  void generateRequest();
  void generatePeerRequest(const std::string &Shard);
  void performAction(Action &Item);
  void perform(SendToPeer &Item);
  void perform(const StartPrefill &Item);
  void perform(const StartDecode &Item);
  void answerAsOwner(const std::string &Peer, const PeerMessage &Message);
  void answerAsEntry(const std::string &Peer, const PeerMessage &Message);
  void receiveFromPeer(const std::string &Peer, PeerMessage Message);
  void finishStage(const RequestId &Id, uint32_t Attempt, Stage At,
                   const std::string &Server, uint32_t Tokens);
  void closeRequest(const RequestId &Id, bool Delivered);
  void updateLease(const RequestId &Id, bool Begins);
  RequestSpec makeSpec();
  uint32_t promptTokens();
  uint32_t outputTokens();

  DriverOptions Options;
  CoreOptions CoreSettings;
  std::mt19937_64 Random;
  TimePoint Now = TimePoint(std::chrono::hours(24));
  uint64_t TasksScheduled = 0;
  uint64_t Sequence = 0;
  std::priority_queue<Task, std::vector<Task>, RunsLater> Tasks;
  std::unique_ptr<DecisionCore> Core;
  Meter CostMeter;
  ConfigPtr Config; // of the peers, like the list
  InstanceListPtr List;
  Milliseconds OfferDelay{0};
  std::map<std::string, PeerState> Peers;
  std::vector<std::string> PeerNames;
  std::map<std::string, const ShardConfig *> Shards;
  std::map<RequestId, Request> OpenRequests; // of this instance's callers
  // Requests of peers at this instance's shards.
  std::map<RequestId, Request> OwnedRequests;
  std::map<std::string, std::vector<RequestId>> Running; // by server
  std::vector<std::string> PolledServers;
  uint64_t DocumentRequests = 0;
  uint64_t Completed = 0;
  uint64_t Failed = 0;
  uint64_t ActiveConfigVersion = 0;
};

} // namespace crocusspur::bench

#endif
