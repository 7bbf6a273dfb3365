#include "peer_loop.h"

#include "peer_generated.h"
#include "test_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::internal;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

namespace {

// Much longer than the waits take, so that tests pass on a loaded machine.
constexpr std::chrono::seconds WaitLimit{30};

const std::string Key = "0123456789abcdef";

// A loop that records the calls of its hooks as lines such as "up b 2",
// "down b 2", "got b 5" or "fault b REASON".
class Node {
public:
  explicit Node(const std::string &Name, uint64_t Incarnation = 1,
                std::function<void(PeerLoopOptions &)> Change = {}) {
    PeerLoopOptions options;
    options.Name = Name;
    options.Incarnation = Incarnation;
    options.Key = Key;
    options.Address = "127.0.0.1:0";
    // There is no core to send heartbeats; tests of the timeout set their own.
    options.Limits.IdleTimeout = Milliseconds(600000);
    options.DialDelay = Milliseconds(600000);
    if (Change)
      Change(options);
    Loop = std::make_unique<PeerLoop>(options, hooks());
    REQUIRE(Loop->start());
  }

  // The loop's hooks use members that are destroyed before it.
  ~Node() { Loop->stop(); }

  void link(const std::vector<std::pair<std::string, uint16_t>> &Peers) {
    std::vector<InstanceEntry> entries;
    for (const auto &[name, port] : Peers) {
      InstanceEntry entry;
      entry.Name = name;
      entry.PeerAddress = "127.0.0.1:" + std::to_string(port);
      entries.push_back(entry);
    }
    Loop->setPeers(entries);
  }

  // Waits until `Count` records start with the text.
  bool waitFor(const std::string &Text, long Count = 1) {
    std::unique_lock lock(Mutex);
    bool found = Changed.wait_for(lock, WaitLimit,
                                  [&] { return countLocked(Text) >= Count; });
    if (!found)
      for (const std::string &it : Records)
        MESSAGE(it);
    return found;
  }
  long count(const std::string &Text) {
    std::lock_guard lock(Mutex);
    return countLocked(Text);
  }
  bool send(const std::string &To, const PeerMessage &Message) {
    return Loop->send(To, Message);
  }
  uint16_t port() const { return Loop->port(); }
  SocketAddress address() const { return SocketAddress("127.0.0.1", port()); }

  std::unique_ptr<PeerLoop> Loop;

private:
  PeerLoopHooks hooks() {
    PeerLoopHooks it;
    it.OnUp = [this](const std::string &Name, uint64_t Incarnation) {
      record("up " + Name + " " + std::to_string(Incarnation));
    };
    it.OnDown = [this](const std::string &Name, uint64_t Incarnation) {
      record("down " + Name + " " + std::to_string(Incarnation));
    };
    it.OnError = [this](const std::string &Peer, const std::string &Reason) {
      record("fault " + Peer + " " + Reason);
      record("reason " + Reason);
    };
    it.OnMessage = [this](const std::string &Name, uint64_t,
                          PeerMessage Message) {
      auto *request = std::get_if<ConfigRequest>(&Message);
      record("got " + Name + " " +
             (request ? std::to_string(request->HaveVersion) : "other"));
    };
    return it;
  }
  void record(std::string Line) {
    std::lock_guard lock(Mutex);
    Records.push_back(std::move(Line));
    Changed.notify_all();
  }
  long countLocked(const std::string &Text) const {
    return std::count_if(
        Records.begin(), Records.end(),
        [&](const std::string &It) { return It.starts_with(Text); });
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Records;
};

// A peer with a blocking socket, for behaviour that a PeerLoop doesn't have.
class RawPeer {
public:
  explicit RawPeer(const SocketAddress &To) : Socket(To) {
    Socket.setReceiveTimeout(Poco::Timespan(60, 0));
  }
  explicit RawPeer(StreamSocket Accepted) : Socket(std::move(Accepted)) {
    Socket.setReceiveTimeout(Poco::Timespan(60, 0));
  }

  void write(const Bytes &Data) {
    Socket.sendBytes(Data.data(), static_cast<int>(Data.size()));
  }
  void writeFrame(const Bytes &Frame) {
    Bytes data;
    appendFrame(data, Frame);
    write(data);
  }
  Bytes readFrame() {
    Bytes prefix = read(4);
    return read(prefix[0] | size_t(prefix[1]) << 8);
  }
  // True if the other side closes the connection within the limit.
  bool isClosed() {
    try {
      uint8_t buf[512];
      while (Socket.receiveBytes(buf, sizeof buf) > 0) {
      }
      return true;
    } catch (const Poco::TimeoutException &) {
      return false;
    } catch (const Poco::Exception &) {
      return true; // reset
    }
  }

  // Completes the handshake from either side.
  void completeHandshake(LinkRole Role, const std::string &Name,
                         uint64_t Incarnation) {
    PeerHandshake handshake(Role, Hello{Name, Incarnation, {}}, Key, "");
    if (Bytes first = handshake.firstFrame(); !first.empty())
      writeFrame(first);
    while (!handshake.done()) {
      Bytes frame = readFrame();
      Bytes reply;
      boost::leaf::try_handle_all(
          [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(reply, handshake.onFrame(frame));
            return {};
          },
          [] { FAIL("the handshake failed"); });
      if (!reply.empty())
        writeFrame(reply);
    }
  }

  StreamSocket Socket;

private:
  Bytes read(size_t Count) {
    Bytes data(Count);
    size_t at = 0;
    while (at < Count) {
      int n =
          Socket.receiveBytes(data.data() + at, static_cast<int>(Count - at));
      REQUIRE(n > 0);
      at += static_cast<size_t>(n);
    }
    return data;
  }
};

} // namespace

// Guards against links that aren't established, lose frames or reorder them.
TEST_CASE("PeerLoop links two instances and delivers frames in order") {
  Node a("a", 11), b("b", 22);
  a.link({{"a", a.port()}, {"b", b.port()}});
  REQUIRE(a.waitFor("up b 22"));
  REQUIRE(b.waitFor("up a 11"));
  for (uint64_t i = 0; i < 500; ++i)
    REQUIRE(a.send("b", ConfigRequest{i}));
  CHECK(b.send("a", ConfigRequest{7}));
  REQUIRE(b.waitFor("got a 499"));
  CHECK(b.count("got a ") == 500);
  CHECK(a.waitFor("got b 7"));
  CHECK_FALSE(a.send("c", Goodbye{}));
}

// Guards against frames near the limit, which take many reads and writes.
TEST_CASE("PeerLoop delivers large frames") {
  Node a("a"), b("b");
  a.link({{"b", b.port()}});
  REQUIRE(a.waitFor("up b"));
  REQUIRE(b.waitFor("up a"));
  CHECK(a.send("b", ConfigOffer{std::string(2000000, 'x')}));
  CHECK(a.send("b", ConfigRequest{1}));
  CHECK(b.waitFor("got a other"));
  CHECK(b.waitFor("got a 1"));
  // Over the limit: rejected by send(), and the link stays up.
  CHECK_FALSE(a.send("b", ConfigOffer{std::string(2097152, 'x')}));
  CHECK(a.send("b", ConfigRequest{2}));
  CHECK(b.waitFor("got a 2"));
}

// Guards against two instances that both dial and keep both links or none.
TEST_CASE("PeerLoop keeps one link when both sides dial") {
  auto eager = [](PeerLoopOptions &It) { It.DialDelay = Milliseconds(0); };
  for (int round = 0; round < 20; ++round) {
    Node a("a", 1, eager), b("b", 2, eager);
    b.link({{"a", a.port()}});
    a.link({{"b", b.port()}});
    REQUIRE(a.waitFor("up b"));
    REQUIRE(b.waitFor("up a"));
    // Frames are delivered on the remaining link.
    auto reaches = [](Node &From, Node &To, const std::string &Name,
                      const std::string &Own) {
      auto end = std::chrono::steady_clock::now() + WaitLimit;
      while (To.count("got " + Own + " 5") == 0 &&
             std::chrono::steady_clock::now() < end)
        if (!From.send(Name, ConfigRequest{5}))
          std::this_thread::yield();
      return To.count("got " + Own + " 5") > 0;
    };
    CHECK(reaches(a, b, "b", "a"));
    CHECK(reaches(b, a, "a", "b"));
    // A later link replaces the first one, which is down for a moment before
    // the other one is up.
    for (Node *it : {&a, &b})
      CHECK(eventually(
          [&] { return it->count("up ") - it->count("down ") == 1; }));
  }
}

// Guards against a new instance that stays unlinked because it isn't in the
// lists of the others yet.
TEST_CASE("PeerLoop dials an instance that doesn't dial it") {
  Node a("a"),
      b("b", 2, [](PeerLoopOptions &It) { It.DialDelay = Milliseconds(10); });
  b.link({{"a", a.port()}});
  CHECK(b.waitFor("up a"));
  CHECK(a.waitFor("up b"));
}

// Guards against a wrong key that is accepted or affects other links.
TEST_CASE("PeerLoop rejects an instance with another key") {
  Node a("a"), b("b");
  Node wrongKey("c", 3, [](PeerLoopOptions &It) {
    It.Key = "another key 12345";
    It.DialDelay = Milliseconds(0);
  });
  a.link({{"b", b.port()}});
  REQUIRE(b.waitFor("up a"));
  wrongKey.link({{"b", b.port()}});
  CHECK(b.waitFor("reason wrong proof", 3));
  CHECK(wrongKey.count("up ") == 0);
  CHECK(b.count("up ") == 1);
  CHECK(b.count("down ") == 0);
  REQUIRE(a.waitFor("up b"));
  CHECK(a.send("b", ConfigRequest{1}));
  CHECK(b.waitFor("got a 1"));
}

// Guards against malformed input that affects other connections.
TEST_CASE("PeerLoop closes connections with invalid or oversized frames") {
  Node a("a"), b("b");
  a.link({{"b", b.port()}});
  REQUIRE(a.waitFor("up b"));
  REQUIRE(b.waitFor("up a"));
  RawPeer http(b.address());
  std::string text = "GET / HTTP/1.1\r\n\r\n";
  http.write(Bytes(text.begin(), text.end()));
  CHECK(http.isClosed());
  CHECK(b.waitFor("reason frame of 542393671 bytes"));
  RawPeer noise(b.address());
  noise.writeFrame(Bytes(100, 0x5a));
  CHECK(noise.isClosed());
  CHECK(b.waitFor("reason not a valid frame"));
  RawPeer member(b.address());
  member.completeHandshake(LinkRole::Dialer, "m", 5);
  REQUIRE(b.waitFor("up m 5"));
  member.write({0xff, 0xff, 0xff, 0x7f});
  CHECK(member.isClosed());
  CHECK(b.waitFor("fault m frame of 2147483647 bytes"));
  CHECK(b.waitFor("down m 5"));
  CHECK(a.send("b", ConfigRequest{1}));
  CHECK(b.waitFor("got a 1"));
  CHECK(b.count("down a") == 0);
}

// Guards against instances of different versions that misinterpret frames.
TEST_CASE("PeerLoop rejects another protocol version") {
  Node b("b");
  flatbuffers::FlatBufferBuilder out;
  auto name = out.CreateString("m");
  auto nonce = out.CreateVector(Bytes(32));
  auto hello = wire::CreateHello(out, name, 5, nonce);
  out.Finish(wire::CreateFrame(out, ProtocolVersion + 1, wire::Body::Hello,
                               hello.Union()));
  RawPeer peer(b.address());
  peer.writeFrame(
      Bytes(out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()));
  CHECK(peer.isClosed());
  CHECK(b.waitFor("reason protocol version 2 instead of 1"));
}

// Guards against idle unauthenticated connections that use up all descriptors.
TEST_CASE("PeerLoop limits unauthenticated connections") {
  Node b("b", 2, [](PeerLoopOptions &It) {
    It.MaxUnauthenticated = 4;
    It.Limits.HandshakeTimeout = Milliseconds(600000);
  });
  std::vector<std::unique_ptr<RawPeer>> unauthenticated;
  for (int i = 0; i < 10; ++i)
    unauthenticated.push_back(std::make_unique<RawPeer>(b.address()));
  CHECK(b.waitFor("reason too many connections without proof", 6));
  CHECK(unauthenticated.front()->isClosed());
  RawPeer member(b.address());
  member.completeHandshake(LinkRole::Dialer, "m", 5);
  CHECK(b.waitFor("up m 5"));
}

// Guards against handshakes that never complete.
TEST_CASE("PeerLoop closes a connection whose handshake times out") {
  Node b("b", 2, [](PeerLoopOptions &It) {
    It.Limits.HandshakeTimeout = Milliseconds(50);
  });
  RawPeer peer(b.address());
  CHECK(peer.isClosed());
  CHECK(b.waitFor("reason handshake timed out"));
}

// Guards against a dead link that is kept, and against a peer that isn't
// dialled again.
TEST_CASE("PeerLoop replaces a link that timed out") {
  Poco::Net::ServerSocket listener(SocketAddress("127.0.0.1", 0));
  Node a("a", 1, [](PeerLoopOptions &It) {
    It.Limits.IdleTimeout = Milliseconds(100);
  });
  a.link({{"m", listener.address().port()}});
  RawPeer first(listener.acceptConnection());
  first.completeHandshake(LinkRole::Acceptor, "m", 5);
  CHECK(a.waitFor("up m 5"));
  CHECK(a.waitFor("fault m link timed out"));
  CHECK(a.waitFor("down m 5"));
  CHECK(first.isClosed());
  RawPeer second(listener.acceptConnection());
  second.completeHandshake(LinkRole::Acceptor, "m", 5);
  CHECK(a.waitFor("up m 5", 2));
}

// Guards against an instance that stays unlinked after its restart.
TEST_CASE("PeerLoop reconnects to a restarted instance") {
  Node a("a");
  auto b = std::make_unique<Node>("b", 1);
  uint16_t port = b->port();
  a.link({{"b", port}});
  REQUIRE(a.waitFor("up b 1"));
  b.reset();
  REQUIRE(a.waitFor("down b 1"));
  REQUIRE(a.waitFor("fault b can't connect", 2));
  b = std::make_unique<Node>("b", 2, [&](PeerLoopOptions &It) {
    It.Address = "127.0.0.1:" + std::to_string(port);
  });
  CHECK(a.waitFor("up b 2"));
  CHECK(b->waitFor("up a"));
}

// Guards against a half-open link of a dead process that blocks the link of its
// new incarnation.
TEST_CASE("PeerLoop lets a newer incarnation replace the older") {
  Node b("b");
  RawPeer before(b.address());
  before.completeHandshake(LinkRole::Dialer, "m", 5);
  REQUIRE(b.waitFor("up m 5"));
  RawPeer after(b.address());
  after.completeHandshake(LinkRole::Dialer, "m", 6);
  CHECK(b.waitFor("down m 5"));
  CHECK(b.waitFor("up m 6"));
  CHECK(before.isClosed());
  CHECK(b.send("m", ConfigRequest{1}));
  after.readFrame();
  CHECK(b.count("down m 6") == 0);
}

// Guards against unbounded memory use when a peer doesn't read.
TEST_CASE("PeerLoop closes a link whose queue is full") {
  Node b("b", 2, [](PeerLoopOptions &It) { It.MaxQueuedBytes = 1048576; });
  RawPeer peer(b.address());
  peer.completeHandshake(LinkRole::Dialer, "m", 5);
  REQUIRE(b.waitFor("up m 5"));
  ConfigOffer offer{std::string(500000, 'x')};
  // Loopback socket buffers hold a few megabytes.
  bool refused = false;
  for (int i = 0; i < 1000 && !refused; ++i)
    refused = !b.send("m", offer);
  CHECK(refused);
  CHECK(b.waitFor("fault m queue of outgoing frames is full"));
  CHECK(b.waitFor("down m 5"));
  CHECK_FALSE(b.send("m", offer));
}

// Guards against links to instances that were removed from the list.
TEST_CASE("PeerLoop closes links to instances that are no longer listed") {
  Node a("a"), b("b"), c("c");
  a.link({{"b", b.port()}, {"c", c.port()}});
  REQUIRE(a.waitFor("up b"));
  REQUIRE(a.waitFor("up c"));
  a.link({{"c", c.port()}});
  CHECK(a.waitFor("fault b instance is no longer listed"));
  CHECK(a.waitFor("down b"));
  CHECK(b.waitFor("down a"));
  CHECK(a.count("down c") == 0);
}

// Guards against a last frame (Goodbye) that is lost when the process stops.
TEST_CASE("PeerLoop sends queued frames before it stops") {
  auto a = std::make_unique<Node>("a");
  Node b("b");
  a->link({{"b", b.port()}});
  REQUIRE(a->waitFor("up b"));
  REQUIRE(b.waitFor("up a"));
  for (uint64_t i = 0; i < 100; ++i)
    REQUIRE(a->send("b", ConfigRequest{i}));
  a->Loop->stop();
  CHECK(b.waitFor("got a 99"));
  CHECK(b.waitFor("down a"));
}

// Guards against an unusable address that isn't reported at the start.
TEST_CASE("PeerLoop reports an address that it can't listen on") {
  Node a("a");
  PeerLoopOptions options;
  options.Address = "127.0.0.1:" + std::to_string(a.port());
  std::string reason;
  PeerLoopHooks hooks;
  hooks.OnError = [&](const std::string &, const std::string &Reason) {
    reason = Reason;
  };
  PeerLoop taken(options, hooks);
  CHECK_FALSE(taken.start());
  CHECK(reason.starts_with("can't listen"));
  options.Address = "localhost:1";
  PeerLoop named(options, hooks);
  CHECK_FALSE(named.start());
}
