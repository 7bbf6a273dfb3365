// How callers and backend servers are spoken to. The gateway holds requests and
// answers in these types; an adapter turns them into bytes and back. The hooks
// decide nothing, keep no state and may be called from any thread.
#ifndef CROCUSSPUR_GATEWAY_HTTP_CODEC_H
#define CROCUSSPUR_GATEWAY_HTTP_CODEC_H

#include "gateway/decisions/output_estimator.h"
#include "gateway/decisions/server_registry.h"
#include "http_header.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur::gateway {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

struct CallerRequest {
  std::string Id; // the caller's; each attempt of a caller has its own
  std::string Host;
  std::string Method;
  std::string Target;     // path and query as sent
  HeaderFields Forwarded; // fields that reach the server unchanged
  std::string Body;
  std::optional<Milliseconds> TimeLeft; // how long the caller waits
  std::optional<GenerationSize> Generation;
  std::string LastEventId; // the caller resumes a stream after this event
};

// What one call asks of a server, beside the caller's request.
struct ForwardOptions {
  std::string ServerId; // any other server at the address must refuse
  Milliseconds TimeLeft{0};
  bool PrefillOnly = false;
  std::string KvSource;      // where the prompt's memory lies; empty: nowhere
  std::string Reservation;   // made before; empty: none
  std::string ContinueAfter; // id of the last event that the caller has
};

// What the head of a server's answer says, beside status and length.
struct ResponseInfo {
  bool NotExecuted = false; // the server states that it didn't run the request
  bool Signed = false;      // the bytes are a server's
  bool Encoded = false;     // the body isn't the server's own bytes
  std::string RequestId;
  std::optional<ServerLoad> Load;
  std::optional<Milliseconds> KeepAliveTimeout; // idle time of the connection
  HeaderFields Returned; // fields that reach the caller unchanged
};

struct PrefillResult {
  std::string Handle; // of the prompt's memory at the prefill server
  uint64_t Tokens = 0;
};

struct ServerReport {
  ServerStage Stage = ServerStage::Whole;
  uint64_t OrdersAccepted = 0; // since its start
  bool OrderRunning = false;
  uint64_t TokensInUse = 0; // memory that can't yield
  uint64_t TokensTotal = 0;
};

struct StageOrder {
  ServerStage Stage = ServerStage::Decode;
  std::string Holder;          // the instance that gives the order
  uint64_t Fence = 0;          // rises with each order, whoever gives it
  uint64_t OrdersAccepted = 0; // as reported
};

struct HttpCodec {
  std::function<CallerRequest(const internal::HttpHead &Head)> ParseRequestHead;
  std::function<std::string(const CallerRequest &, const ForwardOptions &)>
      FormatRequest;
  std::function<ResponseInfo(const internal::HttpHead &Head)> ParseResponseHead;
  std::function<std::optional<PrefillResult>(const std::string &Body)>
      ParsePrefill;
  // Names the memory of a prompt at a server for ForwardOptions::KvSource.
  std::function<std::string(const std::string &Address,
                            const std::string &Handle)>
      FormatKvSource;
  std::function<std::string(const ServerChoice &Server, uint64_t Tokens,
                            Milliseconds Lifetime)>
      FormatReserve;
  // Returns the reservation's name, or nothing.
  std::function<std::optional<std::string>(const std::string &Body)>
      ParseReservation;
  std::function<std::string(const ServerChoice &Server,
                            const std::string &Reservation)>
      FormatReleaseReservation;
  std::function<std::string(const ServerChoice &Server,
                            const std::string &Handle)>
      FormatReleaseKvCache;
  // A server's report of itself, and an order to change its stage that it
  // refuses if it has accepted another since the report.
  std::function<std::string(const ServerChoice &Server)> FormatReport;
  std::function<std::optional<ServerReport>(const std::string &Body)>
      ParseReport;
  std::function<std::string(const ServerChoice &Server, const StageOrder &)>
      FormatStageOrder;
  // Returns the id of an event, or an empty text if it has none.
  std::function<std::string(std::string_view Event)> EventId;
};

} // namespace crocusspur::gateway

#endif
