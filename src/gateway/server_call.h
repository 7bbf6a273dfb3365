// Kept connections to backend servers, and single calls on them.
#ifndef CROCUSSPUR_GATEWAY_SERVER_CALL_H
#define CROCUSSPUR_GATEWAY_SERVER_CALL_H

#include "gateway/http_codec.h"
#include "http_exchange.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

// Idle connections by address. Thread-safe.
class ConnectionPool {
public:
  // Returns a connection that is idle and open, or null.
  internal::BackendSocketPtr take(const std::string &Address);
  // `KeepAliveTimeout`: how long the server keeps it, if it has said so.
  void give(const std::string &Address, internal::BackendSocketPtr Connection,
            std::optional<Milliseconds> KeepAliveTimeout);
  void drop(const std::string &Address);
  size_t idleCount();
  uint64_t opened() const { return Opened.load(); }
  void countOpened() { ++Opened; }

private:
  struct Idle {
    internal::BackendSocketPtr Connection;
    TimePoint UsableUntil;
  };
  std::mutex Mutex;
  std::map<std::string, std::deque<Idle>> Connections;
  std::atomic<uint64_t> Opened{0};
};

// Watches the caller while a call waits for a server.
class CallerWaiter final : public internal::SocketWaiter {
public:
  // `CallerFd` may be -1: nobody is watched. No wait lasts beyond `End`.
  CallerWaiter(int CallerFd, TimePoint Deadline)
      : CallerFd(CallerFd), Deadline(Deadline) {}
  internal::WaitResult wait(int Fd, short Events, TimePoint Until) override;
  // Waits for the time, or less if the caller leaves or the end comes.
  void pause(Milliseconds Time);
  // Whether the caller has left; looks without waiting.
  bool callerLeft();
  bool pastDeadline() const;

private:
  int CallerFd;
  TimePoint Deadline;
  bool Left = false;
};

enum class CallStatus : uint8_t {
  Responded,        // a head has been read
  NotSent,          // no byte has left
  ConnectionBroken, // a byte may have left, and there is no usable answer
  TimedOut,         // the same, without any answer in time
  CallerLeft,
  DeadlineExceeded, // the end of the request's time
};

// One call: connect, send, read the head. The body is then read through
// exchange().
class ServerCall {
public:
  ServerCall(ConnectionPool &Pool, const HttpCodec &Codec, CallerWaiter &Waiter)
      : Pool(Pool), Codec(Codec), Waiter(Waiter), Http(Waiter) {}

  // `RequestId`: answers that carry another id are late answers to earlier
  // requests and are skipped. `ResponseTimeout` bounds the wait for the head.
  CallStatus start(const std::string &Address, const std::string &Bytes,
                   const std::string &Method, const std::string &RequestId,
                   Milliseconds ResponseTimeout);
  CallStatus readWhole(std::string &Body, size_t MaxBytes);
  // Reads what is there of a stream; see HttpExchange::readBody.
  CallStatus readSome(std::string &Out, bool &End, Milliseconds Pause);
  // Keeps the connection for others if the answer was read to its end.
  void finish();

  // Whether a byte of the request may have left.
  bool maySent() const { return Http.byteSent(); }
  const internal::HttpHead &head() const { return Http.head(); }
  const ResponseInfo &info() const { return Info; }

private:
  CallStatus fromExchange(internal::ExchangeStatus Status) const;
  bool connect(const std::string &Address, CallStatus &Status);

  ConnectionPool &Pool;
  const HttpCodec &Codec;
  CallerWaiter &Waiter;
  internal::HttpExchange Http;
  std::string Address;
  ResponseInfo Info;
};

// One call that no caller waits for. Returns the status and fills `Body`; 0 if
// there is no whole answer within the time.
uint32_t callServer(ConnectionPool &Pool, const HttpCodec &Codec,
                    const ServerChoice &Server, const std::string &Bytes,
                    const std::string &Method, Milliseconds Time,
                    size_t MaxBytes, std::string &Body);

} // namespace crocusspur::gateway

#endif
