#include "gateway/memory_log.h"

#include "log.h"

#include <fstream>
#include <unistd.h>

namespace crocusspur::gateway {

void logMemoryRefused(MemoryBudget *Budget, MemoryUse Use,
                      const std::string &Source) {
  if (!Budget)
    return;
  std::optional<uint64_t> count =
      Budget->takeRefusalsToLog(Use, std::chrono::steady_clock::now());
  if (count)
    internal::log(internal::LogLevel::Warn, "memory", "memory refused",
                  {{"use", nameOf(Use)},
                   {"from", Source},
                   {"refusals", std::to_string(*count)},
                   {"held_bytes", std::to_string(Budget->held())},
                   {"limit_bytes", std::to_string(Budget->limit())}});
}

size_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace crocusspur::gateway
