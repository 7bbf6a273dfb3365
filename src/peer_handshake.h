// Mutual authentication of a new link by a shared key. The side that accepted
// the connection sends its proof second, so that an unauthenticated peer gets
// no MAC to test guesses of the key against.
#ifndef CROCUSSPUR_PEER_HANDSHAKE_H
#define CROCUSSPUR_PEER_HANDSHAKE_H

#include "digest.h"
#include "peer_codec.h"

#include <boost/leaf/result.hpp>
#include <span>
#include <string>

namespace crocusspur::internal {

using Mac = Sha256Digest;

Mac hmacSha256(const std::string &Key, std::span<const uint8_t> Data);

enum class LinkRole : uint8_t { Dialer, Acceptor };

class PeerHandshake {
public:
  // `Own` has a fresh random nonce. `Expected` is the name that the peer must
  // have; empty accepts any name.
  PeerHandshake(LinkRole Role, Hello Own, std::string Key,
                std::string Expected);

  // The frame to send first; empty for the acceptor.
  Bytes firstFrame() const;

  // Processes the next frame and returns the reply, which may be empty.
  // Errors carry ErrorKind::PeerProtocol and a FrameError; the link has to be
  // closed then.
  boost::leaf::result<Bytes> onFrame(std::span<const uint8_t> Frame);

  // True when the peer is authenticated and this side has sent all its frames.
  bool done() const { return CurrentStep == Step::Done; }
  LinkRole role() const { return Role; }
  const Hello &peer() const { return Peer; }

private:
  enum class Step : uint8_t { AwaitHello, AwaitProof, Done };

  boost::leaf::result<Bytes> onHello(std::span<const uint8_t> Frame);
  boost::leaf::result<Bytes> onProof(std::span<const uint8_t> Frame);
  Mac proof(bool OfPeer) const;

  LinkRole Role;
  Hello Own;
  std::string Key;
  std::string Expected;
  Hello Peer;
  Step CurrentStep = Step::AwaitHello;
};

} // namespace crocusspur::internal

#endif
