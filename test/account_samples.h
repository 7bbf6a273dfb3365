// Client accounts for tests.
#ifndef CROCUSSPUR_TEST_ACCOUNT_SAMPLES_H
#define CROCUSSPUR_TEST_ACCOUNT_SAMPLES_H

#include "gateway/decisions/accounts/account_table.h"

#include <optional>
#include <string>
#include <vector>

namespace crocusspur::test {

inline gateway::AccountEntry
accountOf(const std::string &Name, const std::vector<std::string> &Keys,
          std::optional<uint32_t> Priority = std::nullopt) {
  gateway::AccountEntry entry;
  entry.Account.Name = Name;
  entry.Account.Priority = Priority;
  for (const std::string &it : Keys)
    entry.Keys.push_back(internal::sha256(it));
  return entry;
}

} // namespace crocusspur::test

#endif
