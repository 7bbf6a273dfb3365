#include "gateway/accounts/account_quotas.h"

#include "json_text.h"
#include "log.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <random>
#include <utility>

namespace crocusspur::gateway {
namespace {

using internal::log;
using internal::LogLevel;

// For how long the home of an account is looked up only once. Ranking a fleet
// of 400 takes some 50 microseconds.
constexpr Milliseconds HomeCheckPeriod{500};
// The same for what is known of the fleet while it isn't discovered: instances
// that notice it late keep asking the seeds.
constexpr Milliseconds DiscoveryCheckPeriod{100};
// A process that has discovered the fleet this long ago at most becomes a home
// after seeds, later after another instance.
constexpr Milliseconds SeedHandover{2000};
// Seeds that don't respond are asked within this time of the first.
constexpr Milliseconds MaxSeedsTime{40};
// After a start of all instances, homes start and get the documents up to a
// second later than others, and many streams are sent again at once. Then a
// request waits for its home: for at most MaxHomeWait, in the first
// MaxStartTime of a process.
constexpr Milliseconds HomeWaitPeriod{50};
constexpr Milliseconds MaxHomeWait{600};
constexpr Milliseconds MaxStartTime{3000};
constexpr uint32_t MaxWaiting = 64;
// Seeds that start within a second of each other have met by then. Until then
// a home grants at least this part of the rate: with all of it, the two halves
// of a fleet that is partitioned as it starts used 1.01 of the allowed tokens;
// with 0.5, 0.026 of the requests below the rate were refused after a restart
// of all.
constexpr Milliseconds MeetingTime{1000};
constexpr double MinPartWhileMeeting = 0.7;
// A home that didn't respond isn't asked again for this long, which doubles
// with each further failure: instances with a small processor share are
// suspended for up to 90 ms at a time, and a single late response doesn't show
// that one is gone.
constexpr Milliseconds MinSilentHomePause{100};
constexpr Milliseconds MaxSilentHomePause{1600};
// While one request asks a silent home again, others don't wait for it.
constexpr Milliseconds SilentHomeProbeTime{100};
// An instance that isn't the home by its own view grants at most this part of
// the rate to those that still ask it, since the new home grants as well.
constexpr double FormerHomePart = 0.5;
// The same for one that never was the home: it is asked by instances that know
// a part of the fleet.
constexpr double NeverHomePart = 0.25;
// The same for a process that has just started. While many start at once, each
// takes one for the home that others don't: with 300 added to 100, accounts had
// up to six homes for two seconds.
constexpr double NewProcessPart = 0.4;
// Retry-After while the home is silent: it is asked again by then.
constexpr Milliseconds LocalShareRetryAfter{1000};
constexpr Milliseconds MinRetryAfter{100};
// Part of a window after which a request comes back that wasn't among the
// admitted part of its account's requests.
constexpr int RetryAfterDivisor = 8;
// How often unused tokens are looked for.
constexpr Milliseconds ReturnPeriod{500};
constexpr Milliseconds LogPeriod{10000};
constexpr uint32_t MaxLinesPerPeriod = 20;

std::function<double()> randomDraw() {
  auto random = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [random] {
    return std::uniform_real_distribution<double>(0, 1)(*random);
  };
}

std::string number(double Value) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.0f", Value);
  return buf;
}

} // namespace

const char *nameOf(QuotaSource Source) {
  switch (Source) {
  case QuotaSource::NoLimit:
    return "no limit";
  case QuotaSource::Home:
    return "home";
  case QuotaSource::LocalShare:
    return "local share";
  case QuotaSource::AdmittedPart:
    return "part of the demand";
  }
  return "";
}

TimePoint quotaNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

AccountQuotas::AccountQuotas(std::string Instance, QuotaRules Rules,
                             std::function<double()> Draw,
                             std::function<TimePoint()> Now)
    : Instance(std::move(Instance)), Rules(Rules),
      Draw(Draw ? std::move(Draw) : randomDraw()), Now(std::move(Now)) {}

void AccountQuotas::setSharing(QuotaSharing Value, bool StartThread) {
  std::lock_guard lock(Mutex);
  Sharing = std::move(Value);
  StartedAt = Now();
  if (StartThread)
    Thread = std::thread([this] { run(); });
}

void AccountQuotas::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  WakeWaiting.notify_all();
  if (Thread.joinable())
    Thread.join();
}

FleetView AccountQuotas::fleet(TimePoint Now) {
  Milliseconds period =
      Fleet.Discovered ? HomeCheckPeriod : DiscoveryCheckPeriod;
  if (Sharing.Fleet && Now - FleetCheckedAt >= period) {
    Fleet = Sharing.Fleet();
    FleetCheckedAt = Now;
    if (!Fleet.Discovered)
      DiscoveredAt = TimePoint();
    else if (DiscoveredAt == TimePoint())
      DiscoveredAt = Now;
  }
  return Fleet;
}

std::optional<KeyOwner> AccountQuotas::seedHome(const std::string &Account,
                                                State &Item, TimePoint Now) {
  if (!Sharing.FindSeeds || fleet(Now).Discovered)
    return std::nullopt;
  std::vector<KeyOwner> seeds = Sharing.FindSeeds(Account);
  Item.IsFirstSeed = !seeds.empty() && seeds.front().Address.empty();
  auto found = std::ranges::find_if(seeds, [&](const KeyOwner &It) {
    return It.Address.empty() || !isSilent(It.Address, Now);
  });
  return found == seeds.end() ? std::nullopt : std::optional(*found);
}

const KeyOwner &AccountQuotas::homeOf(const std::string &Account, State &Item,
                                      TimePoint Now) {
  bool discovered = fleet(Now).Discovered;
  if (discovered && Item.Home.Known && !Item.HomeIsSeed &&
      Now - Item.HomeCheckedAt < HomeCheckPeriod)
    return Item.Home;
  Item.HomeCheckedAt = Now;
  KeyOwner home{Instance, "", true};
  std::optional<KeyOwner> seed = seedHome(Account, Item, Now);
  Item.HomeIsSeed = seed.has_value();
  if (seed)
    home = std::move(*seed);
  else if (Sharing.FindHome)
    home = Sharing.FindHome(Account);
  if (home.Name != Item.Home.Name)
    Item.Leases.onHomeChanged();
  Item.Home = std::move(home);
  return Item.Home;
}

double AccountQuotas::grantedPart(const State &Item, const FleetView &View,
                                  bool IsHome) {
  // A process that has started with the fleet doesn't remember instances that
  // it misses, but knows the seeds.
  double part = std::min(1.0, View.knownPart());
  if (View.StartedWithFleet)
    part = std::min(View.Discovered ? part : 1.0, View.SeedPart);
  if (IsHome && (View.Discovered || View.StartedWithFleet))
    return part;
  if (!View.Discovered)
    return part * NewProcessPart;
  return part * (Item.BeenHome ? FormerHomePart : NeverHomePart);
}

std::unique_ptr<QuotaBucket> AccountQuotas::newBucket(const State &Item,
                                                      const FleetView &View,
                                                      bool IsHome,
                                                      TimePoint Now) const {
  if (View.StartedWithFleet && !View.Discovered)
    return std::make_unique<QuotaBucket>(Now, IsHome && Item.IsFirstSeed
                                                  ? QuotaStart::WithFleet
                                                  : QuotaStart::AfterSeeds);
  if (View.StartedWithFleet && Now - DiscoveredAt < SeedHandover)
    return std::make_unique<QuotaBucket>(Now, QuotaStart::AfterSeeds);
  if (Item.Bucket || !IsHome)
    return std::make_unique<QuotaBucket>(Now);
  // Without peers nobody else grants tokens, so the time before this instance
  // was started doesn't count.
  return std::make_unique<QuotaBucket>(
      Sharing.FindHome ? View.ChangedAt : TimePoint() + Milliseconds(1));
}

QuotaGrant AccountQuotas::grantAsHome(State &Item, const AccountQuota &Quota,
                                      const QuotaAsk &Ask, TimePoint Now) {
  // A new bucket must not rest on what was known before this instance became
  // the home.
  const KeyOwner &home = homeOf(Ask.Account, Item, Now);
  bool isHome = home.Known && home.Address.empty();
  if (!Item.Bucket || isHome != Item.WasHome)
    FleetCheckedAt = TimePoint();
  FleetView view = fleet(Now);
  if (Now - StartedAt < MeetingTime)
    view.SeedPart = std::max(view.SeedPart, MinPartWhileMeeting);
  // While seeds are the homes, and while others take over from them, instances
  // become homes and cease to be as they find others silent. Tokens to start
  // with are given once.
  bool keeps = view.StartedWithFleet &&
               (!view.Discovered || Now - DiscoveredAt < SeedHandover);
  if (!Item.Bucket || Item.WithFleet != view.StartedWithFleet ||
      (isHome && !Item.WasHome && !keeps))
    Item.Bucket = newBucket(Item, view, isHome, Now);
  Item.WithFleet = view.StartedWithFleet;
  Item.WasHome = isHome;
  if (isHome)
    Item.BeenHome = true;
  return Item.Bucket->grant(Quota, Rules, Ask, grantedPart(Item, view, isHome),
                            Now);
}

bool AccountQuotas::isSilent(const std::string &Address, TimePoint Now) const {
  auto it = SilentHomes.find(Address);
  return it != SilentHomes.end() && it->second.Until > Now;
}

std::optional<QuotaGrant>
AccountQuotas::ask(std::unique_lock<internal::OuterMutex> &Lock,
                   const KeyOwner &Home, const QuotaAsk &Ask) {
  std::string address = Home.Address;
  auto silent = SilentHomes.find(address);
  if (silent != SilentHomes.end())
    silent->second.Until = Now() + SilentHomeProbeTime;
  ++Counts.Asked;
  std::optional<QuotaGrant> grant;
  if (Sharing.AskHome && !Stopping) {
    Lock.unlock();
    grant = Sharing.AskHome(address, Ask);
    Lock.lock();
  }
  if (grant) {
    SilentHomes.erase(address);
    return grant;
  }
  ++Counts.Unanswered;
  onHomeSilent(address, Now());
  return std::nullopt;
}

void AccountQuotas::onHomeSilent(const std::string &Address, TimePoint Now) {
  std::erase_if(SilentHomes, [&](const auto &It) {
    return Now - It.second.Until > 10 * MaxSilentHomePause;
  });
  SilentHome &home = SilentHomes[Address];
  // A seed that starts is to be found soon, since others take it for the home.
  home.Pause = std::clamp(2 * home.Pause, MinSilentHomePause,
                          Fleet.Discovered ? MaxSilentHomePause
                                           : 2 * MinSilentHomePause);
  home.Until = Now + home.Pause;
}

std::optional<QuotaGrant>
AccountQuotas::askInTurn(std::unique_lock<internal::OuterMutex> &Lock,
                         const ClientAccount &Account, State &Item,
                         QuotaAsk Ask) {
  TimePoint first = Now();
  std::optional<QuotaGrant> grant = ask(Lock, Item.Home, Ask);
  while ((!grant || !grant->Known) && Item.HomeIsSeed &&
         Now() - first < MaxSeedsTime) {
    // One without the documents has only just started.
    if (grant)
      onHomeSilent(Item.Home.Address, Now());
    const KeyOwner &next = homeOf(Account.Name, Item, Now());
    if (!next.Known || isSilent(next.Address, Now()))
      break;
    if (next.Address.empty()) {
      Ask.ExtraTokens = 0;
      return grantAsHome(Item, Account.Quota, Ask, Now());
    }
    grant = ask(Lock, next, Ask);
  }
  return grant;
}

std::optional<Milliseconds> AccountQuotas::heardAgo(const State &Item,
                                                    TimePoint Now) {
  if (Item.HomeHeardAt == TimePoint())
    return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(Now - Item.HomeHeardAt);
}

void AccountQuotas::setLocalShare(const std::string &Account, State &Item,
                                  bool Value, const char *Why, TimePoint Now) {
  if (Item.Use.UsesLocalShare == Value)
    return;
  Item.Use.UsesLocalShare = Value;
  if (Now - LogPeriodStart >= LogPeriod) {
    LogPeriodStart = Now;
    LoggedInPeriod = 0;
  }
  if (++LoggedInPeriod > MaxLinesPerPeriod) {
    ++SuppressedLines;
    return;
  }
  double part = Item.Leases.localPart(Item.Use.Quota, Fleet.Expected, Now);
  std::optional<Milliseconds> heard = heardAgo(Item, Now);
  log(Value ? LogLevel::Warn : LogLevel::Info, "account_quotas",
      Value ? "using the local share of an account's quota"
            : "leasing tokens from the account's home again",
      {{"account", Account},
       {"why", Why},
       {"home", Item.Home.Name},
       {"home_heard_ms",
        heard ? std::to_string(heard->count()) : std::string()},
       {"rate_per_s", number(Item.Use.Quota.TokensPerSecond)},
       {"demand_per_s", number(Item.Leases.demandPerSecond(Now))},
       {"account_demand_per_s", number(Item.Leases.accountDemand(Now))},
       {"admitted_percent", number(part * 100)},
       {"instances", std::to_string(Fleet.Expected)},
       {"lines_left_out", std::to_string(std::exchange(SuppressedLines, 0))}});
}

// The accounts' callers come back spread over the time in which tokens for all
// of them become available.
Milliseconds AccountQuotas::spread(Milliseconds Time, const State &Item,
                                   const AccountQuota &Quota, TimePoint Now) {
  Time = std::clamp(Time, MinRetryAfter, std::max(Rules.Window, MinRetryAfter));
  double demand = Item.Bucket && Item.WasHome
                      ? Item.Bucket->demandPerSecond(Now)
                      : Item.Leases.accountDemand(Now);
  double excess = std::max(1.0, demand / Quota.TokensPerSecond);
  auto more = Milliseconds(static_cast<int64_t>(
      static_cast<double>(Time.count()) * excess * Draw()));
  return std::min(Time + more, std::max(Rules.Window, MinRetryAfter));
}

void AccountQuotas::decideByShare(State &Item, const AccountQuota &Quota,
                                  QuotaDecision &Decision, TimePoint Now) {
  ++Counts.LocalShare;
  Decision.Source = QuotaSource::LocalShare;
  FleetView view = fleet(Now);
  double part = Item.Leases.localPart(Quota, view.Expected, Now);
  Decision.Admitted = Draw() < (view.Discovered ? part : part * NewProcessPart);
  Decision.RetryAfter = LocalShareRetryAfter;
}

void AccountQuotas::queue(const std::string &Account, State &Item) {
  if (std::exchange(Item.Queued, true))
    return;
  Due.push_back(Account);
  Wake.notify_one();
}

bool AccountQuotas::waitsForHome(Milliseconds Waited, TimePoint Now) {
  return !Stopping && Sharing.FindSeeds &&
         Waited + HomeWaitPeriod <= MaxHomeWait &&
         Now - StartedAt < MaxStartTime && !fleet(Now).Discovered;
}

QuotaDecision AccountQuotas::admit(const ClientAccount &Account,
                                   uint64_t Tokens) {
  QuotaDecision decision = tryAdmit(Account, Tokens);
  if (decision.AskAgain == Milliseconds(0))
    return decision;
  std::unique_lock lock(Mutex);
  bool waits = ++Waiting <= MaxWaiting;
  Milliseconds waited{0};
  while (decision.AskAgain > Milliseconds(0)) {
    if (waits)
      WakeWaiting.wait_for(lock, decision.AskAgain,
                           [this] { return Stopping; });
    waited += decision.AskAgain;
    lock.unlock();
    decision = tryAdmit(Account, Tokens, waited, waits);
    lock.lock();
  }
  --Waiting;
  return decision;
}

QuotaDecision AccountQuotas::tryAdmit(const ClientAccount &Account,
                                      uint64_t Tokens, Milliseconds Waited,
                                      bool MayWait) {
  QuotaDecision unlimited;
  unlimited.Admitted = true;
  if (Account.Name.empty() || Account.Quota.TokensPerSecond <= 0)
    return unlimited;
  std::unique_lock lock(Mutex);
  TimePoint now = Now();
  State &state = Accounts[Account.Name];
  state.Use.Quota = Account.Quota;
  if (Waited == Milliseconds(0))
    state.Leases.onRequest(Tokens, now);
  bool mayWait = MayWait && waitsForHome(Waited, now);
  KeyOwner home = homeOf(Account.Name, state, now);
  QuotaDecision decision;
  decision.Source = QuotaSource::Home;
  decision.Home = home.Name;
  if (double part = state.Leases.admittedPart(now);
      part < 1 && Draw() >= part) {
    decision.Source = QuotaSource::AdmittedPart;
    decision.RetryAfter = Rules.Window / RetryAfterDivisor;
    ++Counts.RefusedByPart;
  } else if (home.Known && home.Address.empty()) {
    QuotaAsk ask = state.Leases.ask(Tokens, now);
    ask.ExtraTokens = 0;
    ask.Account = Account.Name;
    QuotaGrant grant = grantAsHome(state, Account.Quota, ask, now);
    state.Leases.setAdmittedPart(grant.AdmittedPart, now);
    decision.Admitted = grant.Tokens >= Tokens;
    decision.RetryAfter = grant.RetryAfter;
    decision.TokensLeft = static_cast<int64_t>(state.Bucket->level());
    state.HomeHeardAt = now;
    setLocalShare(Account.Name, state, false, "this instance is the home", now);
  } else if (state.Leases.take(Tokens, now)) {
    decision.Admitted = true;
    if (home.Known && !isSilent(home.Address, now) &&
        state.Leases.needsLease(now))
      queue(Account.Name, state);
  } else if (Milliseconds wait = state.Leases.deniedFor(Tokens, now);
             wait > Milliseconds(0)) {
    decision.RetryAfter = wait;
  } else if (mayWait && (!home.Known || isSilent(home.Address, now))) {
    decision.AskAgain = HomeWaitPeriod;
  } else if (!home.Known || isSilent(home.Address, now)) {
    setLocalShare(Account.Name, state, true,
                  home.Known ? "the home didn't respond" : "no peer is known",
                  now);
    decideByShare(state, Account.Quota, decision, now);
  } else {
    QuotaAsk request = state.Leases.ask(Tokens, now);
    request.Account = Account.Name;
    TimePoint asked = now;
    std::optional<QuotaGrant> grant = askInTurn(lock, Account, state, request);
    now = Now();
    decision.Home = state.Home.Name;
    if (grant && grant->Known) {
      state.HomeHeardAt = now;
      setLocalShare(Account.Name, state, false, "the home responded", now);
      decision.Admitted =
          state.Leases.onLease(Tokens, *grant, fleet(now).Expected, asked, now);
      decision.RetryAfter = grant->RetryAfter;
      if (!state.Leases.isIdle(now)) {
        Watched.insert(Account.Name);
        Wake.notify_one();
      }
    } else if (mayWait) {
      decision.AskAgain = HomeWaitPeriod;
    } else {
      setLocalShare(Account.Name, state, true,
                    grant ? "the home doesn't know the account"
                          : "the home didn't respond",
                    now);
      decideByShare(state, Account.Quota, decision, now);
    }
  }
  if (mayWait && !decision.Admitted && decision.RetryAfter <= MaxHomeWait)
    decision.AskAgain = HomeWaitPeriod;
  if (decision.AskAgain > Milliseconds(0))
    return decision;
  decision.At = now;
  decision.HomeHeardAgo = heardAgo(state, now);
  if (decision.Source == QuotaSource::Home && !state.WasHome)
    decision.TokensLeft = static_cast<int64_t>(state.Leases.leased(now));
  if (decision.Admitted) {
    decision.RetryAfter = Milliseconds(0);
    ++Counts.Admitted;
    ++state.Use.Admitted;
    state.Use.AdmittedTokens += Tokens;
  } else {
    decision.RetryAfter =
        spread(decision.RetryAfter, state, Account.Quota, now);
    ++Counts.Refused;
    ++state.Use.Refused;
  }
  return decision;
}

void AccountQuotas::giveBack(const std::string &Account, uint64_t Tokens,
                             const QuotaDecision &Decision) {
  if (!Decision.Admitted || Decision.Source == QuotaSource::NoLimit)
    return;
  std::lock_guard lock(Mutex);
  auto it = Accounts.find(Account);
  if (it == Accounts.end())
    return;
  State &state = it->second;
  state.Use.ReturnedTokens += Tokens;
  TimePoint now = Now();
  // Local shares have no tokens to return to, and a new home hasn't granted
  // these.
  if (Decision.Source != QuotaSource::Home ||
      homeOf(Account, state, now).Name != Decision.Home)
    return;
  if (state.Home.Address.empty()) {
    if (state.Bucket)
      state.Bucket->giveBack(
          Tokens, std::chrono::ceil<Milliseconds>(now - Decision.At), now);
    return;
  }
  state.Leases.giveBack(Tokens, Decision.At, now);
  Watched.insert(Account);
  Wake.notify_one();
}

std::optional<QuotaGrant> AccountQuotas::decide(const QuotaAsk &Ask) {
  std::lock_guard lock(Mutex);
  std::optional<AccountQuota> quota;
  if (Sharing.FindQuota)
    quota = Sharing.FindQuota(Ask.Account);
  if (!quota)
    return std::nullopt;
  TimePoint now = Now();
  State &state = Accounts[Ask.Account];
  state.Use.Quota = *quota;
  if (quota->TokensPerSecond <= 0) // the limit was lifted
    return QuotaGrant{Ask.WantedTokens + Ask.ExtraTokens, Rules.leaseTime()};
  QuotaGrant grant = grantAsHome(state, *quota, Ask, now);
  if (Ask.WantedTokens > 0)
    ++(grant.Tokens > 0 ? Counts.Granted : Counts.Denied);
  return grant;
}

void AccountQuotas::sendDue() {
  std::unique_lock lock(Mutex);
  std::vector<std::string> names = std::exchange(Due, {});
  for (const std::string &it : names)
    Accounts[it].Queued = false;
  TimePoint now = Now();
  std::erase_if(Watched, [&](const std::string &It) {
    State &state = Accounts[It];
    if (state.Leases.hasReturn(now) &&
        std::ranges::find(names, It) == names.end())
      names.push_back(It);
    return state.Leases.isIdle(now);
  });
  for (const std::string &name : names) {
    if (Stopping)
      return;
    now = Now();
    State &state = Accounts[name];
    KeyOwner home = homeOf(name, state, now);
    if (!home.Known || home.Address.empty() || isSilent(home.Address, now))
      continue;
    QuotaAsk request = state.Leases.ask(0, now);
    request.Account = name;
    std::optional<QuotaGrant> grant = ask(lock, home, request);
    TimePoint asked = std::exchange(now, Now());
    if (!grant || !grant->Known)
      continue;
    state.HomeHeardAt = now;
    state.Leases.onLease(0, *grant, fleet(now).Expected, asked, now);
    if (!state.Leases.isIdle(now))
      Watched.insert(name);
  }
}

void AccountQuotas::run() {
  std::unique_lock lock(Mutex);
  while (!Stopping) {
    if (Due.empty() && Watched.empty())
      Wake.wait(lock, [this] {
        return Stopping || !Due.empty() || !Watched.empty();
      });
    if (Due.empty())
      Wake.wait_for(lock, ReturnPeriod,
                    [this] { return Stopping || !Due.empty(); });
    if (Stopping)
      return;
    lock.unlock();
    sendDue();
    lock.lock();
  }
}

AccountQuotas::Counters AccountQuotas::counters() const {
  std::lock_guard lock(Mutex);
  return Counts;
}

std::vector<AccountUse> AccountQuotas::uses() const {
  std::vector<AccountUse> all;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Now();
    for (const auto &[name, state] : Accounts) {
      AccountUse use = state.Use;
      use.Account = name;
      use.DemandPerSecond = state.Leases.demandPerSecond(now);
      use.AccountDemand = state.Leases.accountDemand(now);
      use.LeasedTokens = state.Leases.leased(now);
      use.Home = state.Home.Name;
      use.HomeHeardAgo = heardAgo(state, now);
      if (state.Bucket && state.WasHome) {
        use.BucketLevel = state.Bucket->level();
        use.AccountDemand = state.Bucket->demandPerSecond(now);
      }
      all.push_back(std::move(use));
    }
  }
  std::ranges::stable_sort(all, std::greater<>(), &AccountUse::AdmittedTokens);
  return all;
}

std::string AccountQuotas::dump() const {
  std::string out = "[";
  const char *separator = "";
  for (const AccountUse &it : uses()) {
    out += separator + std::string("{\"account\":") +
           internal::jsonString(it.Account) +
           ",\"rate_per_s\":" + number(it.Quota.TokensPerSecond) +
           ",\"burst\":" + number(it.Quota.BurstTokens) +
           ",\"admitted\":" + std::to_string(it.Admitted) +
           ",\"admitted_tokens\":" + std::to_string(it.AdmittedTokens) +
           ",\"refused\":" + std::to_string(it.Refused) +
           ",\"returned_tokens\":" + std::to_string(it.ReturnedTokens) +
           ",\"demand_per_s\":" + number(it.DemandPerSecond) +
           ",\"account_demand_per_s\":" + number(it.AccountDemand) +
           ",\"leased_tokens\":" + std::to_string(it.LeasedTokens) +
           ",\"home\":" + internal::jsonString(it.Home) +
           ",\"local_share\":" + (it.UsesLocalShare ? "true" : "false");
    if (it.HomeHeardAgo)
      out += ",\"home_heard_ms\":" + std::to_string(it.HomeHeardAgo->count());
    if (it.BucketLevel)
      out += ",\"bucket_tokens\":" + number(*it.BucketLevel);
    out += "}";
    separator = ",";
  }
  return out + "]";
}

} // namespace crocusspur::gateway
