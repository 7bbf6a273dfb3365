#include "peer_handshake.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <algorithm>
#include <boost/leaf/error.hpp>
#include <utility>

namespace crocusspur::internal {
namespace {

constexpr size_t MaxNameLength = 256;

// HMACEngine needs these sizes, which SHA2Engine doesn't define.
class Sha256Engine : public Poco::SHA2Engine {
public:
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT: names are POCO's
};

void append(Bytes &Out, uint64_t Value) {
  for (int shift = 0; shift < 64; shift += 8)
    Out.push_back(static_cast<uint8_t>(Value >> shift));
}

// The length prefix keeps different field values from encoding to the same
// bytes.
void append(Bytes &Out, const Hello &It) {
  append(Out, uint64_t(It.Name.size()));
  Out.insert(Out.end(), It.Name.begin(), It.Name.end());
  append(Out, It.Incarnation);
  Out.insert(Out.end(), It.Nonce.begin(), It.Nonce.end());
}

boost::leaf::error_id handshakeError(const std::string &Reason) {
  return boost::leaf::new_error(ErrorKind::PeerProtocol, FrameError{Reason});
}

} // namespace

Mac hmacSha256(const std::string &Key, std::span<const uint8_t> Data) {
  Poco::HMACEngine<Sha256Engine> engine(Key.data(), Key.size());
  engine.update(Data.data(), Data.size());
  const Poco::DigestEngine::Digest digest = engine.digest();
  Mac mac{};
  std::copy_n(digest.begin(), std::min(digest.size(), mac.size()), mac.begin());
  return mac;
}

PeerHandshake::PeerHandshake(LinkRole Role, Hello Own, std::string Key,
                             std::string Expected)
    : Role(Role), Own(std::move(Own)), Key(std::move(Key)),
      Expected(std::move(Expected)) {}

Bytes PeerHandshake::firstFrame() const {
  return Role == LinkRole::Dialer ? encode(Own) : Bytes();
}

boost::leaf::result<Bytes>
PeerHandshake::onFrame(std::span<const uint8_t> Frame) {
  switch (CurrentStep) {
  case Step::AwaitHello:
    return onHello(Frame);
  case Step::AwaitProof:
    return onProof(Frame);
  case Step::Done:
    break;
  }
  return handshakeError("frame after the end of the handshake");
}

boost::leaf::result<Bytes>
PeerHandshake::onHello(std::span<const uint8_t> Frame) {
  BOOST_LEAF_ASSIGN(Peer, decodeHello(Frame));
  if (Peer.Name.empty() || Peer.Name.size() > MaxNameLength)
    return handshakeError("peer name must have 1 to 256 bytes");
  if (Peer.Name == Own.Name)
    return handshakeError("peer has this instance's own name");
  if (!Expected.empty() && Peer.Name != Expected)
    return handshakeError("expected instance " + Expected + ", found " +
                          Peer.Name);
  CurrentStep = Step::AwaitProof;
  if (Role == LinkRole::Acceptor)
    return encode(Own);
  return encode(HelloProof{proof(false)});
}

boost::leaf::result<Bytes>
PeerHandshake::onProof(std::span<const uint8_t> Frame) {
  BOOST_LEAF_AUTO(message, decodeHelloProof(Frame));
  if (!equalInConstantTime(message.Mac, proof(true)))
    return handshakeError("wrong proof; the peer has another key");
  CurrentStep = Step::Done;
  if (Role == LinkRole::Acceptor)
    return encode(HelloProof{proof(false)});
  return Bytes();
}

// The prover's fields come first and its role is included, so a proof can't be
// reflected to the side that made it.
Mac PeerHandshake::proof(bool OfPeer) const {
  constexpr char Purpose[] = "crocusspur peer proof 1";
  bool byDialer = OfPeer == (Role == LinkRole::Acceptor);
  Bytes data(Purpose, Purpose + sizeof Purpose);
  data.push_back(byDialer ? 1 : 2);
  append(data, OfPeer ? Peer : Own);
  append(data, OfPeer ? Own : Peer);
  return hmacSha256(Key, data);
}

} // namespace crocusspur::internal
