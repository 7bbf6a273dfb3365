#include "gateway/decisions/account_shares.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Beyond it, accounts without a disadvantage are forgotten.
constexpr size_t MaxRemembered = 256;

} // namespace

double AccountShares::received(const std::string &Account) const {
  auto it = Received.find(Account);
  return it == Received.end() ? LastServed : std::max(LastServed, it->second);
}

void AccountShares::onServed(const std::string &Account, double Weight) {
  LastServed = received(Account);
  Received[Account] = LastServed + 1 / Weight;
  if (Received.size() > MaxRemembered)
    std::erase_if(Received,
                  [this](const auto &It) { return It.second <= LastServed; });
}

} // namespace crocusspur::gateway
