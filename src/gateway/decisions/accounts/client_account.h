// Client accounts as the operators publish them: callers who share credentials
// and a quota.
#ifndef CROCUSSPUR_GATEWAY_CLIENT_ACCOUNT_H
#define CROCUSSPUR_GATEWAY_CLIENT_ACCOUNT_H

#include "gateway/decisions/output_estimator.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocusspur::gateway {

// Tokens that an account may use through all instances together.
struct AccountQuota {
  double TokensPerSecond = 0; // 0: no limit
  double BurstTokens = 0;
  // What a request counts that doesn't state its size.
  uint64_t DefaultTokens = 1;

  bool operator==(const AccountQuota &) const = default;
};

struct ClientAccount {
  std::string Name;
  // Goes before the rank of the route; 0 is the highest.
  std::optional<uint32_t> Priority;
  AccountQuota Quota;
  // Whether this build can name it to servers and enforce its quota. Requests
  // of other accounts are refused.
  bool Supported = true;
};

// Returns what a request counts towards the quota: the tokens of its prompt and
// the maximum of its output.
inline uint64_t quotaTokens(const AccountQuota &Quota,
                            const std::optional<GenerationSize> &Size) {
  return Size ? Size->PromptTokens + Size->MaxOutputTokens
              : Quota.DefaultTokens;
}

} // namespace crocusspur::gateway

#endif
