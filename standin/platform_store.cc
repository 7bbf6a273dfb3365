#include "platform_store.h"

#include <Poco/JSON/Object.h>
#include <sstream>

namespace standin {

bool PlatformStore::publishConfig(uint64_t Version, const std::string &Text,
                                  bool Strict, const std::string &Reader) {
  std::lock_guard lock(Mutex);
  uint64_t last = Configs.empty() ? 0 : Configs.rbegin()->first;
  if (Strict && Version != last + 1)
    return false;
  if (Reader.empty())
    Configs[Version] = Text;
  else
    ConfigsByReader[Reader][Version] = Text;
  Changed.notify_all();
  return true;
}

void PlatformStore::publishList(uint64_t Sequence, const std::string &Text) {
  std::lock_guard lock(Mutex);
  Lists[Sequence] = Text;
  Changed.notify_all();
}

uint64_t PlatformStore::lastConfig() const {
  std::lock_guard lock(Mutex);
  return Configs.empty() ? 0 : Configs.rbegin()->first;
}

void PlatformStore::setStale(const std::string &Reader, uint64_t Config,
                             uint64_t List) {
  std::lock_guard lock(Mutex);
  LimitsByReader[Reader] = {Config, List};
}

void PlatformStore::clearStale(const std::string &Reader) {
  std::lock_guard lock(Mutex);
  LimitsByReader.erase(Reader);
  Changed.notify_all();
}

PlatformStore::VisibleLimits
PlatformStore::limitsOf(const std::string &Reader) const {
  auto it = LimitsByReader.find(Reader);
  return it == LimitsByReader.end() ? VisibleLimits{} : it->second;
}

std::optional<std::string>
PlatformStore::findConfig(const std::string &Reader,
                          std::optional<uint64_t> After) const {
  DocumentsByNumber visible = Configs;
  if (auto it = ConfigsByReader.find(Reader); it != ConfigsByReader.end())
    for (const auto &own : it->second)
      visible[own.first] = own.second;
  visible.erase(visible.upper_bound(limitsOf(Reader).Config), visible.end());
  if (visible.empty())
    return std::nullopt;
  if (!After)
    return visible.rbegin()->second;
  auto it = visible.upper_bound(*After);
  if (it == visible.end())
    return std::nullopt;
  return it->second;
}

std::optional<std::string>
PlatformStore::findList(const std::string &Reader,
                        std::optional<uint64_t> After) const {
  auto it = Lists.upper_bound(limitsOf(Reader).List);
  if (it == Lists.begin())
    return std::nullopt;
  --it;
  if (After && it->first <= *After)
    return std::nullopt;
  return it->second;
}

template <typename Find>
std::optional<std::string>
PlatformStore::waitFor(const std::string &Reader,
                       std::chrono::milliseconds Wait, Find Lookup) {
  std::unique_lock lock(Mutex);
  std::optional<std::string> found;
  ++Calls[Reader].Waiting;
  Changed.wait_for(lock, Wait, [&] {
    found = Lookup();
    return found.has_value();
  });
  --Calls[Reader].Waiting;
  return found;
}

std::optional<std::string>
PlatformStore::config(const std::string &Reader, std::optional<uint64_t> After,
                      std::chrono::milliseconds Wait) {
  {
    std::lock_guard lock(Mutex);
    ++Calls[Reader].Config;
  }
  return waitFor(Reader, Wait, [&] { return findConfig(Reader, After); });
}

std::optional<std::string> PlatformStore::list(const std::string &Reader,
                                               std::optional<uint64_t> After,
                                               std::chrono::milliseconds Wait) {
  {
    std::lock_guard lock(Mutex);
    ++Calls[Reader].List;
  }
  return waitFor(Reader, Wait, [&] { return findList(Reader, After); });
}

std::string PlatformStore::countsJson() const {
  std::lock_guard lock(Mutex);
  Poco::JSON::Object readers;
  uint64_t total = 0;
  for (const auto &it : Calls) {
    Poco::JSON::Object counts;
    counts.set("config", it.second.Config);
    counts.set("instances", it.second.List);
    counts.set("waiting", it.second.Waiting);
    readers.set(it.first, counts);
    total += it.second.Config + it.second.List;
  }
  Poco::JSON::Object response;
  response.set("total", total);
  response.set("readers", readers);
  std::ostringstream text;
  response.stringify(text);
  return text.str();
}

} // namespace standin
