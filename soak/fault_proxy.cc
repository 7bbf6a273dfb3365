#include "fault_proxy.h"

#include "gateway_fleet.h"

#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace crocusspur::soak {
namespace {

constexpr Milliseconds PieceDelay{30};
constexpr int PollMs = 50; // between two looks at the mode

} // namespace

FaultProxy::FaultProxy(std::string Target)
    : Target(std::move(Target)), Server([this](int Fd, int) { serve(Fd); }) {}

FaultProxy::~FaultProxy() {
  std::lock_guard lock(Mutex);
  Stopping = true;
  for (int it : Open)
    ::shutdown(it, SHUT_RDWR);
}

void FaultProxy::resetAll() {
  std::lock_guard lock(Mutex);
  for (int it : Open) {
    resetOnClose(it);
    ::shutdown(it, SHUT_RDWR);
  }
}

void FaultProxy::serve(int Fd) {
  int far = Mode.load() == ProxyFault::Refuse ? -1 : test::connectTo(Target);
  if (far < 0)
    return;
  {
    std::lock_guard lock(Mutex);
    if (Stopping) {
      ::close(far);
      return;
    }
    Open.insert(Fd);
    Open.insert(far);
  }
  pollfd items[2] = {{Fd, POLLIN, 0}, {far, POLLIN, 0}};
  bool open = true;
  while (open) {
    ProxyFault mode = Mode.load();
    if (mode == ProxyFault::Silent) {
      std::this_thread::sleep_for(Milliseconds(PollMs));
      std::lock_guard lock(Mutex);
      open = !Stopping;
      continue;
    }
    if (::poll(items, 2, PollMs) <= 0)
      continue;
    for (int i = 0; i < 2 && open; ++i) {
      if (items[i].revents == 0)
        continue;
      char buf[16384];
      ssize_t n = ::recv(items[i].fd, buf, sizeof buf, 0);
      open = n > 0;
      if (mode == ProxyFault::Delay)
        std::this_thread::sleep_for(PieceDelay);
      bool cut = i == 1 && mode == ProxyFault::CutAnswers;
      if (open && !cut)
        sendText(items[1 - i].fd, {buf, static_cast<size_t>(n)});
    }
  }
  std::lock_guard lock(Mutex);
  Open.erase(Fd);
  Open.erase(far);
  ::close(far);
}

} // namespace crocusspur::soak
