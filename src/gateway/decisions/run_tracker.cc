#include "gateway/decisions/run_tracker.h"

#include <iterator>
#include <utility>

namespace crocusspur::gateway {
namespace {

// A server's entry expires after three missed heartbeats, and a restarted one
// registers after some seconds.
constexpr Milliseconds BrokenRetention{12000};
// A refused connection is a sign of the server's end for this long. Then the
// instance may have been cut off in the meantime.
constexpr Milliseconds RefusalValidity{1000};
constexpr size_t MaxRuns = 4096; // beyond it, the oldest is dropped

} // namespace

RunTracker::Id RunTracker::start(TrackedRun Run) {
  if (Runs.size() >= MaxRuns)
    remove(Runs.begin());
  Runs.emplace(++LastId, std::move(Run));
  return LastId;
}

void RunTracker::removeFromIndexes(RunMap::const_iterator It) {
  const auto &[id, run] = *It;
  if (!run.BrokenAt)
    return;
  Broken.erase({*run.BrokenAt, id});
  Refused.erase(id);
  auto ofProcess = BrokenOf.find(processOf(run));
  ofProcess->second.erase({*run.BrokenAt, id});
  if (ofProcess->second.empty())
    BrokenOf.erase(ofProcess);
}

TrackedRun RunTracker::remove(RunMap::iterator It) {
  removeFromIndexes(It);
  return std::move(Runs.extract(It).mapped());
}

std::vector<TrackedRun>
RunTracker::removeIf(const std::function<bool(const TrackedRun &)> &Condition) {
  std::vector<TrackedRun> removed;
  for (auto it = Runs.begin(); it != Runs.end();) {
    auto next = std::next(it);
    if (Condition(it->second))
      removed.push_back(remove(it));
    it = next;
  }
  return removed;
}

std::optional<TrackedRun> RunTracker::end(Id Run) {
  auto it = Runs.find(Run);
  return it == Runs.end() ? std::nullopt : std::optional(remove(it));
}

void RunTracker::breakOff(Id Run, TimePoint Now, bool WasRefused) {
  expire(Now);
  auto it = Runs.find(Run);
  if (it == Runs.end())
    return;
  removeFromIndexes(it);
  it->second.BrokenAt = Now;
  it->second.Refused = WasRefused;
  Broken.emplace(Now, Run);
  BrokenOf[processOf(it->second)].emplace(Now, Run);
  if (WasRefused)
    Refused.insert(Run);
}

std::vector<TrackedRun>
RunTracker::onOtherResponded(const std::string &ServerId, TimePoint StartedAt,
                             TimePoint Now) {
  std::vector<TrackedRun> ended;
  for (auto at = Refused.begin(); at != Refused.end();) {
    auto it = Runs.find(*at++);
    const TrackedRun &run = it->second;
    if (run.ServerId != ServerId && *run.BrokenAt <= StartedAt &&
        *run.BrokenAt + RefusalValidity > Now)
      ended.push_back(remove(it));
  }
  return ended;
}

void RunTracker::onResponded(Id Run) {
  auto found = Runs.find(Run);
  if (found == Runs.end())
    return;
  TimePoint sentAt = found->second.SentAt;
  auto broken = BrokenOf.find(processOf(found->second));
  if (broken == BrokenOf.end())
    return;
  std::vector<Id> outlived;
  for (const auto &[at, id] : broken->second) {
    if (at > sentAt)
      break;
    outlived.push_back(id);
  }
  for (Id it : outlived)
    remove(Runs.find(it));
}

const TrackedRun *RunTracker::onSurvived(Id Run) {
  auto it = Runs.find(Run);
  if (it == Runs.end())
    return nullptr;
  it->second.Survived = true;
  return &it->second;
}

void RunTracker::expire(TimePoint Now) {
  while (!Broken.empty() && Broken.begin()->first + BrokenRetention < Now)
    remove(Runs.find(Broken.begin()->second));
}

std::vector<TrackedRun> RunTracker::onRestarted(const std::string &ServerId,
                                                int64_t StartedAt,
                                                TimePoint Now) {
  expire(Now);
  return removeIf([&](const TrackedRun &It) {
    return It.ServerId == ServerId && It.ServerStartedAt != 0 &&
           It.ServerStartedAt != StartedAt;
  });
}

std::vector<TrackedRun> RunTracker::onVanished(const std::string &ServerId,
                                               TimePoint Now) {
  expire(Now);
  return removeIf([&](const TrackedRun &It) {
    return It.ServerId == ServerId && It.BrokenAt;
  });
}

} // namespace crocusspur::gateway
