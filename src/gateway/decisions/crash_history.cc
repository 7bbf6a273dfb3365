#include "gateway/decisions/crash_history.h"

#include <algorithm>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

constexpr uint32_t CrashLimit = 3;            // servers; from then on refused
constexpr std::chrono::minutes Retention{60}; // of each crash
// A content is refused for this long after its third crash, and for a multiple
// after each further one. Then it may run again: servers may have been mended,
// or it shared three servers with the cause by chance.
constexpr std::chrono::minutes RefusalTime{2};
constexpr int RefusalFactor = 4;
// Instances see one crash at different times: a broken connection at once, a
// silent one after a timeout. A server takes seconds to restart, so it can't
// crash twice within this time.
constexpr Milliseconds SameCrashWindow{2000};
// A content that completed up to this long before a crash isn't its cause.
constexpr std::chrono::seconds CompletionValidity{60};
// Table limits. A full table drops the oldest content with the fewest crashes.
constexpr size_t MaxRecords = 2048;
constexpr size_t MaxRecordsPerContent = 8;
constexpr size_t MaxCleared = 1024;
constexpr size_t MaxCompleted = 2048;
// Changes sent to a peer that differs, about 10 KB.
constexpr uint64_t MaxMissedChanges = 128;

Milliseconds ageAt(TimePoint Now, TimePoint At) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(Now - At));
}

uint64_t hashOf(uint64_t Content, const std::string &Text) {
  return XXH64(Text.data(), Text.size(), Content);
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

bool CrashHistory::isCleared(uint64_t Content, TimePoint CrashedAt) const {
  auto it = Cleared.find(Content);
  return it != Cleared.end() && it->second.At + CompletionValidity >= CrashedAt;
}

void CrashHistory::eraseContent(CrashMap::iterator Item) {
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
  eraseContent(victim);
}

bool CrashHistory::addCrash(const CrashRecord &Item, TimePoint Now) {
  TimePoint at = Now - Item.Age;
  if (Item.Age >= Retention)
    return false;
  auto completed = Completed.find(Item.Content);
  if (completed != Completed.end() &&
      completed->second + CompletionValidity >= at)
    clear(Item.Content, completed->second);
  if (isCleared(Item.Content, at))
    return false;
  auto known = Crashes.find(Item.Content);
  if (known != Crashes.end())
    for (const Crash &it : known->second)
      if (it.ServerId == Item.ServerId && it.At < at + SameCrashWindow &&
          at < it.At + SameCrashWindow)
        return false;
  if (known == Crashes.end())
    makeRoom();
  std::vector<Crash> &all = Crashes[Item.Content];
  if (all.size() >= MaxRecordsPerContent) {
    all.erase(all.begin());
    --RecordCount;
  }
  auto later = std::upper_bound(
      all.begin(), all.end(), at,
      [](TimePoint At, const Crash &It) { return At < It.At; });
  all.insert(later, {Item.ServerId, Item.Witness, at, ++LastChange});
  ++RecordCount;
  return true;
}

void CrashHistory::clear(uint64_t Content, TimePoint At) {
  auto it = Crashes.find(Content);
  if (it != Crashes.end())
    eraseContent(it);
  if (Cleared.size() >= MaxCleared && !Cleared.contains(Content))
    dropOldest(Cleared);
  Cleared[Content] = {At, ++LastChange};
}

bool CrashHistory::onCompleted(uint64_t Content, TimePoint Now) {
  if (Completed.insert_or_assign(Content, Now).second) {
    CompletedOrder.push_back(Content);
    if (CompletedOrder.size() > MaxCompleted) {
      Completed.erase(CompletedOrder.front());
      CompletedOrder.pop_front();
    }
  }
  if (!Crashes.contains(Content))
    return false;
  clear(Content, Now);
  return true;
}

bool CrashHistory::addCleared(const ClearedContent &Item, TimePoint Now) {
  if (Item.Age >= Retention)
    return false;
  TimePoint at = Now - Item.Age;
  auto it = Cleared.find(Item.Content);
  if (it != Cleared.end() && it->second.At + SameCrashWindow >= at)
    return false;
  auto crashed = Crashes.find(Item.Content);
  if (crashed != Crashes.end() &&
      crashed->second.front().At > at + CompletionValidity)
    return false;
  clear(Item.Content, at);
  return true;
}

uint32_t CrashHistory::crashes(uint64_t Content, TimePoint Now) const {
  auto it = Crashes.find(Content);
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
  TimePoint until =
      Crashes.at(Content).back().At + std::min<Milliseconds>(time, Retention);
  if (until <= Now)
    return std::nullopt;
  return std::chrono::ceil<Milliseconds>(until - Now);
}

uint32_t CrashHistory::refusedContents(TimePoint Now) const {
  return static_cast<uint32_t>(
      std::count_if(Crashes.begin(), Crashes.end(), [&](const auto &It) {
        return refusedFor(It.first, Now).has_value();
      }));
}

CrashHistory::Update CrashHistory::changesAfter(uint64_t Change,
                                                TimePoint Now) const {
  Update update;
  for (const auto &[content, all] : Crashes)
    for (const Crash &it : all)
      if (it.Change > Change)
        update.Crashes.push_back(
            {content, it.ServerId, it.Witness, ageAt(Now, it.At)});
  for (const auto &[content, it] : Cleared)
    if (it.Change > Change)
      update.Cleared.push_back({content, ageAt(Now, it.At)});
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
  for (const auto &[content, all] : Crashes)
    for (const Crash &it : all)
      sum += hashOf(content, it.ServerId);
  for (const auto &[content, it] : Cleared)
    sum += hashOf(content, "");
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
  while (!CompletedOrder.empty() &&
         Completed.at(CompletedOrder.front()) + CompletionValidity <= Now) {
    Completed.erase(CompletedOrder.front());
    CompletedOrder.pop_front();
  }
}

} // namespace crocusspur::gateway
