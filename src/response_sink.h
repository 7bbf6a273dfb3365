// Destination of a relay's response: a caller's connection or the instance that
// forwarded the request.
#ifndef CROCUSSPUR_RESPONSE_SINK_H
#define CROCUSSPUR_RESPONSE_SINK_H

#include "problem_document.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusspur::internal {

struct ResponseHead {
  uint32_t Status = 200;
  std::string ContentType;
  bool HasLength = false; // otherwise the length is not known in advance
  uint64_t Length = 0;
  Milliseconds RetryAfter{0}; // 0: none
  // Additional header fields, written unchanged.
  std::vector<std::pair<std::string, std::string>> Fields;
};

// Used by one thread. begin(), write() and end() return false once the receiver
// has disconnected.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;
  // Called once, first. The head may be sent together with the first data.
  virtual bool begin(const ResponseHead &Head) = 0;
  virtual bool write(std::string_view Data) = 0;
  // `Complete` is false if the response is cut off, which is signalled to the
  // receiver.
  virtual bool end(bool Complete) = 0;
  // Socket that shows when the receiver disconnects, or -1.
  virtual int watchedSocket() const = 0;
};

// Writes a complete response.
bool writeResponse(ResponseSink &Sink, ResponseHead Head,
                   std::string_view Body);
bool writeProblem(ResponseSink &Sink, const Problem &Item);

} // namespace crocusspur::internal

#endif
