#include "http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

// Interim responses to one request. Servers send one or two.
constexpr uint32_t MaxInterimResponses = 8;
constexpr size_t ReadBytes = 16384; // at most received at once
// Most bodies are shorter, and their buffer isn't enlarged beforehand.
constexpr size_t FirstReserveBytes = 65536;

ExchangeStatus toStatus(WaitResult Result, ExchangeStatus OnTimeout) {
  return Result == WaitResult::TimedOut ? OnTimeout
                                        : ExchangeStatus::Interrupted;
}

ConnectFailure failureOf(int Error) {
  return Error == ECONNREFUSED ? ConnectFailure::Refused
                               : ConnectFailure::Other;
}

// Starts a non-blocking connect. Returns -1 and sets `Failure` if that fails
// immediately.
int startConnect(const std::string &Address, ConnectFailure &Failure) {
  Failure = ConnectFailure::Other;
  try {
    Poco::Net::SocketAddress target(Address);
    int fd =
        ::socket(target.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
      return -1;
    int one = 1;
    int zero = 0;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    // Without this, each token that is read is acknowledged separately.
    ::setsockopt(fd, IPPROTO_TCP, TCP_QUICKACK, &zero, sizeof zero);
    if (::connect(fd, target.addr(), target.length()) == 0 ||
        errno == EINPROGRESS) {
      Failure = ConnectFailure::None;
      return fd;
    }
    Failure = failureOf(errno);
    ::close(fd);
  } catch (const Poco::Exception &) {
    // An invalid address counts as unreachable.
  }
  return -1;
}

bool isReadable(int Fd) {
  pollfd item{Fd, POLLIN, 0};
  return ::poll(&item, 1, 0) > 0;
}

} // namespace

const char *nameOf(ConnectFailure Failure) {
  switch (Failure) {
  case ConnectFailure::None:
    return "none";
  case ConnectFailure::Refused:
    return "refused";
  case ConnectFailure::Hangs:
    return "hangs";
  case ConnectFailure::Other:
    break;
  }
  return "failed";
}

BackendSocket::~BackendSocket() { ::close(Fd); }

bool BackendSocket::isIdleAndOpen() const {
  pollfd item{Fd, POLLIN | POLLRDHUP, 0};
  return ::poll(&item, 1, 0) == 0;
}

ExchangeStatus HttpExchange::connect(const std::string &Address,
                                     TimePoint Until) {
  int fd = startConnect(Address, Failure);
  if (fd < 0)
    return ExchangeStatus::NotSent;
  Socket = std::make_unique<BackendSocket>(fd);
  WaitResult result = Waiter.wait(fd, POLLOUT, Until);
  if (result != WaitResult::Ready) {
    Failure = ConnectFailure::Hangs;
    return toStatus(result, ExchangeStatus::NotSent);
  }
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error == 0)
    return ExchangeStatus::Ok;
  Failure = failureOf(error);
  return ExchangeStatus::NotSent;
}

void HttpExchange::adopt(BackendSocketPtr Connected) {
  Socket = std::move(Connected);
}

void HttpExchange::reset(BackendSocketPtr Connected) {
  Socket = std::move(Connected);
  Head = {};
  Decoder = {};
  Pending.clear();
  Offset = 0;
  Failure = ConnectFailure::None;
  ByteSent = SentWhole = ByteReceived = EndOfInput = false;
  Form = BodyForm::None;
  Length = 0;
}

ExchangeStatus HttpExchange::send(const std::string &Request,
                                  TimePoint NotAfter, Milliseconds Timeout) {
  size_t done = 0;
  while (done < Request.size()) {
    if (!ByteSent && Clock::now() > NotAfter)
      return ExchangeStatus::NotSent;
    ssize_t n = ::send(Socket->fd(), Request.data() + done,
                       Request.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      ByteSent = true;
      done += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && errno != EAGAIN)
      return ByteSent ? ExchangeStatus::Ok : ExchangeStatus::NotSent;
    WaitResult result =
        Waiter.wait(Socket->fd(), POLLOUT, Clock::now() + Timeout);
    if (result == WaitResult::TimedOut && ByteSent && isReadable(Socket->fd()))
      return ExchangeStatus::Ok;
    if (result != WaitResult::Ready)
      return toStatus(result, ByteSent ? ExchangeStatus::TimedOut
                                       : ExchangeStatus::NotSent);
  }
  SentWhole = true;
  return ExchangeStatus::Ok;
}

// Waits until data is available and receives it.
ExchangeStatus HttpExchange::fill(TimePoint Until) {
  if (Offset == Pending.size()) {
    Pending.clear();
    Offset = 0;
  }
  while (true) {
    WaitResult result = Waiter.wait(Socket->fd(), POLLIN, Until);
    if (result != WaitResult::Ready)
      return toStatus(result, ExchangeStatus::TimedOut);
    char buf[ReadBytes];
    ssize_t n = ::recv(Socket->fd(), buf, sizeof buf, MSG_DONTWAIT);
    if (n > 0) {
      ByteReceived = true;
      Pending.append(buf, static_cast<size_t>(n));
      return ExchangeStatus::Ok;
    }
    if (n == 0) {
      EndOfInput = true;
      return ExchangeStatus::Ok;
    }
    if (errno != EAGAIN && errno != EINTR)
      return ExchangeStatus::Failed;
  }
}

ExchangeStatus HttpExchange::readHead(const std::string &Method,
                                      Milliseconds Timeout) {
  TimePoint until = Clock::now() + Timeout;
  uint32_t interim = 0;
  while (true) {
    size_t end = Pending.find("\r\n\r\n", Offset);
    if (end == std::string::npos) {
      if (EndOfInput || Pending.size() - Offset > MaxHeadBytes)
        return ExchangeStatus::Failed;
      ExchangeStatus status = fill(until);
      if (status != ExchangeStatus::Ok)
        return status;
      continue;
    }
    Head = HttpHead();
    std::string_view text(Pending.data() + Offset, end + 4 - Offset);
    if (parseResponseHead(text, Head) != HeadParseStatus::Ok)
      return ExchangeStatus::Failed;
    Offset = end + 4;
    if (Head.Status >= 200) // interim responses are skipped
      break;
    if (++interim > MaxInterimResponses || Clock::now() >= until)
      return ExchangeStatus::Failed;
  }
  BodyFraming framing;
  if (!responseFraming(Head, Method, framing))
    return ExchangeStatus::Failed;
  Form = framing.Form;
  Length = framing.Length;
  Decoder.reset(framing);
  return ExchangeStatus::Ok;
}

ExchangeStatus HttpExchange::readBody(std::string &Out, bool &End,
                                      Milliseconds Timeout) {
  return readBodyUntil(Out, End, Clock::now() + Timeout);
}

ExchangeStatus HttpExchange::readBodyUntil(std::string &Out, bool &End,
                                           TimePoint Until) {
  size_t before = Out.size();
  while (true) {
    std::string_view input(Pending.data() + Offset, Pending.size() - Offset);
    size_t available = input.size();
    if (!Decoder.feed(input, Out))
      return ExchangeStatus::Failed;
    Offset += available - input.size();
    // A reset that send() has met shows as an orderly end here.
    if (EndOfInput && SentWhole)
      Decoder.endOfInput();
    End = Decoder.complete();
    if (End || Out.size() > before)
      return ExchangeStatus::Ok;
    if (EndOfInput)
      return ExchangeStatus::Failed;
    ExchangeStatus status = fill(Until);
    if (status != ExchangeStatus::Ok)
      return status;
  }
}

ExchangeStatus HttpExchange::readWholeBody(std::string &Out, size_t MaxBytes,
                                           Milliseconds Timeout,
                                           TimePoint Until) {
  bool end = false;
  while (!end) {
    ExchangeStatus status =
        readBodyUntil(Out, end, std::min(Clock::now() + Timeout, Until));
    if (status != ExchangeStatus::Ok)
      return status;
    if (Out.size() > MaxBytes)
      return ExchangeStatus::Failed;
    if (!end && Clock::now() >= Until)
      return ExchangeStatus::TimedOut;
  }
  return ExchangeStatus::Ok;
}

ExchangeStatus HttpExchange::readBodyUpTo(std::string &Out, bool &End,
                                          size_t MaxBytes,
                                          Milliseconds Timeout) {
  while (!End && Out.size() < MaxBytes) {
    // In one step, since a string that grows by itself takes up to twice its
    // size.
    if (Out.size() > FirstReserveBytes && Out.capacity() < MaxBytes)
      Out.reserve(MaxBytes + ReadBytes);
    ExchangeStatus status = readBodyUntil(Out, End, Clock::now() + Timeout);
    if (status != ExchangeStatus::Ok)
      return status;
  }
  return ExchangeStatus::Ok;
}

ExchangeStatus HttpExchange::discardBody(size_t MaxBytes, Milliseconds Timeout,
                                         TimePoint Until) {
  std::string part;
  size_t read = 0;
  bool end = false;
  while (!end) {
    part.clear();
    ExchangeStatus status =
        readBodyUntil(part, end, std::min(Clock::now() + Timeout, Until));
    if (status != ExchangeStatus::Ok)
      return status;
    read += part.size();
    if (read > MaxBytes)
      return ExchangeStatus::Failed;
    if (!end && Clock::now() >= Until)
      return ExchangeStatus::TimedOut;
  }
  return ExchangeStatus::Ok;
}

BackendSocketPtr HttpExchange::release() {
  bool reusable = Socket && SentWhole && Decoder.complete() &&
                  Form != BodyForm::UntilClose && !EndOfInput &&
                  Offset == Pending.size() && ByteReceived &&
                  Head.wantsKeepAlive();
  return reusable ? std::move(Socket) : nullptr;
}

BackendSocketPtr HttpExchange::releaseUnused() {
  return ByteSent ? nullptr : std::move(Socket);
}

} // namespace crocusspur::internal
