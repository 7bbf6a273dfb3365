// Reads requests from a caller's connection within limits of size and time.
#ifndef CROCUSSPUR_CALLER_READER_H
#define CROCUSSPUR_CALLER_READER_H

#include "crocusspur/types.h"
#include "http_header.h"

#include <functional>
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
  Closed,    // by the caller, or idle between two requests
  TimedOut,  // the caller sent a part too slowly
  Malformed, // not HTTP/1.x
  TooLarge,  // over a limit
  NoRoom,    // the memory for a body was refused
};

class CallerReader {
public:
  CallerReader(int Fd, const ReadLimits &Limits) : Fd(Fd), Limits(Limits) {}

  RequestReadStatus readHead(HttpHead &Head);
  // Asked before a body of so many bytes is kept; returns whether it may be.
  using RoomHook = std::function<bool(size_t Bytes)>;
  // `HasRoom`: null if nothing but the limits bounds the body.
  RequestReadStatus readBody(const BodyFraming &Framing, std::string &Body,
                             const RoomHook &HasRoom = nullptr);

  // Closes the sending side and discards what the caller still sends, for a
  // bounded time. Closing with unread bytes would reset the connection, which
  // can destroy a response that the caller hasn't read yet.
  void lingeringClose();

private:
  RequestReadStatus fill(TimePoint Until);

  int Fd;
  const ReadLimits &Limits;
  std::string Pending; // received but not yet consumed
};

} // namespace crocusspur::internal

#endif
