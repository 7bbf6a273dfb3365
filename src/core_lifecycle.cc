#include "core_state.h"

namespace crocusspur {
namespace {

// A gap between two timer events that shows that the process did not run.
constexpr Milliseconds PauseThreshold{1000};
// Instances are replaced under new names; old ones are forgotten after this.
constexpr Milliseconds PeerRetention{60000};
// Longest wait for the peers of the list before this instance serves.
constexpr Milliseconds MaxPeerWait{1000};

} // namespace

using internal::CoreContext;

void DecisionCore::State::onTimer(ActionList &Out) {
  if (LastTimer && Now - *LastTimer > PauseThreshold)
    onPause(std::chrono::duration_cast<Milliseconds>(Now - *LastTimer), Out);
  LastTimer = Now;
  AssignmentsStale = true;
  if (!Peers.anyLinked())
    endPause(Out);
  CoreContext context = this->context(Out);
  if (!LastHeartbeat || Now - *LastHeartbeat >= Options.HeartbeatPeriod) {
    LastHeartbeat = Now;
    sendHeartbeats(Out);
    Peers.forgetOlderThan(Now - PeerRetention);
  }
  Keys.onTimer(context);
  Crashes.onTimer(context);
  if (!Paused)
    for (auto &it : Owned)
      it.second->onTimer(context);
  Requests.onTimer(context);
}

// The view of this instance is as old as the gap. Shards are given up without
// cancelling anything, since the leases only look lapsed; they begin again
// with a new fencing number when the pause has ended.
void DecisionCore::State::onPause(Milliseconds Gap, ActionList &Out) {
  Out.push_back(DecisionRecord{DecisionKind::PauseDetected,
                               {},
                               "",
                               Options.Instance,
                               ErrorKind::Internal,
                               std::chrono::duration<double>(Gap).count()});
  Paused = true;
  Requests.holdDispatch();
  if (!internal::usesShardOwners(Options.Policy))
    return;
  for (const auto &it : Owned)
    Out.push_back(DecisionRecord{
        DecisionKind::OwnershipLost, {}, "", it.first, ErrorKind::Internal, 0});
  Owned.clear();
}

void DecisionCore::State::endPause(ActionList &Out) {
  if (!Paused)
    return;
  Paused = false;
  updateOwners(Out);
  CoreContext context = this->context(Out);
  Requests.releaseDispatch(context);
  // The own owner starts without leases; the peers hear from it.
  Requests.onPeerUp(context, Options.Instance);
  for (const auto &it : Owned)
    for (const std::string &peer : Peers.linked())
      Out.push_back(SendToPeer{peer, LeaseListRequest{it.first}});
}

bool DecisionCore::State::heardFromAllPeers() const {
  for (const InstanceEntry &it : List->Instances)
    if (it.State == MemberState::Live && it.Name != Options.Instance &&
        !Peers.hasHeartbeat(it.Name))
      return false;
  // A heard peer may have a newer version on its way.
  uint64_t version = activeVersion();
  for (const auto &it : Peers.all())
    if (it.second.Up && (it.second.Last.ConfigVersion > version ||
                         it.second.Last.ListSequence > List->Sequence))
      return false;
  return true;
}

// A fresh instance hears its peers before it serves, so that a stale platform
// can't make it use an old version. Dead peers in the list hold it for 1 s.
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

// Comes after every other action, since the process may end with the last one.
void DecisionCore::State::stopIfDrained(ActionList &Out) {
  if (!Draining || (Requests.openRequests() > 0 && !Abandoned))
    return;
  Stopped = true;
  uint32_t abandoned = Abandoned.value_or(0);
  for (const std::string &it : Peers.linked())
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
