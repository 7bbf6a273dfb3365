#include "gateway/thread_watch.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {

ThreadWatch::Work::Work(ThreadWatch &Watch, const char *Name,
                        Milliseconds MaxTime)
    : Watch(Watch), Name(Name), MaxTime(MaxTime) {
  std::lock_guard lock(Watch.Mutex);
  Watch.Open.push_back(*this);
}

ThreadWatch::Work::~Work() {
  std::lock_guard lock(Watch.Mutex);
  if (IsReported)
    Watch.Ended.push_back({Name, Seen, /*IsStuck=*/false});
  unlink();
}

std::vector<ThreadWatch::Change> ThreadWatch::check(Milliseconds Period) {
  std::lock_guard lock(Mutex);
  std::vector<Change> all = std::exchange(Ended, {});
  for (Work &it : Open) {
    it.Seen += Period;
    if (it.Seen <= it.MaxTime || std::exchange(it.IsReported, true))
      continue;
    all.push_back({it.Name, it.Seen, /*IsStuck=*/true});
  }
  return all;
}

size_t ThreadWatch::stuck() const {
  std::lock_guard lock(Mutex);
  return static_cast<size_t>(std::ranges::count_if(
      Open, [](const Work &It) { return It.IsReported; }));
}

} // namespace crocusspur::gateway
