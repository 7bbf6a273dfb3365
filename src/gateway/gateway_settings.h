// Settings of a gateway process. An adapter fills the first part from what the
// operators give; the second part is the product's own.
#ifndef CROCUSSPUR_GATEWAY_SETTINGS_H
#define CROCUSSPUR_GATEWAY_SETTINGS_H

#include "crocusspur/errors.h"
#include "crocusspur/types.h"
#include "gateway/decisions/shared_retry_budget.h"

#include <string>
#include <vector>

namespace crocusspur::gateway {

struct GatewaySettings {
  std::string Instance;
  std::string FailureDomain;
  std::string CallerAddress; // "IP:port", as all addresses here
  std::string ReadyAddress;  // empty: not served
  std::string PeerAddress;
  std::string MetricsAddress;             // empty: not served
  std::vector<std::string> SeedAddresses; // peers to contact first
  std::string StoreAddress;               // of the published documents
  Milliseconds ShutdownLimit{8000}; // from SIGTERM to the end of the process
  RetryAllowance Retries;
  // Time after the store's return in which lapsed entries come back.
  Milliseconds RestoredEntryGrace{2000};
  // Longest time for which a server that left may get new requests.
  Milliseconds MaxDrainTime{2000};

  std::string LogLevel = "info";
};

} // namespace crocusspur::gateway

#endif
