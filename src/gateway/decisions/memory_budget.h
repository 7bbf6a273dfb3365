// The memory that an instance may use for bytes of others: responses, events,
// frames and requests that aren't passed on yet. Thread-safe; does no I/O.
#ifndef CROCUSSPUR_GATEWAY_MEMORY_BUDGET_H
#define CROCUSSPUR_GATEWAY_MEMORY_BUDGET_H

#include "crocusspur/types.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace crocusspur::gateway {

enum class MemoryUse : uint8_t { Response, Event, PeerFrame, RequestBody };
constexpr size_t MemoryUseCount = 4;

const char *nameOf(MemoryUse Use); // name in logs and metrics

// Returns the limit of the budget of a process that may use `MemoryBytes`, of
// which it has `BaseBytes` at its start. 0 `MemoryBytes`: not limited by the
// settings.
size_t memoryBudgetLimit(size_t MemoryBytes, size_t BaseBytes);

class MemoryBudget {
public:
  // A hold may grow while it is smaller than what is free, divided by this: the
  // largest ones are refused first, and there is room left for those that
  // begin.
  static constexpr size_t FreeDivisor = 2;

  explicit MemoryBudget(size_t Limit = SIZE_MAX) : Limit(Limit) {}

  // Before the budget is used.
  void setLimit(size_t Bytes) { Limit = Bytes; }
  size_t limit() const { return Limit; }
  size_t held() const { return Held.load(std::memory_order_relaxed); }
  uint64_t refused(MemoryUse Use) const {
    return Refused[static_cast<size_t>(Use)].load(std::memory_order_relaxed);
  }

  // Grows a hold of `Size` bytes. Returns false and counts a refusal if there
  // is no room for it.
  bool tryGrow(MemoryUse Use, size_t Size, size_t More);
  // Adds bytes that have a bound of their own and are needed whatever else is
  // held. Others find less room meanwhile.
  void growAlways(size_t More) {
    Held.fetch_add(More, std::memory_order_relaxed);
  }
  void release(size_t Bytes) {
    Held.fetch_sub(Bytes, std::memory_order_relaxed);
  }

  // Returns how many refusals of the kind there were since the last ones that
  // were logged, or nothing if that was less than a second ago.
  std::optional<uint64_t> takeRefusalsToLog(MemoryUse Use, TimePoint Now);

private:
  struct Logged {
    std::atomic<TimePoint::rep> At{NeverLogged}; // of the clock
    std::atomic<uint64_t> Count{0};
  };
  static constexpr TimePoint::rep NeverLogged =
      std::numeric_limits<TimePoint::rep>::min();

  size_t Limit;
  std::atomic<size_t> Held{0};
  std::array<std::atomic<uint64_t>, MemoryUseCount> Refused{};
  std::array<Logged, MemoryUseCount> LastLogged;
};

// A part of the budget, given back by its destructor.
class MemoryHold {
public:
  MemoryHold() = default;
  // `Budget`: null if nothing is limited.
  MemoryHold(MemoryBudget *Budget, MemoryUse Use) : Budget(Budget), Use(Use) {}
  ~MemoryHold() { reset(); }
  MemoryHold(MemoryHold &&Other) noexcept { *this = std::move(Other); }
  MemoryHold &operator=(MemoryHold &&Other) noexcept;

  size_t size() const { return Size; }
  // Returns false if there is no room; the hold stays as it is.
  bool growTo(size_t Bytes);
  // The same for bytes that aren't refused; see MemoryBudget::growAlways().
  void growAlwaysTo(size_t Bytes);
  void reset();

private:
  MemoryBudget *Budget = nullptr;
  MemoryUse Use = MemoryUse::Response;
  size_t Size = 0;
};

} // namespace crocusspur::gateway

#endif
