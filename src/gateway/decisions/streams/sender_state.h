// Decides whether an answer that has neither a length nor chunks, and so ends
// with its connection, was ended by the process that sent it. The kernel ends
// the connections of a process that is killed in the same way. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_SENDER_STATE_H
#define CROCUSSPUR_GATEWAY_SENDER_STATE_H

#include "crocusspur/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace crocusspur::gateway {

// Of the process that sent the answer, after the answer's end.
enum class SenderState : uint8_t {
  Lives,
  Replaced, // another process has its id or its address
  Ended,    // the kernel refuses connections, or the entry is gone
  Silent,   // no response so far
  // Responds, but nothing tells it from a successor that began after the end.
  Unidentified
};
constexpr size_t SenderStateCount = 5;
const char *nameOf(SenderState State); // name in logs and metrics

// What is known of the process while it is asked for its report, on connections
// that were opened after the answer's end. That a connection opens shows
// nothing: the kernel accepts it for a process that is being ended.
struct SenderEvidence {
  // The server's entry, as of now, names another process.
  bool EntryChanged = false;
  // For how long there has been no entry; 0: there is one.
  Milliseconds EntryGoneFor{0};
  // The kernel refused a connection: nothing listens at the address.
  bool Refused = false;
  uint32_t Status = 0; // of the response; 0: none came
  // The time for the proof is over, or the caller has left.
  bool TimedOut = false;
  // Starts of the process as it reports it and as the entry stated when the
  // request was sent, in Unix milliseconds; 0: not stated.
  int64_t ReportedStart = 0;
  int64_t KnownStart = 0;
  // The response came on a connection that was opened as the answer ended, so
  // that it leads to the process that had the address then.
  bool OpenedAtEnd = true;
  // Connections opened as the answer ended that may still bring a response.
  uint32_t LeftAtEnd = 0;
  uint32_t Unanswered = 0; // connections that closed, or didn't open
};

SenderState judgeSender(const SenderEvidence &Evidence);

// Only then is the answer taken for whole: one that is wrongly taken for cut
// can be repeated or taken up, or is visibly incomplete.
inline bool isWholeAfter(SenderState State) {
  return State == SenderState::Lives;
}

enum class SenderStep : uint8_t {
  Whole,
  Cut,
  Ask // wait for the response, or ask again after the pause
};

struct SenderDecision {
  SenderStep Step = SenderStep::Cut;
  SenderState State = SenderState::Silent;
  Milliseconds Pause{0}; // before a new connection is asked
};

SenderDecision decideOnSender(const SenderEvidence &Evidence);

// How long the proof of an answer may be waited for, of the time that its
// request has left. `MayRunElsewhere`: another run can replace the answer, and
// needs time too.
Milliseconds proofTime(Milliseconds Left, bool MayRunElsewhere);

} // namespace crocusspur::gateway

#endif
