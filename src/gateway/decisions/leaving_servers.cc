#include "gateway/decisions/leaving_servers.h"

#include <algorithm>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

// Longer than a server takes to end after it has said that it leaves, and than
// an instance is out of touch with the others.
constexpr Milliseconds Retention{600000};
// The oldest ones are dropped beyond it. More than two regions have servers.
constexpr size_t MaxServers = 4096;

uint64_t hashOf(const ServerProcess &Process) {
  std::string text = Process.Id + '\n' + std::to_string(Process.StartedAt) +
                     '\n' + Process.Address + '\n' + Process.Version;
  return XXH64(text.data(), text.size(), 0);
}

} // namespace

bool LeavingServers::add(const LeavingServer &Item, TimePoint Now) {
  if (Item.Age > Retention ||
      !Servers.try_emplace(Item.Process, Now - Item.Age).second)
    return false;
  if (Servers.size() > MaxServers)
    Servers.erase(std::ranges::min_element(
        Servers, {}, [](const auto &It) { return It.second; }));
  return true;
}

std::vector<LeavingServer> LeavingServers::known(TimePoint Now) const {
  return known(Now, Retention);
}

std::vector<LeavingServer> LeavingServers::known(TimePoint Now,
                                                 Milliseconds MaxAge) const {
  std::vector<LeavingServer> all;
  for (const auto &[process, learnedAt] : Servers)
    if (Now - learnedAt <= MaxAge)
      all.push_back(
          {process, std::chrono::duration_cast<Milliseconds>(Now - learnedAt)});
  return all;
}

uint64_t LeavingServers::digest(TimePoint Now) const {
  uint64_t digest = 0;
  for (const auto &[process, learnedAt] : Servers)
    if (Now - learnedAt <= Retention)
      digest ^= hashOf(process);
  return digest;
}

void LeavingServers::expire(
    TimePoint Now,
    const std::function<bool(const ServerProcess &)> &IsRegistered) {
  std::erase_if(Servers, [&](const auto &It) {
    return Now - It.second > Retention && !IsRegistered(It.first);
  });
}

} // namespace crocusspur::gateway
