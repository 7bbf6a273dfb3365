// A fleet in virtual time whose instances divide the quotas of client accounts:
// AccountQuotas of each instance with a model of membership and exchanges, and
// callers behind an uneven load balancer. Checks the rule in each window.
#ifndef CROCUSSPUR_TEST_QUOTA_FLEET_H
#define CROCUSSPUR_TEST_QUOTA_FLEET_H

#include "gateway/accounts/account_quotas.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur::test {

struct QuotaScenario {
  size_t Instances = 61;
  uint64_t Seed = 1;
  int64_t EndMs = 26000;
  double ToleranceTokens = 0;
  // Usual demand as a part of the rate.
  double Load = 0.55;
  // The demand of the last account is multiplied by this from PeakFromMs to
  // PeakToMs.
  double Peak = 1;
  int64_t PeakFromMs = 0;
  int64_t PeakToMs = 0;
  // Part of the admitted requests that don't run and give their tokens back
  // 0.1 to 3 s later.
  double NotRunPart = 0;
  double LostResponses = 0; // part of the exchanges
  // The first instances are the seeds.
  size_t Seeds = 4;
  // Within this time after both run, two instances know each other.
  int64_t JoinSpreadMs = 3000;
  // A process that meets one that has discovered the fleet knows what that one
  // knows within half a second. Otherwise it takes 3 s to discover the fleet.
  bool LearnsFromPeers = false;
  // Time from the start of a process until it has the documents that hold the
  // accounts: 0.45 s at the median and 1.1 s at most.
  bool AwaitsDocuments = false;
};

// What became of one account's requests.
struct QuotaOutcome {
  double Sent = 0; // requests
  double Refused = 0;
  double SentTokens = 0;
  double RunTokens = 0;
  // The most tokens in a window, as a part of what is allowed.
  double MostOfAllowed = 0;
};

class QuotaFleet {
public:
  explicit QuotaFleet(const QuotaScenario &Scenario);

  void at(int64_t Ms, std::function<void()> Event);
  void run();

  // Events.
  void kill(size_t Instance);
  void start(size_t Instance); // a new process
  void freeze(size_t Instance);
  void thaw(size_t Instance);
  void cutOff(size_t Instance); // from those that aren't
  void heal();                  // ends all cuts
  // The callers of all streams that run now send them again at a time from
  // `FromMs` to a second later.
  void retryStreams(int64_t FromMs);
  // Each instance knows the quota within 3 s.
  void setRate(size_t Account, double TokensPerSecond);
  // Instances that don't run yet.
  void absentUntilStarted(size_t From);

  size_t homeOf(size_t Account) const; // by rank among running instances
  size_t accounts() const { return Accounts.size(); }
  double rateOf(size_t Account) const {
    return Accounts[Account].Record.Quota.TokensPerSecond;
  }
  double demandOf(size_t Account) const;
  // Of requests sent from one time to another; windows are checked that lie
  // between them.
  QuotaOutcome outcome(size_t Account, int64_t FromMs, int64_t ToMs) const;
  uint64_t exchanges() const { return Exchanges; }
  std::mt19937_64 &random() { return Random; }

private:
  struct Request {
    int64_t SentMs;
    uint64_t Tokens;
    bool Admitted;
    bool Run;
    int64_t EndsMs; // of a stream
  };
  struct AccountState {
    gateway::ClientAccount Record;
    double Rate = 0;          // at the start, of which demand is a part
    std::vector<size_t> Rank; // instances in rendezvous order
    std::vector<std::pair<int64_t, double>> Changes; // of the rate
    std::vector<Request> Requests;
    double NextMs = 0;
  };
  struct Instance {
    std::unique_ptr<gateway::AccountQuotas> Quotas;
    bool Running = true;
    bool Frozen = false;
    bool CutOff = false;
    double Weight = 1;                // of the load balancer
    int64_t ConfigDelay = 0;          // until a new quota is known
    std::vector<int64_t> VisibleFrom; // when the others are known
    std::vector<int64_t> HiddenFrom;
    uint32_t MaxSeen = 1;
    size_t Seen = 0;
    int64_t ChangedMs = -60000;
    int64_t ReadyMs = -60000; // when it has the documents
    int64_t FirstHeardMs = -60000;
    int64_t DiscoveredMs = -60000;
    bool HasElder = true;
    int64_t LearnDelay = 0; // from a peer that has discovered the fleet
    std::set<size_t> SeenSeeds;
  };

  void make(size_t Index);
  bool sees(size_t From, size_t To) const;
  bool reaches(size_t From, size_t To) const;
  void hide(size_t Whom, const std::function<bool(size_t)> &From);
  gateway::AccountQuota quotaAt(size_t Account, size_t Instance) const;
  gateway::FleetView fleetOf(size_t Index);
  void send(size_t Account);
  void submit(size_t Account, uint64_t Tokens);
  void decide(size_t Account, uint64_t Tokens, size_t Chosen,
              int64_t WaitedMs = 0);
  // Makes `From` learn of `To` within the time that exchanges take.
  void meet(size_t From, size_t To);
  void discover();
  double uniform(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Random);
  }

  QuotaScenario Scenario;
  std::mt19937_64 Random;
  int64_t NowMs = 0;
  std::vector<Instance> Instances;
  std::vector<AccountState> Accounts;
  std::vector<std::pair<int64_t, std::function<void()>>> Events;
  uint64_t Exchanges = 0;
};

} // namespace crocusspur::test

#endif
