#include "crocusspur/action.h"

namespace crocusspur {

const char *toString(NoteKind Kind) {
  switch (Kind) {
  case NoteKind::Admitted:
    return "admitted";
  case NoteKind::Shed:
    return "shed";
  case NoteKind::PrefillStarted:
    return "prefill_started";
  case NoteKind::PrefillWasted:
    return "prefill_wasted";
  case NoteKind::DecodeStarted:
    return "decode_started";
  case NoteKind::Completed:
    return "completed";
  case NoteKind::Cancelled:
    return "cancelled";
  case NoteKind::Failed:
    return "failed";
  case NoteKind::Replaced:
    return "replaced";
  case NoteKind::LeaseLapsed:
    return "lease_lapsed";
  case NoteKind::OrphanCancelled:
    return "orphan_cancelled";
  case NoteKind::OwnershipGained:
    return "ownership_gained";
  case NoteKind::OwnershipLost:
    return "ownership_lost";
  case NoteKind::ConfigInForce:
    return "config_in_force";
  case NoteKind::ConfigRefused:
    return "config_refused";
  case NoteKind::ListInForce:
    return "list_in_force";
  case NoteKind::KeyRefused:
    return "key_refused";
  case NoteKind::KeyReplayed:
    return "key_replayed";
  case NoteKind::ServerCrashed:
    return "server_crashed";
  case NoteKind::SuspectRefused:
    return "suspect_refused";
  case NoteKind::PeerUp:
    return "peer_up";
  case NoteKind::PeerDown:
    return "peer_down";
  case NoteKind::PauseDetected:
    return "pause_detected";
  case NoteKind::Drained:
    return "drained";
  }
  return "unknown";
}

} // namespace crocusspur
