// The client accounts of one published configuration and the keys that identify
// their callers. Answers a load of up to 5,200 accounts with a few keys each,
// of which every request names one: finding an account costs one digest and one
// comparison, whatever the number of accounts.
#ifndef CROCUSSPUR_GATEWAY_ACCOUNT_TABLE_H
#define CROCUSSPUR_GATEWAY_ACCOUNT_TABLE_H

#include "digest.h"
#include "gateway/decisions/accounts/client_account.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusspur::gateway {

// An account as published. The keys themselves aren't kept.
struct AccountEntry {
  ClientAccount Account;
  std::vector<internal::Sha256Digest> Keys;
};

enum class AccountFault : uint8_t {
  InvalidName,   // empty
  DuplicateName, // an earlier account has it
  DuplicateKey   // this account or an earlier one has it
};

struct FaultyAccount {
  size_t Index = 0; // of the entry
  AccountFault Fault = AccountFault::InvalidName;
  size_t Key = 0; // index of the key, for DuplicateKey
};

// Whether a request to a server can name the account.
bool isAccountNameSendable(std::string_view Name);

// Returns all faults for which an AccountTable can't be made, in the entries'
// order.
std::vector<FaultyAccount>
findAccountFaults(const std::vector<AccountEntry> &Entries);

// Immutable, so safe to read from any thread.
class AccountTable {
public:
  AccountTable() = default;
  // The entries have no faults, see findAccountFaults().
  explicit AccountTable(std::vector<AccountEntry> Entries);

  bool empty() const { return Accounts.empty(); } // true: nothing is checked
  size_t size() const { return Accounts.size(); }
  size_t keyCount() const { return Keys.size(); }

  // Returns the account that holds the key, or null. The pointer stays valid as
  // long as the table. The time that this takes says nothing about the keys: it
  // depends on the digest of `Key`, from which no key can be computed, and
  // digests are compared in constant time.
  const ClientAccount *findByKey(std::string_view Key) const;
  // The same for a key of which only the SHA-256 digest is kept.
  const ClientAccount *findByDigest(const internal::Sha256Digest &Digest) const;
  const ClientAccount *find(std::string_view Name) const;

  // In the published order.
  const std::vector<ClientAccount> &all() const { return Accounts; }

  // The different ranks of accounts; nothing stands for those without one.
  const std::set<std::optional<uint32_t>> &priorities() const {
    return Priorities;
  }

private:
  struct HeldKey {
    internal::Sha256Digest Digest;
    uint32_t Account; // index
  };

  std::vector<ClientAccount> Accounts;
  std::vector<HeldKey> Keys; // in the digests' order
  std::unordered_map<std::string, uint32_t> ByName;
  std::set<std::optional<uint32_t>> Priorities;
};

// Rank of a request; lower ones are more urgent. The account's rank goes before
// the route's, which decides among accounts of one rank.
struct RequestRank {
  uint32_t Account = 0; // that of the route if the account has none
  uint32_t Route = 0;

  auto operator<=>(const RequestRank &) const = default;
};

// `AccountPriority`: nothing if the request has no account, or its account has
// no rank.
RequestRank requestRank(std::optional<uint32_t> AccountPriority,
                        uint32_t RoutePriority);

} // namespace crocusspur::gateway

#endif
