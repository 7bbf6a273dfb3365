// Encodes messages between instances as FlatBuffers frames, and verifies and
// decodes received frames.
// The schema is schema/peer.fbs.
#ifndef CROCUSSPUR_PEER_CODEC_H
#define CROCUSSPUR_PEER_CODEC_H

#include "crocusspur/peer_message.h"

#include <array>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Instances with different versions reject each other's frames.
inline constexpr uint16_t ProtocolVersion = 1;

using Bytes = std::vector<uint8_t>;

// First message of each side of a new link.
struct Hello {
  std::string Name;
  uint64_t Incarnation = 0;
  std::array<uint8_t, 32> Nonce{};
};

// Second message of each side: proves that the sender knows the shared key.
struct HelloProof {
  std::array<uint8_t, 32> Mac{};
};

// LEAF error object loaded with ErrorKind::PeerProtocol: what is wrong with the
// frame.
struct FrameError {
  std::string Reason;
};

// Return a frame without its length prefix.
Bytes encode(const PeerMessage &Message);
Bytes encode(const Hello &Message);
Bytes encode(const HelloProof &Message);

// Verify the frame and every enumeration, time and status in it. On failure
// the LEAF error carries ErrorKind::PeerProtocol and a FrameError. The data
// should be aligned to 8 bytes, as from an allocation. The memory for strings
// and lists is proportional to the size of the frame.
boost::leaf::result<PeerMessage> decode(std::span<const uint8_t> Frame);
boost::leaf::result<Hello> decodeHello(std::span<const uint8_t> Frame);
boost::leaf::result<HelloProof>
decodeHelloProof(std::span<const uint8_t> Frame);

} // namespace crocusspur::internal

#endif
