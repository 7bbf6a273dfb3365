// The instances and backend servers of a CoreNetwork, used only by its own
// files.
#ifndef CROCUSSPUR_TEST_CORE_NETWORK_STATE_H
#define CROCUSSPUR_TEST_CORE_NETWORK_STATE_H

#include "core_network.h"

#include <deque>

namespace crocusspur::test {

struct CoreNetwork::Node {
  std::string Name;
  CoreOptions Options;
  std::unique_ptr<DecisionCore> Core;
  bool Alive = false;
  bool Stopped = false;
  bool PlatformCut = false;
  bool Ready = false;
  bool Watch = false;
  uint64_t AfterVersion = 0;
  uint64_t ReadSequence = 0;
  InstanceListPtr FrozenList; // what the platform returns, if it is frozen
  uint64_t FrozenVersion = 0;
  uint64_t ConfigVersion = 0;
  uint64_t ListSequence = 0;
  TimePoint PausedSince = TimePoint::max();
  std::deque<EventBody> Inbox; // while paused
  std::vector<std::string> Polled;

  bool paused() const { return PausedSince != TimePoint::max(); }
};

struct CoreNetwork::Server {
  std::string Name;
  uint32_t Slots = 0;
  uint64_t Epoch = 0;
  bool Alive = true;
  bool Stalled = false;
  std::map<RequestId, size_t> Running;    // to the index of the execution
  std::map<RequestId, TimePoint> Results; // start of unused prefill results
};

} // namespace crocusspur::test

#endif
