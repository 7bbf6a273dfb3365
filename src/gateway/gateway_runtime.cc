#include "gateway/gateway_runtime.h"

#include "log.h"

namespace crocusspur::gateway {
namespace {

constexpr Milliseconds LeastGatherTime{400};
constexpr Milliseconds GatherTimePerMember{10};
// Half of two seconds, the shortest bound that is known for a leaving server
// and for a configuration; the rest is for the call itself.
constexpr Milliseconds MostGatherTime{1000};

} // namespace

Milliseconds GatewayRuntime::gatherTime() const {
  auto members = static_cast<int64_t>(PeersKnown.load());
  return std::clamp(GatherTimePerMember * members, LeastGatherTime,
                    MostGatherTime);
}

using internal::log;
using internal::LogLevel;

void GatewayRuntime::takeSettings(const GatewaySettings &News,
                                  const char *Why) {
  std::lock_guard lock(Mutex);
  LastMistakes.clear();
  bool seedsChanged = News.SeedAddresses != Seeds;
  bool repeatsChanged = News.Repeats != Repeats;
  if (!seedsChanged && !repeatsChanged)
    return;
  Seeds = News.SeedAddresses;
  Repeats = News.Repeats;
  Known.setRepeats(Repeats);
  log(LogLevel::Info, "lifecycle", "settings changed",
      {{"trigger", Why},
       {"seeds", std::to_string(Seeds.size())},
       {"repeat_ratio", std::to_string(Repeats.Ratio)},
       {"repeat_allowance", std::to_string(Repeats.Fixed)}});
}

void GatewayRuntime::noteBadSettings(const MistakeList &Mistakes,
                                     const char *Why) {
  std::string all;
  for (const Mistake &it : Mistakes.Mistakes)
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
