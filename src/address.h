// Numeric "IP:port" addresses, the only form that settings and published
// documents accept: resolving a host name would block on an external service.
#ifndef CROCUSSPUR_ADDRESS_H
#define CROCUSSPUR_ADDRESS_H

#include <string>

namespace crocusspur::internal {

// True for "a.b.c.d:port" and "[v6]:port" with a port of at most 65535. Port 0
// lets the kernel choose a port and is valid only for listening.
bool isAddress(const std::string &Text, bool AllowPortZero);

} // namespace crocusspur::internal

#endif
