// One HTTP/1.1 call to a backend server over a stream socket. Every wait goes
// through a SocketWaiter, so a relay can watch its caller at the same time.
#ifndef CROCUSSPUR_HTTP_EXCHANGE_H
#define CROCUSSPUR_HTTP_EXCHANGE_H

#include "http_header.h"
#include "socket_io.h"

#include <memory>
#include <string>

namespace crocusspur::internal {

enum class ExchangeStatus : uint8_t {
  Ok,
  NotSent,     // no byte of the request has left
  Failed,      // broke off or malformed after a byte may have left
  TimedOut,    // no progress, after a byte may have left
  Interrupted, // by the waiter
};

// A connected socket that is closed with its last owner.
class BackendSocket {
public:
  explicit BackendSocket(int Fd) : Fd(Fd) {}
  ~BackendSocket();
  BackendSocket(const BackendSocket &) = delete;
  BackendSocket &operator=(const BackendSocket &) = delete;

  int fd() const { return Fd; }
  // False if the server has closed it or has sent something unasked.
  bool isIdleAndOpen() const;

private:
  int Fd;
};

using BackendSocketPtr = std::unique_ptr<BackendSocket>;

class HttpExchange {
public:
  explicit HttpExchange(SocketWaiter &Waiter) : Waiter(Waiter) {}

  // Opens a new connection ("IP:port"). NotSent if that fails or takes longer.
  ExchangeStatus connect(const std::string &Address, TimePoint Until);
  // Uses a connection from an earlier exchange.
  void adopt(BackendSocketPtr Connected);

  // Writes the request. Reads the clock directly before the first byte and
  // returns NotSent if `NotAfter` has passed. Once a byte has left, a broken
  // connection shows in readHead(), since the server may have answered early.
  ExchangeStatus send(const std::string &Request, TimePoint NotAfter,
                      Milliseconds Timeout);
  // Waits for the response head; `Timeout` bounds the time without progress.
  ExchangeStatus readHead(const std::string &Method, Milliseconds Timeout);
  const HttpHead &head() const { return Head; }

  // Appends what is there of the body, waiting for at least one byte or the
  // end.
  ExchangeStatus readBody(std::string &Out, bool &End, Milliseconds Timeout);
  // Reads the rest. Failed if it is longer than `MaxBytes`.
  ExchangeStatus readWholeBody(std::string &Out, size_t MaxBytes,
                               Milliseconds Timeout);

  bool byteSent() const { return ByteSent; }
  // Whether any byte of an answer has been read.
  bool byteReceived() const { return ByteReceived; }
  // Gives the connection back if another exchange can follow on it, else null.
  BackendSocketPtr release();

private:
  ExchangeStatus fill(Milliseconds Timeout);

  SocketWaiter &Waiter;
  BackendSocketPtr Socket;
  HttpHead Head;
  BodyDecoder Decoder;
  std::string Pending; // received and not yet decoded, from Offset
  size_t Offset = 0;
  bool ByteSent = false;
  bool ByteReceived = false;
  bool EndOfInput = false;
  bool SelfDelimited = false;
};

} // namespace crocusspur::internal

#endif
