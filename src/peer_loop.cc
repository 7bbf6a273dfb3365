#include "peer_loop.h"

#include "address.h"
#include "checked_mutex.h"
#include "poller.h"
#include "ring.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Thread.h>
#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <sys/socket.h>
#include <system_error>
#include <unordered_map>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr uint64_t ListenerKey = 1;
constexpr Milliseconds HousekeepingPeriod{25};
constexpr Milliseconds FlushTimeout{250};
constexpr int ThreadStackBytes = 262144;
constexpr size_t ReadBytes = 65536;

// State of an established link that is shared with sending threads.
struct SendState {
  uint64_t Link = 0;
  std::atomic<size_t> Queued{0};
  std::atomic<bool> Overflow{false};
};
using SendStatePtr = std::shared_ptr<SendState>;

struct OutgoingFrame {
  uint64_t Link = 0;
  Bytes Frame;
};

struct Link {
  Link(PeerConnection Connection, Poco::Net::StreamSocket Socket, LinkRole Role,
       std::string Label)
      : Connection(std::move(Connection)), Socket(std::move(Socket)),
        Role(Role), Label(std::move(Label)) {}

  PeerConnection Connection;
  Poco::Net::StreamSocket Socket;
  LinkRole Role;
  std::string Label;  // for the log: address, then the peer's name
  std::string Dialed; // name of the peer that this side dialled
  bool Connecting = false;
  bool WantsWrite = false;
  SendStatePtr Out; // set while this is its peer's established link
};

// A listed instance.
struct Peer {
  std::string Address;
  TimePoint NextDial;
  Milliseconds Backoff{0};
  uint64_t Dialing = 0; // link that is being set up, or 0
};

Hello makeHello(const std::string &Name, uint64_t Incarnation) {
  Hello hello{Name, Incarnation, {}};
  std::random_device random;
  for (uint8_t &it : hello.Nonce)
    it = static_cast<uint8_t>(random());
  return hello;
}

} // namespace

struct PeerLoop::State {
  State(PeerLoopOptions Options, PeerLoopHooks Hooks)
      : Options(std::move(Options)), Hooks(std::move(Hooks)),
        Outgoing(this->Options.RingCapacity), Random(this->Options.Incarnation),
        Thread("peer-loop") {}

  PeerLoopOptions Options;
  PeerLoopHooks Hooks;
  Poller Poll;
  Poco::Net::ServerSocket Listener;
  bool ListenerPaused = false;
  Ring<OutgoingFrame> Outgoing;
  std::atomic<bool> WakePending{false};
  std::atomic<bool> Stopping{false};
  bool Running = false;

  LeafMutex Mutex; // guards the two members below
  std::map<std::string, SendStatePtr> SendStates;
  std::optional<std::map<std::string, std::string>> NewPeers;

  // Members from here on belong to the loop's thread.
  std::unordered_map<uint64_t, std::unique_ptr<Link>> Links;
  std::map<std::string, uint64_t> EstablishedLinks; // by the peer's name
  std::set<uint64_t> Unauthenticated; // accepted, no proof yet; oldest first
  std::map<std::string, Peer> Peers;
  std::vector<uint64_t> LinksToFlush; // links with frames to send
  uint64_t LastKey = ListenerKey;
  std::mt19937_64 Random;
  TimePoint NextHousekeeping;
  Poco::Thread Thread;

  bool listen();
  void run();
  void runOnce(bool Accepting);
  void wake();

  void acceptLink();
  void pauseListener(bool Pause);
  void dial(const std::string &Name, Peer &Entry);
  uint64_t addLink(std::unique_ptr<Link> It);
  void closeLink(uint64_t Key, const std::string &Reason);
  void unregisterLink(Link &It);

  void onReady(const PollEvent &Event);
  bool finishConnect(uint64_t Key, Link &It);
  void readLink(uint64_t Key, Link &It);
  void writeLink(uint64_t Key, Link &It);
  void markSent(Link &It, size_t Count);
  bool onUp(uint64_t Key, Link &It);
  bool shouldKeepOld(const Link &Old, const Link &New) const;
  void drainOutgoing();
  void flushLinks();

  void doHousekeeping(TimePoint Now);
  void applyPeerList(TimePoint Now);
  void dialDuePeers(TimePoint Now);
  Milliseconds withJitter(Milliseconds Max);
  void scheduleDial(const std::string &Name, Peer &Entry, TimePoint Now);
  void flushBeforeStop();
};

// --- Interface, called on other threads ---

PeerLoop::PeerLoop(PeerLoopOptions Options, PeerLoopHooks Hooks)
    : Impl(std::make_unique<State>(std::move(Options), std::move(Hooks))) {}

PeerLoop::~PeerLoop() { stop(); }

bool PeerLoop::start() {
  if (!Impl->Poll.isUsable() || !Impl->listen())
    return false;
  Impl->Thread.setStackSize(ThreadStackBytes);
  Impl->Thread.startFunc([this] { Impl->run(); });
  Impl->Running = true;
  return true;
}

void PeerLoop::stop() {
  if (!Impl->Running)
    return;
  Impl->Stopping = true;
  Impl->Poll.wake();
  Impl->Thread.join();
  Impl->Running = false;
}

bool PeerLoop::send(const std::string &Instance, const PeerMessage &Message) {
  SendStatePtr out;
  {
    std::lock_guard lock(Impl->Mutex);
    auto it = Impl->SendStates.find(Instance);
    if (it == Impl->SendStates.end() || it->second->Overflow)
      return false;
    out = it->second;
  }
  OutgoingFrame item{out->Link, encode(Message)};
  size_t size = item.Frame.size();
  if (size > Impl->Options.Limits.MaxFrameBytes)
    return false;
  size_t before = out->Queued.fetch_add(size);
  bool fits = before == 0 || before + size <= Impl->Options.MaxQueuedBytes;
  fits = fits && Impl->Outgoing.tryPush(item);
  if (!fits)
    out->Overflow = true;
  Impl->wake();
  return fits;
}

void PeerLoop::setPeers(const std::vector<InstanceEntry> &Peers) {
  std::map<std::string, std::string> addresses;
  for (const InstanceEntry &it : Peers)
    if (it.Name != Impl->Options.Name)
      addresses[it.Name] = it.PeerAddress;
  {
    std::lock_guard lock(Impl->Mutex);
    Impl->NewPeers = std::move(addresses);
  }
  Impl->wake();
}

uint16_t PeerLoop::port() const { return Impl->Listener.address().port(); }

// One system call wakes the loop for all frames queued before it runs.
void PeerLoop::State::wake() {
  if (!WakePending.exchange(true))
    Poll.wake();
}

// --- Loop ---

bool PeerLoop::State::listen() {
  try {
    if (!isAddress(Options.Address, true))
      throw Poco::InvalidArgumentException("expected IP:port");
    // No SO_REUSEPORT, which would let two processes share the port.
    Listener.bind(Poco::Net::SocketAddress(Options.Address), true, false);
    Listener.listen(512);
    Listener.setBlocking(false);
    return Poll.add(Listener.impl()->sockfd(), ListenerKey, true, false);
  } catch (const Poco::Exception &error) {
    Hooks.OnError(Options.Address, "can't listen: " + error.displayText());
    return false;
  }
}

void PeerLoop::State::run() {
  while (!Stopping)
    runOnce(true);
  flushBeforeStop();
  while (!Links.empty())
    closeLink(Links.begin()->first, "");
}

void PeerLoop::State::runOnce(bool Accepting) {
  auto left = std::chrono::ceil<Milliseconds>(NextHousekeeping - Clock::now());
  std::vector<PollEvent> events =
      Poll.wait(std::clamp(left, Milliseconds(0), HousekeepingPeriod));
  // Cleared before the ring is read, so a frame pushed later wakes the loop.
  WakePending.exchange(false);
  for (const PollEvent &it : events)
    if (it.Key != ListenerKey)
      onReady(it);
    else if (Accepting)
      acceptLink();
  drainOutgoing();
  flushLinks();
  // After reading, so that after a pause of the process links with unread input
  // don't time out.
  if (TimePoint now = Clock::now(); now >= NextHousekeeping)
    doHousekeeping(now);
}

void PeerLoop::State::flushBeforeStop() {
  TimePoint end = Clock::now() + FlushTimeout;
  auto pending = [&] {
    return std::any_of(Links.begin(), Links.end(), [](const auto &It) {
      return It.second->Out && !It.second->Connection.unsent().empty();
    });
  };
  drainOutgoing();
  flushLinks();
  while (pending() && Clock::now() < end)
    runOnce(false);
}

// --- Opening and closing links ---

void PeerLoop::State::acceptLink() {
  try {
    Poco::Net::SocketAddress from;
    Poco::Net::StreamSocket socket = Listener.acceptConnection(from);
    if (Unauthenticated.size() >= Options.MaxUnauthenticated)
      closeLink(*Unauthenticated.begin(), "too many connections without proof");
    PeerHandshake handshake(LinkRole::Acceptor,
                            makeHello(Options.Name, Options.Incarnation),
                            Options.Key, "");
    PeerConnection connection(Options.Limits, std::move(handshake),
                              Clock::now());
    uint64_t key = addLink(std::make_unique<Link>(
        std::move(connection), socket, LinkRole::Acceptor, from.toString()));
    if (key)
      Unauthenticated.insert(key);
  } catch (const Poco::Exception &error) {
    // If file descriptors run out, the loop would spin without this pause.
    pauseListener(true);
    Hooks.OnError(Options.Address, "can't accept: " + error.displayText());
  }
}

void PeerLoop::State::pauseListener(bool Pause) {
  if (ListenerPaused == Pause)
    return;
  ListenerPaused = Pause;
  Poll.update(Listener.impl()->sockfd(), ListenerKey, !Pause, false);
}

void PeerLoop::State::dial(const std::string &Name, Peer &Entry) {
  try {
    if (!isAddress(Entry.Address, false))
      throw Poco::InvalidArgumentException("bad address " + Entry.Address);
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress(Entry.Address));
    PeerHandshake handshake(LinkRole::Dialer,
                            makeHello(Options.Name, Options.Incarnation),
                            Options.Key, Name);
    PeerConnection connection(Options.Limits, std::move(handshake),
                              Clock::now());
    auto link = std::make_unique<Link>(std::move(connection), socket,
                                       LinkRole::Dialer, Name);
    link->Dialed = Name;
    link->Connecting = true;
    Entry.Dialing = addLink(std::move(link));
  } catch (const Poco::Exception &error) {
    Hooks.OnError(Name, "can't connect: " + error.displayText());
  }
  if (!Entry.Dialing)
    scheduleDial(Name, Entry, Clock::now());
}

uint64_t PeerLoop::State::addLink(std::unique_ptr<Link> It) {
  It->Socket.setBlocking(false);
  if (!It->Connecting)
    It->Socket.setNoDelay(true);
  uint64_t key = LastKey + 1;
  It->WantsWrite = It->Connecting;
  if (!Poll.add(It->Socket.impl()->sockfd(), key, true, It->Connecting)) {
    Hooks.OnError(It->Label, "can't add the connection to epoll");
    return 0;
  }
  LastKey = key;
  Links[key] = std::move(It);
  return key;
}

// An empty reason is not logged.
void PeerLoop::State::closeLink(uint64_t Key, const std::string &Reason) {
  auto it = Links.find(Key);
  if (it == Links.end())
    return;
  std::unique_ptr<Link> link = std::move(it->second);
  Links.erase(it);
  Unauthenticated.erase(Key);
  Poll.remove(link->Socket.impl()->sockfd());
  link->Socket.close();
  if (!Reason.empty())
    Hooks.OnError(link->Label, Reason);
  if (auto peer = Peers.find(link->Dialed);
      peer != Peers.end() && peer->second.Dialing == Key) {
    peer->second.Dialing = 0;
    scheduleDial(peer->first, peer->second, Clock::now());
  }
  if (link->Out)
    unregisterLink(*link);
}

// Removes the link as its peer's established link.
void PeerLoop::State::unregisterLink(Link &It) {
  const Hello &hello = It.Connection.handshake().peer();
  {
    std::lock_guard lock(Mutex);
    SendStates.erase(hello.Name);
  }
  EstablishedLinks.erase(hello.Name);
  It.Out = nullptr;
  if (auto peer = Peers.find(hello.Name); peer != Peers.end())
    scheduleDial(peer->first, peer->second, Clock::now());
  Hooks.OnDown(hello.Name, hello.Incarnation);
}

// If both sides dial at about the same time, there are two links. Both sides
// then keep the one dialled by the instance whose name sorts first. Any other
// second link means that the peer has abandoned the first.
bool PeerLoop::State::shouldKeepOld(const Link &Old, const Link &New) const {
  const Hello &before = Old.Connection.handshake().peer();
  const Hello &after = New.Connection.handshake().peer();
  if (before.Incarnation != after.Incarnation || Old.Role == New.Role)
    return false;
  bool sortsFirst = Options.Name < after.Name;
  return (Old.Role == LinkRole::Dialer) == sortsFirst;
}

bool PeerLoop::State::onUp(uint64_t Key, Link &It) {
  Unauthenticated.erase(Key);
  const Hello &hello = It.Connection.handshake().peer();
  It.Label = hello.Name;
  if (auto live = EstablishedLinks.find(hello.Name);
      live != EstablishedLinks.end()) {
    if (shouldKeepOld(*Links[live->second], It))
      return false;
    closeLink(live->second, "replaced by a newer link");
  }
  It.Out = std::make_shared<SendState>();
  It.Out->Link = Key;
  EstablishedLinks[hello.Name] = Key;
  if (auto peer = Peers.find(hello.Name); peer != Peers.end()) {
    peer->second.Backoff = Milliseconds(0);
    if (peer->second.Dialing == Key)
      peer->second.Dialing = 0;
  }
  {
    std::lock_guard lock(Mutex);
    SendStates[hello.Name] = It.Out;
  }
  Hooks.OnUp(hello.Name, hello.Incarnation);
  return true;
}

// --- Reading and writing ---

void PeerLoop::State::onReady(const PollEvent &Event) {
  // An earlier event of the same iteration may have closed the link.
  auto it = Links.find(Event.Key);
  if (it == Links.end())
    return;
  Link &link = *it->second;
  try {
    if (link.Connecting && !finishConnect(Event.Key, link))
      return;
    if (Event.Writable)
      writeLink(Event.Key, link);
    if (Event.Readable && Links.count(Event.Key))
      readLink(Event.Key, link);
  } catch (const Poco::Exception &error) {
    closeLink(Event.Key, "connection failed: " + error.displayText());
  }
}

bool PeerLoop::State::finishConnect(uint64_t Key, Link &It) {
  int error = It.Socket.impl()->socketError();
  if (error != 0) {
    closeLink(Key, "can't connect: " + std::generic_category().message(error));
    return false;
  }
  It.Connecting = false;
  It.Socket.setNoDelay(true);
  return true;
}

void PeerLoop::State::readLink(uint64_t Key, Link &It) {
  static thread_local std::array<uint8_t, ReadBytes> Buffer;
  int n = It.Socket.receiveBytes(Buffer.data(), static_cast<int>(ReadBytes));
  if (n < 0)
    return;
  if (n == 0)
    return closeLink(Key, It.Connection.isUp()
                              ? "peer closed the link"
                              : "peer closed the connection in the handshake");
  LinkHooks hooks;
  hooks.OnUp = [&] { return onUp(Key, It); };
  hooks.OnMessage = [&](PeerMessage Message) {
    const Hello &hello = It.Connection.handshake().peer();
    Hooks.OnMessage(hello.Name, hello.Incarnation, std::move(Message));
  };
  std::span data(Buffer.data(), static_cast<size_t>(n));
  if (!It.Connection.receive(data, Clock::now(), hooks))
    return closeLink(Key, It.Connection.closeReason());
  if (!It.Connection.unsent().empty())
    writeLink(Key, It);
}

void PeerLoop::State::writeLink(uint64_t Key, Link &It) {
  std::span<const uint8_t> rest = It.Connection.unsent();
  if (!rest.empty()) {
    int n = It.Socket.sendBytes(rest.data(), static_cast<int>(rest.size()),
                                MSG_NOSIGNAL);
    if (n > 0)
      markSent(It, static_cast<size_t>(n));
  }
  bool wait = !It.Connection.unsent().empty();
  if (wait != It.WantsWrite)
    Poll.update(It.Socket.impl()->sockfd(), Key, true, wait);
  It.WantsWrite = wait;
}

void PeerLoop::State::markSent(Link &It, size_t Count) {
  It.Connection.markSent(Count);
  // Queued doesn't include length prefixes and the end of the handshake, which
  // are sent too. Only this thread subtracts from it.
  if (It.Out)
    It.Out->Queued -= std::min(Count, It.Out->Queued.load());
}

void PeerLoop::State::drainOutgoing() {
  // Bounded, so that senders can't starve reading.
  OutgoingFrame item;
  for (size_t i = 0; i < Options.RingCapacity; ++i) {
    if (!Outgoing.pop(item, Milliseconds(0)))
      return;
    auto it = Links.find(item.Link);
    if (it == Links.end())
      continue;
    it->second->Connection.send(item.Frame);
    LinksToFlush.push_back(item.Link);
  }
  wake();
}

void PeerLoop::State::flushLinks() {
  std::sort(LinksToFlush.begin(), LinksToFlush.end());
  LinksToFlush.erase(std::unique(LinksToFlush.begin(), LinksToFlush.end()),
                     LinksToFlush.end());
  for (uint64_t key : LinksToFlush) {
    auto it = Links.find(key);
    if (it == Links.end() || it->second->WantsWrite)
      continue;
    try {
      writeLink(key, *it->second);
    } catch (const Poco::Exception &error) {
      closeLink(key, "connection failed: " + error.displayText());
    }
  }
  LinksToFlush.clear();
}

// --- Time ---

void PeerLoop::State::doHousekeeping(TimePoint Now) {
  NextHousekeeping = Now + HousekeepingPeriod;
  pauseListener(false);
  std::vector<std::pair<uint64_t, std::string>> failures;
  for (auto &[key, link] : Links) {
    if (link->Out && link->Out->Overflow)
      failures.emplace_back(key, "queue of outgoing frames is full");
    else if (!link->Connection.checkTimeouts(Now))
      failures.emplace_back(key, link->Connection.closeReason());
  }
  for (const auto &[key, reason] : failures)
    closeLink(key, reason);
  applyPeerList(Now);
  dialDuePeers(Now);
}

void PeerLoop::State::applyPeerList(TimePoint Now) {
  std::optional<std::map<std::string, std::string>> wanted;
  {
    std::lock_guard lock(Mutex);
    wanted.swap(NewPeers);
  }
  if (!wanted)
    return;
  std::erase_if(Peers,
                [&](const auto &It) { return !wanted->count(It.first); });
  for (const auto &[name, address] : *wanted) {
    Peer &peer = Peers[name];
    if (peer.Address == address)
      continue;
    peer.Address = address;
    bool first = Options.Name < name;
    peer.NextDial = Now + (first ? Milliseconds(0) : Options.DialDelay);
  }
  std::vector<uint64_t> dropped;
  for (const auto &[key, link] : Links) {
    const std::string &name =
        link->Out ? link->Connection.handshake().peer().Name : link->Dialed;
    if (!name.empty() && !Peers.count(name))
      dropped.push_back(key);
  }
  for (uint64_t key : dropped)
    closeLink(key, "instance is no longer listed");
}

void PeerLoop::State::dialDuePeers(TimePoint Now) {
  for (auto &[name, peer] : Peers)
    if (!peer.Dialing && !EstablishedLinks.count(name) && Now >= peer.NextDial)
      dial(name, peer);
}

// Returns a random delay between half of Max and Max.
Milliseconds PeerLoop::State::withJitter(Milliseconds Max) {
  std::uniform_int_distribution<int64_t> spread(Max.count() / 2, Max.count());
  return Milliseconds(spread(Random));
}

void PeerLoop::State::scheduleDial(const std::string &Name, Peer &Entry,
                                   TimePoint Now) {
  Entry.Backoff =
      std::clamp(Entry.Backoff * 2, Options.MinBackoff, Options.MaxBackoff);
  Entry.NextDial = Now + withJitter(Entry.Backoff);
  if (Options.Name > Name)
    Entry.NextDial =
        std::max(Entry.NextDial, Now + withJitter(Options.DialDelay));
}

} // namespace crocusspur::internal
