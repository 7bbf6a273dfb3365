// Identifiers, time types and small enumerations that every module uses.
#ifndef CROCUSSPUR_TYPES_H
#define CROCUSSPUR_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace crocusspur {

// Monotonic time. All leases, timeouts and deadlines use it.
using TimePoint = std::chrono::steady_clock::time_point;

// Wall-clock time. Only compared with the issue time inside idempotency keys.
using WallTime = std::chrono::system_clock::time_point;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// Identifies a request over all instances: the incarnation of the entry
// instance that accepted it, and a number that the entry counts up from 1.
struct RequestId {
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;

  auto operator<=>(const RequestId &) const = default;

  // Returns "<incarnation>-<sequence>", both as lower-case hexadecimal.
  std::string str() const;

  // Inverse of str(). Returns a zero id if the text is malformed.
  static RequestId parse(const std::string &Text);
};

enum class RequestKind : uint8_t { Model, Service };

// Scheduling class of a request, from its group's configuration. Interactive
// requests have a bounded wait behind other work; batch requests use what the
// other classes leave.
enum class RequestClass : uint8_t { Interactive, Normal, Batch };

// What an error response says about execution. `No` is only used when no
// backend server can have started the request.
enum class ExecutionState : uint8_t { No, Yes, Unknown };

const char *toString(RequestKind Kind);
const char *toString(RequestClass Class);
const char *toString(ExecutionState State);

} // namespace crocusspur

template <> struct std::hash<crocusspur::RequestId> {
  size_t operator()(const crocusspur::RequestId &Id) const noexcept {
    return Id.Incarnation ^ (Id.Sequence * 0x9E3779B97F4A7C15ULL);
  }
};

#endif
