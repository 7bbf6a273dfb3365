#include "gateway/forward_call.h"

#include "gateway/member_exchange.h"
#include "http_exchange.h"
#include "socket_io.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::WaitResult;

// Instances reach each other within milliseconds. One that accepts no
// connection in this time is frozen, and another one is asked.
constexpr Milliseconds ConnectTimeout{100};
constexpr Milliseconds SendTimeout{1000};
// The first instance reads as fast as its caller does; see StallDetector.
constexpr Milliseconds WriteTimeout{10000};
constexpr size_t MaxDataPerFrame = 65536;
// More than a frame of data with its fields, and within what each call may use.
constexpr size_t UnheldFrameBytes = 131072;
// A frame is kept in a buffer of up to twice its size, and decoded.
constexpr size_t FrameMemoryFactor = 3;

} // namespace

CallStatus ForwardCall::fromWait(WaitResult Result) const {
  if (Result == WaitResult::TimedOut)
    return CallStatus::TimedOut;
  return Waiter.callerLeft() ? CallStatus::CallerLeft
                             : CallStatus::DeadlineExceeded;
}

CallStatus ForwardCall::start(const std::string &Address,
                              const MemberFrame &Request) {
  internal::HttpExchange connector(Waiter);
  internal::ExchangeStatus connected =
      connector.connect(Address, Clock::now() + ConnectTimeout);
  if (connected == internal::ExchangeStatus::Interrupted)
    return fromWait(WaitResult::Interrupted);
  if (connected != internal::ExchangeStatus::Ok)
    return CallStatus::NotSent;
  Socket = connector.releaseUnused();
  std::vector<uint8_t> bytes = framed(encode(Request));
  size_t done = 0;
  while (done < bytes.size()) {
    ssize_t n = ::send(Socket->fd(), bytes.data() + done, bytes.size() - done,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      done += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno != EAGAIN)
      return CallStatus::NotSent;
    WaitResult result =
        Waiter.wait(Socket->fd(), POLLOUT, Clock::now() + SendTimeout);
    if (result == WaitResult::Interrupted)
      return fromWait(result);
    if (result == WaitResult::TimedOut)
      return CallStatus::NotSent;
  }
  return CallStatus::Responded;
}

CallStatus ForwardCall::read(ForwardResponse &Frame, Milliseconds Timeout) {
  TimePoint until = Clock::now() + Timeout;
  while (true) {
    std::optional<size_t> size = frameSize(Received);
    if (size && *size > MaxFrameBytes)
      return CallStatus::ConnectionBroken;
    if (size && Received.size() >= FramePrefixBytes + *size) {
      std::optional<ForwardResponse> frame = decodeForwardResponse(
          {reinterpret_cast<const uint8_t *>(Received.data()) +
               FramePrefixBytes,
           *size});
      Received.erase(0, FramePrefixBytes + *size);
      if (Received.capacity() > UnheldFrameBytes) {
        Received.shrink_to_fit();
        Hold.reset();
      }
      if (!frame)
        return CallStatus::ConnectionBroken;
      Frame = std::move(*frame);
      return CallStatus::Responded;
    }
    // Asked for as the bytes arrive: a size that is only stated takes nothing.
    size_t kept = Received.size() * FrameMemoryFactor;
    if (Received.size() > UnheldFrameBytes && kept > Hold.size() &&
        !Hold.growTo(2 * kept))
      return CallStatus::ConnectionBroken;
    WaitResult result = Waiter.wait(Socket->fd(), POLLIN, until);
    if (result != WaitResult::Ready)
      return fromWait(result);
    char buf[16384];
    ssize_t n = ::recv(Socket->fd(), buf, sizeof buf, MSG_DONTWAIT);
    if (n > 0)
      Received.append(buf, static_cast<size_t>(n));
    else if (n == 0 || (errno != EAGAIN && errno != EINTR))
      return CallStatus::ConnectionBroken;
  }
}

ForwardSink::ForwardSink(int Fd)
    : Fd(Fd), Stall(WriteTimeout, internal::MinAcceptedBytes) {}

void ForwardSink::setRoutes(uint64_t Version, std::string Text) {
  ConfigVersion = Version;
  RoutesText = std::move(Text);
}

bool ForwardSink::send(ForwardResponse Frame) {
  if (Failed)
    return false;
  Frame.ResponseHead = std::exchange(PendingHead, std::nullopt);
  Frame.ConfigVersion = ConfigVersion;
  Frame.RoutesText = std::exchange(RoutesText, "");
  Frame.VersionUncertain = VersionUncertain;
  std::vector<uint8_t> bytes = framed(encode(Frame));
  size_t done = 0;
  bool waited = false;
  while (done < bytes.size() && !Failed) {
    ssize_t n = ::send(Fd, bytes.data() + done, bytes.size() - done,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      done += static_cast<size_t>(n);
      Stall.onAccepted(static_cast<size_t>(n), Clock::now());
    } else if (n < 0 && errno == EAGAIN) {
      waited = true;
      Failed = !internal::waitUntilWritable(Fd, Stall.onBlocked(Clock::now()));
    } else
      Failed = n == 0 || errno != EINTR;
  }
  if (!waited)
    Stall.onFree();
  return !Failed;
}

void ForwardSink::setVersionUncertain() {
  VersionUncertain = true;
  send({});
}

bool ForwardSink::begin(const internal::ResponseHead &Head) {
  PendingHead =
      ForwardResponse::Head{Head, OutputVersion, Leaving, OutputServer};
  return !Failed;
}

bool ForwardSink::write(std::string_view Data) {
  while (!Data.empty()) {
    ForwardResponse frame;
    frame.Data = Data.substr(0, MaxDataPerFrame);
    Data.remove_prefix(frame.Data.size());
    if (!send(std::move(frame)))
      return false;
  }
  return !Failed;
}

bool ForwardSink::end(bool Complete) {
  ForwardResponse frame;
  frame.End = Complete;
  return send(std::move(frame));
}

bool ForwardSink::sendProblem(const internal::Problem &Item, bool Elsewhere) {
  ForwardResponse frame;
  frame.Failure = ForwardResponse::Problem{Item, Elsewhere};
  return send(std::move(frame));
}

} // namespace crocusspur::gateway
