// Frames on connections between instances. Each exchange uses one connection
// with one frame each way.
#ifndef CROCUSSPUR_GATEWAY_MEMBER_EXCHANGE_H
#define CROCUSSPUR_GATEWAY_MEMBER_EXCHANGE_H

#include "gateway/decisions/memory_budget.h"
#include "gateway/member_codec.h"

#include <Poco/Net/StreamSocket.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::gateway {

inline constexpr uint32_t MaxFrameBytes = 8388608;
inline constexpr size_t FramePrefixBytes = 4; // the size, little-endian

// Returns the frame with its length prefix.
std::vector<uint8_t> framed(const std::vector<uint8_t> &Bytes);
// Returns the size of the frame that the bytes begin with, without its prefix,
// or nothing if the prefix isn't complete.
std::optional<size_t> frameSize(std::string_view Bytes);

// These throw Poco exceptions if the connection fails.
void setTimeouts(Poco::Net::StreamSocket &Socket, Milliseconds Timeout);
void sendFrame(Poco::Net::StreamSocket &Socket,
               const std::vector<uint8_t> &Bytes);
// Returns nothing if no valid frame arrives in time, or `Memory` has no room
// for it. `Memory`: null if it isn't limited.
std::optional<MemberFrame> receiveFrame(Poco::Net::StreamSocket &Socket,
                                        Milliseconds Timeout,
                                        MemoryBudget *Memory);

// Sends a request to the instance at the address. Returns its response, or
// nothing if there is none in time.
std::optional<MemberFrame> callMember(const std::string &Address,
                                      const MemberFrame &Request,
                                      Milliseconds Timeout,
                                      MemoryBudget *Memory);
// The same with an encoded request.
std::optional<MemberFrame>
callMemberEncoded(const std::string &Address,
                  const std::vector<uint8_t> &Request, Milliseconds Timeout,
                  MemoryBudget *Memory);
// The same with a limit on the time from the connection to the response.
// Callers above limit each of its steps.
std::optional<MemberFrame> callMemberWithin(const std::string &Address,
                                            const std::vector<uint8_t> &Request,
                                            Milliseconds Limit,
                                            MemoryBudget *Memory);

} // namespace crocusspur::gateway

#endif
