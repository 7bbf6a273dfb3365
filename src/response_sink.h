// Where a relay writes an answer: a caller's connection or the instance that
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
  bool HasLength = false; // otherwise the length is not known beforehand
  uint64_t Length = 0;
  Milliseconds RetryAfter{0}; // 0: none
  // Further fields, written as they are.
  std::vector<std::pair<std::string, std::string>> Fields;
};

// Used by one thread. Every function returns false once the receiver is gone.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;
  // Called once, first. The head may leave together with the first piece.
  virtual bool begin(const ResponseHead &Head) = 0;
  virtual bool write(std::string_view Data) = 0;
  // `Complete` is false if the answer broke off, which the receiver is told.
  virtual bool end(bool Complete) = 0;
  // Socket on which the receiver's departure shows, or -1.
  virtual int watchedSocket() const = 0;
};

// Writes a whole answer.
bool writeResponse(ResponseSink &Sink, ResponseHead Head,
                   std::string_view Body);
bool writeProblem(ResponseSink &Sink, const Problem &Item);

} // namespace crocusspur::internal

#endif
