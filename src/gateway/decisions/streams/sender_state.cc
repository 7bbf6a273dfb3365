#include "gateway/decisions/streams/sender_state.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// The call names the server that it is for; another one refuses it so.
constexpr uint32_t MisdirectedStatus = 421;
// Others may be refusals, which state no start.
constexpr uint32_t ReportStatus = 200;
// An entry that has lapsed while its server was stopped is written again with
// the next heartbeat.
constexpr Milliseconds GoneEntryTime{2000};
constexpr Milliseconds MinPause{50};
constexpr Milliseconds MaxPause{800};
constexpr uint32_t MaxDoublings = 4; // from the first to the second
// For the end of the answer to reach the caller.
constexpr Milliseconds EndTime{100};

Milliseconds pauseAfter(uint32_t Unanswered) {
  if (Unanswered == 0)
    return Milliseconds(0);
  return std::min(MaxPause,
                  MinPause * (1 << std::min(Unanswered - 1, MaxDoublings)));
}

} // namespace

const char *nameOf(SenderState State) {
  switch (State) {
  case SenderState::Lives:
    return "lives";
  case SenderState::Replaced:
    return "replaced";
  case SenderState::Ended:
    return "ended";
  case SenderState::Unidentified:
    return "unidentified";
  case SenderState::Silent:
    break;
  }
  return "silent";
}

SenderState judgeSender(const SenderEvidence &Evidence) {
  if (Evidence.EntryChanged)
    return SenderState::Replaced;
  bool comparable = Evidence.ReportedStart != 0 && Evidence.KnownStart != 0;
  if (Evidence.Status == MisdirectedStatus ||
      (comparable && Evidence.ReportedStart != Evidence.KnownStart))
    return SenderState::Replaced;
  // Any other response, a refusal too, is the named server's.
  if (Evidence.Status != 0)
    return comparable || Evidence.OpenedAtEnd ? SenderState::Lives
                                              : SenderState::Unidentified;
  if (Evidence.Refused || Evidence.EntryGoneFor >= GoneEntryTime)
    return SenderState::Ended;
  return SenderState::Silent;
}

SenderDecision decideOnSender(const SenderEvidence &Evidence) {
  SenderDecision decision;
  decision.State = judgeSender(Evidence);
  if (isWholeAfter(decision.State)) {
    decision.Step = SenderStep::Whole;
    return decision;
  }
  bool isOpen = decision.State == SenderState::Silent ||
                (decision.State == SenderState::Unidentified &&
                 Evidence.Status != ReportStatus);
  // Later connections may lead to a successor, which only a start shows.
  bool mayShow = Evidence.KnownStart != 0 || Evidence.LeftAtEnd > 0;
  if (isOpen && mayShow && !Evidence.TimedOut) {
    decision.Step = SenderStep::Ask;
    decision.Pause = pauseAfter(Evidence.Unanswered);
  }
  return decision;
}

Milliseconds proofTime(Milliseconds Left, bool MayRunElsewhere) {
  return MayRunElsewhere ? Left / 2 : std::max(Left - EndTime, Left / 2);
}

} // namespace crocusspur::gateway
