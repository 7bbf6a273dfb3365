// Settings of a gateway process. An adapter fills the first part from the
// operators' settings; the second part is independent of the adapter.
#ifndef CROCUSSPUR_GATEWAY_SETTINGS_H
#define CROCUSSPUR_GATEWAY_SETTINGS_H

#include "crocusspur/errors.h"
#include "crocusspur/types.h"
#include "gateway/decisions/accounts/access_check.h"
#include "gateway/decisions/accounts/quota_bucket.h"
#include "gateway/decisions/fleet/propagation_budget.h"
#include "gateway/decisions/placement/pace_table.h"
#include "gateway/decisions/shared_retry_budget.h"

#include <string>
#include <vector>

namespace crocusspur::gateway {

struct GatewaySettings {
  std::string Instance;
  std::string FailureDomain;
  std::string CallerAddress; // "IP:port", as all addresses here
  std::string ReadyAddress;  // empty: disabled
  std::string PeerAddress;
  std::string MetricsAddress;             // empty: disabled
  std::vector<std::string> SeedAddresses; // peers to contact first
  std::string StoreAddress;               // of the published documents
  size_t MemoryBytes = 0;           // that the process may use; 0: not stated
  Milliseconds ShutdownLimit{8000}; // from SIGTERM to the end of the process
  RetryAllowance Retries;
  PaceSettings Pace; // of servers
  // Time after the store recovers in which expired entries may be registered
  // again.
  Milliseconds RestoredEntryGrace{2000};
  // Maximum time for which a leaving server may get new requests.
  Milliseconds MaxDrainTime{2000};
  AccessPolicy Access;
  // Within which a configuration is in force at instances in touch, from its
  // acknowledgement by the store.
  Milliseconds ConfigApplyTime{3000};
  QuotaRules Quotas{.ToleranceTokens = 190000};

  std::string LogLevel = "info";
};

} // namespace crocusspur::gateway

#endif
