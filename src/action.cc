#include "crocusspur/action.h"

namespace crocusspur {

const char *toString(DecisionKind Kind) {
  switch (Kind) {
  case DecisionKind::Admitted:
    return "admitted";
  case DecisionKind::Shed:
    return "shed";
  case DecisionKind::PrefillStarted:
    return "prefill_started";
  case DecisionKind::PrefillWasted:
    return "prefill_wasted";
  case DecisionKind::DecodeStarted:
    return "decode_started";
  case DecisionKind::Completed:
    return "completed";
  case DecisionKind::Cancelled:
    return "cancelled";
  case DecisionKind::Failed:
    return "failed";
  case DecisionKind::Replaced:
    return "replaced";
  case DecisionKind::LeaseLapsed:
    return "lease_lapsed";
  case DecisionKind::OrphanCancelled:
    return "orphan_cancelled";
  case DecisionKind::OwnershipGained:
    return "ownership_gained";
  case DecisionKind::OwnershipLost:
    return "ownership_lost";
  case DecisionKind::ConfigInForce:
    return "config_in_force";
  case DecisionKind::ConfigRefused:
    return "config_refused";
  case DecisionKind::ListInForce:
    return "list_in_force";
  case DecisionKind::KeyRefused:
    return "key_refused";
  case DecisionKind::KeyReplayed:
    return "key_replayed";
  case DecisionKind::ServerCrashed:
    return "server_crashed";
  case DecisionKind::SuspectRefused:
    return "suspect_refused";
  case DecisionKind::PeerUp:
    return "peer_up";
  case DecisionKind::PeerDown:
    return "peer_down";
  case DecisionKind::PauseDetected:
    return "pause_detected";
  case DecisionKind::Drained:
    return "drained";
  }
  return "unknown";
}

} // namespace crocusspur
