#include "socket_io.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace crocusspur::internal {

int pollTimeout(TimePoint Until) {
  auto left =
      std::chrono::ceil<Milliseconds>(Until - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<int64_t>(left.count(), 0, INT_MAX));
}

WaitResult PollWaiter::wait(int Fd, short Events, TimePoint Until) {
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

bool waitUntilWritable(int Fd, TimePoint Until) {
  while (true) {
    pollfd item{Fd, POLLOUT | POLLRDHUP, 0};
    int n = ::poll(&item, 1, pollTimeout(Until));
    if (n == 0)
      return false;
    if (n > 0)
      return !(item.revents & (POLLRDHUP | POLLHUP | POLLERR));
    if (errno != EINTR)
      return false;
  }
}

WaitSet::WaitSet() : Set(::epoll_create1(EPOLL_CLOEXEC)) {
  if (Set < 0)
    throw std::runtime_error("can't create an epoll descriptor");
}

WaitSet::~WaitSet() { ::close(Set); }

// The event bits of epoll have the same values as those of poll.
void WaitSet::add(int Fd, short Events) {
  epoll_event event{};
  event.events = static_cast<uint16_t>(Events);
  event.data.fd = Fd;
  ::epoll_ctl(Set, EPOLL_CTL_ADD, Fd, &event);
}

void WaitSet::removeTransient() {
  if (Transient >= 0)
    ::epoll_ctl(Set, EPOLL_CTL_DEL, Transient, nullptr);
  Transient = -1;
}

void WaitSet::setTransient(int Fd, short Events) {
  if (Fd == Transient && Events == TransientEvents)
    return;
  removeTransient();
  if (Fd < 0)
    return;
  add(Fd, Events);
  Transient = Fd;
  TransientEvents = Events;
}

WaitSet::Result WaitSet::wait(int Fd, short Events, TimePoint Until) {
  setTransient(Fd, Events);
  Result result;
  epoll_event ready[4];
  int n;
  do
    n = ::epoll_wait(Set, ready, 4, pollTimeout(Until));
  while (n < 0 && errno == EINTR);
  result.TimedOut = n <= 0;
  for (int i = 0; i < n; ++i)
    if (ready[i].data.fd == Transient)
      result.Transient = true;
    else
      result.Persistent = ready[i].data.fd;
  return result;
}

WakeUp::WakeUp() : Fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (Fd < 0)
    throw std::runtime_error("can't create an eventfd descriptor");
}

WakeUp::~WakeUp() { ::close(Fd); }

void WakeUp::set() {
  uint64_t one = 1;
  // Fails only if the counter is full; the descriptor is readable then.
  [[maybe_unused]] ssize_t n = ::write(Fd, &one, sizeof one);
}

void WakeUp::clear() {
  uint64_t value = 0;
  [[maybe_unused]] ssize_t n = ::read(Fd, &value, sizeof value);
}

} // namespace crocusspur::internal
