#include "gateway/decisions/connection_room.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

constexpr size_t FewestConnections = 64;
constexpr size_t MostConnections = 768; // each uses a thread
// Callers send their request once the connection is open, for which they allow
// a second.
constexpr Milliseconds UnusedGrace{1000};
// Where the last threads are about to be used: the time in which a request that
// follows the connection at once arrives.
constexpr Milliseconds ShortUnusedGrace{10};

// In which a caller that still sends gets the response, before a reset can
// destroy it.
constexpr Milliseconds LingerGrace{100};

} // namespace

size_t maxConnections(size_t BudgetBytes) {
  return std::clamp(BudgetBytes / 2 / ConnectionBytes, FewestConnections,
                    MostConnections);
}

RoomAction makeRoomFor(const ConnectionCrowd &Crowd) {
  if (Crowd.Connections <= Crowd.Most * 3 / 4)
    return RoomAction::None;
  if (Crowd.Lingering && *Crowd.Lingering >= LingerGrace)
    return RoomAction::EndLinger;
  if (Crowd.Used)
    return RoomAction::CloseUsed;
  // The rest is left for responses to those that are refused.
  bool isFull = Crowd.Connections > Crowd.Most * 11 / 12;
  // Where others give way soon, the new one waits for a thread meanwhile.
  if (!Crowd.Unused)
    return isFull && !Crowd.Lingering ? RoomAction::RefuseNew
                                      : RoomAction::None;
  bool isCrowded = Crowd.Connections > Crowd.Most * 3 / 2;
  bool mayClose = *Crowd.Unused >= (isFull ? ShortUnusedGrace : UnusedGrace);
  return isCrowded || mayClose ? RoomAction::CloseUnused : RoomAction::None;
}

} // namespace crocusspur::gateway
