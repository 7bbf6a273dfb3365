#include "metrics.h"

#include "checked_mutex.h"
#include "crocusspur/kernel.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cstdio>
#include <map>
#include <mutex>
#include <utility>

namespace crocusspur::internal {
namespace {

namespace bh = boost::histogram;

// 0.5 ms resolves the router's own part of the latency to first output; 100 s
// is longer than any deadline that a group may set.
constexpr double SmallestBucketSeconds = 0.0005;
constexpr double LargestBucketSeconds = 100;
constexpr unsigned BucketCount = 36;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Buckets = decltype(bh::make_histogram(LogAxis(1, 1.0, 2.0)));

struct HistogramData {
  Buckets Counts = bh::make_histogram(
      LogAxis(BucketCount, SmallestBucketSeconds, LargestBucketSeconds));
  double Sum = 0;
  uint64_t Count = 0;
};

constexpr std::array<std::string_view, 7> HistogramNames = {
    "first_output_seconds", "output_gap_seconds",       "prefill_wait_seconds",
    "core_event_seconds",   "reservation_wait_seconds", "request_seconds",
    "config_age_seconds"};

// By group. std::less<> allows lookup without constructing a string, since the
// core observes every event.
using HistogramsByGroup = std::map<std::string, HistogramData, std::less<>>;

using Labels = std::pair<std::string, std::string>;

std::string escaped(const std::string &Text) {
  std::string out;
  for (char it : Text) {
    if (it == '"' || it == '\\')
      out += '\\';
    out += it == '\n' ? ' ' : it;
  }
  return out;
}

std::string formatted(double Value) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.9g", Value);
  return buf;
}

void renderType(std::string &Out, const std::string &Name, const char *Type) {
  Out += "# TYPE crocusspur_" + Name + ' ' + Type + '\n';
}

void renderCounters(std::string &Out, const std::string &Name,
                    const char *FirstLabel,
                    const std::map<Labels, uint64_t> &Values) {
  renderType(Out, Name, "counter");
  for (const auto &[labels, value] : Values)
    Out += "crocusspur_" + Name + '{' + FirstLabel + "=\"" +
           escaped(labels.first) + "\",group=\"" + escaped(labels.second) +
           "\"} " + std::to_string(value) + '\n';
}

void renderGauge(std::string &Out, const std::string &Name,
                 const std::map<std::string, double> &Values) {
  renderType(Out, Name, Name.ends_with("_total") ? "counter" : "gauge");
  for (const auto &[label, value] : Values) {
    Out += "crocusspur_" + Name;
    if (!label.empty())
      Out += "{name=\"" + escaped(label) + "\"}";
    Out += ' ' + formatted(value) + '\n';
  }
}

void renderHistogram(std::string &Out, std::string_view Name,
                     const std::string &Group, const HistogramData &Values) {
  std::string name = "crocusspur_" + std::string(Name);
  std::string group = "group=\"" + escaped(Group) + '"';
  auto bucket = [&](const std::string &Limit, uint64_t N) {
    Out += name + "_bucket{" + group + ",le=\"" + Limit + "\"} " +
           std::to_string(N) + '\n';
  };
  // Index -1 is the underflow bucket, which lies below the first limit.
  auto sum = static_cast<uint64_t>(Values.Counts.at(-1));
  bucket(formatted(SmallestBucketSeconds), sum);
  for (unsigned i = 0; i < BucketCount; ++i) {
    sum += static_cast<uint64_t>(Values.Counts.at(static_cast<int>(i)));
    bucket(formatted(Values.Counts.axis().value(i + 1)), sum);
  }
  bucket("+Inf", Values.Count);
  Out += name + "_sum{" + group + "} " + formatted(Values.Sum) + '\n';
  Out += name + "_count{" + group + "} " + std::to_string(Values.Count) + '\n';
}

} // namespace

struct Metrics::State {
  mutable LeafMutex Mutex;
  std::map<Labels, uint64_t> Decisions; // kind, group
  std::map<Labels, uint64_t> Refusals;  // reason, group
  // By name and label. A name without labels is rendered without a sample.
  std::map<std::string, std::map<std::string, double>> Gauges;
  std::array<HistogramsByGroup, HistogramNames.size()> Histograms;
};

Metrics::Metrics() : Impl(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void Metrics::onDecision(const DecisionRecord &Entry) {
  std::lock_guard lock(Impl->Mutex);
  ++Impl->Decisions[{toString(Entry.Kind), Entry.Group}];
  if (Entry.Kind == DecisionKind::Shed || Entry.Kind == DecisionKind::Failed)
    ++Impl->Refusals[{errorResponse(Entry.Error).Name, Entry.Group}];
}

void Metrics::observe(std::string_view Name, std::string_view Group,
                      double Value) {
  const auto *name =
      std::find(HistogramNames.begin(), HistogramNames.end(), Name);
  if (name == HistogramNames.end())
    return;
  std::lock_guard lock(Impl->Mutex);
  HistogramsByGroup &groups = Impl->Histograms[static_cast<size_t>(
      std::distance(HistogramNames.begin(), name))];
  auto it = groups.find(Group);
  if (it == groups.end())
    it = groups.try_emplace(std::string(Group)).first;
  it->second.Counts(Value);
  it->second.Sum += Value;
  ++it->second.Count;
}

void Metrics::setGauge(const std::string &Name, const std::string &Label,
                       double Value) {
  std::lock_guard lock(Impl->Mutex);
  Impl->Gauges[Name][Label] = Value;
}

void Metrics::clearGauge(const std::string &Name) {
  std::lock_guard lock(Impl->Mutex);
  Impl->Gauges[Name].clear();
}

std::string Metrics::render() const {
  std::lock_guard lock(Impl->Mutex);
  std::string out;
  renderCounters(out, "decisions_total", "kind", Impl->Decisions);
  renderCounters(out, "refusals_total", "reason", Impl->Refusals);
  for (const auto &[name, values] : Impl->Gauges)
    renderGauge(out, name, values);
  for (size_t i = 0; i < HistogramNames.size(); ++i) {
    renderType(out, std::string(HistogramNames[i]), "histogram");
    for (const auto &[group, values] : Impl->Histograms[i])
      renderHistogram(out, HistogramNames[i], group, values);
  }
  return out;
}

namespace {

class MetricsPlugin final : public Plugin {
public:
  bool start(Kernel &Owner) override {
    Owner.provide<MetricsSink>(&Values);
    return true;
  }
  void stop() override {}

private:
  Metrics Values;
};

const PluginRegistration Registration{
    {"metrics", Phase::Foundation,
     [] { return std::make_unique<MetricsPlugin>(); }, Program::Both}};

} // namespace
} // namespace crocusspur::internal
