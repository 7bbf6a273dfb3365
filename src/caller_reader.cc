#include "caller_reader.h"

#include "socket_io.h"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t ReadBufferBytes = 16384;
constexpr Milliseconds LingerTimeout{1000};
constexpr size_t MaxLingerBytes = 4 * 1024 * 1024;
constexpr uint32_t MaxEmptyLines = 8; // before a request

// `Checked`: so many bytes have been checked before.
bool hasBareLineFeed(std::string_view Text, size_t &Checked) {
  for (size_t n = Text.find('\n', Checked); n != std::string_view::npos;
       n = Text.find('\n', n + 1))
    if (n == 0 || Text[n - 1] != '\r')
      return true;
  Checked = Text.size();
  return false;
}

} // namespace

RequestReadStatus CallerReader::fill(TimePoint Until) {
  PollWaiter waiter;
  while (true) {
    if (waiter.wait(Fd, POLLIN, Until) == WaitResult::TimedOut)
      return RequestReadStatus::TimedOut;
    char buf[ReadBufferBytes];
    ssize_t n = ::recv(Fd, buf, sizeof buf, MSG_DONTWAIT);
    if (n > 0) {
      Pending.append(buf, static_cast<size_t>(n));
      return RequestReadStatus::Ok;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR))
      return RequestReadStatus::Closed;
  }
}

RequestReadStatus CallerReader::readHead(HttpHead &Head) {
  Milliseconds headTime = Limits.HeadTimeout.value_or(Limits.IdleTimeout);
  TimePoint until = Clock::now() + Limits.IdleTimeout;
  bool started = false;
  uint32_t emptyLines = 0;
  size_t checked = 0;
  size_t end;
  while (true) {
    // Some clients end a body with a CRLF that its length doesn't count.
    for (; Pending.starts_with("\r\n"); Pending.erase(0, 2), checked = 0)
      if (++emptyLines > MaxEmptyLines)
        return RequestReadStatus::Malformed;
    if (!started && !Pending.empty() && Pending != "\r") {
      started = true;
      until = Clock::now() + headTime;
    }
    end = Pending.find("\r\n\r\n");
    // Another parser might take it for the end of a line.
    if (hasBareLineFeed(std::string_view(Pending).substr(0, end), checked))
      return RequestReadStatus::Malformed;
    if (end != std::string::npos)
      break;
    if (Pending.size() > Limits.MaxHeadBytes)
      return RequestReadStatus::TooLarge;
    RequestReadStatus status = fill(until);
    if (status == RequestReadStatus::TimedOut && !started)
      return RequestReadStatus::Closed;
    if (status != RequestReadStatus::Ok)
      return status;
  }
  if (end > Limits.MaxHeadBytes)
    return RequestReadStatus::TooLarge;
  std::string text = Pending.substr(0, end + 4);
  Pending.erase(0, end + 4);
  switch (parseRequestHead(text, Limits.MaxHeaderFields, Head)) {
  case HeadParseStatus::Malformed:
    return RequestReadStatus::Malformed;
  case HeadParseStatus::TooLarge:
    return RequestReadStatus::TooLarge;
  case HeadParseStatus::Ok:
    break;
  }
  return RequestReadStatus::Ok;
}

RequestReadStatus CallerReader::readBody(const BodyFraming &Framing,
                                         std::string &Body,
                                         const RoomHook &HasRoom) {
  if (Framing.Form == BodyForm::Length && Framing.Length > Limits.MaxBodyBytes)
    return RequestReadStatus::TooLarge;
  // For a length that is stated, before any of the body is read.
  size_t room = Framing.Form == BodyForm::Length
                    ? static_cast<size_t>(Framing.Length)
                    : 0;
  if (HasRoom && room > 0 && !HasRoom(room))
    return RequestReadStatus::NoRoom;
  TimePoint until = Clock::now() + Limits.IdleTimeout;
  BodyDecoder decoder;
  decoder.reset(Framing);
  while (true) {
    std::string_view input(Pending);
    if (!decoder.feed(input, Body))
      return RequestReadStatus::Malformed;
    Pending.erase(0, Pending.size() - input.size());
    if (Body.size() > Limits.MaxBodyBytes ||
        decoder.announcedBytes() > Limits.MaxBodyBytes - Body.size())
      return RequestReadStatus::TooLarge;
    if (HasRoom && Body.size() > room) {
      room = 2 * Body.size();
      if (!HasRoom(room))
        return RequestReadStatus::NoRoom;
    }
    if (decoder.complete())
      return RequestReadStatus::Ok;
    RequestReadStatus status = fill(until);
    if (status != RequestReadStatus::Ok)
      return status;
  }
}

void CallerReader::lingeringClose() {
  ::shutdown(Fd, SHUT_WR);
  TimePoint until = Clock::now() + LingerTimeout;
  size_t dropped = 0;
  Pending.clear();
  while (dropped < MaxLingerBytes && fill(until) == RequestReadStatus::Ok) {
    dropped += Pending.size();
    Pending.clear();
  }
}

} // namespace crocusspur::internal
