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

// Input queue of the decision core. Provided by `core_thread`.
class EventSink {
public:
  virtual ~EventSink() = default;
  // Returns false if the ring is full. For new requests, which are then
  // rejected because of overload.
  virtual bool tryPost(EventBody Body) = 0;
  // Waits until the ring has room. For events that must not be lost.
  virtual void post(EventBody Body) = 0;
  // Dumps the state on the core's thread and waits for it at most `Wait`.
  // Returns an empty string on timeout.
  virtual std::string dumpState(Milliseconds Wait) = 0;
  virtual std::string makeTicket() = 0;
  virtual RequestId nextRequestId() = 0;
  // Configuration and list that the core uses now; never null.
  virtual ConfigPtr config() const = 0;
  virtual InstanceListPtr list() const = 0;
  virtual bool ready() const = 0;
};

// Statistics of the decision core for metrics.
struct CoreStats {
  size_t PeersLinked = 0;
  uint64_t LastEvaluatedConfig = 0; // last published version, active or refused
  std::optional<TimePoint> PeerVersionSeenAt; // a peer last reported a version
  // Number of waiting requests, by shard that this instance owns.
  std::vector<std::pair<std::string, uint32_t>> QueueLengths;
};

// Provided by `core_thread`.
class CoreMonitor {
public:
  virtual ~CoreMonitor() = default;
  // Queries the core's thread and waits for it at most `Wait`. Returns nothing
  // on timeout.
  virtual std::optional<CoreStats> stats(Milliseconds Wait) = 0;
};

// Receives the actions that concern one request: Start*, ForwardToHome,
// Answer*. Provided by `relay`.
class RelayRegistry {
public:
  virtual ~RelayRegistry() = default;
  // Called on the core's thread; must not block. Returns false if no relay
  // handles the request any more.
  virtual bool deliver(const RequestId &Id, Action Item) = 0;
  // Number of requests whose relay is running.
  virtual size_t openRequests() = 0;
};

// Receives the frames of forwarded requests and of their responses, which are
// data that the core doesn't see. Provided by `relay`. Called on the thread
// that all peer links share, so it must not block.
class ForwardHandler {
public:
  virtual ~ForwardHandler() = default;
  virtual void onForward(const std::string &From, PeerMessage Message) = 0;
  // The link to the instance was lost, and with it the requests forwarded over
  // it.
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
  // Sets the instances to keep links to; other links are closed. This instance
  // is skipped.
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
  // Last response about the configuration, including one without a newer
  // version.
  std::optional<TimePoint> LastConfigResponse;
};

// Provided by `platform_reader`.
class PlatformControl {
public:
  virtual ~PlatformControl() = default;
  virtual void setReading(const SetPlatformReading &Item) = 0;
  virtual PlatformStats stats() const = 0;
};

// Collects metrics and renders them. Provided by `metrics`.
class MetricsSink {
public:
  virtual ~MetricsSink() = default;
  virtual void onDecision(const DecisionRecord &Entry) = 0;
  // `Name` is a metric declared in metrics.cc; `Value` in seconds or a count.
  virtual void observe(std::string_view Name, std::string_view Group,
                       double Value) = 0;
  virtual void setGauge(const std::string &Name, const std::string &Label,
                        double Value) = 0;
  // Removes the values of the gauge for all labels.
  virtual void clearGauge(const std::string &Name) = 0;
  // Prometheus text format.
  virtual std::string render() const = 0;
};

// Optional recorder of a trace, called on the core's thread. Provided by
// `trace_recorder` if the settings name a trace file.
class TraceSink {
public:
  virtual ~TraceSink() = default;
  virtual void onEvent(const Event &Item) = 0;
  virtual void onAction(const Action &Item, TimePoint At) = 0;
};

} // namespace crocusspur::internal

#endif
