#include "gateway/gateway_runtime.h"

#include "log.h"

namespace crocusspur::gateway {

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
