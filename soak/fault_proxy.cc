#include "fault_proxy.h"

#include "gateway_fleet.h"

#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace crocusspur::soak {
namespace {

constexpr Milliseconds ForwardDelay{30};
constexpr int PollIntervalMs = 50; // interval at which the mode is checked

} // namespace

// Disconnecting a TCP socket resets its connection. A shutdown() would end it
// as the peer itself does, whatever SO_LINGER says.
void resetConnection(int Fd) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  ::connect(Fd, &none, sizeof none);
}

FaultProxy::FaultProxy(std::string Target)
    : Target(std::move(Target)), Server([this](int Fd, int) { serve(Fd); }) {}

FaultProxy::~FaultProxy() {
  std::lock_guard lock(Mutex);
  Stopping = true;
  for (int it : OpenSockets)
    ::shutdown(it, SHUT_RDWR);
}

void FaultProxy::setTarget(std::string Address) {
  std::lock_guard lock(Mutex);
  Target = std::move(Address);
}

int FaultProxy::connectToTarget() {
  std::lock_guard lock(Mutex); // after setTarget() none leads to the former one
  return test::connectTo(Target);
}

void FaultProxy::resetAll() {
  std::lock_guard lock(Mutex);
  for (int it : OpenSockets)
    resetConnection(it);
}

void FaultProxy::serve(int Fd) {
  int upstream = Mode.load() == ProxyFault::Reject ? -1 : connectToTarget();
  if (upstream < 0)
    return;
  {
    std::lock_guard lock(Mutex);
    if (Stopping) {
      ::close(upstream);
      return;
    }
    OpenSockets.insert(Fd);
    OpenSockets.insert(upstream);
  }
  pollfd fds[2] = {{Fd, POLLIN, 0}, {upstream, POLLIN, 0}};
  bool open = true;
  bool broken = false;   // by a reset of one side
  bool dropping = false; // no byte may follow one that was dropped
  while (open) {
    ProxyFault mode = Mode.load();
    if (mode == ProxyFault::Stall) {
      std::this_thread::sleep_for(Milliseconds(PollIntervalMs));
      std::lock_guard lock(Mutex);
      open = !Stopping;
      continue;
    }
    if (::poll(fds, 2, PollIntervalMs) <= 0)
      continue;
    for (int i = 0; i < 2 && open; ++i) {
      if (fds[i].revents == 0)
        continue;
      char buf[16384];
      ssize_t n = ::recv(fds[i].fd, buf, sizeof buf, 0);
      open = n > 0;
      broken = broken || n < 0;
      if (mode == ProxyFault::Delay)
        std::this_thread::sleep_for(ForwardDelay);
      dropping =
          dropping || (open && i == 1 && mode == ProxyFault::DropResponses);
      if (open && !(i == 1 && dropping))
        sendText(fds[1 - i].fd, {buf, static_cast<size_t>(n)});
    }
  }
  std::lock_guard lock(Mutex);
  if (broken || dropping) {
    resetConnection(Fd);
    resetConnection(upstream);
  }
  OpenSockets.erase(Fd);
  OpenSockets.erase(upstream);
  ::close(upstream);
}

} // namespace crocusspur::soak
