#include "gateway/decisions/streams/sender_state.h"

namespace crocusspur::gateway {
namespace {

// The call names the server that it is for; another one refuses it so.
constexpr uint32_t MisdirectedStatus = 421;

} // namespace

const char *nameOf(SenderState State) {
  switch (State) {
  case SenderState::Lives:
    return "lives";
  case SenderState::Replaced:
    return "replaced";
  case SenderState::Ended:
    return "ended";
  case SenderState::Silent:
    break;
  }
  return "silent";
}

SenderState judgeSender(const SenderEvidence &Evidence) {
  if (Evidence.EntryChanged)
    return SenderState::Replaced;
  if (Evidence.Status == 0)
    return Evidence.TimedOut ? SenderState::Silent : SenderState::Ended;
  bool isOther = Evidence.ReportedStart != 0 && Evidence.KnownStart != 0 &&
                 Evidence.ReportedStart != Evidence.KnownStart;
  if (isOther || Evidence.Status == MisdirectedStatus)
    return SenderState::Replaced;
  // Any other response, a refusal too, is the named server's.
  return SenderState::Lives;
}

} // namespace crocusspur::gateway
