// Interfaces between the plug-ins of a running process. Each is provided to the
// kernel by one plug-in and found by type by the others. All are thread-safe.
#ifndef CROCUSSPUR_RUNTIME_H
#define CROCUSSPUR_RUNTIME_H

#include "crocusspur/action.h"
#include "crocusspur/event.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusspur::internal {

// Entrance to the decision core's ring. Provided by `core_thread`.
class EventSink {
public:
  virtual ~EventSink() = default;
  // Returns false if the ring is full. For new requests, which are shed.
  virtual bool tryPost(EventBody Body) = 0;
  // Waits for room. For everything that must not be lost.
  virtual void post(EventBody Body) = 0;
  // Runs the function on the core's thread with the state dump and waits for
  // it at most for `Wait`. Returns an empty string on timeout.
  virtual std::string dumpState(Milliseconds Wait) = 0;
  virtual std::string makeTicket() = 0;
  virtual RequestId nextRequestId() = 0;
  // Time and configuration that the core uses now; never null pointers.
  virtual ConfigPtr config() const = 0;
  virtual InstanceListPtr list() const = 0;
  virtual bool ready() const = 0;
};

// Figures of the decision core for metrics.
struct CoreStats {
  size_t PeersLinked = 0;
  uint64_t LastEvaluatedConfig =
      0; // last published document, in force or refused
  std::optional<TimePoint>
      PeerVersionSeenAt; // last time a peer stated a version
  // Requests that wait, by shard that this instance owns.
  std::vector<std::pair<std::string, uint32_t>> QueueLengths;
};

// Provided by `core_thread`.
class CoreMonitor {
public:
  virtual ~CoreMonitor() = default;
  // Asks the core's thread and waits for it at most for `Wait`; nothing on
  // timeout.
  virtual std::optional<CoreStats> stats(Milliseconds Wait) = 0;
};

// Takes the actions that concern one request: Start*, ForwardToHome, Answer*.
// Provided by `relay`.
class RelayRegistry {
public:
  virtual ~RelayRegistry() = default;
  // Called on the core's thread; must not block. Returns false if no relay
  // holds the request any more.
  virtual bool deliver(const RequestId &Id, Action Item) = 0;
  // Requests whose relay is running.
  virtual size_t openRequests() = 0;
};

// Takes frames of forwarded requests and their answers, which are data and not
// seen by the core. Provided by `relay`; called on the one thread of all peer
// links, so it must not block.
class ForwardHandler {
public:
  virtual ~ForwardHandler() = default;
  virtual void onForward(const std::string &From, PeerMessage Message) = 0;
  // The link to the instance is gone; forwarded requests on it are broken.
  virtual void onLinkLost(const std::string &Instance) = 0;
};

// Sends frames to peers. Provided by `peer_link`.
class PeerSender {
public:
  virtual ~PeerSender() = default;
  // Queues the frame. Returns false if there is no link or its ring is full;
  // in the latter case the link is closed.
  virtual bool send(const std::string &Instance,
                    const PeerMessage &Message) = 0;
  // Instances to keep links to; others are closed. This instance is skipped.
  virtual void setPeers(const InstanceList &List) = 0;
};

// Background calls to backend servers. Provided by `backend_control`.
class BackendControl {
public:
  virtual ~BackendControl() = default;
  virtual void cancel(const CancelAtServer &Item) = 0;
  virtual void order(const OrderServer &Item) = 0;
  virtual void setPolled(std::vector<std::string> Servers) = 0;
};

// Calls to the platform since the start of the process.
struct PlatformStats {
  uint64_t ConfigCalls = 0;
  uint64_t ListCalls = 0;
  // Last answer about the configuration, also one that says that there is
  // nothing newer.
  std::optional<TimePoint> LastConfigResponse;
};

// Provided by `platform_reader`.
class PlatformControl {
public:
  virtual ~PlatformControl() = default;
  virtual void setReading(const SetPlatformReading &Item) = 0;
  virtual PlatformStats stats() const = 0;
};

// Counts decisions and renders them. Provided by `metrics`.
class MetricsSink {
public:
  virtual ~MetricsSink() = default;
  virtual void onDecision(const DecisionRecord &Entry) = 0;
  // `Name` is a metric declared in metrics.cc; `Value` in seconds or a count.
  virtual void observe(std::string_view Name, std::string_view Group,
                       double Value) = 0;
  virtual void setGauge(const std::string &Name, const std::string &Label,
                        double Value) = 0;
  // Forgets the values of the gauge for all labels.
  virtual void clearGauge(const std::string &Name) = 0;
  // Prometheus text format.
  virtual std::string render() const = 0;
};

// Optional recorder of a trace, called on the core's thread. Provided by
// `trace_recorder` when settings ask for one.
class TraceSink {
public:
  virtual ~TraceSink() = default;
  virtual void onEvent(const Event &Item) = 0;
  virtual void onAction(const Action &Item, TimePoint At) = 0;
};

} // namespace crocusspur::internal

#endif
