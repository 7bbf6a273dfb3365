// Weighted fair order of the accounts whose requests of one rank wait at one
// instance. Does no I/O.
//
// Intended for some 16 to 5,200 accounts, one of which sends up to 7.5 times as
// much as usual for some seconds: its requests wait behind each other instead
// of in front of those of other accounts.
#ifndef CROCUSSPUR_GATEWAY_ACCOUNT_SHARES_H
#define CROCUSSPUR_GATEWAY_ACCOUNT_SHARES_H

#include <map>
#include <string>

namespace crocusspur::gateway {

class AccountShares {
public:
  // What the account has received, in requests by weight. The account with the
  // least goes first. One that was idle starts where the one that was served
  // last stood, so that it gets no credit for the time.
  double received(const std::string &Account) const;
  // A request of the account was served. `Weight` is greater than 0.
  void onServed(const std::string &Account, double Weight);

  size_t size() const { return Received.size(); }

private:
  double LastServed = 0; // what the account served last had received before
  std::map<std::string, double> Received; // accounts above `LastServed`
};

} // namespace crocusspur::gateway

#endif
