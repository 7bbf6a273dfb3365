// One link between two instances, without its socket: framing, handshake,
// timeouts and the output buffer. The owner of the socket passes in received
// bytes and the time, so the logic doesn't depend on the way sockets are
// polled.
#ifndef CROCUSSPUR_PEER_CONNECTION_H
#define CROCUSSPUR_PEER_CONNECTION_H

#include "peer_handshake.h"

#include <functional>
#include <span>
#include <string>

namespace crocusspur::internal {

struct LinkLimits {
  uint32_t MaxFrameBytes = 2097152;
  Milliseconds HandshakeTimeout{2000}; // from the start of the connection
  Milliseconds IdleTimeout{1500};      // between received bytes
};

struct LinkHooks {
  // Called when the handshake is complete. Returning false closes the link.
  std::function<bool()> OnUp;
  std::function<void(PeerMessage)> OnMessage;
};

// Appends the frame with its length as a 4-byte little-endian prefix.
void appendFrame(Bytes &Out, const Bytes &Frame);

class PeerConnection {
public:
  PeerConnection(LinkLimits Limits, PeerHandshake Handshake, TimePoint Now);

  // Processes received bytes. Returns false if the link has to be closed;
  // closeReason() says why.
  bool receive(std::span<const uint8_t> Data, TimePoint Now,
               const LinkHooks &Hooks);

  // Returns false if the handshake or the link has timed out.
  bool checkTimeouts(TimePoint Now);

  void send(const Bytes &Frame) { appendFrame(Output, Frame); }
  std::span<const uint8_t> unsent() const;
  void markSent(size_t Count);

  bool isUp() const { return Up; }
  const PeerHandshake &handshake() const { return HandshakeState; }
  const std::string &closeReason() const { return CloseReason; }

private:
  bool processFrame(std::span<const uint8_t> Frame, const LinkHooks &Hooks);
  bool processHandshake(std::span<const uint8_t> Frame, const LinkHooks &Hooks);
  bool close(std::string Reason);

  LinkLimits Limits;
  PeerHandshake HandshakeState;
  TimePoint StartedAt;
  TimePoint ReceivedAt;
  bool Up = false;
  Bytes Input;
  Bytes Output;
  size_t OutputStart = 0;
  std::string CloseReason;
};

} // namespace crocusspur::internal

#endif
