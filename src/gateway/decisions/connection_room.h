// Decides which of callers' connections gives way when there are nearly as many
// as an instance can hold. Does no I/O.
//
// Load: crowds of callers that connect at once, and callers that keep thousands
// of connections open without using them.
#ifndef CROCUSSPUR_GATEWAY_CONNECTION_ROOM_H
#define CROCUSSPUR_GATEWAY_CONNECTION_ROOM_H

#include "crocusspur/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace crocusspur::gateway {

// What an open connection takes: the stack of its thread and its buffers.
inline constexpr size_t ConnectionBytes = 98304;

// Returns how many connections an instance has at a time, so that they take at
// most half of its memory budget.
size_t maxConnections(size_t BudgetBytes);

enum class RoomAction : uint8_t {
  None,
  EndLinger,   // of the one that has waited longest for its caller's close
  CloseUsed,   // the one that has waited longest since its last response
  CloseUnused, // the one that has waited longest for its first request
  RefuseNew,   // its request is refused as not run
};

struct ConnectionCrowd {
  size_t Connections = 0; // with the new one
  size_t Most = 0;        // see maxConnections()
  // How long connections have waited at most: for the caller's close after the
  // last response, for a request after a response, and for the first request.
  // Nothing: none waits so.
  std::optional<Milliseconds> Lingering;
  std::optional<Milliseconds> Used;
  std::optional<Milliseconds> Unused;
};

// A caller that has had a response knows that its connection may be closed, and
// sends a request that crosses the close again. A new connection is closed only
// once its request can't be under way any more.
RoomAction makeRoomFor(const ConnectionCrowd &Crowd);

} // namespace crocusspur::gateway

#endif
