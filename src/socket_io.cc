#include "socket_io.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>

namespace crocusspur::internal {

int pollTimeout(TimePoint Until) {
  auto left =
      std::chrono::ceil<Milliseconds>(Until - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<int64_t>(left.count(), 0, INT_MAX));
}

WaitResult PlainWaiter::wait(int Fd, short Events, TimePoint Until) {
  while (true) {
    pollfd item{Fd, Events, 0};
    int n = ::poll(&item, 1, pollTimeout(Until));
    if (n > 0)
      return WaitResult::Ready;
    if (n == 0)
      return WaitResult::TimedOut;
    if (errno != EINTR)
      return WaitResult::Ready; // the next call on the socket gives the error
  }
}

WakeUp::WakeUp() : Fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (Fd < 0)
    throw std::runtime_error("no descriptor left for a wake-up");
}

WakeUp::~WakeUp() { ::close(Fd); }

void WakeUp::set() {
  uint64_t one = 1;
  // Fails only when the counter is at its limit, and then it is readable.
  [[maybe_unused]] ssize_t n = ::write(Fd, &one, sizeof one);
}

void WakeUp::clear() {
  uint64_t value = 0;
  [[maybe_unused]] ssize_t n = ::read(Fd, &value, sizeof value);
}

} // namespace crocusspur::internal
