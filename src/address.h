// Numeric "IP:port" addresses, the only form that settings and published
// documents use: resolving a name would block on an outside service.
#ifndef CROCUSSPUR_ADDRESS_H
#define CROCUSSPUR_ADDRESS_H

#include <string>

namespace crocusspur::internal {

// True for "a.b.c.d:port" and "[v6]:port" with a port of at most 65535. Port 0
// stands for a port that the kernel chooses and is only valid for listening.
bool isAddress(const std::string &Text, bool AllowPortZero);

} // namespace crocusspur::internal

#endif
