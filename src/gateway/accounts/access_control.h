// Checks the keys of requests against the accounts of a configuration, and
// counts the outcomes. Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_ACCESS_CONTROL_H
#define CROCUSSPUR_GATEWAY_ACCESS_CONTROL_H

#include "gateway/decisions/accounts/access_check.h"
#include "gateway/decisions/route_table.h"
#include "gateway/http_codec.h"

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace crocusspur::gateway {

class AccessControl {
public:
  // How long ago the store had the accounts that this instance knows; see
  // StoreReaders::confirmedAgo().
  using KnowledgeAge = std::function<std::optional<Milliseconds>()>;

  // The codec must outlive this object.
  AccessControl(const HttpCodec &Codec, AccessPolicy Policy, KnowledgeAge Age)
      : Codec(Codec), Age(std::move(Age)), FailClosed(Policy.FailClosed),
        MaxAge(Policy.MaxAge) {}

  // Decides whether the request may run. The first check by a configuration
  // with accounts takes the key out of the request, so that nothing passes it
  // on; each names the account that holds the key then. Without accounts the
  // request isn't changed.
  AccessVerdict check(CallerRequest &Request, const RouteDocument &Document,
                      const PathRoute &Route);

  AccessPolicy policy() const { return {FailClosed.load(), MaxAge.load()}; }
  void setPolicy(const AccessPolicy &Policy);

  // Requests refused with this verdict.
  uint64_t refused(AccessVerdict Verdict) const {
    return Refused[static_cast<size_t>(Verdict)].load();
  }
  // Returns the policy, the numbers of accounts and keys, and what was refused,
  // as JSON.
  std::string dump(const AccountTable &Accounts) const;

private:
  const HttpCodec &Codec;
  const KnowledgeAge Age;
  std::atomic<bool> FailClosed;
  std::atomic<Milliseconds> MaxAge;
  std::array<std::atomic<uint64_t>, AccessVerdictCount> Refused{};
};

} // namespace crocusspur::gateway

#endif
