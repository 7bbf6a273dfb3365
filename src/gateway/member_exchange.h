// Frames on connections between instances. Each exchange uses one connection
// with one frame each way.
#ifndef CROCUSSPUR_GATEWAY_MEMBER_EXCHANGE_H
#define CROCUSSPUR_GATEWAY_MEMBER_EXCHANGE_H

#include "gateway/member_codec.h"

#include <Poco/Net/StreamSocket.h>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// These throw Poco exceptions if the connection fails.
void setTimeouts(Poco::Net::StreamSocket &Socket, Milliseconds Timeout);
void sendFrame(Poco::Net::StreamSocket &Socket,
               const std::vector<uint8_t> &Bytes);
// Returns nothing if no valid frame arrives in time.
std::optional<MemberFrame> receiveFrame(Poco::Net::StreamSocket &Socket,
                                        Milliseconds Timeout);

// Sends a request to the instance at the address. Returns its response, or
// nothing if there is none in time.
std::optional<MemberFrame> callMember(const std::string &Address,
                                      const MemberFrame &Request,
                                      Milliseconds Timeout);

} // namespace crocusspur::gateway

#endif
