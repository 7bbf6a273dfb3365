// Actions: everything that the decision core asks the threads around it to do.
#ifndef CROCUSSPUR_ACTION_H
#define CROCUSSPUR_ACTION_H

#include "crocusspur/errors.h"
#include "crocusspur/event.h"
#include "crocusspur/peer_message.h"
#include "crocusspur/types.h"

#include <string>
#include <variant>
#include <vector>

namespace crocusspur {

// Common to the Start actions: the relay checks NotAfter on the monotonic clock
// immediately before it writes the first byte, and reports NotSent if it has
// passed. Timeout limits the time without progress.
struct StartPrefill {
  RequestId Id;
  uint32_t Attempt = 0;
  std::string Server;
  uint64_t Fence = 0;
  TimePoint NotAfter;
  Milliseconds Timeout{0};
};

// Imports the result of the prefill attempt from PrefillServer (no import if it
// is the same server) and streams tokens from the first index that the relay
// has not sent yet.
struct StartDecode {
  RequestId Id;
  uint32_t Attempt = 0;
  std::string Server;
  std::string PrefillServer;
  uint64_t Fence = 0;
  TimePoint NotAfter;
  Milliseconds Timeout{0};
};

struct StartService {
  RequestId Id;
  uint32_t Attempt = 0;
  std::string Server;
  uint64_t Fence = 0;
  TimePoint NotAfter;
  Milliseconds Timeout{0};
};

// Forwards the request with its body to the home of its key and relays the
// response.
struct ForwardToHome {
  RequestId Id;
  std::string Home;
  Milliseconds Timeout{0};
};

// Final response to a request that failed. If output has started, the relay
// ends the stream with an error event instead.
struct AnswerError {
  RequestId Id;
  ErrorKind Kind = ErrorKind::Internal;
  ExecutionState Run = ExecutionState::No;
  Milliseconds RetryAfter{0}; // 0: no Retry-After
  std::string Detail;
};

// The stored response to an earlier request with the same key.
struct AnswerStored {
  RequestId Id;
  uint32_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

// Cancels the request at the server, whether or not the relay still has a
// connection to it.
struct CancelAtServer {
  RequestId Id;
  std::string Server;
  uint64_t Fence = 0;
};

struct SendToPeer {
  std::string Instance;
  PeerMessage Message;
};

enum class OrderKind : uint8_t { LoadModel, LoadAdapter, SetRole };

struct OrderServer {
  std::string Server;
  OrderKind Kind = OrderKind::LoadModel;
  std::string Argument;
  uint64_t Fence = 0;
};

// Whether this instance watches the platform itself or gets the documents from
// peers. The reader continues with the first document after AfterVersion; 0: it
// starts at the newest.
struct SetPlatformReading {
  bool Watch = true;
  uint64_t AfterVersion = 0;
};

// The active configuration has changed.
struct UseConfig {
  ConfigPtr Document;
};

// A newer instance list is active.
struct UseList {
  InstanceListPtr List;
};

// Servers whose load reports and cache events this instance polls.
struct SetPolledServers {
  std::vector<std::string> Servers;
};

struct SetReadiness {
  bool Ready = false;
};

// All requests have ended, and what this instance owned has been handed over.
struct ShutdownComplete {
  uint32_t Abandoned = 0; // requests still open at the time limit
};

enum class DecisionKind : uint8_t {
  Admitted,
  Shed,
  PrefillStarted,
  PrefillWasted,
  DecodeStarted,
  Completed,
  Cancelled,
  Failed,
  Replaced, // its slot was lost and it was placed again
  LeaseLapsed,
  OrphanCancelled,
  OwnershipGained,
  OwnershipLost,
  ConfigInForce,
  ConfigRefused,
  ListInForce,
  KeyRefused,
  KeyReplayed,
  ServerCrashed,
  SuspectRefused,
  PeerUp,
  PeerDown,
  PauseDetected,
  Drained,
};

const char *toString(DecisionKind Kind);

// A decision that is counted in a metric and, depending on its kind, logged.
struct DecisionRecord {
  DecisionKind Kind = DecisionKind::Admitted;
  RequestId Id;
  std::string Group;
  std::string Subject; // backend server, instance, shard or version
  ErrorKind Error = ErrorKind::Internal; // Shed, Failed
  double Value = 0; // seconds or a count, depending on Kind
};

using Action =
    std::variant<StartPrefill, StartDecode, StartService, ForwardToHome,
                 AnswerError, AnswerStored, CancelAtServer, SendToPeer,
                 OrderServer, SetPlatformReading, UseConfig, UseList,
                 SetPolledServers, SetReadiness, ShutdownComplete,
                 DecisionRecord>;

using ActionList = std::vector<Action>;

} // namespace crocusspur

#endif
