// Measures what quotas of client accounts cost a gateway instance: an admission
// without a limit, at the home, from a lease, and from the local share, with
// 5,200 accounts; the memory of one account; and the bytes of the exchanges.
// Prints one JSON line for each; times are in nanoseconds of one core.
#include "bench_timing.h"
#include "gateway/accounts/account_quotas.h"
#include "gateway/member_codec.h"

#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

namespace crocusspur::bench {
namespace {

using namespace crocusspur::gateway;

constexpr size_t AccountCount = 5200;

std::vector<ClientAccount> makeAccounts(double TokensPerSecond) {
  std::vector<ClientAccount> all(AccountCount);
  for (size_t i = 0; i < AccountCount; ++i) {
    all[i].Name = "account-" + std::to_string(100000 + i);
    all[i].Quota = {TokensPerSecond, TokensPerSecond, 200};
  }
  return all;
}

enum class Home : uint8_t { Own, Other, Unknown };

void measure(const char *What, double TokensPerSecond, Home Place) {
  std::vector<ClientAccount> accounts = makeAccounts(TokensPerSecond);
  AccountQuotas quotas("edge-hall-a-1");
  QuotaSharing sharing;
  sharing.FindHome = [&](const std::string &) {
    return Place == Home::Own ? KeyOwner{"edge-hall-a-1", "", true}
                              : KeyOwner{"edge-hall-a-2", "10.1.64.14:8720",
                                         Place == Home::Other};
  };
  sharing.AskHome = [](const std::string &, const QuotaAsk &Ask) {
    return QuotaGrant{Ask.WantedTokens + Ask.ExtraTokens, Milliseconds(1250)};
  };
  quotas.setSharing(std::move(sharing));
  size_t before = mallinfo2().uordblks;
  uint64_t admitted = 0;
  for (const ClientAccount &it : accounts)
    admitted += quotas.admit(it, 200).Admitted;
  size_t bytes = mallinfo2().uordblks - before;
  size_t next = 0;
  double time = nanosecondsOf(
      [&] { admitted += quotas.admit(accounts[next++ % 16], 200).Admitted; });
  quotas.stop();
  AccountQuotas::Counters counts = quotas.counters();
  std::cout << "{\"what\":\"" << What << "\",\"ns\":" << time
            << ",\"admitted\":" << counts.Admitted
            << ",\"refused\":" << counts.Refused
            << ",\"exchanges\":" << counts.Asked
            << ",\"bytes_per_account\":" << bytes / AccountCount << "}\n";
}

void measureBytes() {
  MemberFrame plain;
  plain.Sender.Name = "edge-hall-a-1";
  plain.Sender.Address = "10.1.64.13:8720";
  plain.Sender.FailureDomain = "hall-a";
  plain.Sender.Incarnation = 0x9c41d07be2a35f68;
  MemberFrame request = plain;
  request.WantedLease = QuotaAsk{
      "account-100000", 6000, 800, 12600, 5100.5, 250, Milliseconds(900)};
  MemberFrame response = plain;
  response.Lease = QuotaGrant{6500, Milliseconds(1250), Milliseconds(40), 0.25};
  std::cout << "{\"what\":\"bytes\",\"request\":" << encode(request).size()
            << ",\"response\":" << encode(response).size() << "}\n";
}

} // namespace
} // namespace crocusspur::bench

int main() {
  using namespace crocusspur::bench;
  measure("no_limit", 0, Home::Own);
  measure("at_home", 1e12, Home::Own);
  measure("from_lease", 1e12, Home::Other);
  measure("local_share", 1e12, Home::Unknown);
  measureBytes();
  return 0;
}
