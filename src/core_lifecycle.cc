#include "core_state.h"

namespace crocusspur {
namespace {

// A longer gap between two timer events shows that the process did not run.
constexpr Milliseconds PauseThreshold{1000};
// Retention of peers that are no longer heard from. Instances are replaced
// under new names, so old ones don't return.
constexpr Milliseconds PeerRetention{60000};
// Maximum time to wait for the listed peers before this instance serves.
constexpr Milliseconds MaxPeerWait{1000};

} // namespace

using internal::CoreContext;

// Any event can be the first one after a pause, not only a timer's.
void DecisionCore::State::detectPause(ActionList &Out) {
  if (!LastTimer || Now - *LastTimer <= PauseThreshold)
    return;
  onPause(std::chrono::duration_cast<Milliseconds>(Now - *LastTimer), Out);
  LastTimer = Now;
}

void DecisionCore::State::onTimer(ActionList &Out) {
  LastTimer = Now;
  AssignmentsStale = true;
  CoreContext context = this->context(Out);
  if (!LastHeartbeat || Now - *LastHeartbeat >= Options.HeartbeatPeriod) {
    LastHeartbeat = Now;
    sendHeartbeats(Out);
    Peers.removeNotSeenSince(Now - PeerRetention);
  }
  Keys.onTimer(context);
  Crashes.onTimer(context);
  if (!Paused)
    for (auto &it : Owned)
      it.second->onTimer(context);
  Requests.onTimer(context);
}

// The view of this instance is as old as the gap. It releases its shards
// without cancelling any work, since the leases only look expired. When the
// pause ends, ownership starts again with a new fencing token.
void DecisionCore::State::onPause(Milliseconds Gap, ActionList &Out) {
  Out.push_back(DecisionRecord{DecisionKind::PauseDetected,
                               {},
                               "",
                               Options.Instance,
                               ErrorKind::Internal,
                               std::chrono::duration<double>(Gap).count()});
  Paused = true;
  PauseDetectedAt = Now;
  LastNumberBeforePause = Keys.lastHeartbeatNumber();
  ListAfterPause.reset();
  Peers.onPause(Gap, Now);
  Requests.holdDispatch();
  if (!internal::usesShardOwners(Options.Policy))
    return;
  for (const auto &it : Owned)
    Out.push_back(DecisionRecord{
        DecisionKind::OwnershipLost, {}, "", it.first, ErrorKind::Internal, 0});
  Owned.clear();
}

// Frames and lists that were received may have waited since before the pause.
// The view is current once a peer has responded to a heartbeat sent after it
// and this instance has that peer's list, or if no peer has a link for some
// time. Peers close their links to an instance that is silent, so right after a
// pause there may be none although all peers run.
void DecisionCore::State::endPauseIfCurrent(ActionList &Out) {
  if (!Paused)
    return;
  bool current =
      ListAfterPause && (List ? List->Sequence : 0) >= *ListAfterPause;
  bool alone = !Peers.hasLinkedPeer() && Now - PauseDetectedAt >= MaxPeerWait;
  if (current || alone)
    endPause(Out);
}

void DecisionCore::State::endPause(ActionList &Out) {
  Paused = false;
  updateOwners(Out);
  CoreContext context = this->context(Out);
  Requests.releaseDispatch(context);
  // Shards that this instance owns again start without leases. Its own requests
  // reassert theirs here; the peers are asked for theirs below.
  Requests.onPeerUp(context, Options.Instance);
  for (const auto &it : Owned)
    for (const std::string &peer : Peers.linkedPeers())
      Out.push_back(SendToPeer{peer, LeaseListRequest{it.first}});
}

bool DecisionCore::State::heardFromAllPeers() const {
  for (const InstanceEntry &it : List->Instances)
    if (it.State == MemberState::Live && it.Name != Options.Instance &&
        !Peers.hasHeartbeat(it.Name))
      return false;
  // A peer that has been heard from may be about to send a newer version.
  uint64_t version = activeVersion();
  for (const auto &it : Peers.all())
    if (it.second.Up && (it.second.Last.ConfigVersion > version ||
                         it.second.Last.ListSequence > List->Sequence))
      return false;
  return true;
}

// A new instance waits for a heartbeat from each live peer in the list before
// it serves, so that a stale platform can't make it use an old version. Dead
// peers in the list delay it by 1 s.
void DecisionCore::State::updateReadiness(ActionList &Out) {
  if (Ready || Draining || !List || !Config.current())
    return;
  if (!ServableSince)
    ServableSince = Now;
  if (!heardFromAllPeers() && Now - *ServableSince < MaxPeerWait)
    return;
  Config.confirm();
  Ready = true;
  Out.push_back(SetReadiness{true});
}

void DecisionCore::State::beginShutdown(const ShutdownRequested &Body,
                                        ActionList &Out) {
  if (Draining)
    return;
  Draining = true;
  Ready = false;
  ShutdownDeadline = Now + Body.Limit;
  Out.push_back(SetReadiness{false});
  CoreContext context = this->context(Out);
  Requests.drain(context);
}

void DecisionCore::State::updateShutdown(ActionList &Out) {
  if (!Draining || Requests.openRequests() == 0 || Now < ShutdownDeadline)
    return;
  CoreContext context = this->context(Out);
  Abandoned = Requests.abandonAll(context);
}

// Runs after every other action has been emitted, since the process may exit on
// the last one.
void DecisionCore::State::stopIfDrained(ActionList &Out) {
  if (!Draining || (Requests.openRequests() > 0 && !Abandoned))
    return;
  Stopped = true;
  uint32_t abandoned = Abandoned.value_or(0);
  for (const std::string &it : Peers.linkedPeers())
    Out.push_back(SendToPeer{it, Goodbye{}});
  Out.push_back(DecisionRecord{DecisionKind::Drained,
                               {},
                               "",
                               Options.Instance,
                               ErrorKind::Internal,
                               static_cast<double>(abandoned)});
  Out.push_back(ShutdownComplete{abandoned});
}

} // namespace crocusspur
