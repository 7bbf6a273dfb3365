// Plug-in that reads the configuration and the instance list from the platform
// and provides PlatformControl.
#ifndef CROCUSSPUR_PLATFORM_READER_H
#define CROCUSSPUR_PLATFORM_READER_H

#include "crocusspur/kernel.h"

#include <memory>

namespace crocusspur::internal {

// Requires an EventSink from an earlier phase.
std::unique_ptr<Plugin> makePlatformReader();

} // namespace crocusspur::internal

#endif
