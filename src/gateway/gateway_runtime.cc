#include "gateway/gateway_runtime.h"

#include "log.h"

#include <algorithm>

namespace crocusspur::gateway {

using internal::log;
using internal::LogLevel;

void GatewayRuntime::applyRoutes(RouteDocumentPtr Document,
                                 StoreRevision Revision,
                                 const ConfigSource &Source) {
  bool isNew = Directory.applyRoutes(std::move(Document), Revision, Source);
  internal::MetricsSink *metrics = Metrics.load();
  if (isNew && metrics && Source.Age.AtMost)
    metrics->observe("config_age_seconds",
                     Source.Origin == UpdateOrigin::Store ? "store" : "peer",
                     std::chrono::duration<double>(*Source.Age.AtMost).count());
}

void GatewayRuntime::applySettings(const GatewaySettings &NewValues,
                                   const char *Why) {
  std::lock_guard lock(Mutex);
  LastDiagnostics.clear();
  bool seedsChanged = NewValues.SeedAddresses != Seeds;
  bool retriesChanged = NewValues.Retries != Retries;
  bool accessChanged = NewValues.Access != Access.policy();
  bool paceChanged = NewValues.Pace != Pace;
  if (!seedsChanged && !retriesChanged && !accessChanged && !paceChanged)
    return;
  Seeds = NewValues.SeedAddresses;
  Retries = NewValues.Retries;
  Pace = NewValues.Pace;
  Directory.setRetryAllowance(Retries);
  Access.setPolicy(NewValues.Access);
  Directory.setPaceSettings(Pace);
  log(LogLevel::Info, "lifecycle", "settings changed",
      {{"trigger", Why},
       {"seeds", std::to_string(Seeds.size())},
       {"repeat_ratio", std::to_string(Retries.Ratio)},
       {"repeat_allowance", std::to_string(Retries.Fixed)},
       {"revoke_fail_closed", NewValues.Access.FailClosed ? "true" : "false"},
       {"revoke_ms", std::to_string(NewValues.Access.MaxAge.count())},
       {"pace_enabled", Pace.Enabled ? "true" : "false"},
       {"pace_dead_band", std::to_string(Pace.DeadBand)},
       {"pace_max_ratio", std::to_string(Pace.MaxRatio)},
       {"pace_dispatch", Pace.Dispatch ? "true" : "false"},
       {"pace_knee", Pace.Knee ? "true" : "false"},
       {"pace_min_knee", std::to_string(Pace.MinKnee)}});
}

void GatewayRuntime::logInvalidSettings(const DiagnosticList &Diagnostics,
                                        const char *Why) {
  std::string all;
  for (const Diagnostic &it : Diagnostics.Diagnostics)
    all += (all.empty() ? "" : "; ") + it.str();
  std::lock_guard lock(Mutex);
  if (all == LastDiagnostics)
    return;
  LastDiagnostics = all;
  log(LogLevel::Warn, "lifecycle", "invalid settings; keeping the active ones",
      {{"trigger", Why}, {"mistakes", all}});
}

std::vector<std::string> GatewayRuntime::seedAddresses() const {
  std::lock_guard lock(Mutex);
  return Seeds;
}

Member GatewayRuntime::ownMember() const {
  Member member;
  member.Name = Values.Instance;
  member.Address = Values.PeerAddress;
  member.Incarnation = Incarnation;
  member.Leaving = Stopping.load();
  member.FailureDomain = Values.FailureDomain;
  member.StoreFailing = Readers.isStoreFailing();
  return member;
}

} // namespace crocusspur::gateway
