#include "request_log.h"

#include "log.h"

#include <cstdio>

namespace crocusspur::internal {
namespace {

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

// Milliseconds with three decimals.
std::string millisecondsText(TimePoint From, TimePoint To) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f", secondsBetween(From, To) * 1000);
  return buf;
}

void observe(const RequestSummary &Item, MetricsSink &Metrics) {
  if (Item.PrefillAt)
    Metrics.observe("prefill_wait_seconds", Item.Group,
                    secondsBetween(Item.ArrivedAt, *Item.PrefillAt));
  if (Item.FirstOutputAt)
    Metrics.observe("first_output_seconds", Item.Group,
                    secondsBetween(Item.ArrivedAt, *Item.FirstOutputAt));
  if (Item.FirstTokenAt && Item.LastTokenAt && Item.Tokens > 1)
    Metrics.observe("output_gap_seconds", Item.Group,
                    secondsBetween(*Item.FirstTokenAt, *Item.LastTokenAt) /
                        static_cast<double>(Item.Tokens - 1));
}

} // namespace

void reportFinished(const RequestSummary &Item, MetricsSink *Metrics) {
  if (Metrics && Item.ForwardedBy.empty())
    observe(Item, *Metrics);
  if (!isLogged(LogLevel::Info))
    return;
  LogFields fields{
      {"request", Item.Id.str()},
      {"group", Item.Group},
      {"target", Item.Target},
      {"outcome", Item.Outcome},
      {"run", toString(Item.Run)},
      {"attempt", std::to_string(Item.Attempt)},
      {"tokens", std::to_string(Item.Tokens)},
      {"config_version", std::to_string(Item.ConfigVersion)},
      {"total_ms", millisecondsText(Item.ArrivedAt, Item.EndedAt)}};
  if (Item.PrefillAt)
    fields.emplace_back("prefill_wait_ms",
                        millisecondsText(Item.ArrivedAt, *Item.PrefillAt));
  if (Item.FirstOutputAt)
    fields.emplace_back("first_output_ms",
                        millisecondsText(Item.ArrivedAt, *Item.FirstOutputAt));
  if (!Item.Server.empty())
    fields.emplace_back("server", Item.Server);
  if (!Item.Home.empty())
    fields.emplace_back("home", Item.Home);
  if (!Item.ForwardedBy.empty())
    fields.emplace_back("forwarded_by", Item.ForwardedBy);
  log(LogLevel::Info, "relay", "request finished", fields);
}

} // namespace crocusspur::internal
