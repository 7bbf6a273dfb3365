#include "gateway/gateway_runtime.h"

#include "log.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

constexpr Milliseconds LeastGatherTime{400};
constexpr Milliseconds GatherTimePerMember{10};
constexpr Milliseconds MostGatherTime{1000};

} // namespace

Milliseconds batchDelayFor(uint64_t Members, Milliseconds LeavingLimit) {
  // The other half of the bound is for the call itself and a repeat of it.
  Milliseconds most = std::min(MostGatherTime, LeavingLimit / 2);
  Milliseconds least = std::min(LeastGatherTime, most);
  return std::clamp(GatherTimePerMember * static_cast<int64_t>(Members), least,
                    most);
}

Milliseconds GatewayRuntime::gatherTime() const {
  return batchDelayFor(PeersKnown.load(), Values.LeavingLimit);
}

using internal::log;
using internal::LogLevel;

void GatewayRuntime::takeSettings(const GatewaySettings &News,
                                  const char *Why) {
  std::lock_guard lock(Mutex);
  LastMistakes.clear();
  bool seedsChanged = News.SeedAddresses != Seeds;
  bool repeatsChanged = News.Retries != Retries;
  if (!seedsChanged && !repeatsChanged)
    return;
  Seeds = News.SeedAddresses;
  Retries = News.Retries;
  Known.setRetryAllowance(Retries);
  log(LogLevel::Info, "lifecycle", "settings changed",
      {{"trigger", Why},
       {"seeds", std::to_string(Seeds.size())},
       {"repeat_ratio", std::to_string(Retries.Ratio)},
       {"repeat_allowance", std::to_string(Retries.Fixed)}});
}

void GatewayRuntime::noteBadSettings(const DiagnosticList &Diagnostics,
                                     const char *Why) {
  std::string all;
  for (const Diagnostic &it : Diagnostics.Diagnostics)
    all += (all.empty() ? "" : "; ") + it.str();
  std::lock_guard lock(Mutex);
  if (all == LastMistakes)
    return;
  LastMistakes = all;
  log(LogLevel::Warn, "lifecycle", "settings not usable; kept the former",
      {{"trigger", Why}, {"mistakes", all}});
}

std::vector<std::string> GatewayRuntime::seedAddresses() const {
  std::lock_guard lock(Mutex);
  return Seeds;
}

} // namespace crocusspur::gateway
