// Frames of the exchange between two gateway instances.
#ifndef CROCUSSPUR_GATEWAY_MEMBER_CODEC_H
#define CROCUSSPUR_GATEWAY_MEMBER_CODEC_H

#include "gateway/decisions/member_table.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Instances with different versions refuse each other.
inline constexpr uint16_t MemberProtocol = 1;

// A server's entry as it was published; the receiver decodes it itself.
struct PublishedText {
  std::string Id;
  uint64_t Revision = 0;
  bool Gone = false;
  std::string Text;
};

// One instance speaks, the other answers with the same type.
struct MemberFrame {
  Member Sender;
  std::vector<Member> Members; // that the sender has heard of
  bool WantsRoutes = false;    // if the receiver has a newer version
  bool WantsServers = false;   // if the receiver knows later changes
  uint64_t ConfigVersion = 0;
  uint64_t ServersRevision = 0;
  std::string RoutesText; // empty: not in this frame
  bool HasServers = false;
  std::vector<PublishedText> Servers;
};

// Without the length prefix.
std::vector<uint8_t> encode(const MemberFrame &Frame);
// Nothing if the bytes aren't a valid frame of this version.
std::optional<MemberFrame> decodeMemberFrame(std::span<const uint8_t> Bytes);

} // namespace crocusspur::gateway

#endif
