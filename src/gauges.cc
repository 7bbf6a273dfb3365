#include "gauges.h"

#include "crocusspur/kernel.h"

#include <algorithm>

namespace crocusspur::internal {
namespace {

constexpr Milliseconds CoreTimeout{2000};

double secondsSince(TimePoint At) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - At)
      .count();
}

void setVersions(const EventSink &Events, MetricsSink &Metrics) {
  Metrics.setGauge("config_version", "",
                   static_cast<double>(Events.config()->Version));
  Metrics.setGauge("list_sequence", "",
                   static_cast<double>(Events.list()->Sequence));
  Metrics.setGauge("ready", "", Events.ready() ? 1 : 0);
}

void setQueues(const CoreStats &Core, MetricsSink &Metrics) {
  // Removes shards that this instance no longer owns.
  Metrics.clearGauge("queue_length");
  for (const auto &[shard, length] : Core.QueueLengths)
    Metrics.setGauge("queue_length", shard, length);
}

void setPlatform(const PlatformStats &Platform, MetricsSink &Metrics) {
  Metrics.setGauge("platform_calls_total", "config",
                   static_cast<double>(Platform.ConfigCalls));
  Metrics.setGauge("platform_calls_total", "instances",
                   static_cast<double>(Platform.ListCalls));
  if (Platform.LastConfigResponse)
    Metrics.setGauge("platform_age_seconds", "",
                     secondsSince(*Platform.LastConfigResponse));
}

} // namespace

void updateGauges(const Kernel &Owner, MetricsSink &Metrics) {
  if (const auto *events = Owner.find<EventSink>())
    setVersions(*events, Metrics);
  if (auto *relays = Owner.find<RelayRegistry>())
    Metrics.setGauge("open_requests", "",
                     static_cast<double>(relays->openRequests()));
  std::optional<TimePoint> confirmed;
  if (const auto *platform = Owner.find<PlatformControl>()) {
    PlatformStats stats = platform->stats();
    setPlatform(stats, Metrics);
    confirmed = stats.LastConfigResponse;
  }
  auto *monitor = Owner.find<CoreMonitor>();
  std::optional<CoreStats> core =
      monitor ? monitor->stats(CoreTimeout) : std::nullopt;
  if (core) {
    setQueues(*core, Metrics);
    Metrics.setGauge("peers_linked", "",
                     static_cast<double>(core->PeersLinked));
    // An empty optional is less than any time.
    confirmed = std::max(confirmed, core->PeerVersionSeenAt);
  }
  if (confirmed)
    Metrics.setGauge("config_age_seconds", "", secondsSince(*confirmed));
}

} // namespace crocusspur::internal
