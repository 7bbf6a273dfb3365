// Decides whether an answer that has neither a length nor chunks, and so ends
// with its connection, was ended by the process that sent it. The kernel ends
// the connections of a process that is killed in the same way. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_SENDER_STATE_H
#define CROCUSSPUR_GATEWAY_SENDER_STATE_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace crocusspur::gateway {

// Of the process that sent the answer, after the answer's end.
enum class SenderState : uint8_t {
  Lives,
  Replaced, // another process has its id or its address
  Ended,    // refuses connections, or closes them without a response
  Silent,   // no response in time
};
constexpr size_t SenderStateCount = 4;
const char *nameOf(SenderState State); // name in logs and metrics

// What a call shows that asks the process for its report, on a connection that
// was opened after the answer's end. That a connection opens shows nothing: the
// kernel accepts it for a process that is being ended.
struct SenderEvidence {
  // The server's entry, as of now, names another process.
  bool EntryChanged = false;
  uint32_t Status = 0; // of the response; 0: none came
  bool TimedOut = false;
  // Starts of the process as it reports it and as the entry stated when the
  // request was sent, in Unix milliseconds; 0: not stated.
  int64_t ReportedStart = 0;
  int64_t KnownStart = 0;
};

SenderState judgeSender(const SenderEvidence &Evidence);

// Only then is the answer taken for whole: one that is wrongly taken for cut
// can be repeated or taken up, or is visibly incomplete.
inline bool isWholeAfter(SenderState State) {
  return State == SenderState::Lives;
}

} // namespace crocusspur::gateway

#endif
