#include "http_sink.h"

#include "socket_io.h"

#include <Poco/Net/HTTPResponse.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <sys/socket.h>
#include <sys/uio.h>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;
using IoVectors = std::array<iovec, 4>;

iovec toIoVector(std::string_view Text) {
  return {const_cast<char *>(Text.data()), Text.size()};
}

// Removes the bytes that have been sent from the front.
void consume(IoVectors &Items, size_t Sent) {
  for (iovec &it : Items) {
    size_t n = std::min(Sent, it.iov_len);
    it.iov_base = static_cast<char *>(it.iov_base) + n;
    it.iov_len -= n;
    Sent -= n;
  }
}

size_t remainingBytes(const IoVectors &Items) {
  size_t n = 0;
  for (const iovec &it : Items)
    n += it.iov_len;
  return n;
}

bool sendAll(int Fd, IoVectors &Items, StallDetector &Stall) {
  bool waited = false;
  while (remainingBytes(Items) > 0) {
    msghdr message{};
    message.msg_iov = Items.data();
    message.msg_iovlen = Items.size();
    ssize_t n = ::sendmsg(Fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) {
      consume(Items, static_cast<size_t>(n));
      Stall.onAccepted(static_cast<size_t>(n), Clock::now());
      continue;
    }
    if (errno == EINTR)
      continue;
    waited = true;
    if (errno != EAGAIN ||
        !waitUntilWritable(Fd, Stall.onBlocked(Clock::now())))
      return false;
  }
  if (!waited)
    Stall.onFree();
  return true;
}

void setResetOnClose(int Fd, bool Enabled) {
  linger value{Enabled ? 1 : 0, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

} // namespace

const char *reasonPhrase(uint32_t Status) {
  using Poco::Net::HTTPResponse;
  return HTTPResponse::getReasonForStatus(
             static_cast<HTTPResponse::HTTPStatus>(Status))
      .c_str();
}

bool HttpSink::begin(const ResponseHead &Head) {
  Started = true;
  bool noBody = Options.HeadOnly || Head.Status == 204 || Head.Status == 304;
  Chunked = !Head.HasLength && Options.MayChunk && !noBody;
  UntilClose = !Head.HasLength && !Chunked && !noBody;
  if (UntilClose) {
    KeepAlive = false;
    setResetOnClose(Fd, true);
  }
  PendingHead = "HTTP/1.1 " + std::to_string(Head.Status) + " " +
                reasonPhrase(Head.Status) + "\r\n";
  if (!Head.ContentType.empty())
    PendingHead += "Content-Type: " + Head.ContentType + "\r\n";
  if (Head.HasLength && Head.Status != 204 && Head.Status != 304)
    PendingHead += "Content-Length: " + std::to_string(Head.Length) + "\r\n";
  for (const auto &it : Head.Fields)
    PendingHead += it.first + ": " + it.second + "\r\n";
  if (Chunked)
    PendingHead += "Transfer-Encoding: chunked\r\n";
  if (Head.RetryAfter.count() > 0)
    PendingHead +=
        "Retry-After: " + std::to_string(retryAfterSeconds(Head.RetryAfter)) +
        "\r\n";
  if (Head.Status == 401)
    PendingHead += "WWW-Authenticate: Bearer\r\n";
  PendingHead += KeepAlive ? "Connection: keep-alive\r\n\r\n"
                           : "Connection: close\r\n\r\n";
  return !Disconnected;
}

// Sends the head, the chunk framing and the data in one system call.
bool HttpSink::flush(std::string_view Data, bool Framed) {
  if (Disconnected)
    return false;
  char size[24];
  int n = Framed ? std::snprintf(size, sizeof size, "%zx\r\n", Data.size()) : 0;
  IoVectors items{toIoVector(PendingHead),
                  toIoVector(std::string_view(size, static_cast<size_t>(n))),
                  toIoVector(Data), toIoVector(Framed ? "\r\n" : "")};
  Disconnected = !sendAll(Fd, items, Stall);
  PendingHead.clear();
  return !Disconnected;
}

bool HttpSink::write(std::string_view Data) {
  if (Options.HeadOnly || Data.empty())
    return !Disconnected;
  return flush(Data, Chunked);
}

bool HttpSink::end(bool Complete) {
  if (!Complete)
    KeepAlive = false;
  bool sent = !Disconnected;
  if (Complete && Chunked)
    sent = flush("0\r\n\r\n", false);
  else if (!PendingHead.empty())
    sent = flush("", false);
  this->Complete = Complete && sent;
  if (UntilClose && this->Complete)
    setResetOnClose(Fd, false);
  return sent;
}

} // namespace crocusspur::internal
