#include "gateway/server_call.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::BackendSocketPtr;
using internal::ExchangeStatus;
using internal::WaitResult;

// Idle time after which a connection isn't reused if the server states no
// timeout; servers close idle connections after a few seconds.
constexpr Milliseconds DefaultIdleTimeout{4000};
// A connection is no longer reused this long before the server closes it, so
// that no request races with the close.
constexpr Milliseconds CloseMargin{1000};
constexpr size_t MaxIdlePerServer = 8; // idle connections for one server
// Requests whose ids a connection remembers. A request is sent again within
// seconds, after few others on the connection.
constexpr size_t MaxRememberedRequests = 16;
// Connections within a region open within milliseconds; a lost first packet is
// retransmitted after a second.
constexpr Milliseconds ConnectTimeout{250};
// A refusal arrives within one round trip. Requests wait for it before they are
// sent elsewhere.
constexpr Milliseconds RefusalTimeout{50};
// The remaining time is passed on in whole milliseconds, rounded down, so a
// wait for it can end this much before the deadline.
constexpr Milliseconds DeadlineTolerance{2};
// Late responses to earlier requests that are skipped on one connection.
constexpr int MaxStrayResponses = 3;
constexpr size_t MaxStrayBytes = 1048576;

} // namespace

PooledConnection ConnectionPool::take(const ServerProcess &Process,
                                      const std::string &RequestId) {
  std::lock_guard lock(Mutex);
  auto found = Connections.find(Process.Address);
  if (found == Connections.end())
    return {};
  auto &idle = found->second;
  TimePoint now = Clock::now();
  for (size_t i = idle.size(); i-- > 0;) {
    auto it = idle.begin() + static_cast<std::ptrdiff_t>(i);
    const std::vector<std::string> &ids = it->Connection.RequestIds;
    bool usable = it->UsableUntil > now && it->Connection.Process == Process &&
                  it->Connection.Socket->isIdleAndOpen();
    bool fits = it->Connection.Traceable == !RequestId.empty() &&
                std::ranges::find(ids, RequestId) == ids.end();
    if (usable && !fits)
      continue;
    PooledConnection connection = std::move(it->Connection);
    idle.erase(it);
    if (usable)
      return connection;
  }
  return {};
}

void ConnectionPool::give(PooledConnection Connection,
                          std::optional<Milliseconds> KeepAliveTimeout) {
  Milliseconds keep =
      KeepAliveTimeout ? *KeepAliveTimeout - CloseMargin : DefaultIdleTimeout;
  if (keep <= Milliseconds(0))
    return;
  TimePoint now = Clock::now();
  std::lock_guard lock(Mutex);
  auto &idle = Connections[Connection.Process.Address];
  idle.push_back({std::move(Connection), now + keep});
  if (idle.size() > MaxIdlePerServer)
    idle.pop_front();
  // Removed servers are never requested again; their connections would stay
  // open forever.
  for (auto &it : Connections)
    std::erase_if(it.second,
                  [&](const Idle &It) { return It.UsableUntil <= now; });
  std::erase_if(Connections, [](const auto &It) { return It.second.empty(); });
}

size_t ConnectionPool::idleCount() {
  std::lock_guard lock(Mutex);
  size_t n = 0;
  for (const auto &it : Connections)
    n += it.second.size();
  return n;
}

void ConnectionPool::clear() {
  std::lock_guard lock(Mutex);
  Connections.clear();
}

void ConnectionPool::drop(const std::string &Address) {
  std::lock_guard lock(Mutex);
  Connections.erase(Address);
}

WaitResult CallerWaiter::wait(int Fd, short Events, TimePoint Until) {
  TimePoint until = std::min(Until, Deadline);
  while (true) {
    pollfd items[2] = {{Fd, Events, 0}, {CallerFd, POLLRDHUP, 0}};
    int n = ::poll(items, CallerFd >= 0 ? 2 : 1, internal::pollTimeout(until));
    if (n < 0 && errno == EINTR)
      continue;
    if (n > 0 && CallerFd >= 0 && items[1].revents != 0) {
      Left = true;
      return WaitResult::Interrupted;
    }
    if (n == 0)
      return until == Deadline ? WaitResult::Interrupted : WaitResult::TimedOut;
    return WaitResult::Ready;
  }
}

void CallerWaiter::pause(Milliseconds Time) {
  pollfd item{CallerFd, POLLRDHUP, 0};
  TimePoint until = std::min(Clock::now() + Time, Deadline);
  if (::poll(&item, 1, internal::pollTimeout(until)) > 0)
    Left = true;
}

bool CallerWaiter::callerLeft() {
  if (Left || CallerFd < 0)
    return Left;
  pollfd item{CallerFd, POLLRDHUP, 0};
  Left = ::poll(&item, 1, 0) > 0;
  return Left;
}

bool CallerWaiter::pastDeadline() const {
  return Clock::now() + DeadlineTolerance >= Deadline;
}

CallStatus ServerCall::fromExchange(ExchangeStatus Status) const {
  switch (Status) {
  case ExchangeStatus::Ok:
    return CallStatus::Responded;
  case ExchangeStatus::NotSent:
    return CallStatus::NotSent;
  case ExchangeStatus::Failed:
    return CallStatus::ConnectionBroken;
  case ExchangeStatus::TimedOut:
    return CallStatus::TimedOut;
  case ExchangeStatus::Interrupted:
    break;
  }
  return Waiter.callerLeft() ? CallStatus::CallerLeft
                             : CallStatus::DeadlineExceeded;
}

CallEvidence ServerCall::evidenceOf(CallStatus Status) const {
  if (Status == CallStatus::Responded || Http.byteReceived())
    return CallEvidence::Responded;
  switch (Status) {
  case CallStatus::NotSent:
  case CallStatus::ConnectionBroken:
    return CallEvidence::Failed;
  case CallStatus::TimedOut:
  case CallStatus::DeadlineExceeded:
    return CallEvidence::Silent;
  case CallStatus::Responded:
  case CallStatus::CallerLeft:
    break;
  }
  return CallEvidence::None;
}

CallStatus ServerCall::open(const ServerChoice &Server) {
  this->Server = Server;
  NewConnection = true;
  StartedAt = Clock::now();
  CallStatus status = CallStatus::Responded;
  Opened = connect(status);
  if (!Opened)
    Pool.reachability().onCall(Server, evidenceOf(status), StartedAt);
  return status;
}

void ServerCall::keepUnused() {
  if (BackendSocketPtr opened = Opened ? Http.releaseUnused() : nullptr)
    Pool.give({std::move(opened), processOf(Server), OpenedAt, {}, true},
              std::nullopt);
}

bool ServerCall::connect(CallStatus &Status) {
  if (std::exchange(Opened, false))
    return true;
  PooledConnection kept;
  if (!NewConnection)
    kept = Pool.take(processOf(Server), RequestId);
  RequestIds = std::move(kept.RequestIds);
  Traceable = kept.Traceable;
  Kept = kept.Socket != nullptr;
  Process = Kept ? std::move(kept.Process) : processOf(Server);
  OpenedAt = Kept ? kept.OpenedAt : Clock::now();
  if (kept.Socket) {
    Http.adopt(std::move(kept.Socket));
    return true;
  }
  Pool.countOpened();
  Status =
      fromExchange(Http.connect(Server.Address, Clock::now() + ConnectTimeout));
  return Status == CallStatus::Responded;
}

CallStatus ServerCall::start(const ServerChoice &Server,
                             const std::string &Bytes,
                             const std::string &Method,
                             const std::string &RequestId,
                             Milliseconds ResponseTimeout, bool Permitted) {
  this->Server = Server;
  this->Method = Method;
  this->RequestId = RequestId;
  StartedAt = Clock::now();
  CallStatus status = connectAndSend(Bytes);
  if (status == CallStatus::Responded)
    status = readOwnHead(ResponseTimeout);
  Pool.reachability().onCall(Server, evidenceOf(status), StartedAt);
  if (Permitted && !maySent())
    Limits.release(Server.Id, 1);
  else if (!Permitted && maySent())
    Limits.onUnpermittedCall(Server.Id);
  return status;
}

CallStatus ServerCall::awaitHead(Milliseconds ResponseTimeout) {
  // After a part of a request no response can come.
  CallStatus status =
      RequestSent ? readOwnHead(ResponseTimeout) : CallStatus::ConnectionBroken;
  if (status != CallStatus::TimedOut)
    Pool.reachability().onCall(Server, evidenceOf(status), StartedAt);
  return status;
}

CallStatus ServerCall::connectAndSend(const std::string &Bytes) {
  CallStatus failure = CallStatus::NotSent;
  if (!connect(failure))
    return failure;
  SentAt = Clock::now();
  if (!RequestId.empty()) {
    RequestIds.push_back(RequestId);
    if (RequestIds.size() > MaxRememberedRequests)
      RequestIds.erase(RequestIds.begin());
  }
  CallStatus status =
      fromExchange(Http.send(Bytes, TimePoint::max(), TransferTimeout));
  RequestSent = status == CallStatus::Responded;
  return status;
}

CallStatus ServerCall::readOwnHead(Milliseconds ResponseTimeout) {
  while (StrayResponses <= MaxStrayResponses) {
    CallStatus status = fromExchange(Http.readHead(Method, ResponseTimeout));
    if (status != CallStatus::Responded)
      return status;
    Info = Codec.ParseResponseHead(Http.head());
    if (Info.RequestId.empty() || Info.RequestId == RequestId) {
      Traceable = Traceable && !Info.RequestId.empty();
      // Limits are kept by id. That of a former process isn't its successor's.
      if (!Pool.isReplaced(Server))
        Limits.onResponse(Server.Id, Info.Limit, SentAt);
      Pool.onResponse(Server, Info);
      return status;
    }
    ++StrayResponses;
    status = discardBody(MaxStrayBytes, TransferTimeout);
    if (status == CallStatus::TimedOut) // no head can follow
      return CallStatus::ConnectionBroken;
    if (status != CallStatus::Responded)
      return status;
  }
  return CallStatus::ConnectionBroken;
}

CallStatus ServerCall::readWhole(std::string &Body, size_t MaxBytes,
                                 std::optional<Milliseconds> MaxTime) {
  TimePoint until = MaxTime ? Clock::now() + *MaxTime : TimePoint::max();
  return fromExchange(
      Http.readWholeBody(Body, MaxBytes, TransferTimeout, until));
}

CallStatus ServerCall::readUpTo(std::string &Body, bool &End, size_t MaxBytes) {
  return fromExchange(Http.readBodyUpTo(Body, End, MaxBytes, TransferTimeout));
}

CallStatus ServerCall::discardBody(size_t MaxBytes,
                                   std::optional<Milliseconds> MaxTime) {
  TimePoint until = MaxTime ? Clock::now() + *MaxTime : TimePoint::max();
  return fromExchange(Http.discardBody(MaxBytes, TransferTimeout, until));
}

CallStatus ServerCall::readSome(std::string &Out, bool &End,
                                Milliseconds Pause) {
  return fromExchange(Http.readBody(Out, End, Pause));
}

void ServerCall::finish() {
  if (BackendSocketPtr kept = Http.release())
    Pool.give({std::move(kept), processOf(Server), OpenedAt,
               std::move(RequestIds), Traceable},
              Info.KeepAliveTimeout);
}

ConnectResult tryConnect(ConnectionPool &Pool, CallerWaiter &Waiter,
                         const ServerChoice &Server) {
  internal::HttpExchange http(Waiter);
  Pool.countOpened();
  TimePoint openedAt = Clock::now();
  if (http.connect(Server.Address, openedAt + RefusalTimeout) ==
      ExchangeStatus::Ok) {
    if (BackendSocketPtr opened = http.releaseUnused())
      Pool.give({std::move(opened), processOf(Server), openedAt, {}, true},
                std::nullopt);
    return ConnectResult::Opened;
  }
  return http.connectionRefused() ? ConnectResult::Refused
                                  : ConnectResult::Unknown;
}

uint32_t callServer(ConnectionPool &Pool, const HttpCodec &Codec,
                    ServerLimits &Limits, const ServerChoice &Server,
                    const std::string &Bytes, const std::string &Method,
                    Milliseconds Time, size_t MaxBytes, std::string &Body,
                    bool Permitted, bool NewConnection) {
  CallerWaiter noCaller(-1, Clock::now() + Time);
  ServerCall call(Pool, Codec, Limits, noCaller);
  if (NewConnection)
    call.requireNewConnection();
  CallStatus status = call.start(Server, Bytes, Method, "", Time, Permitted);
  if (status == CallStatus::Responded)
    status = call.readWhole(Body, MaxBytes);
  if (status != CallStatus::Responded)
    return 0;
  call.finish();
  return call.head().Status;
}

} // namespace crocusspur::gateway
