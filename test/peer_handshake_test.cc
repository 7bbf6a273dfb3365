#include "peer_connection.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

const std::string Key = "0123456789abcdef";
const TimePoint Start = TimePoint() + Milliseconds(1000);

Hello helloOf(const std::string &Name, uint8_t Fill) {
  Hello hello{Name, Fill, {}};
  hello.Nonce.fill(Fill);
  return hello;
}

PeerHandshake dialer(const std::string &WithKey = Key,
                     const std::string &Expected = "b") {
  return PeerHandshake(LinkRole::Dialer, helloOf("a", 1), WithKey, Expected);
}

PeerHandshake acceptor() {
  return PeerHandshake(LinkRole::Acceptor, helloOf("b", 2), Key, "");
}

struct Step {
  bool Ok = false;
  Bytes Reply;
  std::string Reason;
};

Step feed(PeerHandshake &To, const Bytes &Frame) {
  Step step;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(step.Reply, To.onFrame(Frame));
        step.Ok = true;
        return {};
      },
      [&](ErrorKind Kind, const FrameError &Error) {
        CHECK(static_cast<int>(Kind) ==
              static_cast<int>(ErrorKind::PeerProtocol));
        step.Reason = Error.Reason;
      },
      [] { FAIL("the error carries no reason"); });
  return step;
}

// A connection that records the calls of its hooks.
struct Endpoint {
  explicit Endpoint(PeerHandshake Handshake, LinkLimits Limits = {})
      : Link(Limits, std::move(Handshake), Start) {
    Hooks.OnUp = [this] {
      ++UpCount;
      return Accepts;
    };
    Hooks.OnMessage = [this](PeerMessage It) {
      Received.push_back(std::move(It));
    };
  }
  bool receive(const Bytes &Data, TimePoint Now = Start) {
    return Link.receive(Data, Now, Hooks);
  }
  Bytes takeOutput() {
    Bytes out(Link.unsent().begin(), Link.unsent().end());
    Link.markSent(out.size());
    return out;
  }

  PeerConnection Link;
  LinkHooks Hooks;
  int UpCount = 0;
  bool Accepts = true;
  std::vector<PeerMessage> Received;
};

void connect(Endpoint &Left, Endpoint &Right) {
  for (int i = 0; i < 3; ++i) {
    REQUIRE(Right.receive(Left.takeOutput()));
    REQUIRE(Left.receive(Right.takeOutput()));
  }
  REQUIRE(Left.Link.isUp());
  REQUIRE(Right.Link.isUp());
}

Bytes framed(const PeerMessage &Message) {
  Bytes out;
  appendFrame(out, encode(Message));
  return out;
}

} // namespace

// Guards against an HMAC that differs from the standard (RFC 4231, test cases 2
// and 6, the latter with a key longer than a block).
TEST_CASE("HmacSha256 matches the test vectors of RFC 4231") {
  auto hex = [](const Mac &It) {
    std::string text;
    for (uint8_t byte : It) {
      text += "0123456789abcdef"[byte >> 4];
      text += "0123456789abcdef"[byte & 15];
    }
    return text;
  };
  auto mac = [&](const std::string &WithKey, const std::string &Data) {
    return hex(hmacSha256(WithKey, Bytes(Data.begin(), Data.end())));
  };
  CHECK(mac("Jefe", "what do ya want for nothing?") ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  CHECK(mac(std::string(131, '\xaa'),
            "Test Using Larger Than Block-Size Key - Hash Key First") ==
        "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54");
}

// Guards against comparisons that ignore some of the bytes.
TEST_CASE("EqualInConstantTime compares every byte") {
  Mac mac{};
  CHECK(equalInConstantTime(mac, Mac{}));
  for (size_t i = 0; i < mac.size(); ++i) {
    Mac other{};
    other[i] = 0x80;
    CHECK_FALSE(equalInConstantTime(mac, other));
  }
}

// Guards against an acceptor that sends its proof to unauthenticated peers.
TEST_CASE("PeerHandshake authenticates the dialer first") {
  PeerHandshake a = dialer(), b = acceptor();
  CHECK(b.firstFrame().empty());
  Step hello = feed(b, a.firstFrame());
  Step proof = feed(a, hello.Reply);
  CHECK_FALSE(b.done());
  Step reply = feed(b, proof.Reply);
  CHECK(b.done());
  CHECK_FALSE(a.done());
  Step end = feed(a, reply.Reply);
  CHECK(a.done());
  CHECK(end.Reply.empty());
  CHECK(a.peer().Name == "b");
  CHECK(a.peer().Incarnation == 2);
  CHECK(b.peer().Name == "a");
}

// Guards against links to processes without the key or with another name.
TEST_CASE("PeerHandshake rejects wrong keys and names") {
  PeerHandshake wrong = dialer("another key 12345"), b = acceptor();
  Step hello = feed(b, wrong.firstFrame());
  CHECK(feed(b, feed(wrong, hello.Reply).Reply).Reason ==
        "wrong proof; the peer has another key");
  CHECK_FALSE(b.done());
  PeerHandshake other = dialer(Key, "c"), b2 = acceptor();
  CHECK(feed(other, feed(b2, other.firstFrame()).Reply).Reason ==
        "expected instance c, found b");
  PeerHandshake b3 = acceptor();
  CHECK(feed(b3, encode(helloOf("b", 9))).Reason ==
        "peer has this instance's own name");
  PeerHandshake b4 = acceptor();
  CHECK(feed(b4, encode(helloOf("", 9))).Reason ==
        "peer name must have 1 to 256 bytes");
}

// Guards against replay attacks: a proof is valid only for one pair of nonces,
// and not for the side that made it.
TEST_CASE("PeerHandshake rejects replayed and reflected proofs") {
  PeerHandshake a = dialer(), b = acceptor();
  Bytes proof = feed(a, feed(b, a.firstFrame()).Reply).Reply;
  PeerHandshake later(LinkRole::Acceptor, helloOf("b", 3), Key, "");
  REQUIRE(feed(later, a.firstFrame()).Ok);
  CHECK(feed(later, proof).Reason == "wrong proof; the peer has another key");
  CHECK(feed(a, proof).Reason == "wrong proof; the peer has another key");
}

// Guards against processing other messages before the peer is authenticated.
TEST_CASE("PeerHandshake accepts only handshake messages") {
  PeerHandshake b = acceptor();
  CHECK(feed(b, encode(Goodbye{})).Reason == "expected a Hello");
  PeerHandshake a = dialer(), b2 = acceptor();
  Step hello = feed(b2, a.firstFrame());
  CHECK(feed(b2, a.firstFrame()).Reason == "expected a HelloProof");
}

// Guards against frames that are lost or duplicated when they arrive in parts
// or together.
TEST_CASE("PeerConnection reads frames byte by byte and several at once") {
  Endpoint a(dialer()), b(acceptor());
  connect(a, b);
  CHECK(a.UpCount == 1);
  Bytes data = framed(ConfigRequest{1});
  for (uint8_t it : data)
    REQUIRE(b.receive({it}));
  Bytes both = framed(ConfigRequest{2});
  appendFrame(both, encode(Goodbye{}));
  REQUIRE(b.receive(both));
  REQUIRE(b.Received.size() == 3);
  CHECK(std::get<ConfigRequest>(b.Received[1]).HaveVersion == 2);
  CHECK(std::holds_alternative<Goodbye>(b.Received[2]));
}

// Guards against peers that make this instance allocate large buffers.
TEST_CASE("PeerConnection rejects oversized and empty frames") {
  Endpoint unauthenticated(acceptor());
  CHECK_FALSE(unauthenticated.receive({0x01, 0x04, 0, 0}));
  CHECK(unauthenticated.Link.closeReason() ==
        "frame of 1025 bytes; allowed are 1 to 1024");
  Endpoint a(dialer()), b(acceptor());
  connect(a, b);
  CHECK_FALSE(b.receive({0x01, 0x00, 0x20, 0x00}));
  CHECK(b.Link.closeReason() ==
        "frame of 2097153 bytes; allowed are 1 to 2097152");
  Endpoint c(dialer()), d(acceptor());
  connect(c, d);
  CHECK_FALSE(d.receive({0, 0, 0, 0}));
}

// Guards against connections that stay open without authentication or traffic.
TEST_CASE("PeerConnection times out in the handshake and when idle") {
  Endpoint unauthenticated(acceptor());
  CHECK(unauthenticated.Link.checkTimeouts(Start + Milliseconds(2000)));
  CHECK_FALSE(unauthenticated.Link.checkTimeouts(Start + Milliseconds(2001)));
  CHECK(unauthenticated.Link.closeReason() == "handshake timed out");
  Endpoint a(dialer()), b(acceptor());
  connect(a, b);
  REQUIRE(b.receive(framed(Goodbye{}), Start + Milliseconds(1000)));
  CHECK(b.Link.checkTimeouts(Start + Milliseconds(2500)));
  CHECK_FALSE(b.Link.checkTimeouts(Start + Milliseconds(2501)));
  CHECK(b.Link.closeReason() == "link timed out");
}

// Guards against output that partial writes lose or duplicate.
TEST_CASE("PeerConnection keeps the order of output over partial writes") {
  Endpoint a(dialer()), b(acceptor());
  connect(a, b);
  for (uint64_t i = 0; i < 2000; ++i)
    a.Link.send(encode(ConfigRequest{i}));
  while (!a.Link.unsent().empty()) {
    auto rest = a.Link.unsent();
    size_t n = std::min<size_t>(rest.size(), 777);
    REQUIRE(b.receive(Bytes(rest.begin(), rest.begin() + ptrdiff_t(n))));
    a.Link.markSent(n);
  }
  REQUIRE(b.Received.size() == 2000);
  for (uint64_t i = 0; i < 2000; ++i)
    REQUIRE(std::get<ConfigRequest>(b.Received[i]).HaveVersion == i);
}
