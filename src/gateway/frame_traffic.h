// Counts the bytes of frames between instances by their kind. Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_FRAME_TRAFFIC_H
#define CROCUSSPUR_GATEWAY_FRAME_TRAFFIC_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace crocusspur::gateway {

enum class FrameKind : uint8_t {
  Round,        // of the regular exchanges
  List,         // with the list of all servers
  Notification, // of a change that peers are to learn at once
  Question,     // for changes that this instance may have missed
  Permit,       // for calls to a server with a request limit
  Dispatch      // of a prefill to a server of a shard
};

inline constexpr std::array<const char *, 6> FrameKindNames{
    "round",    "list",   "notification",
    "question", "permit", "dispatch"}; // in metrics

class FrameTraffic {
public:
  void add(FrameKind Kind, size_t Bytes, bool CrossesDomains) {
    Sent[static_cast<size_t>(Kind)].fetch_add(Bytes);
    if (CrossesDomains)
      BetweenDomains.fetch_add(Bytes);
  }
  uint64_t sent(size_t Kind) const { return Sent[Kind].load(); }
  uint64_t betweenDomains() const { return BetweenDomains.load(); }

private:
  std::array<std::atomic<uint64_t>, FrameKindNames.size()> Sent{};
  std::atomic<uint64_t> BetweenDomains{0};
};

} // namespace crocusspur::gateway

#endif
