// Reads requests from a caller's connection within the limits of size and time.
#ifndef CROCUSSPUR_CALLER_READER_H
#define CROCUSSPUR_CALLER_READER_H

#include "crocusspur/types.h"
#include "http_header.h"

#include <optional>
#include <string>

namespace crocusspur::internal {

struct ReadLimits {
  uint32_t MaxHeaderFields = 64;
  uint32_t MaxBodyBytes = 1048576;
  size_t MaxHeadBytes = internal::MaxHeadBytes;
  // Bounds the wait for a request and, unless HeadTimeout is set, the time that
  // its head and its body may each take from the first byte, so that a slow
  // sender can't hold a thread.
  Milliseconds IdleTimeout{30000};
  std::optional<Milliseconds> HeadTimeout;
};

enum class RequestReadStatus : uint8_t {
  Ok,
  Closed,    // the caller closed, or was idle between two requests
  TimedOut,  // the caller sent part of it too slowly
  Malformed, // not HTTP/1.x
  TooLarge,  // over a limit
};

class CallerReader {
public:
  CallerReader(int Fd, const ReadLimits &Limits) : Fd(Fd), Limits(Limits) {}

  RequestReadStatus readHead(HttpHead &Head);
  RequestReadStatus readBody(const BodyFraming &Framing, std::string &Body);

  // Closes the sending side and drops what the caller still sends, for a
  // bounded time. Closing with unread bytes would reset the connection, which
  // can destroy an answer that the caller hasn't read yet.
  void lingeringClose();

private:
  RequestReadStatus fill(TimePoint Until);

  int Fd;
  const ReadLimits &Limits;
  std::string Pending; // received and not yet used
};

} // namespace crocusspur::internal

#endif
