#include "platform_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <algorithm>
#include <array>
#include <istream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds CancelPollPeriod{50};

Poco::Timespan timespan(Milliseconds Time) {
  return Poco::Timespan(std::chrono::microseconds(Time).count());
}

// Detects a service that disappears without closing the connection while a
// watch waits: probes start after 1 s without data, are sent every 1 s, and the
// connection fails after 2 lost probes.
void enableKeepAlive(Poco::Net::StreamSocket &Socket) {
  Socket.setKeepAlive(true);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
}

// Receives nothing after a time that is set, however the sender divides its
// bytes. Heads and the sizes of chunks are read byte by byte elsewhere, so that
// a check between two reads of a body would be too late.
class DeadlineSocketImpl final : public Poco::Net::StreamSocketImpl {
public:
  std::optional<TimePoint> Until;

  using Poco::Net::StreamSocketImpl::receiveBytes;
  int receiveBytes(void *Data, int Size, int Flags) override {
    if (Until && Clock::now() > *Until)
      throw Poco::TimeoutException("response that took too long");
    return Poco::Net::StreamSocketImpl::receiveBytes(Data, Size, Flags);
  }
};

class DeadlineSocket final : public Poco::Net::StreamSocket {
public:
  // Takes ownership.
  explicit DeadlineSocket(DeadlineSocketImpl *Impl) : StreamSocket(Impl) {}
};

// Returns false if the body is longer than allowed. Throws if it breaks off.
bool readBody(std::istream &In, std::string &Body, size_t MaxBodyBytes,
              const PlatformClient::BodySizeListener &OnSize) {
  std::array<char, 16384> buf;
  while (In.good()) {
    In.read(buf.data(), buf.size());
    auto n = static_cast<size_t>(In.gcount());
    if (Body.size() + n > MaxBodyBytes)
      return false;
    OnSize(Body.size() + n);
    Body.append(buf.data(), n);
  }
  if (In.bad()) // an exception of the socket, which the stream has caught
    throw Poco::TimeoutException("response broke off or took too long");
  return true;
}

} // namespace

struct PlatformClient::State {
  std::string Address;
  Milliseconds Timeout;
  std::string Instance;
  size_t MaxBodyBytes;
  Milliseconds ResponseTime;
  std::unique_ptr<Poco::Net::HTTPClientSession> Session;
  DeadlineSocketImpl *Socket = nullptr; // of the session, which owns it
  BodySizeListener OnBodySize = [](size_t) {};

  Poco::Net::HTTPClientSession &session();
  bool waitForResponse(Milliseconds Wait,
                       const std::function<bool()> &IsCancelled,
                       PlatformResponse &Response);
  void readResponse(PlatformResponse &Response);
};

PlatformClient::PlatformClient(std::string Address, Milliseconds Timeout,
                               std::string Instance, size_t MaxBodyBytes,
                               Milliseconds ResponseTime)
    : Impl(new State{std::move(Address), Timeout, std::move(Instance),
                     MaxBodyBytes, ResponseTime, nullptr}) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::setBodySizeListener(BodySizeListener Listener) {
  Impl->OnBodySize = std::move(Listener);
}

PlatformResponse PlatformClient::get(const std::string &Path, Milliseconds Wait,
                                     const std::function<bool()> &IsCancelled) {
  PlatformResponse response;
  try {
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(Impl->Address);
    request.set("Accept", "application/json");
    request.set("Crocusspur-Instance", Impl->Instance);
    ++Calls;
    Impl->session().sendRequest(request).flush();
    enableKeepAlive(Impl->Session->socket());
    if (Impl->waitForResponse(Wait, IsCancelled, response))
      Impl->readResponse(response);
  } catch (const Poco::Exception &error) {
    response.Error = error.displayText();
  } catch (const std::exception &error) {
    response.Error = error.what();
  }
  if (!response.Error.empty())
    response.Status = 0;
  // A response that wasn't read completely leaves the connection unusable.
  if (response.Status == 0)
    Impl->Session.reset();
  return response;
}

Poco::Net::HTTPClientSession &PlatformClient::State::session() {
  if (!Session) {
    Poco::Net::SocketAddress address(Address);
    Socket = new DeadlineSocketImpl;
    Session =
        std::make_unique<Poco::Net::HTTPClientSession>(DeadlineSocket(Socket));
    Session->setHost(address.host().toString());
    Session->setPort(address.port());
    Session->setKeepAlive(true);
    Session->setTimeout(timespan(Timeout), timespan(Timeout),
                        timespan(Timeout));
  }
  return *Session;
}

bool PlatformClient::State::waitForResponse(
    Milliseconds Wait, const std::function<bool()> &IsCancelled,
    PlatformResponse &Response) {
  TimePoint end = Clock::now() + Wait + Timeout;
  while (!Session->socket().poll(timespan(CancelPollPeriod),
                                 Poco::Net::Socket::SELECT_READ)) {
    if (IsCancelled()) {
      Response.Cancelled = true;
      return false;
    }
    if (Clock::now() > end) {
      Response.Error = "no response in time";
      return false;
    }
  }
  return true;
}

void PlatformClient::State::readResponse(PlatformResponse &Response) {
  Socket->Until = Clock::now() + ResponseTime;
  Poco::Net::HTTPResponse response;
  std::istream &in = Session->receiveResponse(response);
  Response.Status = static_cast<int>(response.getStatus());
  Response.Fields.assign(response.begin(), response.end());
  if (response.hasContentLength()) {
    auto length = static_cast<uint64_t>(response.getContentLength64());
    Response.IsTooLong = length > MaxBodyBytes;
    if (!Response.IsTooLong) {
      OnBodySize(length);
      Response.Body.reserve(length);
    }
  }
  if (Response.IsTooLong ||
      !readBody(in, Response.Body, MaxBodyBytes, OnBodySize)) {
    Response.IsTooLong = true;
    Response.Body = {};
    Response.Error =
        "response of more than " + std::to_string(MaxBodyBytes) + " bytes";
    return;
  }
  Socket->Until.reset();
  // A body cut off by a broken connection must not be taken for a complete
  // document.
  if (response.hasContentLength() &&
      Response.Body.size() !=
          static_cast<size_t>(response.getContentLength64()) &&
      Response.Status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED)
    Response.Error = "response body is shorter than its Content-Length";
}

} // namespace crocusspur::internal
