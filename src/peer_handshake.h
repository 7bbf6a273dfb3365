// Proves to each side of a new link that the other knows the shared key. The
// side that accepted the connection proves itself second, so that a stranger
// gets nothing to test guesses of the key against.
#ifndef CROCUSSPUR_PEER_HANDSHAKE_H
#define CROCUSSPUR_PEER_HANDSHAKE_H

#include "peer_codec.h"

#include <array>
#include <boost/leaf/result.hpp>
#include <span>
#include <string>

namespace crocusspur::internal {

using Mac = std::array<uint8_t, 32>;

Mac hmacSha256(const std::string &Key, std::span<const uint8_t> Data);

// Takes the same time wherever the values differ.
bool equalInConstantTime(const Mac &Left, const Mac &Right);

enum class LinkRole : uint8_t { Dialer, Acceptor };

class PeerHandshake {
public:
  // `Own` has a fresh random nonce. `Expected` is the name that has to answer;
  // empty: any.
  PeerHandshake(LinkRole Role, Hello Own, std::string Key,
                std::string Expected);

  // The frame to send first; empty for the acceptor.
  Bytes firstFrame() const;

  // Takes the next frame and returns the frame to send, which may be empty.
  // Errors carry ErrorKind::PeerProtocol and a FrameError; the link has to be
  // closed then.
  boost::leaf::result<Bytes> onFrame(std::span<const uint8_t> Frame);

  // The peer has proved itself, and this side has sent all it has to send.
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
