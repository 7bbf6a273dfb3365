// Events: the input of the decision core. Each has the time at which it was
// taken from the ring.
#ifndef CROCUSSPUR_EVENT_H
#define CROCUSSPUR_EVENT_H

#include "crocusspur/config_document.h"
#include "crocusspur/errors.h"
#include "crocusspur/instance_list.h"
#include "crocusspur/peer_message.h"
#include "crocusspur/types.h"

#include <string>
#include <variant>
#include <vector>

namespace crocusspur {

// What the core needs to know about a request; never its prompt.
struct RequestSpec {
  std::string Group;
  RequestKind Kind = RequestKind::Model;
  std::string Target;     // model or service
  bool Idempotent = true; // may be sent again after a byte may have been sent
  std::string IdempotencyKey;
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 0;
  std::vector<uint64_t> PrefixHashes;
  uint64_t Fingerprint = 0; // hash of group, target and body
};

struct RequestArrived {
  RequestId Id;
  RequestSpec Spec;
  // Name of the instance that forwarded the request to this one as the home of
  // its key; empty if it came directly from a caller.
  std::string ForwardedBy;
};

// The caller has disconnected, or the forwarding instance has cancelled.
struct RequestCancelled {
  RequestId Id;
};

enum class Stage : uint8_t { Prefill, Decode, Service };

enum class StageOutcome : uint8_t {
  Ok,
  NotSent,      // nothing was sent (no connection, or too late)
  RefusedFull,  // refused before execution: no capacity
  RefusedFence, // refused before execution: old fencing token
  RefusedOther, // refused before execution: other reason, e.g. result evicted
  Failed,       // connection broke after a byte may have been sent
  TimedOut, // no progress within the timeout after a byte may have been sent
};

// A relay reports the end of one attempt of one stage. The first report of an
// attempt counts; later ones are ignored.
struct StageFinished {
  RequestId Id;
  uint32_t Attempt = 0;
  Stage FinishedStage = Stage::Prefill;
  StageOutcome Outcome = StageOutcome::Ok;
  std::string Server;
  uint64_t KvBytes = 0;      // Prefill
  uint32_t OutputTokens = 0; // Decode: tokens sent to the caller so far
  uint32_t HttpStatus = 0;   // Service: status of the server's response
  std::string ContentType;   // Service with a key: for the stored response
  std::string Body;          // Service with a key: up to 64 KiB
};

// A decode server has imported the result, or tokens were relayed.
struct StageProgress {
  RequestId Id;
  uint32_t Attempt = 0;
  uint32_t OutputTokens = 0;
};

// The relay has written the last byte to the caller or abandoned the response.
struct RequestClosed {
  RequestId Id;
  bool Delivered = false;
};

struct LoadReported {
  std::string Server;
  bool Reachable = true;
  uint64_t Epoch = 0; // changes when the server process restarts
  uint32_t Running = 0;
  uint32_t Queued = 0;
  uint32_t Slots = 0;
  Milliseconds Age{0}; // of these values, as reported by the server
  std::vector<RequestId> RequestIds; // running or holding memory
};

struct CacheChange {
  uint64_t PrefixHash = 0;
  bool Added = false; // false: evicted
};

struct CacheEventsReported {
  std::string Server;
  uint64_t FirstSequence = 0; // a jump means that events were lost
  std::vector<CacheChange> Changes;
};

struct PeerReceived {
  std::string From;
  uint64_t Incarnation = 0;
  PeerMessage Message;
};

struct PeerLinkChanged {
  std::string Instance;
  uint64_t Incarnation = 0;
  bool Up = false;
};

struct ListPublished {
  InstanceListPtr List;
};

struct ConfigPublished {
  ConfigPtr Document;
};

struct TimerFired {};

// Drain: accept no new requests, and finish the running ones within the limit.
struct ShutdownRequested {
  Milliseconds Limit{30000};
};

using EventBody =
    std::variant<RequestArrived, RequestCancelled, StageFinished, StageProgress,
                 RequestClosed, LoadReported, CacheEventsReported, PeerReceived,
                 PeerLinkChanged, ListPublished, ConfigPublished, TimerFired,
                 ShutdownRequested>;

struct Event {
  TimePoint At;
  WallTime Wall;
  EventBody Body;
};

} // namespace crocusspur

#endif
