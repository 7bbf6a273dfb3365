// What servers state about themselves in responses to any call: runs, prefills,
// reservations, reports, orders and releases.
#ifndef CROCUSSPUR_GATEWAY_SERVER_RESPONSES_H
#define CROCUSSPUR_GATEWAY_SERVER_RESPONSES_H

#include "gateway/server_call.h"
#include "gateway/service_directory.h"

namespace crocusspur::gateway {

// From now on the directory learns what responses on the pool's connections
// state. Both outlive all calls.
void reportResponses(ConnectionPool &Connections, ServiceDirectory &Directory);

// What a refusal before execution shows of the server that was meant. One by
// another server at its address, or by a server in another stage or with other
// weights, says nothing of load.
inline CallResult resultOfRefusal(const ResponseInfo &Info) {
  return Info.Misdirected ? CallResult::Abandoned : CallResult::Overloaded;
}

} // namespace crocusspur::gateway

#endif
