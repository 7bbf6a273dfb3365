// Plug-in that links this instance to the others and provides PeerSender.
#ifndef CROCUSSPUR_PEER_LINK_H
#define CROCUSSPUR_PEER_LINK_H

#include "crocusspur/kernel.h"

#include <memory>

namespace crocusspur::internal {

// Needs an EventSink of an earlier phase. Frames of forwarded requests go to
// the ForwardHandler, which must not block: one thread serves all links.
std::unique_ptr<Plugin> makePeerLink();

} // namespace crocusspur::internal

#endif
