// Requests that an instance which reaches no server passes on to another
// instance, and the frames of their responses.
#ifndef CROCUSSPUR_GATEWAY_FORWARD_CODEC_H
#define CROCUSSPUR_GATEWAY_FORWARD_CODEC_H

#include "gateway/http_codec.h"
#include "problem_document.h"
#include "response_sink.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace crocusspur::gateway {

struct ForwardedRequest {
  CallerRequest Request; // LastEventId: after the last event sent to the caller
  std::string Service;
  Milliseconds Elapsed{0}; // since the first instance read its head
  // What its run may have been sent to, which counts towards the limit of the
  // route and isn't tried again.
  std::set<std::string> UsedServers;
  bool MayHaveExecuted = false;
  // Software version that its stream has to go on at.
  std::optional<VersionKey> StreamVersion;
  // Model weights that wrote its last event; see StreamProgress.
  std::optional<WeightVersion> StreamWeights;
  // The sender records the version of the stream for other instances, once it
  // passes the first event on; see RequestHandler::recordBegin().
  bool SenderRecordsVersion = false;
};

// One frame of a response: a head, data and an end, or a problem instead of a
// head.
struct ForwardResponse {
  struct Head {
    internal::ResponseHead Response;
    VersionKey OutputVersion = 0; // of the server of a stream; 0: none
    // The server of the response, if it has said that it leaves.
    std::optional<ServerProcess> LeavingServer;
    // The server of a stream whose version the receiver is to record; nothing
    // if the sender records it.
    std::optional<ServerProcess> OutputServer;
  };
  struct Problem {
    internal::Problem Item;
    // The instance refuses to handle the request, and another one may do.
    bool Elsewhere = false;
  };
  std::optional<Head> ResponseHead;
  std::string Data;
  // Nothing may follow this and earlier data of a stream; see StreamProgress.
  bool VersionUncertain = false;
  std::optional<bool> End; // whether the response is complete
  std::optional<Problem> Failure;
  // Routes of the instance, if they are newer than those of the first one.
  uint64_t ConfigVersion = 0;
  std::string RoutesText;
};

// Returns the frame without its length prefix.
std::vector<uint8_t> encode(const ForwardResponse &Frame);
// Returns nullopt if the bytes aren't a valid frame.
std::optional<ForwardResponse>
decodeForwardResponse(std::span<const uint8_t> Bytes);

} // namespace crocusspur::gateway

#endif
