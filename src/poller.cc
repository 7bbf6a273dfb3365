#include "poller.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace crocusspur::internal {
namespace {

constexpr uint64_t WakeKey = 0;

epoll_event eventFor(uint64_t Key, bool Read, bool Write) {
  epoll_event event{};
  event.events = (Read ? EPOLLIN : 0u) | (Write ? EPOLLOUT : 0u);
  event.data.u64 = Key;
  return event;
}

} // namespace

Poller::Poller()
    : Epoll(epoll_create1(EPOLL_CLOEXEC)),
      WakeUp(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (isUsable() && !add(WakeUp, WakeKey, true, false)) {
    ::close(WakeUp);
    WakeUp = -1;
  }
}

Poller::~Poller() {
  if (WakeUp >= 0)
    ::close(WakeUp);
  if (Epoll >= 0)
    ::close(Epoll);
}

bool Poller::isUsable() const { return Epoll >= 0 && WakeUp >= 0; }

bool Poller::add(int Socket, uint64_t Key, bool Read, bool Write) {
  epoll_event event = eventFor(Key, Read, Write);
  return epoll_ctl(Epoll, EPOLL_CTL_ADD, Socket, &event) == 0;
}

void Poller::update(int Socket, uint64_t Key, bool Read, bool Write) {
  epoll_event event = eventFor(Key, Read, Write);
  epoll_ctl(Epoll, EPOLL_CTL_MOD, Socket, &event);
}

void Poller::remove(int Socket) {
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Socket, nullptr);
}

const std::vector<PollEvent> &Poller::wait(Milliseconds Limit) {
  std::array<epoll_event, 512> ready;
  int n = epoll_wait(Epoll, ready.data(), static_cast<int>(ready.size()),
                     static_cast<int>(Limit.count()));
  Events.clear();
  for (int i = 0; i < n; ++i) {
    const epoll_event &it = ready[static_cast<size_t>(i)];
    if (it.data.u64 == WakeKey) {
      uint64_t count = 0;
      [[maybe_unused]] ssize_t got = ::read(WakeUp, &count, sizeof count);
      continue;
    }
    bool failed = it.events & (EPOLLERR | EPOLLHUP);
    Events.push_back({it.data.u64, failed || (it.events & EPOLLIN),
                      (it.events & EPOLLOUT) != 0});
  }
  return Events;
}

void Poller::wake() {
  uint64_t one = 1;
  // The write fails if the counter is full; a wake-up is pending then.
  [[maybe_unused]] ssize_t put = ::write(WakeUp, &one, sizeof one);
}

} // namespace crocusspur::internal
