#include "gateway/member_exchange.h"

#include "gateway/memory_log.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using Poco::Net::StreamSocket;

// A frame with a whole list takes longer than the time limit of an exchange if
// its sender shares a link of 10 Mbit/s with others. An instance that is slower
// than this isn't worth the wait.
constexpr uint32_t MinBytesPerMs = 200;
constexpr Milliseconds MaxTransferTime{1500};
// Within what each exchange may use; most frames are smaller.
constexpr size_t UnheldFrameBytes = 65536;
// The bytes of a frame are kept, in the buffer before too while it grows, and
// decoded.
constexpr size_t FrameMemoryFactor = 2;

Poco::Timespan timespan(Milliseconds Time) {
  return Poco::Timespan(std::chrono::microseconds(Time).count());
}

bool receiveAll(StreamSocket &Socket, uint8_t *Data, size_t Size,
                TimePoint Until) {
  while (Size > 0) {
    if (Clock::now() > Until)
      return false;
    int n = Socket.receiveBytes(Data, static_cast<int>(Size));
    if (n <= 0)
      return false;
    Data += n;
    Size -= static_cast<size_t>(n);
  }
  return true;
}

} // namespace

void setTimeouts(StreamSocket &Socket, Milliseconds Timeout) {
  Socket.setReceiveTimeout(timespan(Timeout));
  Socket.setSendTimeout(timespan(Timeout));
}

std::vector<uint8_t> framed(const std::vector<uint8_t> &Bytes) {
  std::vector<uint8_t> out(FramePrefixBytes);
  auto size = static_cast<uint32_t>(Bytes.size());
  for (size_t i = 0; i < out.size(); ++i)
    out[i] = static_cast<uint8_t>(size >> (8 * i));
  out.insert(out.end(), Bytes.begin(), Bytes.end());
  return out;
}

std::optional<size_t> frameSize(std::string_view Bytes) {
  if (Bytes.size() < FramePrefixBytes)
    return std::nullopt;
  size_t size = 0;
  for (size_t i = 0; i < FramePrefixBytes; ++i)
    size |= static_cast<size_t>(static_cast<uint8_t>(Bytes[i])) << (8 * i);
  return size;
}

void sendFrame(StreamSocket &Socket, const std::vector<uint8_t> &Bytes) {
  std::vector<uint8_t> out = framed(Bytes);
  size_t done = 0;
  while (done < out.size())
    done += static_cast<size_t>(Socket.sendBytes(
        out.data() + done, static_cast<int>(out.size() - done)));
}

std::optional<MemberFrame>
receiveFrame(StreamSocket &Socket, Milliseconds Timeout, MemoryBudget *Memory) {
  TimePoint until = Clock::now() + Timeout;
  std::array<uint8_t, FramePrefixBytes> prefix{};
  if (!receiveAll(Socket, prefix.data(), prefix.size(), until))
    return std::nullopt;
  size_t size = *frameSize(
      {reinterpret_cast<const char *>(prefix.data()), prefix.size()});
  if (size > MaxFrameBytes)
    return std::nullopt;
  until += std::min(MaxTransferTime, Milliseconds(size / MinBytesPerMs));
  // Grows as the bytes arrive: a size that is only stated takes nothing.
  MemoryHold hold(Memory, MemoryUse::PeerFrame);
  std::vector<uint8_t> bytes;
  while (bytes.size() < size) {
    size_t before = bytes.size();
    size_t now = std::min(size, std::max(UnheldFrameBytes, 2 * before));
    if (now > UnheldFrameBytes && !hold.growTo(now * FrameMemoryFactor)) {
      logMemoryRefused(Memory, MemoryUse::PeerFrame,
                       Socket.peerAddress().toString());
      return std::nullopt;
    }
    bytes.resize(now);
    if (!receiveAll(Socket, bytes.data() + before, now - before, until))
      return std::nullopt;
  }
  return decodeMemberFrame(bytes);
}

std::optional<MemberFrame> callMember(const std::string &Address,
                                      const MemberFrame &Request,
                                      Milliseconds Timeout,
                                      MemoryBudget *Memory) {
  return callMemberEncoded(Address, encode(Request), Timeout, Memory);
}

std::optional<MemberFrame> callMemberWithin(const std::string &Address,
                                            const std::vector<uint8_t> &Request,
                                            Milliseconds Limit,
                                            MemoryBudget *Memory) {
  TimePoint until = Clock::now() + Limit;
  // A time-out of 0 would be none.
  auto left = [&] {
    return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(
                                         until - Clock::now()));
  };
  try {
    StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(Address), timespan(Limit));
    setTimeouts(socket, left());
    sendFrame(socket, Request);
    setTimeouts(socket, left());
    return receiveFrame(socket, left(), Memory);
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

std::optional<MemberFrame>
callMemberEncoded(const std::string &Address,
                  const std::vector<uint8_t> &Request, Milliseconds Timeout,
                  MemoryBudget *Memory) {
  try {
    StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(Address), timespan(Timeout));
    setTimeouts(socket, Timeout);
    sendFrame(socket, Request);
    return receiveFrame(socket, Timeout, Memory);
  } catch (const Poco::Exception &) {
    return std::nullopt; // the caller records the failed contact
  }
}

} // namespace crocusspur::gateway
