#include "peer_connection.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace crocusspur::internal {
namespace {

constexpr size_t PrefixBytes = 4;

// Bounds what an unauthenticated peer can make this instance buffer. A
// handshake frame has at most about 350 bytes.
constexpr uint32_t MaxHandshakeFrameBytes = 1024;

// Empty buffers that a large frame has grown beyond this are released.
constexpr size_t MaxRetainedBufferBytes = 65536;

uint32_t readLength(std::span<const uint8_t> Data) {
  return uint32_t(Data[0]) | uint32_t(Data[1]) << 8 | uint32_t(Data[2]) << 16 |
         uint32_t(Data[3]) << 24;
}

void eraseFront(Bytes &Buffer, size_t Count) {
  Buffer.erase(Buffer.begin(), Buffer.begin() + static_cast<ptrdiff_t>(Count));
  if (Buffer.empty() && Buffer.capacity() > MaxRetainedBufferBytes)
    Bytes().swap(Buffer);
}

// Runs a function that returns a LEAF result. On failure, sets Reason.
template <typename F> bool succeeds(F Run, std::string &Reason) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(Run());
        return true;
      },
      [&](const FrameError &It) {
        Reason = It.Reason;
        return false;
      },
      [&] {
        Reason = "internal error";
        return false;
      });
}

} // namespace

void appendFrame(Bytes &Out, const Bytes &Frame) {
  uint32_t size = static_cast<uint32_t>(Frame.size());
  for (int shift = 0; shift < 32; shift += 8)
    Out.push_back(static_cast<uint8_t>(size >> shift));
  Out.insert(Out.end(), Frame.begin(), Frame.end());
}

PeerConnection::PeerConnection(LinkLimits Limits, PeerHandshake Handshake,
                               TimePoint Now)
    : Limits(Limits), HandshakeState(std::move(Handshake)), StartedAt(Now),
      ReceivedAt(Now) {
  if (Bytes first = HandshakeState.firstFrame(); !first.empty())
    send(first);
}

bool PeerConnection::receive(std::span<const uint8_t> Data, TimePoint Now,
                             const LinkHooks &Hooks) {
  ReceivedAt = Now;
  Input.insert(Input.end(), Data.begin(), Data.end());
  size_t at = 0;
  while (Input.size() - at >= PrefixBytes) {
    std::span<const uint8_t> rest = std::span(Input).subspan(at);
    uint32_t size = readLength(rest);
    uint32_t limit =
        Up ? Limits.MaxFrameBytes
           : std::min<uint32_t>(MaxHandshakeFrameBytes, Limits.MaxFrameBytes);
    if (size == 0 || size > limit)
      return close("frame of " + std::to_string(size) +
                   " bytes; allowed are 1 to " + std::to_string(limit));
    if (rest.size() - PrefixBytes < size)
      break;
    if (!processFrame(rest.subspan(PrefixBytes, size), Hooks))
      return false;
    at += PrefixBytes + size;
  }
  eraseFront(Input, at);
  return true;
}

bool PeerConnection::processFrame(std::span<const uint8_t> Frame,
                                  const LinkHooks &Hooks) {
  // FlatBuffers require alignment, which a frame inside the input buffer lacks.
  Bytes aligned(Frame.begin(), Frame.end());
  if (!Up)
    return processHandshake(aligned, Hooks);
  PeerMessage message;
  auto read = [&]() -> boost::leaf::result<void> {
    BOOST_LEAF_ASSIGN(message, decode(aligned));
    return {};
  };
  std::string reason;
  if (!succeeds(read, reason))
    return close(reason);
  Hooks.OnMessage(std::move(message));
  return true;
}

bool PeerConnection::processHandshake(std::span<const uint8_t> Frame,
                                      const LinkHooks &Hooks) {
  Bytes reply;
  auto read = [&]() -> boost::leaf::result<void> {
    BOOST_LEAF_ASSIGN(reply, HandshakeState.onFrame(Frame));
    return {};
  };
  std::string reason;
  if (!succeeds(read, reason))
    return close(reason);
  if (!reply.empty())
    send(reply);
  if (!HandshakeState.done())
    return true;
  Up = true;
  return Hooks.OnUp() || close("another link to this instance is kept");
}

bool PeerConnection::checkTimeouts(TimePoint Now) {
  if (!Up && Now - StartedAt > Limits.HandshakeTimeout)
    return close("handshake timed out");
  if (Up && Now - ReceivedAt > Limits.IdleTimeout)
    return close("link timed out");
  return true;
}

std::span<const uint8_t> PeerConnection::unsent() const {
  return std::span(Output).subspan(OutputStart);
}

void PeerConnection::markSent(size_t Count) {
  OutputStart += Count;
  // Moving the rest only when it is at most half of the buffer keeps the
  // amortized cost per byte constant.
  if (OutputStart < Output.size() && OutputStart < Output.size() / 2)
    return;
  eraseFront(Output, OutputStart);
  OutputStart = 0;
}

bool PeerConnection::close(std::string Reason) {
  CloseReason = std::move(Reason);
  return false;
}

} // namespace crocusspur::internal
