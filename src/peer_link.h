// Plug-in that maintains the links to other instances and provides PeerSender.
#ifndef CROCUSSPUR_PEER_LINK_H
#define CROCUSSPUR_PEER_LINK_H

#include "crocusspur/kernel.h"

#include <memory>

namespace crocusspur::internal {

// Requires an EventSink from an earlier phase. Frames of forwarded requests go
// to the ForwardHandler, which must not block: one thread serves all links.
std::unique_ptr<Plugin> makePeerLink();

} // namespace crocusspur::internal

#endif
