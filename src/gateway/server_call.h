// Pooled connections to backend servers, and single calls on them.
#ifndef CROCUSSPUR_GATEWAY_SERVER_CALL_H
#define CROCUSSPUR_GATEWAY_SERVER_CALL_H

#include "checked_mutex.h"
#include "gateway/http_codec.h"
#include "gateway/server_limits.h"
#include "gateway/server_reachability.h"
#include "http_exchange.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// A connection to a server and the ids of the requests last sent on it.
struct PooledConnection {
  internal::BackendSocketPtr Socket;
  // The process that was known at the address when the connection was opened. A
  // successor has connections of its own, and the former process may serve its
  // own to their end.
  ServerProcess Process;
  TimePoint OpenedAt;                  // at the latest
  std::vector<std::string> RequestIds; // latest last
  // Whether each response named its request. After one that didn't, a late
  // duplicate of it couldn't be told from the response to another request.
  bool Traceable = true;
  // Whether the process at the other end has said on it that it is `Process`.
  bool Identified = false;
};

// What a server's process has said of itself, compared with its entry.
enum class ProcessCheck : uint8_t {
  Same,     // it is the one that the entry names
  Replaced, // it is another one
  Unknown   // it didn't answer, or doesn't state when it started
};

// Idle connections by address. Thread-safe.
class ConnectionPool {
public:
  // Returns an idle connection to the process that is still open, or null, and
  // closes idle ones to others at its address. A server may send a
  // response twice, and the id tells which request it belongs to; so a request
  // that is sent again never gets a connection that it was sent on before.
  // Requests with an id get traceable connections, identified ones first, and
  // calls without one the others.
  PooledConnection take(const ServerProcess &Process,
                        const std::string &RequestId,
                        bool OnlyIdentified = false);
  // `KeepAliveTimeout`: how long the server keeps the connection, if it has
  // stated it.
  void give(PooledConnection Connection,
            std::optional<Milliseconds> KeepAliveTimeout);
  void drop(const std::string &Address);
  size_t idleCount();
  // Drops all idle connections.
  void clear();
  // Called with the head of each response that belongs to its call. Set before
  // the pool is used by several threads.
  using ResponseListener =
      std::function<void(const ServerChoice &Server, const ResponseInfo &Info)>;
  void setResponseListener(ResponseListener Listener) {
    OnResponse = std::move(Listener);
  }
  void onResponse(const ServerChoice &Server, const ResponseInfo &Info) const {
    if (OnResponse)
      OnResponse(Server, Info);
  }
  // Whether a server's entry names another process than the chosen one. Set
  // before the pool is used by several threads.
  using ReplacedCheck = std::function<bool(const ServerChoice &Server)>;
  void setReplacedCheck(ReplacedCheck Check) { IsReplaced = std::move(Check); }
  bool isReplaced(const ServerChoice &Server) const {
    return IsReplaced && IsReplaced(Server);
  }
  // Which servers the connections reach.
  ServerReachability &reachability() { return Reach; }
  uint64_t opened() const { return Opened.load(); }
  void countOpened() { ++Opened; }

private:
  struct Idle {
    PooledConnection Connection;
    TimePoint UsableUntil;
  };
  internal::LeafMutex Mutex;
  std::map<std::string, std::deque<Idle>> Connections;
  std::atomic<uint64_t> Opened{0};
  ServerReachability Reach;
  ResponseListener OnResponse;
  ReplacedCheck IsReplaced;
};

// A server that sends nothing of a body for this long has failed.
inline constexpr Milliseconds TransferTimeout{2000};

// Watches the caller's connection while a call waits for a server.
class CallerWaiter final : public internal::SocketWaiter {
public:
  // If `CallerFd` is -1, no caller is watched. No wait lasts beyond `Deadline`.
  CallerWaiter(int CallerFd, TimePoint Deadline)
      : CallerFd(CallerFd), Deadline(Deadline) {}
  internal::WaitResult wait(int Fd, short Events, TimePoint Until) override;
  // Waits for `Time`, or until the caller disconnects or the deadline passes.
  void pause(Milliseconds Time);
  // Whether the caller has disconnected; doesn't wait.
  bool callerLeft();
  bool pastDeadline() const;

private:
  int CallerFd;
  TimePoint Deadline;
  bool Left = false;
};

enum class CallStatus : uint8_t {
  Responded,        // a response head was read
  NotSent,          // no byte was sent
  ConnectionBroken, // a byte may have been sent; no usable response
  TimedOut,         // a byte may have been sent; no response in time
  CallerLeft,
  DeadlineExceeded, // the request's deadline passed
};

// One call: connects, sends and reads the response head. The body is then read
// with readWhole() or readSome().
class ServerCall {
public:
  ServerCall(ConnectionPool &Pool, const HttpCodec &Codec, ServerLimits &Limits,
             CallerWaiter &Waiter)
      : Pool(Pool), Codec(Codec), Limits(Limits), Waiter(Waiter), Http(Waiter) {
  }

  // The call opens a connection of its own, which leads to the process that
  // accepts connections now. Called before start().
  void requireNewConnection() { NewConnection = true; }
  // Opens such a connection, on which start() then sends. Returns Responded if
  // it is open.
  CallStatus open(const ServerChoice &Server);
  // Finds a connection for start() of which it is known which process is at its
  // other end, and keeps it. If none is and `MayAsk`, asks the process on the
  // connection that start() will use, which takes a permit and `Time` at most.
  // The answer holds as long as the connection, whoever accepts connections at
  // the server's address by then. `RequestId`: that start() is to send.
  ProcessCheck identify(const ServerChoice &Server,
                        const std::string &RequestId, Milliseconds Time,
                        bool MayAsk);
  // Gives a connection to the pool that start() hasn't sent on.
  void keepUnused();
  // `RequestId`: responses with another id are late responses to earlier
  // requests and are skipped. `ResponseTimeout` bounds the wait for the head.
  // `Permitted`: the caller has acquired a permit for the call, which is
  // returned if nothing is sent. Other calls count against the server's limit
  // afterwards.
  CallStatus start(const ServerChoice &Server, const std::string &Bytes,
                   const std::string &Method, const std::string &RequestId,
                   Milliseconds ResponseTimeout, bool Permitted);
  // Waits on for the head, after start() or awaitHead() has returned TimedOut:
  // the server may only be slow. Returns as start() does.
  CallStatus awaitHead(Milliseconds ResponseTimeout);
  // `MaxTime` bounds the time that it takes; without it, only the request's
  // deadline and the time without progress do.
  CallStatus readWhole(std::string &Body, size_t MaxBytes,
                       std::optional<Milliseconds> MaxTime = std::nullopt);
  // Reads until the end of the body, or until `Body` has `MaxBytes` or a little
  // more.
  CallStatus readUpTo(std::string &Body, bool &End, size_t MaxBytes);
  // Reads the rest of the body and keeps nothing of it. Otherwise like
  // readWhole().
  CallStatus discardBody(size_t MaxBytes,
                         std::optional<Milliseconds> MaxTime = std::nullopt);
  // Reads the available part of a stream; see HttpExchange::readBody.
  CallStatus readSome(std::string &Out, bool &End, Milliseconds Pause);
  // Returns the connection to the pool if the response was read to its end.
  void finish();

  // Whether a byte of the request may have been sent.
  bool maySent() const { return Http.byteSent(); }
  internal::ConnectFailure connectFailure() const {
    return Http.connectFailure();
  }
  const internal::HttpHead &head() const { return Http.head(); }
  // How the end of the response's body is marked; see HttpExchange::bodyForm().
  internal::BodyForm bodyForm() const { return Http.bodyForm(); }
  uint64_t bodyLength() const { return Http.bodyLength(); }
  const ResponseInfo &info() const { return Info; }
  // Whether the connection was opened for an earlier call.
  bool usedKeptConnection() const { return Kept; }
  // Whether identify() has sent its question.
  bool hasAsked() const { return Asked; }
  // The start that identify() was told, Unix milliseconds; 0: none.
  int64_t reportedStart() const { return ReportedStart; }
  // The process that was known when the connection was opened.
  const ServerProcess &process() const { return Process; }
  // When that was.
  TimePoint openedAt() const { return OpenedAt; }

private:
  CallStatus connectAndSend(const std::string &Bytes);
  // Asks on the connection; see identify().
  ProcessCheck askProcess(TimePoint Until);
  void drop(); // the connection
  // Skips late responses to earlier requests.
  CallStatus readOwnHead(Milliseconds ResponseTimeout);
  CallStatus fromExchange(internal::ExchangeStatus Status) const;
  // What a call that ended with this status shows of the way to the server.
  CallEvidence evidenceOf(CallStatus Status) const;
  bool connect(CallStatus &Status);
  bool takeKept(bool OnlyIdentified);
  // Whether the process at the other end has said that it is another one than
  // the server's entry names.
  bool isForeign() const { return ReportedStart != 0 && !Identified; }

  ConnectionPool &Pool;
  const HttpCodec &Codec;
  ServerLimits &Limits;
  CallerWaiter &Waiter;
  internal::HttpExchange Http;
  ServerChoice Server;
  std::string Method;
  std::string RequestId;
  TimePoint StartedAt;
  TimePoint SentAt;
  bool RequestSent = false;            // as a whole
  int StrayResponses = 0;              // skipped so far
  std::vector<std::string> RequestIds; // sent on the connection
  bool Traceable = true;               // see PooledConnection
  bool NewConnection = false;
  bool Opened = false; // there is a connection for the next call
  bool Kept = false;
  bool Identified = false;   // see PooledConnection
  bool Asked = false;        // see hasAsked()
  int64_t ReportedStart = 0; // see reportedStart()
  ServerProcess Process;
  TimePoint OpenedAt; // of the connection
  ResponseInfo Info;
};

// What a new connection to a server's address shows.
enum class ConnectResult : uint8_t {
  Opened,  // the connection is kept in the pool
  Refused, // nothing listens there, as once the server's process has ended
  Unknown
};
ConnectResult tryConnect(ConnectionPool &Pool, CallerWaiter &Waiter,
                         const ServerChoice &Server);

inline bool refusesConnections(ConnectionPool &Pool, CallerWaiter &Waiter,
                               const ServerChoice &Server) {
  return tryConnect(Pool, Waiter, Server) == ConnectResult::Refused;
}

// Makes a call on behalf of no caller. Returns the status and fills `Body`, or
// returns 0 if there is no complete response within `Time`. `NewConnection`:
// see ServerCall::requireNewConnection().
uint32_t callServer(ConnectionPool &Pool, const HttpCodec &Codec,
                    ServerLimits &Limits, const ServerChoice &Server,
                    const std::string &Bytes, const std::string &Method,
                    Milliseconds Time, size_t MaxBytes, std::string &Body,
                    bool Permitted = false, bool NewConnection = false);

} // namespace crocusspur::gateway

#endif
