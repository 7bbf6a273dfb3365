#include "gateway/decisions/crash_history.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

constexpr uint32_t CrashLimit = 3;            // servers; from then on refused
constexpr std::chrono::minutes Retention{60}; // of each crash
// A content is refused for this long after its third crash, and for a multiple
// after each further one. Then it may run again: servers may have been mended,
// or it shared three servers with the cause by chance. The same holds for a
// part, with each crash after a refusal.
constexpr std::chrono::minutes RefusalTime{2};
constexpr int RefusalFactor = 4;
// Instances see one crash at different times: a broken connection at once, a
// silent one after a timeout. A server takes seconds to restart, so it can't
// crash twice within this time.
constexpr Milliseconds SameCrashWindow{2000};
// A content that completed up to this long before a crash isn't its cause. A
// part may become one at any time.
constexpr std::chrono::seconds CompletionValidity{60};
// Table limits. A full table drops the oldest suspect with the fewest crashes.
constexpr size_t MaxRecords = 2048;
constexpr size_t MaxRecordsPerSuspect = 16;
constexpr size_t MaxCleared = 1024;
constexpr size_t MaxSurvived = 4096;
// Changes sent to a peer that differs, about 10 KB.
constexpr uint64_t MaxMissedChanges = 128;

constexpr uint32_t PartCrashLimit = 5;
// A part is refused only this long after its fifth crash: runs that began since
// its first crash have shown by then whether they go on, and instances have
// told each other.
constexpr Milliseconds PartConfirmationTime{1000};
// From this many crashes on, a run that had just begun when its server ended is
// more likely the cause than a bystander.
constexpr uint32_t PartSuspicionLimit = 3;
// Servers that are lost together are noticed within this time. They have
// another cause in common, but some may also run a part at the same moment by
// chance. Crashes aren't limited for a part that no run has survived while
// others did, since a popular one has survivors.
constexpr Milliseconds OccasionWindow{250};
constexpr size_t MaxCrashesPerOccasion = 4;
// Crashes with pauses of this length are enough for a part that survived
// before, even if no run without it has shown since then that servers work. All
// servers of a service may be lost one after the other, but hardly as slowly as
// this.
constexpr Milliseconds LongOccasionWindow{1000};
// The first refusal of a part is shorter than RefusalTime while no run without
// it has shown that servers work, since it may have been on servers that were
// all lost together, and much shorter if it survived before.
constexpr std::chrono::seconds UnprovenRefusalTime{20};
constexpr std::chrono::seconds SurvivorRefusalTime{5};
// Crashes of a part without the part that explains the others: one may be of
// another cause.
constexpr size_t MaxUnexplainedCrashes = 1;

Milliseconds ageAt(TimePoint Now, TimePoint At) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(Now - At));
}

uint64_t hashOf(uint64_t Key, SuspectKind Kind, const std::string &Text) {
  return XXH64(Text.data(), Text.size(),
               Key ^ (static_cast<uint64_t>(Kind) << 56));
}

Milliseconds validityOf(SuspectKind Kind) {
  return Kind == SuspectKind::Content ? Milliseconds(CompletionValidity)
                                      : Milliseconds(0);
}

// Drops the entry with the earliest time.
template <typename Map> void dropOldest(Map &Items) {
  auto oldest = std::min_element(Items.begin(), Items.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return Left.second.At < Right.second.At;
                                 });
  if (oldest != Items.end())
    Items.erase(oldest);
}

} // namespace

// Ages that a paused process reports are too short, so times decide only if the
// processes aren't known.
bool CrashHistory::isSameCrash(const Crash &Left, const Crash &Right) {
  if (Left.ServerId != Right.ServerId)
    return false;
  if (Left.ServerStartedAt != 0 && Right.ServerStartedAt != 0)
    return Left.ServerStartedAt == Right.ServerStartedAt;
  return Left.At < Right.At + SameCrashWindow &&
         Right.At < Left.At + SameCrashWindow;
}

bool CrashHistory::isCleared(const Suspect &Item, TimePoint CrashedAt) const {
  auto it = Cleared.find(Item);
  return it != Cleared.end() &&
         it->second.At + validityOf(Item.Kind) >= CrashedAt;
}

void CrashHistory::eraseSuspect(CrashMap::iterator Item) {
  RecordCount -= Item->second.size();
  Crashes.erase(Item);
}

void CrashHistory::makeRoom() {
  if (RecordCount < MaxRecords)
    return;
  auto victim = std::min_element(
      Crashes.begin(), Crashes.end(), [](const auto &Left, const auto &Right) {
        return std::pair(Left.second.size(), Left.second.back().At) <
               std::pair(Right.second.size(), Right.second.back().At);
      });
  eraseSuspect(victim);
}

bool CrashHistory::addCrash(const CrashRecord &Item, TimePoint Now) {
  TimePoint at = Now - Item.Age;
  if (Item.Age >= Retention)
    return false;
  Suspect suspect{Item.Kind, Item.Key};
  auto survived = Survived.find(suspect);
  if (survived != Survived.end() &&
      survived->second + validityOf(Item.Kind) >= at)
    clear(suspect, survived->second);
  if (isCleared(suspect, at))
    return false;
  Crash crash{Item.ServerId, Item.Witness, at, 0, Item.ServerStartedAt};
  auto known = Crashes.find(suspect);
  if (known != Crashes.end())
    for (const Crash &it : known->second)
      if (isSameCrash(it, crash))
        return false;
  if (known == Crashes.end())
    makeRoom();
  std::vector<Crash> &all = Crashes[suspect];
  if (all.size() >= MaxRecordsPerSuspect) {
    all.erase(all.begin());
    --RecordCount;
  }
  auto later = std::upper_bound(
      all.begin(), all.end(), at,
      [](TimePoint At, const Crash &It) { return At < It.At; });
  crash.Change = ++LastChange;
  all.insert(later, std::move(crash));
  ++RecordCount;
  return true;
}

size_t CrashHistory::eraseCleared(const Suspect &Item, TimePoint ClearedAt) {
  auto found = Crashes.find(Item);
  if (found == Crashes.end())
    return 0;
  size_t n = std::erase_if(found->second, [&](const Crash &It) {
    return It.At <= ClearedAt + validityOf(Item.Kind);
  });
  RecordCount -= n;
  if (found->second.empty())
    Crashes.erase(found);
  return n;
}

void CrashHistory::clear(const Suspect &Item, TimePoint At) {
  eraseCleared(Item, At);
  auto known = Cleared.find(Item);
  if (known != Cleared.end())
    At = std::max(At, known->second.At);
  else if (Cleared.size() >= MaxCleared)
    dropOldest(Cleared);
  Cleared[Item] = {At, ++LastChange};
}

void CrashHistory::recordSurvival(const Suspect &Item, TimePoint At) {
  auto [it, added] = Survived.try_emplace(Item, At);
  it->second = std::max(it->second, At);
  if (!added)
    return;
  SurvivedOrder.push_back(Item);
  if (SurvivedOrder.size() > MaxSurvived) {
    Survived.erase(SurvivedOrder.front());
    SurvivedOrder.pop_front();
  }
}

bool CrashHistory::onCompleted(uint64_t Content, TimePoint Now) {
  Suspect suspect{SuspectKind::Content, Content};
  recordSurvival(suspect, Now);
  if (!Crashes.contains(suspect))
    return false;
  clear(suspect, Now);
  return true;
}

bool CrashHistory::onPartSurvived(PromptPartKey Part, TimePoint BegunAt) {
  Suspect suspect{SuspectKind::PromptPart, Part};
  recordSurvival(suspect, BegunAt);
  recordPartSurvival(Part, BegunAt);
  auto found = Crashes.find(suspect);
  if (found == Crashes.end() || found->second.front().At > BegunAt)
    return false;
  clear(suspect, BegunAt);
  return true;
}

// Ages become a little shorter with each exchange, so a clearance that is known
// is new only if it covers more crashes.
bool CrashHistory::addCleared(const ClearedSuspect &Item, TimePoint Now) {
  if (Item.Age >= Retention)
    return false;
  TimePoint at = Now - Item.Age;
  Suspect suspect{Item.Kind, Item.Key};
  if (Item.Kind == SuspectKind::PromptPart)
    recordPartSurvival(Item.Key, at);
  auto it = Cleared.find(suspect);
  bool known = it != Cleared.end() && it->second.At + SameCrashWindow >= at;
  auto crashed = Crashes.find(suspect);
  bool covers = crashed != Crashes.end() &&
                crashed->second.front().At <= at + validityOf(Item.Kind);
  if (!covers && (known || crashed != Crashes.end()))
    return false;
  clear(suspect, at);
  return true;
}

uint32_t CrashHistory::crashes(uint64_t Key, TimePoint Now,
                               SuspectKind Kind) const {
  auto it = Crashes.find({Kind, Key});
  if (it == Crashes.end())
    return 0;
  return static_cast<uint32_t>(
      std::count_if(it->second.begin(), it->second.end(),
                    [&](const Crash &It) { return It.At + Retention > Now; }));
}

std::optional<Milliseconds> CrashHistory::refusedFor(uint64_t Content,
                                                     TimePoint Now) const {
  uint32_t n = crashes(Content, Now);
  if (n < CrashLimit)
    return std::nullopt;
  Milliseconds time = RefusalTime;
  for (; n > CrashLimit && time < Retention; --n)
    time *= RefusalFactor;
  TimePoint until = Crashes.at({SuspectKind::Content, Content}).back().At +
                    std::min<Milliseconds>(time, Retention);
  if (until <= Now)
    return std::nullopt;
  return std::chrono::ceil<Milliseconds>(until - Now);
}

uint32_t CrashHistory::refusedContents(TimePoint Now) const {
  return static_cast<uint32_t>(
      std::count_if(Crashes.begin(), Crashes.end(), [&](const auto &It) {
        return It.first.Kind == SuspectKind::Content &&
               refusedFor(It.first.Key, Now).has_value();
      }));
}

std::vector<TimePoint>
CrashHistory::countedCrashes(const std::vector<Crash> &All, TimePoint Now,
                             Milliseconds Window, size_t MaxPerWindow) const {
  std::vector<TimePoint> times;
  TimePoint began;
  size_t n = 0;
  for (const Crash &it : All) {
    if (it.At + Retention <= Now)
      continue;
    if (times.empty() || it.At >= began + Window) {
      began = it.At;
      n = 0;
    }
    if (n++ < MaxPerWindow)
      times.push_back(it.At);
  }
  return times;
}

TimePoint CrashHistory::latestSurvivalWithout(PromptPartKey Part) const {
  return LatestSurvivals[LatestSurvivals[0].Part == Part ? 1 : 0].BegunAt;
}

void CrashHistory::recordPartSurvival(PromptPartKey Part, TimePoint BegunAt) {
  auto &[latest, second] = LatestSurvivals;
  if (Part == latest.Part)
    latest.BegunAt = std::max(latest.BegunAt, BegunAt);
  else if (BegunAt > latest.BegunAt) {
    second = latest;
    latest = {Part, BegunAt};
  } else if (BegunAt > second.BegunAt)
    second = {Part, BegunAt};
}

CrashHistory::PartState
CrashHistory::stateOfPart(const CrashMap::value_type &Item,
                          TimePoint Now) const {
  PartState state;
  state.Part = Item.first.Key;
  bool survived = hasSurvived(Item.first);
  TimePoint othersBegunAt = latestSurvivalWithout(state.Part);
  bool limited = survived || othersBegunAt == TimePoint();
  std::vector<TimePoint> times =
      countedCrashes(Item.second, Now, OccasionWindow,
                     limited ? MaxCrashesPerOccasion : MaxRecordsPerSuspect);
  if (times.size() >= PartSuspicionLimit)
    state.Verdict = PartVerdict::Suspected;
  auto confirmed = [Now](const std::vector<TimePoint> &Times) {
    return Times.size() >= PartCrashLimit &&
           Now >= Times[PartCrashLimit - 1] + PartConfirmationTime;
  };
  if (!confirmed(times))
    return state;
  bool proven = othersBegunAt >= times[PartCrashLimit - 1];
  if (!proven && survived &&
      !confirmed(countedCrashes(Item.second, Now, LongOccasionWindow, 1)))
    return state;
  Milliseconds time = survived ? Milliseconds(SurvivorRefusalTime)
                      : proven ? Milliseconds(RefusalTime)
                               : Milliseconds(UnprovenRefusalTime);
  for (size_t i = PartCrashLimit; i < times.size() && time < Retention; ++i)
    if (times[i] >= times[i - 1] + time)
      time *= RefusalFactor;
  TimePoint until = times.back() + std::min<Milliseconds>(time, Retention);
  state.Verdict = PartVerdict::Probation;
  if (until > Now) {
    state.Verdict = PartVerdict::Refused;
    state.RefusedFor = std::chrono::ceil<Milliseconds>(until - Now);
  }
  return state;
}

bool CrashHistory::hasSurvived(const Suspect &Item) const {
  return Survived.contains(Item) || Cleared.contains(Item);
}

bool CrashHistory::isExplained(const CrashMap::value_type &Item,
                               std::span<const PromptPartKey> Parts) const {
  const std::vector<Crash> &own = Item.second;
  return std::ranges::any_of(Crashes, [&](const auto &Other) {
    const std::vector<Crash> &others = Other.second;
    if (Other.first.Kind != SuspectKind::PromptPart ||
        others.size() < PartSuspicionLimit ||
        others.size() + MaxUnexplainedCrashes < own.size() ||
        std::ranges::find(Parts, Other.first.Key) != Parts.end())
      return false;
    // One that ran without a crash before is less likely the cause.
    if (hasSurvived(Other.first) && !hasSurvived(Item.first))
      return false;
    auto unexplained = std::ranges::count_if(own, [&](const Crash &It) {
      return std::ranges::none_of(
          others, [&](const Crash &Beside) { return isSameCrash(Beside, It); });
    });
    return static_cast<size_t>(unexplained) <= MaxUnexplainedCrashes;
  });
}

CrashHistory::PartState
CrashHistory::stateOf(std::span<const PromptPartKey> Parts,
                      TimePoint Now) const {
  PartState worst;
  for (PromptPartKey part : Parts) {
    auto it = Crashes.find({SuspectKind::PromptPart, part});
    if (it == Crashes.end() || it->second.size() < PartSuspicionLimit)
      continue;
    PartState state = stateOfPart(*it, Now);
    if (std::pair(state.Verdict, state.RefusedFor) >
            std::pair(worst.Verdict, worst.RefusedFor) &&
        !isExplained(*it, Parts))
      worst = state;
  }
  return worst;
}

uint32_t CrashHistory::refusedParts(TimePoint Now) const {
  return static_cast<uint32_t>(
      std::count_if(Crashes.begin(), Crashes.end(), [&](const auto &It) {
        return It.first.Kind == SuspectKind::PromptPart &&
               stateOf(std::array{It.first.Key}, Now).Verdict ==
                   PartVerdict::Refused;
      }));
}

CrashHistory::Update CrashHistory::changesAfter(uint64_t Change,
                                                TimePoint Now) const {
  Update update;
  for (const auto &[suspect, all] : Crashes)
    for (const Crash &it : all)
      if (it.Change > Change)
        update.Crashes.push_back({suspect.Key, it.ServerId, it.Witness,
                                  ageAt(Now, it.At), suspect.Kind,
                                  it.ServerStartedAt});
  for (const auto &[suspect, it] : Cleared)
    if (it.Change > Change)
      update.Cleared.push_back({suspect.Key, ageAt(Now, it.At), suspect.Kind});
  return update;
}

CrashHistory::Update CrashHistory::updateFor(uint64_t PeerDigest,
                                             TimePoint Now) const {
  if (PeerDigest == digest())
    return {};
  bool all = PeerDigest == 0 || LastChange <= MaxMissedChanges;
  return changesAfter(all ? 0 : LastChange - MaxMissedChanges, Now);
}

uint64_t CrashHistory::digest() const {
  uint64_t sum = 0;
  for (const auto &[suspect, all] : Crashes)
    for (const Crash &it : all)
      sum += hashOf(suspect.Key, suspect.Kind, it.ServerId);
  for (const auto &[suspect, it] : Cleared)
    sum += hashOf(suspect.Key, suspect.Kind, "");
  return sum;
}

void CrashHistory::expire(TimePoint Now) {
  for (auto it = Crashes.begin(); it != Crashes.end();) {
    RecordCount -= std::erase_if(
        it->second, [&](const Crash &It) { return It.At + Retention <= Now; });
    it = it->second.empty() ? Crashes.erase(it) : std::next(it);
  }
  std::erase_if(
      Cleared, [&](const auto &It) { return It.second.At + Retention <= Now; });
  while (!SurvivedOrder.empty() &&
         Survived.at(SurvivedOrder.front()) + CompletionValidity <= Now) {
    Survived.erase(SurvivedOrder.front());
    SurvivedOrder.pop_front();
  }
}

} // namespace crocusspur::gateway
