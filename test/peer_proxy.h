// TCP proxies in front of the peer addresses of instances, so that tests can
// cut or freeze the links between them.
#ifndef CROCUSSPUR_TEST_PEER_PROXY_H
#define CROCUSSPUR_TEST_PEER_PROXY_H

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace crocusspur::test {

// Thread-safe. One thread forwards for all instances.
class PeerProxy {
public:
  PeerProxy();
  ~PeerProxy();
  PeerProxy(const PeerProxy &) = delete;
  PeerProxy &operator=(const PeerProxy &) = delete;

  // Address to publish for the instance; it stays the same when its target
  // changes.
  std::string publishedAddress(const std::string &Name);
  void setTarget(const std::string &Name, const std::string &Address);

  // Closes the links between the two and rejects new ones.
  void cut(const std::string &One, const std::string &Other);
  // Keeps links between the two open and accepts new ones, but forwards
  // nothing.
  void freeze(const std::string &One, const std::string &Other);
  // Stops forwarding on the instance's open links; new links work.
  void silenceOpenLinks(const std::string &Name);
  // Ends cuts and freezes. Closes links that were frozen, since bytes between
  // instances were lost.
  void heal();
  // Number of links of the instance that are forwarding.
  size_t countOpenLinks(const std::string &Name);

private:
  enum class Fault { Cut, Freeze };
  struct Listener {
    int Fd = -1;
    std::string Address;
    std::string Target;
  };
  struct Link {
    std::string Dialer; // "" until its first frame arrives
    std::string Dialed;
    int Near = -1; // the dialer's side
    int Far = -1;
    bool Silenced = false;
  };
  using Pair = std::pair<std::string, std::string>;

  static Pair pairOf(const std::string &One, const std::string &Other);
  Listener &listenerOf(const std::string &Name);
  void setFault(const std::string &One, const std::string &Other, Fault Kind);
  void run();
  void forwardOnce();
  void acceptOn(const std::string &Name, Listener &It);
  bool forward(Link &It, bool FromNear);
  std::string dialerIn(const std::string &Bytes, const std::string &Dialed);
  static void close(Link &It);

  std::mutex Mutex;
  std::map<std::string, Listener> Listeners;
  std::list<Link> Links;
  std::map<Pair, Fault> Faults;
  std::atomic<bool> Stopping{false};
  std::thread Forwarder;
};

} // namespace crocusspur::test

#endif
