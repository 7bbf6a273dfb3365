// Quotas of client accounts, for all requests of this instance. All functions
// are thread-safe.
//
// The quota of an account holds for all instances together. One of them, its
// home, holds the account's tokens; others lease tokens from it. Instances that
// can't reach the home use a share of the rate, so the sum stays near the quota
// whoever is cut off, frozen or gone. See docs/design/account-quotas.md.
#ifndef CROCUSSPUR_GATEWAY_ACCOUNT_QUOTAS_H
#define CROCUSSPUR_GATEWAY_ACCOUNT_QUOTAS_H

#include "checked_mutex.h"
#include "gateway/decisions/accounts/fleet_memory.h"
#include "gateway/decisions/accounts/lease_account.h"
#include "gateway/decisions/accounts/quota_bucket.h"
#include "gateway/decisions/member_table.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::gateway {

// Who admitted a request.
// AdmittedPart: refused without asking the home, since the account wants far
// more than it may use.
enum class QuotaSource : uint8_t { NoLimit, Home, LocalShare, AdmittedPart };

// As logged.
const char *nameOf(QuotaSource Source);

// A decision on a request of an account, and what it rests on.
struct QuotaDecision {
  bool Admitted = false;
  Milliseconds RetryAfter{0}; // if it isn't admitted
  QuotaSource Source = QuotaSource::NoLimit;
  std::string Home; // name of the home that leased the tokens
  TimePoint At;     // by quotaNow()
  // For logs: what is left of the leases, or of the home's bucket.
  int64_t TokensLeft = 0;
  // How long ago the home had last responded.
  std::optional<Milliseconds> HomeHeardAgo;
  // More than 0: not decided yet, and to be asked again after this time.
  Milliseconds AskAgain{0};
};

// Time for leases: monotonic, and it goes on while the machine is suspended, so
// that leases expire then.
TimePoint quotaNow();

// How instances reach each other's quotas.
struct QuotaSharing {
  // Returns the home of an account.
  std::function<KeyOwner(const std::string &Account)> FindHome;
  // Returns the configured seeds in the rendezvous order of the account, those
  // with an empty address are this instance. They are homes of accounts until
  // this instance has discovered the fleet.
  std::function<std::vector<KeyOwner>(const std::string &Account)> FindSeeds;
  std::function<FleetView()> Fleet;
  // Asks the home at the address; takes at most 60 ms. Returns nothing without
  // a response.
  std::function<std::optional<QuotaGrant>(const std::string &Address,
                                          const QuotaAsk &Ask)>
      AskHome;
  // The quota of an account as configured; nothing: not known.
  std::function<std::optional<AccountQuota>(const std::string &Account)>
      FindQuota;
};

// Use of one account at this instance.
struct AccountUse {
  std::string Account;
  AccountQuota Quota;
  uint64_t Admitted = 0; // requests
  uint64_t AdmittedTokens = 0;
  uint64_t Refused = 0;        // requests
  uint64_t ReturnedTokens = 0; // of requests that didn't run
  double DemandPerSecond = 0;  // tokens, at this instance
  double AccountDemand = 0;    // tokens per second at all instances
  uint64_t LeasedTokens = 0;
  std::string Home;
  bool UsesLocalShare = false;
  std::optional<Milliseconds> HomeHeardAgo;
  std::optional<double> BucketLevel; // if this instance is the home
};

class AccountQuotas {
public:
  // `Draw`: returns random numbers from 0 to 1; `Now`: the time, for tests.
  explicit AccountQuotas(std::string Instance, QuotaRules Rules = {},
                         std::function<double()> Draw = nullptr,
                         std::function<TimePoint()> Now = quotaNow);
  ~AccountQuotas() { stop(); }

  // Without it, this instance is the home of all accounts. Starts the thread
  // that leases tokens in advance, unless `Thread` is false.
  void setSharing(QuotaSharing Value, bool Thread = true);
  // Ends the thread; nobody is asked any more.
  void stop();

  // Decides on a request of so many tokens. May ask the home and wait for its
  // response. In the first 3 s of a process that hasn't discovered the fleet, a
  // request waits up to 600 ms for a home that decides and has the tokens;
  // beyond 64 such requests others don't wait.
  QuotaDecision admit(const ClientAccount &Account, uint64_t Tokens);
  // The same without that wait. `Waited`: for how long the request has waited
  // by earlier decisions. Unless `MayWait`, this decision is the last.
  QuotaDecision tryAdmit(const ClientAccount &Account, uint64_t Tokens,
                         Milliseconds Waited = Milliseconds(0),
                         bool MayWait = true);
  // Takes back the tokens of an admitted request that has not run.
  void giveBack(const std::string &Account, uint64_t Tokens,
                const QuotaDecision &Decision);
  // Decides for another instance, as the home. Returns nothing for an account
  // that this instance doesn't know.
  std::optional<QuotaGrant> decide(const QuotaAsk &Ask);

  // Sends what is due: requests for leases in advance and unused tokens. Called
  // by the thread.
  void sendDue();

  struct Counters {
    uint64_t Admitted = 0;
    uint64_t Refused = 0;
    uint64_t LocalShare = 0; // of all decisions, those without the home
    uint64_t Asked = 0;      // exchanges with homes
    uint64_t Unanswered = 0; // of these
    uint64_t Granted = 0;    // to other instances, as their home
    uint64_t Denied = 0;
    uint64_t RefusedByPart = 0; // of those refused, without asking the home
  };
  Counters counters() const;
  // Accounts with a limit that had requests here, those with most tokens first.
  std::vector<AccountUse> uses() const;
  std::string dump() const; // as JSON

private:
  struct State {
    LeaseAccount Leases;
    std::unique_ptr<QuotaBucket> Bucket; // of this instance as the home
    bool WasHome = false;                // at the last call of the bucket
    bool BeenHome = false;               // at any call of the bucket
    bool WithFleet = false;   // FleetView::StartedWithFleet of the bucket
    bool IsFirstSeed = false; // of the account's rendezvous order
    bool HomeIsSeed = false;
    AccountUse Use;
    KeyOwner Home;
    TimePoint HomeCheckedAt;
    TimePoint HomeHeardAt;
    TimePoint LoggedAt;
    bool Queued = false; // in Due
  };

  // A home that didn't respond.
  struct SilentHome {
    TimePoint Until; // isn't asked before
    Milliseconds Pause{0};
  };

  const KeyOwner &homeOf(const std::string &Account, State &Item,
                         TimePoint Now);
  // The first seed that isn't silent, while the fleet isn't discovered; nothing
  // if there is none.
  std::optional<KeyOwner> seedHome(const std::string &Account, State &Item,
                                   TimePoint Now);
  FleetView fleet(TimePoint Now);
  // The part of the rate that this instance may grant as the home, or as an
  // instance that others take for it.
  static double grantedPart(const State &Item, const FleetView &View,
                            bool IsHome);
  std::unique_ptr<QuotaBucket> newBucket(const State &Item,
                                         const FleetView &View, bool IsHome,
                                         TimePoint Now) const;
  QuotaGrant grantAsHome(State &Item, const AccountQuota &Quota,
                         const QuotaAsk &Ask, TimePoint Now);
  static std::optional<Milliseconds> heardAgo(const State &Item, TimePoint Now);
  bool isSilent(const std::string &Address, TimePoint Now) const;
  // Called with the lock, which it gives up while it asks.
  std::optional<QuotaGrant> ask(std::unique_lock<internal::OuterMutex> &Lock,
                                const KeyOwner &Home, const QuotaAsk &Ask);
  // Asks the home and, while it is a seed that doesn't decide, the next one.
  std::optional<QuotaGrant>
  askInTurn(std::unique_lock<internal::OuterMutex> &Lock,
            const ClientAccount &Account, State &Item, QuotaAsk Ask);
  void onHomeSilent(const std::string &Address, TimePoint Now);
  void decideByShare(State &Item, const AccountQuota &Quota,
                     QuotaDecision &Decision, TimePoint Now);
  void setLocalShare(const std::string &Account, State &Item, bool Value,
                     const char *Why, TimePoint Now);
  Milliseconds spread(Milliseconds Time, const State &Item,
                      const AccountQuota &Quota, TimePoint Now);
  void queue(const std::string &Account, State &Item);
  void run();

  bool waitsForHome(Milliseconds Waited, TimePoint Now);

  const std::string Instance;
  const QuotaRules Rules;
  const std::function<double()> Draw;
  const std::function<TimePoint()> Now;
  QuotaSharing Sharing;
  mutable internal::OuterMutex Mutex;
  internal::ConditionVariable Wake;
  internal::ConditionVariable WakeWaiting; // requests that wait for a home
  uint32_t Waiting = 0;
  TimePoint StartedAt;
  bool Stopping = false;
  // Entries aren't removed, since requests use theirs while they ask.
  std::map<std::string, State> Accounts;
  std::vector<std::string> Due;  // accounts to lease for in advance
  std::set<std::string> Watched; // accounts with leases or returns
  std::map<std::string, SilentHome> SilentHomes; // by address
  FleetView Fleet;
  TimePoint FleetCheckedAt;
  TimePoint DiscoveredAt; // when this process had discovered the fleet
  TimePoint LogPeriodStart;
  uint32_t LoggedInPeriod = 0;
  uint32_t SuppressedLines = 0;
  Counters Counts;
  std::thread Thread;
};

} // namespace crocusspur::gateway

#endif
