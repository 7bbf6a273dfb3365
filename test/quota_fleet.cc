#include "quota_fleet.h"

#include "crocusspur/instance_list.h"
#include "virtual_time.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocusspur::test {
namespace {

using namespace crocusspur::gateway;

constexpr int64_t Never = std::numeric_limits<int64_t>::max();
// As in MemberTable: when a member that nobody has seen counts as lost, and how
// long news about members takes.
constexpr int64_t MemberRetentionMs = 10000;
constexpr int64_t MaxLossSpreadMs = 1500;
// Seeds are contacted first.
constexpr int64_t MaxSeedJoinSpreadMs = 800;
constexpr int64_t ConfigApplyMs = 3000;
constexpr int64_t WorkerPeriodMs = 250;
// Assumed until a member is known and for 3 s afterwards.
constexpr uint32_t DefaultSharers = 64;
constexpr int64_t DiscoveryMs = 3000;
// As in FleetDiscovery: peers that have discovered the fleet later are no
// evidence of a fleet that ran before.
constexpr int64_t ElderMs = 1500;
constexpr int64_t DiscoverPeriodMs = 20;
// For at most this long a request waits for the documents.
constexpr int64_t MaxDocumentWaitMs = 600;

std::string nameOf(size_t Index) { return "edge-" + std::to_string(Index); }

} // namespace

QuotaFleet::QuotaFleet(const QuotaScenario &Scenario)
    : Scenario(Scenario), Random(Scenario.Seed), Instances(Scenario.Instances) {
  // Two accounts of the smallest size, one of them without a burst, and a
  // larger one.
  for (auto [rate, burst] :
       {std::pair{47000.0, 0.0}, {120000.0, 60000.0}, {400000.0, 400000.0}}) {
    AccountState account;
    account.Record.Name = "account-" + std::to_string(Accounts.size()) + "-" +
                          std::to_string(Scenario.Seed);
    account.Record.Quota = {rate, burst, 200};
    account.Rate = rate;
    std::vector<std::string> names;
    for (size_t i = 0; i < Instances.size(); ++i)
      names.push_back(nameOf(i));
    for (const std::string &it :
         rankByRendezvous("account:" + account.Record.Name, names))
      account.Rank.push_back(std::stoul(it.substr(5)));
    Accounts.push_back(std::move(account));
  }
  for (size_t i = 0; i < Instances.size(); ++i) {
    Instance &it = Instances[i];
    it.VisibleFrom.assign(Instances.size(), -60000);
    it.VisibleFrom[i] = Never; // the others only
    it.HiddenFrom.assign(Instances.size(), Never);
    // A few instances get several times the connections of others.
    it.Weight = uniform(0, 1) < 0.15 ? uniform(3, 6) : uniform(0.3, 1.5);
    it.ConfigDelay = static_cast<int64_t>(uniform(0, ConfigApplyMs));
    it.Seen = Instances.size();
    it.MaxSeen = static_cast<uint32_t>(Instances.size());
    make(i);
  }
}

void QuotaFleet::make(size_t Index) {
  QuotaRules rules;
  rules.ToleranceTokens = Scenario.ToleranceTokens;
  Instances[Index].Quotas = std::make_unique<AccountQuotas>(
      nameOf(Index), rules, [this] { return uniform(0, 1); },
      [this] { return test::at(NowMs); });
  QuotaSharing sharing;
  sharing.FindHome = [this, Index](const std::string &Name) -> KeyOwner {
    auto account = std::ranges::find(
        Accounts, Name, [](const auto &It) { return It.Record.Name; });
    const std::vector<int64_t> &visible = Instances[Index].VisibleFrom;
    if (std::ranges::none_of(visible, [&](int64_t It) { return It <= NowMs; }))
      return {}; // has seen nobody yet
    for (size_t it : account->Rank)
      if (it == Index)
        return {nameOf(it), "", true};
      else if (sees(Index, it))
        return {nameOf(it), nameOf(it), true};
    return {};
  };
  sharing.FindSeeds = [this, Index](const std::string &Name) {
    auto account = std::ranges::find(
        Accounts, Name, [](const auto &It) { return It.Record.Name; });
    std::vector<KeyOwner> seeds;
    for (size_t it : account->Rank)
      if (it < Scenario.Seeds)
        seeds.push_back({nameOf(it), it == Index ? "" : nameOf(it), true});
    return seeds;
  };
  sharing.Fleet = [this, Index] { return fleetOf(Index); };
  sharing.AskHome = [this,
                     Index](const std::string &Address,
                            const QuotaAsk &Ask) -> std::optional<QuotaGrant> {
    size_t home = std::stoul(Address.substr(5));
    ++Exchanges;
    if (!reaches(Index, home))
      return std::nullopt;
    if (Instances[home].ReadyMs > NowMs) {
      QuotaGrant unknown;
      unknown.Known = false;
      return unknown;
    }
    std::optional<QuotaGrant> grant = Instances[home].Quotas->decide(Ask);
    return uniform(0, 1) < Scenario.LostResponses ? std::nullopt : grant;
  };
  sharing.FindQuota = [this, Index](const std::string &Name) {
    auto account = std::ranges::find(
        Accounts, Name, [](const auto &It) { return It.Record.Name; });
    return std::optional(
        quotaAt(static_cast<size_t>(account - Accounts.begin()), Index));
  };
  Instances[Index].Quotas->setSharing(std::move(sharing), /*Thread=*/false);
}

bool QuotaFleet::sees(size_t From, size_t To) const {
  const Instance &it = Instances[From];
  return it.VisibleFrom[To] <= NowMs && NowMs < it.HiddenFrom[To];
}

bool QuotaFleet::reaches(size_t From, size_t To) const {
  return Instances[To].Running && !Instances[To].Frozen &&
         Instances[From].CutOff == Instances[To].CutOff;
}

FleetView QuotaFleet::fleetOf(size_t Index) {
  Instance &it = Instances[Index];
  size_t seen = 1;
  for (size_t i = 0; i < Instances.size(); ++i)
    seen += i != Index && sees(Index, i) ? 1 : 0;
  if (seen != it.Seen)
    it.ChangedMs = NowMs;
  it.Seen = seen;
  it.MaxSeen = std::max(it.MaxSeen, static_cast<uint32_t>(seen));
  FleetView view;
  view.Alive = static_cast<uint32_t>(seen);
  bool discovered = it.DiscoveredMs <= NowMs;
  view.Expected = std::max(it.MaxSeen, discovered ? 1 : DefaultSharers);
  view.ChangedAt = test::at(it.ChangedMs);
  view.Discovered = discovered;
  view.StartedWithFleet = it.FirstHeardMs <= NowMs && !it.HasElder;
  for (size_t i = 0; i < Scenario.Seeds; ++i)
    if (i == Index || sees(Index, i))
      it.SeenSeeds.insert(i);
  view.SeedPart = static_cast<double>(it.SeenSeeds.size()) /
                  static_cast<double>(Scenario.Seeds);
  return view;
}

AccountQuota QuotaFleet::quotaAt(size_t Account, size_t Index) const {
  const AccountState &account = Accounts[Account];
  AccountQuota quota = account.Record.Quota;
  for (const auto &[at, rate] : account.Changes)
    if (NowMs >= at + Instances[Index].ConfigDelay)
      quota.TokensPerSecond = rate;
  return quota;
}

void QuotaFleet::at(int64_t Ms, std::function<void()> Event) {
  Events.emplace_back(Ms, std::move(Event));
}

void QuotaFleet::hide(size_t Whom, const std::function<bool(size_t)> &From) {
  for (size_t i = 0; i < Instances.size(); ++i)
    if (i != Whom && From(i))
      Instances[i].HiddenFrom[Whom] =
          NowMs + MemberRetentionMs +
          static_cast<int64_t>(uniform(0, MaxLossSpreadMs));
}

void QuotaFleet::kill(size_t Index) {
  Instances[Index].Running = false;
  hide(Index, [](size_t) { return true; });
}

void QuotaFleet::meet(size_t From, size_t To) {
  int64_t spread = To < Scenario.Seeds || From < Scenario.Seeds
                       ? std::min(Scenario.JoinSpreadMs, MaxSeedJoinSpreadMs)
                       : Scenario.JoinSpreadMs;
  Instances[From].VisibleFrom[To] =
      NowMs + static_cast<int64_t>(uniform(50, static_cast<double>(spread)));
}

void QuotaFleet::start(size_t Index) {
  Instance &it = Instances[Index];
  it.Running = true;
  it.Frozen = false;
  it.MaxSeen = 1;
  it.Seen = 1;
  it.ChangedMs = NowMs;
  it.ReadyMs = Scenario.AwaitsDocuments
                   ? NowMs + 200 +
                         static_cast<int64_t>(
                             std::min(900., -360 * std::log(uniform(0.001, 1))))
                   : NowMs;
  it.FirstHeardMs = Never;
  it.DiscoveredMs = Never;
  it.HasElder = false;
  it.LearnDelay = static_cast<int64_t>(uniform(50, 500));
  it.SeenSeeds.clear();
  for (size_t i = 0; i < Instances.size(); ++i) {
    if (i == Index)
      continue;
    // A new process knows nobody, and hears of those that ended from peers that
    // haven't noticed it.
    it.VisibleFrom[i] = Never;
    it.HiddenFrom[i] = Never;
    if (!Instances[i].Running) {
      for (size_t peer = 0; peer < Instances.size(); ++peer)
        if (peer != Index && Instances[peer].Running &&
            Instances[peer].CutOff == it.CutOff && sees(peer, i)) {
          meet(Index, i);
          it.HiddenFrom[i] = Instances[peer].HiddenFrom[i];
          break;
        }
      continue;
    }
    if (Instances[i].CutOff != it.CutOff)
      continue;
    meet(Index, i);
    // Those that haven't noticed its end still know it.
    if (!sees(i, Index))
      meet(i, Index);
    Instances[i].HiddenFrom[Index] = Never;
  }
  make(Index);
}

void QuotaFleet::discover() {
  for (size_t i = 0; i < Instances.size(); ++i) {
    Instance &it = Instances[i];
    if (!it.Running || it.DiscoveredMs <= NowMs)
      continue;
    for (size_t j = 0; j < Instances.size(); ++j) {
      if (i == j || !sees(i, j) || !reaches(i, j))
        continue;
      it.FirstHeardMs = std::min(it.FirstHeardMs, NowMs);
      const Instance &peer = Instances[j];
      if (!Scenario.LearnsFromPeers || peer.DiscoveredMs > NowMs)
        continue;
      it.HasElder = it.HasElder || NowMs - it.FirstHeardMs < ElderMs;
      it.DiscoveredMs = std::min(
          it.DiscoveredMs, std::max(NowMs, peer.DiscoveredMs) + it.LearnDelay);
      for (size_t k = 0; k < Instances.size(); ++k)
        if (k != i && sees(j, k))
          it.VisibleFrom[k] = std::min(it.VisibleFrom[k], it.DiscoveredMs);
      break;
    }
    if (it.FirstHeardMs != Never)
      it.DiscoveredMs =
          std::min(it.DiscoveredMs, it.FirstHeardMs + DiscoveryMs);
  }
}

void QuotaFleet::freeze(size_t Index) {
  Instances[Index].Frozen = true;
  hide(Index, [](size_t) { return true; });
}

void QuotaFleet::thaw(size_t Index) {
  Instance &it = Instances[Index];
  it.Frozen = false;
  for (size_t i = 0; i < Instances.size(); ++i) {
    if (i == Index)
      continue;
    if (!sees(i, Index))
      meet(i, Index);
    Instances[i].HiddenFrom[Index] = Never;
  }
}

void QuotaFleet::cutOff(size_t Index) {
  Instances[Index].CutOff = true;
  for (size_t i = 0; i < Instances.size(); ++i) {
    if (i == Index)
      continue;
    bool together = Instances[i].CutOff;
    for (auto [from, to] : {std::pair{i, Index}, {Index, i}})
      Instances[from].HiddenFrom[to] =
          together ? Never
                   : NowMs + MemberRetentionMs +
                         static_cast<int64_t>(uniform(0, MaxLossSpreadMs));
  }
}

void QuotaFleet::heal() {
  for (size_t i = 0; i < Instances.size(); ++i)
    for (size_t j = 0; j < Instances.size(); ++j) {
      if (i == j || Instances[i].CutOff == Instances[j].CutOff)
        continue;
      if (!sees(i, j))
        meet(i, j);
      Instances[i].HiddenFrom[j] = Never;
    }
  for (Instance &it : Instances)
    it.CutOff = false;
}

void QuotaFleet::retryStreams(int64_t FromMs) {
  for (size_t i = 0; i < Accounts.size(); ++i)
    for (const Request &it : Accounts[i].Requests)
      if (it.Run && it.EndsMs > NowMs)
        at(FromMs + static_cast<int64_t>(uniform(0, 1000)),
           [this, i, tokens = it.Tokens] { submit(i, tokens); });
}

void QuotaFleet::setRate(size_t Account, double TokensPerSecond) {
  Accounts[Account].Changes.emplace_back(NowMs, TokensPerSecond);
}

void QuotaFleet::absentUntilStarted(size_t From) {
  for (size_t i = 0; i < Instances.size(); ++i) {
    Instances[i].Running = i < From;
    Instances[i].Seen = From;
    Instances[i].MaxSeen = static_cast<uint32_t>(From);
    for (size_t j = From; j < Instances.size(); ++j)
      Instances[i].VisibleFrom[j] = Never;
    for (size_t j = 0; j < Scenario.Seeds; ++j)
      Instances[i].SeenSeeds.insert(j);
  }
}

size_t QuotaFleet::homeOf(size_t Account) const {
  return *std::ranges::find_if(Accounts[Account].Rank, [this](size_t It) {
    return Instances[It].Running;
  });
}

double QuotaFleet::demandOf(size_t Account) const {
  const AccountState &account = Accounts[Account];
  bool peak = Account + 1 == Accounts.size() && NowMs >= Scenario.PeakFromMs &&
              NowMs < Scenario.PeakToMs;
  return account.Rate * Scenario.Load * (peak ? Scenario.Peak : 1);
}

void QuotaFleet::send(size_t Account) {
  AccountState &account = Accounts[Account];
  // Three of ten requests are streams, with nearly all of the tokens.
  bool stream = uniform(0, 1) < 0.3;
  auto tokens = stream ? static_cast<uint64_t>(uniform(5600, 6400)) : 200;
  constexpr double MeanTokens = 0.3 * 6000 + 0.7 * 200;
  double perMs = demandOf(Account) / MeanTokens / 1000;
  account.NextMs += std::exponential_distribution<double>(perMs)(Random);
  submit(Account, tokens);
}

void QuotaFleet::submit(size_t Account, uint64_t Tokens) {
  double sum = 0;
  for (const Instance &it : Instances)
    sum += it.Running && !it.Frozen ? it.Weight : 0;
  double place = uniform(0, sum);
  size_t chosen = Instances.size();
  for (size_t i = 0; i < Instances.size(); ++i)
    if (Instances[i].Running && !Instances[i].Frozen) {
      chosen = i;
      place -= Instances[i].Weight;
      if (place <= 0)
        break;
    }
  if (chosen == Instances.size())
    return; // nobody runs
  int64_t wait = Instances[chosen].ReadyMs - NowMs;
  if (wait > MaxDocumentWaitMs)
    return; // refused, but not for its quota
  if (wait > 0)
    at(NowMs + wait,
       [this, Account, Tokens, chosen] { decide(Account, Tokens, chosen); });
  else
    decide(Account, Tokens, chosen);
}

void QuotaFleet::decide(size_t Account, uint64_t Tokens, size_t Chosen,
                        int64_t WaitedMs) {
  AccountState &account = Accounts[Account];
  ClientAccount record = account.Record;
  record.Quota = quotaAt(Account, Chosen);
  QuotaDecision decision = Instances[Chosen].Quotas->tryAdmit(
      record, Tokens, Milliseconds(WaitedMs));
  if (int64_t wait = decision.AskAgain.count(); wait > 0) {
    at(NowMs + wait, [this, Account, Tokens, Chosen, WaitedMs, wait] {
      decide(Account, Tokens, Chosen, WaitedMs + wait);
    });
    return;
  }
  int64_t runs = Tokens > 200 ? static_cast<int64_t>(uniform(1000, 4000)) : 0;
  account.Requests.push_back(
      {NowMs, Tokens, decision.Admitted, decision.Admitted, NowMs + runs});
  if (!decision.Admitted || uniform(0, 1) >= Scenario.NotRunPart)
    return;
  account.Requests.back().Run = false;
  at(NowMs + static_cast<int64_t>(uniform(100, 3000)),
     [this, Chosen, Tokens, decision, name = record.Name] {
       Instances[Chosen].Quotas->giveBack(name, Tokens, decision);
     });
}

void QuotaFleet::run() {
  for (NowMs = 0; NowMs < Scenario.EndMs; ++NowMs) {
    if (NowMs % DiscoverPeriodMs == 0)
      discover();
    for (size_t i = 0; i < Events.size(); ++i)
      if (Events[i].first == NowMs) {
        std::function<void()> event = std::move(Events[i].second);
        event();
        Events[i].first = -1;
      }
    if (NowMs % WorkerPeriodMs == 0) {
      std::erase_if(Events, [](const auto &It) { return It.first < 0; });
      for (Instance &it : Instances)
        if (it.Running && !it.Frozen)
          it.Quotas->sendDue();
    }
    for (size_t i = 0; i < Accounts.size(); ++i)
      while (Accounts[i].NextMs <= static_cast<double>(NowMs))
        send(i);
  }
}

QuotaOutcome QuotaFleet::outcome(size_t Account, int64_t FromMs,
                                 int64_t ToMs) const {
  const AccountState &account = Accounts[Account];
  QuotaRules rules;
  rules.ToleranceTokens = Scenario.ToleranceTokens;
  AccountQuota quota = account.Record.Quota;
  if (!account.Changes.empty() && account.Changes.back().first < FromMs)
    quota.TokensPerSecond = account.Changes.back().second;
  QuotaOutcome result;
  double sum = 0;
  size_t first = 0;
  for (size_t i = 0; i < account.Requests.size(); ++i) {
    const Request &it = account.Requests[i];
    if (it.SentMs < FromMs || it.SentMs >= ToMs) {
      first = it.SentMs < FromMs ? i + 1 : first;
      continue;
    }
    ++result.Sent;
    result.Refused += it.Admitted ? 0 : 1;
    result.SentTokens += static_cast<double>(it.Tokens);
    if (!it.Run)
      continue;
    result.RunTokens += static_cast<double>(it.Tokens);
    sum += static_cast<double>(it.Tokens);
    for (; account.Requests[first].SentMs <= it.SentMs - rules.Window.count();
         ++first)
      sum -= account.Requests[first].Run
                 ? static_cast<double>(account.Requests[first].Tokens)
                 : 0;
    result.MostOfAllowed =
        std::max(result.MostOfAllowed, sum / rules.allowed(quota));
  }
  return result;
}

} // namespace crocusspur::test
