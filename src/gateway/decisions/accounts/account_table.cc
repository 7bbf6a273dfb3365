#include "gateway/decisions/accounts/account_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusspur::gateway {

using internal::Sha256Digest;

// The name is sent in a header field, where a control character would end the
// field or make it invalid, and surrounding spaces are lost.
bool isAccountNameSendable(std::string_view Name) {
  return !Name.empty() && Name.front() != ' ' && Name.back() != ' ' &&
         std::ranges::none_of(Name, [](char It) {
           auto c = static_cast<unsigned char>(It);
           return c < 0x20 || c == 0x7f;
         });
}

std::vector<FaultyAccount>
findAccountFaults(const std::vector<AccountEntry> &Entries) {
  std::vector<FaultyAccount> faults;
  std::set<std::string_view> names;
  std::set<Sha256Digest> keys;
  for (size_t i = 0; i < Entries.size(); ++i) {
    const AccountEntry &entry = Entries[i];
    if (entry.Account.Name.empty())
      faults.push_back({i, AccountFault::InvalidName, 0});
    else if (!names.insert(entry.Account.Name).second)
      faults.push_back({i, AccountFault::DuplicateName, 0});
    for (size_t key = 0; key < entry.Keys.size(); ++key)
      if (!keys.insert(entry.Keys[key]).second)
        faults.push_back({i, AccountFault::DuplicateKey, key});
  }
  return faults;
}

AccountTable::AccountTable(std::vector<AccountEntry> Entries) {
  Accounts.reserve(Entries.size());
  ByName.reserve(Entries.size());
  for (AccountEntry &it : Entries) {
    auto index = static_cast<uint32_t>(Accounts.size());
    for (const Sha256Digest &key : it.Keys)
      Keys.push_back({key, index});
    ByName.emplace(it.Account.Name, index);
    Priorities.insert(it.Account.Priority);
    Accounts.push_back(std::move(it.Account));
  }
  std::ranges::sort(Keys, {}, &HeldKey::Digest);
}

const ClientAccount *AccountTable::findByKey(std::string_view Key) const {
  return Keys.empty() || Key.empty() ? nullptr
                                     : findByDigest(internal::sha256(Key));
}

const ClientAccount *
AccountTable::findByDigest(const Sha256Digest &Digest) const {
  auto it = std::ranges::lower_bound(Keys, Digest, {}, &HeldKey::Digest);
  if (it == Keys.end() || !internal::equalInConstantTime(it->Digest, Digest))
    return nullptr;
  return &Accounts[it->Account];
}

const ClientAccount *AccountTable::find(std::string_view Name) const {
  auto it = ByName.find(std::string(Name));
  return it == ByName.end() ? nullptr : &Accounts[it->second];
}

RequestRank requestRank(std::optional<uint32_t> AccountPriority,
                        uint32_t RoutePriority) {
  return {AccountPriority.value_or(RoutePriority), RoutePriority};
}

} // namespace crocusspur::gateway
