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
// Connections on which one call asks the process which one it is.
constexpr int MaxIdentifyTries = 2;
constexpr size_t MaxReportBytes = 65536;

} // namespace

PooledConnection ConnectionPool::take(const ServerProcess &Process,
                                      const std::string &RequestId,
                                      bool OnlyIdentified) {
  std::lock_guard lock(Mutex);
  auto found = Connections.find(Process.Address);
  if (found == Connections.end())
    return {};
  auto &idle = found->second;
  TimePoint now = Clock::now();
  std::erase_if(idle, [&](const Idle &It) {
    return It.UsableUntil <= now || It.Connection.Process != Process;
  });
  auto fits = [&](const Idle &It) {
    const std::vector<std::string> &ids = It.Connection.RequestIds;
    return It.Connection.Traceable == !RequestId.empty() &&
           (It.Connection.Identified || !OnlyIdentified) &&
           std::ranges::find(ids, RequestId) == ids.end();
  };
  while (true) {
    auto best = idle.end();
    for (auto it = idle.begin(); it != idle.end(); ++it)
      if (fits(*it) && (best == idle.end() || it->Connection.Identified ||
                        !best->Connection.Identified))
        best = it;
    if (best == idle.end())
      return {};
    PooledConnection connection = std::move(best->Connection);
    idle.erase(best);
    if (connection.Socket->isIdleAndOpen())
      return connection;
  }
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
  BackendSocketPtr opened = Opened ? Http.releaseUnused() : nullptr;
  if (opened && !isForeign())
    Pool.give({std::move(opened), Process, OpenedAt, std::move(RequestIds),
               Traceable, Identified},
              Info.KeepAliveTimeout);
  Opened = false;
}

ProcessCheck ServerCall::identify(const ServerChoice &Server,
                                  const std::string &RequestId,
                                  Milliseconds Time, bool MayAsk) {
  this->Server = Server;
  this->RequestId = RequestId;
  Asked = false;
  TimePoint until = Clock::now() + Time;
  // A kept connection may have been closed, and any may be after the answer.
  for (int i = 0; i < MaxIdentifyTries && Clock::now() < until; ++i) {
    StartedAt = Clock::now();
    if (Opened && !Http.isIdleAndOpen())
      drop();
    CallStatus status = CallStatus::Responded;
    if (!Opened)
      Opened = MayAsk ? connect(status) : takeKept(/*OnlyIdentified=*/true);
    if (!Opened) {
      if (MayAsk)
        Pool.reachability().onCall(Server, evidenceOf(status), StartedAt);
      return ProcessCheck::Unknown;
    }
    if (Identified)
      return ProcessCheck::Same;
    if (isForeign())
      return ProcessCheck::Replaced;
    if (!Limits.acquire(Server.Id, 1, Milliseconds(0)).Granted) {
      keepUnused();
      return ProcessCheck::Unknown;
    }
    ProcessCheck check = askProcess(until);
    if (Opened || (check == ProcessCheck::Unknown && !Kept))
      return check;
  }
  return ProcessCheck::Unknown;
}

ProcessCheck ServerCall::askProcess(TimePoint Until) {
  std::string id = std::exchange(RequestId, "");
  bool traceable = Traceable;
  auto left = [Until] {
    return std::max(std::chrono::ceil<Milliseconds>(Until - Clock::now()),
                    Milliseconds(0));
  };
  Method = "GET";
  SentAt = Clock::now();
  CallStatus status = fromExchange(
      Http.send(Codec.FormatReport(Server), TimePoint::max(), left()));
  Asked = maySent();
  if (!Asked)
    Limits.release(Server.Id, 1);
  if (status == CallStatus::Responded)
    status = readOwnHead(left());
  Pool.reachability().onCall(Server, evidenceOf(status), StartedAt);
  std::string body;
  if (status == CallStatus::Responded)
    status = readWhole(body, MaxReportBytes, left());
  std::optional<ServerReport> report;
  if (status == CallStatus::Responded && head().Status == 200)
    report = Codec.ParseReport(body);
  // A late copy of any other response couldn't be told from the next one.
  ReportedStart = report ? report->StartedAt : 0;
  BackendSocketPtr socket = ReportedStart != 0 ? Http.release() : nullptr;
  Opened = socket != nullptr;
  Http.reset(std::move(socket));
  RequestId = std::move(id);
  Traceable = traceable;
  StrayResponses = 0;
  std::optional<Milliseconds> keepAlive = Info.KeepAliveTimeout;
  Info = {};
  Info.KeepAliveTimeout = keepAlive;
  Identified = Opened && ReportedStart == Process.StartedAt;
  if (ReportedStart == 0)
    return ProcessCheck::Unknown;
  return ReportedStart == Process.StartedAt ? ProcessCheck::Same
                                            : ProcessCheck::Replaced;
}

void ServerCall::drop() {
  Http.reset(nullptr);
  Opened = Identified = false;
}

bool ServerCall::takeKept(bool OnlyIdentified) {
  PooledConnection kept;
  if (!NewConnection)
    kept = Pool.take(processOf(Server), RequestId, OnlyIdentified);
  RequestIds = std::move(kept.RequestIds);
  Traceable = kept.Traceable;
  Identified = kept.Identified;
  ReportedStart = 0;
  Kept = kept.Socket != nullptr;
  Process = Kept ? std::move(kept.Process) : processOf(Server);
  OpenedAt = kept.OpenedAt;
  if (Kept)
    Http.adopt(std::move(kept.Socket));
  return Kept;
}

bool ServerCall::connect(CallStatus &Status) {
  if (std::exchange(Opened, false) || takeKept(/*OnlyIdentified=*/false))
    return true;
  Pool.countOpened();
  Status =
      fromExchange(Http.connect(Server.Address, Clock::now() + ConnectTimeout));
  OpenedAt = Clock::now();
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
    // What identify() asked for doesn't name its request, and may come twice.
    bool isReport = (Identified || isForeign()) && !RequestId.empty() &&
                    Info.RequestId.empty() && !Info.Signed &&
                    Http.head().Status == 200;
    if (!isReport && (Info.RequestId.empty() || Info.RequestId == RequestId)) {
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
  BackendSocketPtr kept = Http.release();
  if (kept && !isForeign())
    Pool.give({std::move(kept), processOf(Server), OpenedAt,
               std::move(RequestIds), Traceable, Identified},
              Info.KeepAliveTimeout);
}

ConnectResult tryConnect(ConnectionPool &Pool, CallerWaiter &Waiter,
                         const ServerChoice &Server) {
  internal::HttpExchange http(Waiter);
  Pool.countOpened();
  if (http.connect(Server.Address, Clock::now() + RefusalTimeout) ==
      ExchangeStatus::Ok) {
    if (BackendSocketPtr opened = http.releaseUnused())
      Pool.give({std::move(opened), processOf(Server), Clock::now(), {}, true},
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
