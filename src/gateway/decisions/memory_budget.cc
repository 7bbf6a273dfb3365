#include "gateway/decisions/memory_budget.h"

#include "gateway/decisions/memory_minimum.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

// Of the memory of the settings. The rest is for threads' stacks, what the
// allocator can't use, and documents that grow after the start.
constexpr double UsablePart = 0.6;
// Sound requests need a few KiB each.
constexpr size_t MinLimit = 8388608;
// Of an instance at its start, with its threads and a small configuration.
constexpr size_t TypicalBaseBytes = 16777216;
// Without a setting.
constexpr size_t DefaultLimit = 67108864;
constexpr Milliseconds LogPeriod{1000};

} // namespace

const char *nameOf(MemoryUse Use) {
  switch (Use) {
  case MemoryUse::Response:
    return "response";
  case MemoryUse::Event:
    return "event";
  case MemoryUse::PeerFrame:
    return "peer_frame";
  case MemoryUse::RequestBody:
    break;
  }
  return "request_body";
}

size_t memoryBudgetLimit(size_t MemoryBytes, size_t BaseBytes) {
  if (MemoryBytes == 0)
    return DefaultLimit;
  auto usable =
      static_cast<size_t>(UsablePart * static_cast<double>(MemoryBytes));
  return std::max(MinLimit, usable - std::min(usable, BaseBytes));
}

size_t minMemoryBytes() {
  return static_cast<size_t>(
      std::ceil(static_cast<double>(TypicalBaseBytes + MinLimit) / UsablePart));
}

bool MemoryBudget::tryGrow(MemoryUse Use, size_t Size, size_t More) {
  size_t held = Held.load(std::memory_order_relaxed);
  while (true) {
    size_t free = Limit - std::min(Limit, held);
    if (More > free || Size + More > free / FreeDivisor) {
      Refused[static_cast<size_t>(Use)].fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (Held.compare_exchange_weak(held, held + More,
                                   std::memory_order_relaxed))
      return true;
  }
}

std::optional<uint64_t> MemoryBudget::takeRefusalsToLog(MemoryUse Use,
                                                        TimePoint Now) {
  Logged &last = LastLogged[static_cast<size_t>(Use)];
  uint64_t all = refused(Use);
  TimePoint::rep loggedAt = last.At.load();
  bool isRecent = loggedAt != NeverLogged &&
                  Now - TimePoint(TimePoint::duration(loggedAt)) < LogPeriod;
  // Of several threads, one logs.
  if (all == last.Count.load() || isRecent ||
      !last.At.compare_exchange_strong(loggedAt,
                                       Now.time_since_epoch().count()))
    return std::nullopt;
  return all - last.Count.exchange(all);
}

MemoryHold &MemoryHold::operator=(MemoryHold &&Other) noexcept {
  if (this == &Other)
    return *this;
  reset();
  Budget = Other.Budget;
  Use = Other.Use;
  Size = std::exchange(Other.Size, 0);
  return *this;
}

bool MemoryHold::growTo(size_t Bytes) {
  if (Bytes <= Size)
    return true;
  if (Budget && !Budget->tryGrow(Use, Size, Bytes - Size))
    return false;
  Size = Bytes;
  return true;
}

void MemoryHold::growAlwaysTo(size_t Bytes) {
  if (Bytes <= Size)
    return;
  if (Budget)
    Budget->growAlways(Bytes - Size);
  Size = Bytes;
}

void MemoryHold::reset() {
  if (Budget && Size > 0)
    Budget->release(Size);
  Size = 0;
}

} // namespace crocusspur::gateway
