#include "cut_proxy.h"

#include "gateway_fleet.h"
#include "test_socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace crocusspur::test {
namespace {

constexpr int PollIntervalMs = 5; // interval at which the form is checked
constexpr int Backlog = 64;
// A backlog of 0 holds one connection; the others fill the queue of requests.
constexpr int FillerCount = 4;

sockaddr_in loopback(uint16_t Port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(Port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void resetConnection(int Fd) {
  // Disconnecting a TCP socket resets its connection.
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  ::connect(Fd, &none, sizeof none);
}

} // namespace

CutProxy::CutProxy(std::string Target) : Target(std::move(Target)) {
  Reserved = bindSocket();
  listen();
  Acceptor = std::thread([this] { accept(); });
}

CutProxy::~CutProxy() {
  Stopping.store(true);
  Acceptor.join();
  {
    std::lock_guard lock(Mutex);
    for (int it : Open)
      ::shutdown(it, SHUT_RDWR);
    stopListening();
  }
  for (std::thread &it : Threads)
    it.join();
  ::close(Reserved);
}

std::string CutProxy::address() const {
  return "127.0.0.1:" + std::to_string(Port);
}

// Without inheritance by the instances, which would go on listening.
int CutProxy::bindSocket() {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = loopback(Port);
  socklen_t length = sizeof address;
  auto *plain = reinterpret_cast<sockaddr *>(&address);
  // A child process holds the listening socket until it starts its program.
  bool bound =
      eventually([&] { return ::bind(fd, plain, length) == 0; }, WaitTimeout);
  if (!bound || ::getsockname(fd, plain, &length) != 0)
    throw std::runtime_error("can't bind a port for the test");
  Port = ntohs(address.sin_port);
  return fd;
}

void CutProxy::listen() {
  Listener = bindSocket();
  bool hangs = Form.load() == CutForm::Hang;
  ::listen(Listener, hangs ? 0 : Backlog);
  if (hangs)
    fillBacklog();
}

void CutProxy::fillBacklog() {
  sockaddr_in address = loopback(Port);
  for (int i = 0; i < FillerCount; ++i) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    Fillers.push_back(fd);
  }
}

void CutProxy::stopListening() {
  if (Listener >= 0)
    ::close(std::exchange(Listener, -1));
  for (int it : Fillers)
    ::close(it);
  Fillers.clear();
}

bool CutProxy::isSilent() const {
  CutForm form = Form.load();
  return form == CutForm::RefusedSilent || form == CutForm::Hang ||
         form == CutForm::Silent;
}

void CutProxy::setForm(CutForm NewForm) {
  std::lock_guard lock(Mutex);
  // The kernel resets what waits at a listener that is closed, which is a form
  // of its own.
  while (acceptNext()) {
  }
  stopListening();
  Form.store(NewForm);
  if (NewForm == CutForm::None || NewForm == CutForm::Hang ||
      NewForm == CutForm::Silent)
    listen();
  if (NewForm == CutForm::Reset)
    for (int it : Open)
      resetConnection(it);
}

void CutProxy::accept() {
  while (!Stopping.load()) {
    std::this_thread::sleep_for(Milliseconds(1));
    std::lock_guard lock(Mutex);
    acceptNext();
  }
}

bool CutProxy::acceptNext() {
  pollfd item{Listener, POLLIN, 0};
  if (Listener < 0 || Form.load() == CutForm::Hang || ::poll(&item, 1, 0) <= 0)
    return false;
  int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd < 0)
    return false;
  Open.insert(fd);
  Threads.emplace_back([this, fd] { forward(fd); });
  return true;
}

void CutProxy::forward(int Fd) {
  auto waitWhileSilent = [this] {
    while (isSilent() && !Stopping.load())
      std::this_thread::sleep_for(Milliseconds(PollIntervalMs));
  };
  waitWhileSilent();
  int upstream = connectTo(Target);
  if (upstream >= 0) {
    std::lock_guard lock(Mutex);
    Open.insert(upstream);
  }
  bool open = upstream >= 0;
  bool broken = false; // by a reset of one side, which the other one must see
  pollfd fds[2] = {{Fd, POLLIN, 0}, {upstream, POLLIN, 0}};
  while (open && !Stopping.load()) {
    waitWhileSilent();
    if (::poll(fds, 2, PollIntervalMs) <= 0 || isSilent())
      continue;
    for (int i = 0; i < 2 && open; ++i) {
      if (fds[i].revents == 0)
        continue;
      char buf[16384];
      ssize_t n = ::recv(fds[i].fd, buf, sizeof buf, 0);
      open = n > 0;
      broken = broken || n < 0;
      if (open)
        sendText(fds[1 - i].fd, {buf, static_cast<size_t>(n)});
    }
  }
  std::lock_guard lock(Mutex);
  for (int it : {Fd, upstream}) {
    Open.erase(it);
    if (it >= 0 && broken)
      resetConnection(it);
    if (it >= 0)
      ::close(it);
  }
}

} // namespace crocusspur::test
