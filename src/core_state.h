// State of the decision core, used only by the files that implement it.
#ifndef CROCUSSPUR_CORE_STATE_H
#define CROCUSSPUR_CORE_STATE_H

#include "config_state.h"
#include "core_context.h"
#include "crash_tracker.h"
#include "entry_requests.h"
#include "key_home.h"
#include "peer_table.h"
#include "shard_map.h"
#include "shard_owner.h"

#include "crocusspur/decision_core.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur {

struct DecisionCore::State {
  explicit State(CoreOptions Given);

  // decision_core.cc: events, messages and routing
  void handle(const Event &Item, ActionList &Actions);
  void dispatch(const Event &Item, ActionList &Out);
  void deliverSelfMessages(ActionList &Queue, ActionList &Actions);
  void onPeerReceived(const PeerReceived &Body, ActionList &Out);
  void onLinkChanged(const PeerLinkChanged &Body, ActionList &Out);
  void onMessage(const std::string &From, uint64_t Incarnation,
                 const PeerMessage &Message, ActionList &Out);
  void dispatchToOwner(const std::string &From, const PeerMessage &Message,
                       ActionList &Out);
  void onPublished(const ListPublished &Body, ActionList &Out);
  void onPublished(const ConfigPublished &Body, ActionList &Out);
  void onKeyAnswer(const std::string &From, const KeyAnswer &Message,
                   ActionList &Out);
  void onArrived(const RequestArrived &Body, ActionList &Out);
  internal::CoreContext context(ActionList &Out);

  // core_versions.cc: configuration, lists and the platform
  void onConfigPublished(const ConfigPtr &Document, ActionList &Out);
  void onConfigOffer(const std::string &From, const ConfigOffer &Message,
                     ActionList &Out);
  void useConfig(ActionList &Out);
  uint64_t activeVersion() const;
  void onList(const InstanceListPtr &Newer, ActionList &Out);
  void onListOffer(const ListOffer &Message, ActionList &Out);
  void onVersionRequest(const std::string &To, const PeerMessage &Message,
                        ActionList &Out);
  void requestInitialVersions(const std::string &Peer, ActionList &Out);
  void requestNewerVersions(const std::string &From, ActionList &Out);
  void updatePlatformReading(ActionList &Out);

  // core_assignments.cc: owned shards, polled servers, heartbeats and load
  void updateOwners(ActionList &Out);
  void beginOwning(const std::string &Shard, ActionList &Out);
  void stopOwning(ActionList &Out);
  void updatePolled(ActionList &Out);
  void onHeartbeat(const std::string &From, uint64_t Incarnation,
                   const Heartbeat &Message, ActionList &Out);
  void sendHeartbeats(ActionList &Out);
  void sendHeartbeat(const std::string &To, std::vector<LeaseSummary> Leases,
                     ActionList &Out);
  void onInstanceStopped(const std::string &Instance, ActionList &Out);
  void onLoad(const LoadReported &Report, ActionList &Out);
  void detectCrash(const LoadReported &Report, ActionList &Out);
  void onCacheEvents(const CacheEventsReported &Report, ActionList &Out);

  // core_lifecycle.cc: time, readiness, pauses and shutdown
  void onTimer(ActionList &Out);
  void detectPause(ActionList &Out);
  void onPause(Milliseconds Gap, ActionList &Out);
  void endPauseIfCurrent(ActionList &Out);
  void endPause(ActionList &Out);
  void updateReadiness(ActionList &Out);
  bool heardFromAllPeers() const;
  void beginShutdown(const ShutdownRequested &Body, ActionList &Out);
  void updateShutdown(ActionList &Out);
  void stopIfDrained(ActionList &Out);

  CoreOptions Options;
  TimePoint Now;
  WallTime Wall;
  internal::ConfigState Config;
  ConfigPtr NoConfig = std::make_shared<ConfigDocument>();
  InstanceListPtr List;
  InstanceListPtr NoList = std::make_shared<InstanceList>();
  internal::KeyHome Keys;
  internal::CrashTracker Crashes;
  internal::ShardMap Shards;
  internal::EntryRequests Requests;
  internal::PeerTable Peers;
  std::map<std::string, std::unique_ptr<internal::ShardOwner>> Owned;
  ActionList Deferred; // messages to itself beyond the limit per handle()

  struct ServerStatus {
    uint64_t Epoch = 0;
    bool Reachable = false;
    bool CrashCounted = false; // in this epoch
  };
  std::map<std::string, ServerStatus> ServerStatuses;

  // Shard owners, polled servers and platform reading are recomputed only after
  // events that can change them, since most events concern requests.
  bool AssignmentsStale = true;
  // When a peer was last asked for a newer configuration or list.
  std::optional<TimePoint> ConfigRequestedAt;
  std::optional<TimePoint> ListRequestedAt;
  // Whether the configuration or list changed since the last ranking.
  bool MembershipChanged = true;
  std::vector<std::string> Polled;
  bool PolledSent = false;
  std::optional<bool> ReadingPlatform; // last SetPlatformReading
  std::optional<TimePoint> LastTimer;
  std::optional<TimePoint> LastHeartbeat;
  std::optional<TimePoint> NoReaderSince;
  std::optional<TimePoint> ServableSince; // configuration and list active
  bool Ready = false;
  bool Paused = false;
  TimePoint PauseDetectedAt;
  uint64_t LastNumberBeforePause = 0; // of this instance's heartbeats
  // The latest list of a peer that has received a heartbeat sent after the
  // pause; nothing until there is one.
  std::optional<uint64_t> ListAfterPause;
  bool Draining = false;
  bool Stopped = false;
  TimePoint ShutdownDeadline;
  std::optional<uint32_t> Abandoned; // requests open at the shutdown limit
};

} // namespace crocusspur

#endif
