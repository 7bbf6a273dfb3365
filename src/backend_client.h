// Client for the HTTP protocol of engines and services: builds the requests of
// docs/PROTOCOLS.md and classifies their outcomes. Thread-safe; one object
// serves the whole process.
#ifndef CROCUSSPUR_BACKEND_CLIENT_H
#define CROCUSSPUR_BACKEND_CLIENT_H

#include "checked_mutex.h"
#include "crocusspur/event.h"
#include "http_exchange.h"
#include "json_text.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Destination and time limits of a call. Its first byte is sent no later than
// `NotAfter`; `Timeout` bounds the time without progress.
struct BackendCall {
  std::string Address; // "IP:port"
  TimePoint NotAfter = TimePoint::max();
  Milliseconds ConnectTimeout{500};
  Milliseconds Timeout{5000};
};

// Fields that all engine requests of one attempt share.
struct EngineRequest {
  RequestId Id;
  uint32_t Attempt = 0;
  uint64_t Fence = 0;
  std::string Model;
  std::string Group;
  uint32_t Priority = 1;
};

struct PrefillRequest {
  EngineRequest Common;
  const std::string *PromptJson = nullptr; // JSON string, with quotes
  uint32_t PromptTokens = 0;
  const std::vector<uint64_t> *PrefixHashes = nullptr;
};

struct DecodeRequest {
  EngineRequest Common;
  std::string Source; // "IP:port" of the prefill server; empty: same server
  uint32_t MaxTokens = 0;
  uint64_t FirstIndex = 0;
  const std::string *PromptJson = nullptr; // null: not sent
};

struct ServiceRequest {
  RequestId Id;
  uint64_t Fence = 0;
  std::string Method;
  std::string Path; // with query
  std::string ContentType;
  std::string Accept;
  std::string IdempotencyKey;
  const std::string *Body = nullptr;
};

// Result of a call. `Interrupted` means that the waiter or the handler ended
// it; the outcome still says whether a byte may have been sent (Failed) or not
// (NotSent).
struct BackendCallResult {
  StageOutcome Outcome = StageOutcome::Ok;
  bool Interrupted = false;
};

struct PrefillResult : BackendCallResult {
  uint64_t KvBytes = 0;
};

// Receives the events of a decode stream.
class DecodeHandler {
public:
  virtual ~DecodeHandler() = default;
  // Returns false if the stream violates the protocol, which ends the call as
  // Failed.
  virtual bool onEvent(const EngineEvent &Event) = 0;
  // Called after the events that were received together. Returns false to
  // interrupt the call.
  virtual bool onBatch() = 0;
};

// Receives the response of a service.
class ServiceHandler {
public:
  virtual ~ServiceHandler() = default;
  // Both return false to interrupt the call.
  virtual bool onHead(const HttpHead &Head) = 0;
  virtual bool onBody(std::string_view Data) = 0;
};

class BackendClient {
public:
  PrefillResult prefill(const BackendCall &Call, const PrefillRequest &Request,
                        SocketWaiter &Waiter);
  BackendCallResult decode(const BackendCall &Call,
                           const DecodeRequest &Request, SocketWaiter &Waiter,
                           DecodeHandler &Handler);
  BackendCallResult service(const BackendCall &Call,
                            const ServiceRequest &Request, SocketWaiter &Waiter,
                            ServiceHandler &Handler);

  // Makes a short control call that is safe to retry: cancel, load, cache
  // events and orders. If a reused connection breaks before the response, the
  // call is retried once on a new connection. Returns false unless a complete
  // response is received.
  bool control(const BackendCall &Call, const std::string &Method,
               const std::string &Path, const std::string &Body,
               uint32_t &Status, std::string &Response);

private:
  struct IdleSocket {
    BackendSocketPtr Socket;
    TimePoint IdleSince;
  };

  BackendSocketPtr takeIdle(const std::string &Address);
  void keepIdle(const std::string &Address, BackendSocketPtr Socket);
  // Waits until the server of a response that ended with its connection is
  // shown to live, at most for the call's timeout.
  BackendCallResult confirmEnd(const BackendCall &Call, SocketWaiter &Waiter);
  bool tryControl(const BackendCall &Call, const std::string &Request,
                  const std::string &Method, bool Reuse, bool &Retry,
                  uint32_t &Status, std::string &Response);

  LeafMutex Mutex;
  std::map<std::string, std::vector<IdleSocket>> Idle; // by address
};

} // namespace crocusspur::internal

#endif
