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
  NotSent,     // no byte of the request was sent
  Failed,      // broken or malformed after a byte may have been sent
  TimedOut,    // no progress after a byte may have been sent
  Interrupted, // by the waiter
};

enum class ConnectFailure : uint8_t {
  None,
  Refused, // nothing listens at the address
  Hangs,   // no response in time
  Other,   // reset, unreachable, or no socket
};

const char *nameOf(ConnectFailure Failure); // name in logs

// Owns a connected socket and closes it on destruction.
class BackendSocket {
public:
  explicit BackendSocket(int Fd) : Fd(Fd) {}
  ~BackendSocket();
  BackendSocket(const BackendSocket &) = delete;
  BackendSocket &operator=(const BackendSocket &) = delete;

  int fd() const { return Fd; }
  // Returns false if the server has closed it or sent unexpected data.
  bool isIdleAndOpen() const;

private:
  int Fd;
};

using BackendSocketPtr = std::unique_ptr<BackendSocket>;

class HttpExchange {
public:
  explicit HttpExchange(SocketWaiter &Waiter) : Waiter(Waiter) {}

  // Opens a new connection to "IP:port". Returns NotSent if that fails or takes
  // longer than `Until`.
  ExchangeStatus connect(const std::string &Address, TimePoint Until);
  // Reuses a connection of an earlier exchange.
  void adopt(BackendSocketPtr Connected);
  // Forgets this exchange, for another one on the connection; null: on one that
  // is yet to be opened.
  void reset(BackendSocketPtr Connected);
  // Whether there is a connection on which nothing has arrived, not even its
  // end.
  bool isIdleAndOpen() const { return Socket && Socket->isIdleAndOpen(); }

  // Sends the request. Checks the clock directly before the first byte and
  // returns NotSent if `NotAfter` has passed. Once a byte has been sent, a
  // broken connection is reported by readHead(), since the server may have
  // responded early; so is a server that responds and reads no more for
  // `Timeout`. A body of the form UntilClose that responds to a part of a
  // request counts as broken off.
  ExchangeStatus send(const std::string &Request, TimePoint NotAfter,
                      Milliseconds Timeout);
  // Waits for the response head, at most for `Timeout`. Returns Failed after
  // too many interim responses.
  ExchangeStatus readHead(const std::string &Method, Milliseconds Timeout);
  const HttpHead &head() const { return Head; }
  // How the end of the body is marked. A body of the form UntilClose ends with
  // the connection, so its end can't be told from a cut.
  BodyForm bodyForm() const { return Form; }
  // Of the body, if its form is Length.
  uint64_t bodyLength() const { return Length; }

  // Appends the part of the body that is available; waits for at least one byte
  // or the end, at most for `Timeout`.
  ExchangeStatus readBody(std::string &Out, bool &End, Milliseconds Timeout);
  // Reads the rest of the body. Returns Failed if `Out` exceeds `MaxBytes`.
  // `Timeout` bounds the time without progress, `Until` the whole.
  ExchangeStatus readWholeBody(std::string &Out, size_t MaxBytes,
                               Milliseconds Timeout,
                               TimePoint Until = TimePoint::max());

  // Reads until the end of the body, or until `Out` has `MaxBytes` or a little
  // more.
  ExchangeStatus readBodyUpTo(std::string &Out, bool &End, size_t MaxBytes,
                              Milliseconds Timeout);
  // Reads the rest of the body and keeps nothing of it. Otherwise like
  // readWholeBody().
  ExchangeStatus discardBody(size_t MaxBytes, Milliseconds Timeout,
                             TimePoint Until = TimePoint::max());

  // Whether connect() failed because nothing listens at the address.
  bool connectionRefused() const { return Failure == ConnectFailure::Refused; }
  // Why connect() failed, or None.
  ConnectFailure connectFailure() const { return Failure; }
  bool byteSent() const { return ByteSent; }
  // Whether any byte of a response has been received.
  bool byteReceived() const { return ByteReceived; }
  // Returns the connection if another exchange can use it, else null.
  BackendSocketPtr release();
  // Returns a connection on which nothing was sent, else null.
  BackendSocketPtr releaseUnused();

private:
  ExchangeStatus fill(TimePoint Until);
  ExchangeStatus readBodyUntil(std::string &Out, bool &End, TimePoint Until);

  SocketWaiter &Waiter;
  BackendSocketPtr Socket;
  HttpHead Head;
  BodyDecoder Decoder;
  std::string Pending; // received; not yet decoded from Offset on
  size_t Offset = 0;
  ConnectFailure Failure = ConnectFailure::None;
  bool ByteSent = false;
  bool SentWhole = false;
  bool ByteReceived = false;
  bool EndOfInput = false;
  BodyForm Form = BodyForm::None;
  uint64_t Length = 0;
};

} // namespace crocusspur::internal

#endif
