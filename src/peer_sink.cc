#include "peer_sink.h"

#include <algorithm>
#include <utility>

namespace crocusspur::internal {
namespace {

// Much smaller than the frame limit, so that other frames of the link don't
// wait long behind a large response.
constexpr size_t MaxBodyFrameBytes = 65536;

} // namespace

PeerSink::PeerSink(PeerSender *Peers, std::string Instance, const RequestId &Id)
    : Peers(Peers), Instance(std::move(Instance)), Id(Id) {}

bool PeerSink::send(const PeerMessage &Message) {
  if (!Failed)
    Failed = !Peers || !Peers->send(Instance, Message);
  return !Failed;
}

bool PeerSink::begin(const ResponseHead &Head) {
  return send(ForwardHead{Id, Head.Status, Head.ContentType});
}

bool PeerSink::write(std::string_view Data) {
  while (!Data.empty()) {
    size_t n = std::min(Data.size(), MaxBodyFrameBytes);
    if (!send(ForwardBody{Id, std::string(Data.substr(0, n))}))
      return false;
    Data.remove_prefix(n);
  }
  return !Failed;
}

bool PeerSink::end(bool Complete) { return send(ForwardEnd{Id, Complete}); }

} // namespace crocusspur::internal
