// Notices units of work that don't end, so that a thread that hangs shows by
// itself: whoever waits for it only sees that nothing responds. Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_THREAD_WATCH_H
#define CROCUSSPUR_GATEWAY_THREAD_WATCH_H

#include "checked_mutex.h"
#include "crocusspur/types.h"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

class ThreadWatch {
public:
  // Longer than any unit of work takes: calls of it end by their time-outs.
  static constexpr Milliseconds MaxWorkTime{15000};
  // Of those that only pass work on to other threads.
  static constexpr Milliseconds MaxHandOffTime{5000};

  // A unit of work of the calling thread, for as long as the object lives.
  class Work : public boost::intrusive::list_base_hook<
                   boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  public:
    // `Name` must outlive the object.
    Work(ThreadWatch &Watch, const char *Name,
         Milliseconds MaxTime = MaxWorkTime);
    ~Work();
    Work(const Work &) = delete;
    Work &operator=(const Work &) = delete;

  private:
    friend class ThreadWatch;
    ThreadWatch &Watch;
    const char *const Name;
    const Milliseconds MaxTime;
    Milliseconds Seen{0}; // by check()
    bool IsReported = false;
  };

  struct Change {
    std::string Name;
    Milliseconds For{0};  // at least
    bool IsStuck = false; // or has ended
  };
  // To be called every `Period`. Returns the units that have been found stuck
  // since the last call, and those of them that have ended. Time in which the
  // process stands still isn't counted, since no call is made in it.
  std::vector<Change> check(Milliseconds Period);
  // Units that are stuck now.
  size_t stuck() const;

private:
  mutable internal::LeafMutex Mutex;
  boost::intrusive::list<Work, boost::intrusive::constant_time_size<false>>
      Open;
  std::vector<Change> Ended; // reported ones, since the last check
};

// Watches the acceptor of a listener; see ConnectionServerOptions.
inline std::function<void(const std::function<void()> &)>
acceptWatch(ThreadWatch &Watch, const char *Name) {
  return [&Watch, Name](const std::function<void()> &Accept) {
    ThreadWatch::Work work(Watch, Name, ThreadWatch::MaxHandOffTime);
    Accept();
  };
}

} // namespace crocusspur::gateway

#endif
