#include "gateway/server_link.h"

#include <cerrno>
#include <poll.h>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::BackendSocketPtr;
using internal::ExchangeStatus;
using internal::WaitResult;

// Idle time after which a connection isn't used again, where the server says
// nothing; servers close idle connections after a few seconds.
constexpr Milliseconds UsualIdleTime{4000};
// A connection is given up this long before the server closes it, so that no
// request crosses the close.
constexpr Milliseconds CloseMargin{1000};
constexpr size_t MostIdle = 8; // connections kept for one server
// Connections within one region open within milliseconds; a lost first packet
// is sent again after a second.
constexpr Milliseconds ConnectTime{250};
constexpr Milliseconds SendTime{2000};
// Times that are left are handed on in whole milliseconds, rounded down, so a
// wait for what is left can end this much before the end.
constexpr Milliseconds EndTolerance{2};
// Late answers to earlier requests that are skipped on one connection.
constexpr int MostStrayAnswers = 3;
constexpr size_t MostStrayBytes = 1048576;

} // namespace

BackendSocketPtr ConnectionPool::take(const std::string &Address) {
  std::lock_guard lock(Mutex);
  auto it = Connections.find(Address);
  if (it == Connections.end())
    return nullptr;
  TimePoint now = Clock::now();
  while (!it->second.empty()) {
    Idle newest = std::move(it->second.back());
    it->second.pop_back();
    if (newest.UsableUntil > now && newest.Connection->isIdleAndOpen())
      return std::move(newest.Connection);
  }
  return nullptr;
}

void ConnectionPool::give(const std::string &Address,
                          BackendSocketPtr Connection,
                          std::optional<Milliseconds> KeepOpen) {
  Milliseconds keep = KeepOpen ? *KeepOpen - CloseMargin : UsualIdleTime;
  if (keep <= Milliseconds(0))
    return;
  TimePoint now = Clock::now();
  std::lock_guard lock(Mutex);
  auto &idle = Connections[Address];
  idle.push_back({std::move(Connection), now + keep});
  if (idle.size() > MostIdle)
    idle.pop_front();
  // Servers that are gone are never asked for again; their connections would
  // stay open for good.
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

void ConnectionPool::drop(const std::string &Address) {
  std::lock_guard lock(Mutex);
  Connections.erase(Address);
}

WaitResult CallerWaiter::wait(int Fd, short Events, TimePoint Until) {
  TimePoint until = std::min(Until, End);
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
      return until == End ? WaitResult::Interrupted : WaitResult::TimedOut;
    return WaitResult::Ready;
  }
}

void CallerWaiter::pause(Milliseconds Time) {
  pollfd item{CallerFd, POLLRDHUP, 0};
  TimePoint until = std::min(Clock::now() + Time, End);
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

bool CallerWaiter::pastEnd() const {
  return Clock::now() + EndTolerance >= End;
}

CallStatus ServerCall::fromExchange(ExchangeStatus Status) const {
  switch (Status) {
  case ExchangeStatus::Ok:
    return CallStatus::Answered;
  case ExchangeStatus::NotSent:
    return CallStatus::NotSent;
  case ExchangeStatus::Failed:
    return CallStatus::Broken;
  case ExchangeStatus::TimedOut:
    return CallStatus::Silent;
  case ExchangeStatus::Interrupted:
    break;
  }
  return Waiter.callerLeft() ? CallStatus::CallerLeft : CallStatus::OutOfTime;
}

bool ServerCall::connect(const std::string &Address, CallStatus &Status) {
  if (BackendSocketPtr kept = Pool.take(Address)) {
    Http.adopt(std::move(kept));
    return true;
  }
  Pool.countOpened();
  Status = fromExchange(Http.connect(Address, Clock::now() + ConnectTime));
  return Status == CallStatus::Answered;
}

CallStatus ServerCall::start(const std::string &Address,
                             const std::string &Bytes,
                             const std::string &Method,
                             const std::string &RequestId,
                             Milliseconds AnswerTime) {
  this->Address = Address;
  CallStatus status = CallStatus::NotSent;
  if (!connect(Address, status))
    return status;
  status = fromExchange(Http.send(Bytes, TimePoint::max(), SendTime));
  if (status != CallStatus::Answered)
    return status;
  for (int i = 0; i <= MostStrayAnswers; ++i) {
    status = fromExchange(Http.readHead(Method, AnswerTime));
    if (status != CallStatus::Answered)
      return status;
    Facts = Wire.ReadAnswer(Http.head());
    if (Facts.RequestId.empty() || Facts.RequestId == RequestId)
      return status;
    std::string stray;
    status = readWhole(stray, MostStrayBytes);
    if (status != CallStatus::Answered)
      return status;
  }
  return CallStatus::Broken;
}

CallStatus ServerCall::readWhole(std::string &Body, size_t MaxBytes) {
  return fromExchange(Http.readWholeBody(Body, MaxBytes, SendTime));
}

CallStatus ServerCall::readSome(std::string &Out, bool &End,
                                Milliseconds Pause) {
  return fromExchange(Http.readBody(Out, End, Pause));
}

void ServerCall::finish() {
  if (BackendSocketPtr kept = Http.release())
    Pool.give(Address, std::move(kept), Facts.KeepOpen);
}

uint32_t callServer(ConnectionPool &Pool, const Dialect &Wire,
                    const ServerChoice &Server, const std::string &Bytes,
                    const std::string &Method, Milliseconds Time,
                    size_t MaxBytes, std::string &Body) {
  CallerWaiter nobody(-1, Clock::now() + Time);
  ServerCall call(Pool, Wire, nobody);
  CallStatus status = call.start(Server.Address, Bytes, Method, "", Time);
  if (status == CallStatus::Answered)
    status = call.readWhole(Body, MaxBytes);
  if (status != CallStatus::Answered)
    return 0;
  call.finish();
  return call.head().Status;
}

} // namespace crocusspur::gateway
