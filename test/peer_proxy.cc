#include "peer_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace crocusspur::test {
namespace {

// Limits the delay until a new fault or listener takes effect.
constexpr int PollMilliseconds = 5;

int listenOnLoopback(std::string &Address) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof name;
  auto *plain = reinterpret_cast<sockaddr *>(&name);
  if (::bind(fd, plain, length) != 0 || ::listen(fd, 64) != 0 ||
      ::getsockname(fd, plain, &length) != 0)
    throw std::runtime_error("can't listen for the peer proxy");
  Address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
  return fd;
}

int dial(const std::string &Address) {
  size_t colon = Address.rfind(':');
  if (colon == std::string::npos)
    return -1;
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  name.sin_port =
      htons(static_cast<uint16_t>(std::stoul(Address.substr(colon + 1))));
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0)
    return fd;
  ::close(fd);
  return -1;
}

void disableNagle(int Fd) {
  int on = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool writeAll(int Fd, const std::string &Bytes) {
  size_t done = 0;
  while (done < Bytes.size()) {
    ssize_t n =
        ::send(Fd, Bytes.data() + done, Bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

// A name as FlatBuffers encodes it: length, text and a zero byte.
std::string encodedName(const std::string &Name) {
  std::string text(1, static_cast<char>(Name.size()));
  text.append(3, '\0');
  return text + Name + '\0';
}

} // namespace

PeerProxy::PeerProxy() : Forwarder([this] { run(); }) {}

PeerProxy::~PeerProxy() {
  Stopping = true;
  Forwarder.join();
  for (Link &it : Links)
    close(it);
  for (auto &it : Listeners)
    ::close(it.second.Fd);
}

PeerProxy::Pair PeerProxy::pairOf(const std::string &One,
                                  const std::string &Other) {
  return One < Other ? Pair(One, Other) : Pair(Other, One);
}

PeerProxy::Listener &PeerProxy::listenerOf(const std::string &Name) {
  Listener &entry = Listeners[Name];
  if (entry.Fd < 0)
    entry.Fd = listenOnLoopback(entry.Address);
  return entry;
}

std::string PeerProxy::publishedAddress(const std::string &Name) {
  std::lock_guard lock(Mutex);
  return listenerOf(Name).Address;
}

void PeerProxy::setTarget(const std::string &Name, const std::string &Address) {
  std::lock_guard lock(Mutex);
  listenerOf(Name).Target = Address;
}

void PeerProxy::setFault(const std::string &One, const std::string &Other,
                         Fault Kind) {
  std::lock_guard lock(Mutex);
  Faults[pairOf(One, Other)] = Kind;
  for (Link &it : Links)
    if (pairOf(it.Dialer, it.Dialed) == pairOf(One, Other)) {
      it.Silenced = true;
      if (Kind == Fault::Cut)
        close(it);
    }
}

void PeerProxy::cut(const std::string &One, const std::string &Other) {
  setFault(One, Other, Fault::Cut);
}

void PeerProxy::freeze(const std::string &One, const std::string &Other) {
  setFault(One, Other, Fault::Freeze);
}

void PeerProxy::silenceOpenLinks(const std::string &Name) {
  std::lock_guard lock(Mutex);
  for (Link &it : Links)
    if (it.Dialer == Name || it.Dialed == Name)
      it.Silenced = true;
}

void PeerProxy::heal() {
  std::lock_guard lock(Mutex);
  Faults.clear();
  for (Link &it : Links)
    if (it.Silenced)
      close(it);
}

size_t PeerProxy::countOpenLinks(const std::string &Name) {
  std::lock_guard lock(Mutex);
  size_t count = 0;
  for (const Link &it : Links)
    count += it.Near >= 0 && !it.Silenced && !it.Dialer.empty() &&
             (it.Dialer == Name || it.Dialed == Name);
  return count;
}

void PeerProxy::close(Link &It) {
  if (It.Near < 0)
    return;
  ::close(It.Near);
  ::close(It.Far);
  It.Near = It.Far = -1;
}

void PeerProxy::run() {
  while (!Stopping)
    forwardOnce();
}

void PeerProxy::forwardOnce() {
  std::vector<pollfd> waits;
  {
    std::lock_guard lock(Mutex);
    std::erase_if(Links, [](const Link &It) { return It.Near < 0; });
    for (const auto &it : Listeners)
      waits.push_back({it.second.Fd, POLLIN, 0});
    for (const Link &it : Links)
      if (!it.Silenced) {
        waits.push_back({it.Near, POLLIN, 0});
        waits.push_back({it.Far, POLLIN, 0});
      }
  }
  ::poll(waits.data(), waits.size(), PollMilliseconds);
  std::set<int> ready;
  for (const pollfd &it : waits)
    if (it.revents != 0)
      ready.insert(it.fd);
  std::lock_guard lock(Mutex);
  for (Link &it : Links)
    if (!it.Silenced && it.Near >= 0 &&
        ((ready.count(it.Near) && !forward(it, true)) ||
         (ready.count(it.Far) && !forward(it, false))))
      close(it);
  for (auto &it : Listeners)
    if (ready.count(it.second.Fd))
      acceptOn(it.first, it.second);
}

void PeerProxy::acceptOn(const std::string &Name, Listener &It) {
  int near = ::accept4(It.Fd, nullptr, nullptr, SOCK_CLOEXEC);
  int far = near < 0 ? -1 : dial(It.Target);
  if (far < 0) {
    if (near >= 0)
      ::close(near);
    return;
  }
  disableNagle(near);
  disableNagle(far);
  Links.push_back({"", Name, near, far, false});
}

// The first frame of a dialer contains its name in plain text.
std::string PeerProxy::dialerIn(const std::string &Bytes,
                                const std::string &Dialed) {
  for (const auto &it : Listeners)
    if (it.first != Dialed &&
        Bytes.find(encodedName(it.first)) != std::string::npos)
      return it.first;
  return "";
}

// Returns false if the link has to be closed.
bool PeerProxy::forward(Link &It, bool FromNear) {
  std::string bytes(65536, '\0');
  ssize_t n = ::recv(FromNear ? It.Near : It.Far, bytes.data(), bytes.size(),
                     MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0)
    return false;
  bytes.resize(static_cast<size_t>(n));
  if (FromNear && It.Dialer.empty()) {
    It.Dialer = dialerIn(bytes, It.Dialed);
    auto fault = Faults.find(pairOf(It.Dialer, It.Dialed));
    if (fault != Faults.end()) {
      It.Silenced = true;
      return fault->second != Fault::Cut;
    }
  }
  return writeAll(FromNear ? It.Far : It.Near, bytes);
}

} // namespace crocusspur::test
