// Counters, gauges and histograms of the process, rendered as Prometheus text.
// docs/METRICS.md lists every metric with its unit.
#ifndef CROCUSSPUR_METRICS_H
#define CROCUSSPUR_METRICS_H

#include "runtime.h"

#include <memory>
#include <string>

namespace crocusspur::internal {

class Metrics final : public MetricsSink {
public:
  Metrics();
  ~Metrics() override;

  void onDecision(const DecisionRecord &Entry) override;
  // `Name` is one of HistogramNames in metrics.cc; others are ignored, so that
  // a typo can't create a metric.
  void observe(std::string_view Name, std::string_view Group,
               double Value) override;
  // A name that ends in "_total" is rendered as a counter.
  void setGauge(const std::string &Name, const std::string &Label,
                double Value) override;
  void clearGauge(const std::string &Name) override;
  std::string render() const override;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
