// Hooks that encode and decode HTTP messages to and from callers and backend
// servers. The gateway represents requests and responses with these types; an
// adapter converts them to bytes and back. The hooks make no decisions, are
// stateless and may be called from any thread.
#ifndef CROCUSSPUR_GATEWAY_HTTP_CODEC_H
#define CROCUSSPUR_GATEWAY_HTTP_CODEC_H

#include "gateway/decisions/accounts/access_check.h"
#include "gateway/decisions/output_estimator.h"
#include "gateway/decisions/prompt_parts.h"
#include "gateway/decisions/server_limit_table.h"
#include "gateway/decisions/server_registry.h"
#include "gateway/decisions/streams/stream_progress.h"
#include "http_header.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur::gateway {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

struct CallerRequest {
  std::string Id; // from the caller; each attempt has its own
  std::string Host;
  std::string Method;
  std::string Target;     // path and query as sent
  HeaderFields Forwarded; // fields passed to the server unchanged
  std::string Body;
  std::optional<Milliseconds> TimeLeft; // until the caller's deadline
  std::optional<GenerationSize> Generation;
  std::vector<PromptPartKey> PromptParts; // see sharedPromptParts()
  std::string LastEventId;                // resume the stream after this event
  // Id of the caller's attempt that brought the first event of the stream that
  // this request takes up; empty if it takes up none.
  std::string ResumedRequestId;
  // The key as sent; cleared once it is checked, so that nothing passes it on.
  std::string Key;
  std::string Account; // name of the client account; empty: none
  // Set once the key is taken out of the fields; see HttpCodec::TakeKey.
  std::optional<KeyPresence> KeyState;
  // Of the key, for checks after the first one.
  std::optional<internal::Sha256Digest> KeyDigest;
};

// Options of one call to a server, in addition to the caller's request.
struct ForwardOptions {
  std::string ServerId; // other servers at the address must refuse
  Milliseconds TimeLeft{0};
  bool PrefillOnly = false;
  std::string KvSource;      // location of the prompt's KV cache; empty: none
  std::string Reservation;   // id of a reservation; empty: none
  std::string ContinueAfter; // id of the last event sent to the caller
  // A server with other weights must refuse.
  std::optional<WeightVersion> ExpectedWeights;
  // Rank among the requests of the service, 0 to 9; 0 is the most urgent. The
  // server admits those first, and preempts the others when memory runs out.
  std::optional<uint32_t> Priority;
};

// Contents of a server's response head, except status and length.
struct ResponseInfo {
  bool NotExecuted = false; // stated by the server
  bool Misdirected = false; // another server than the one that was meant
  bool Signed = false;      // the response carries a server's signature
  bool Encoded = false;     // the body has a content encoding
  std::string RequestId;
  std::optional<ServerLoad> Load;
  std::optional<WeightVersion> Weights; // that write the response
  StatedLimit Limit;
  bool ServerLeaving = false; // the server shuts down soon
  // With a refusal: for how long the server wants no request of this instance.
  std::optional<Milliseconds> RetryAfter;
  std::optional<Milliseconds> KeepAliveTimeout; // of the connection
  HeaderFields Returned; // fields passed to the caller unchanged
};

struct PrefillResult {
  std::string Handle; // of the prompt's KV cache at the prefill server
  uint64_t Tokens = 0;
  std::optional<WeightVersion> Weights; // that read the prompt
};

struct ServerReport {
  ServerStage Stage = ServerStage::Whole;
  uint64_t OrdersAccepted = 0; // since the server's start
  bool OrderRunning = false;
  uint64_t TokensInUse = 0; // KV cache that can't be evicted
  uint64_t TokensTotal = 0;
  int64_t StartedAt = 0; // Unix milliseconds of the process's start; 0: unknown
};

struct StageOrder {
  ServerStage Stage = ServerStage::Decode;
  std::string Holder; // the instance that issues the order
  uint64_t Fence = 0; // fencing token; rises with every instance's orders
  uint64_t OrdersAccepted = 0; // as reported
};

struct HttpCodec {
  std::function<CallerRequest(const internal::HttpHead &Head)> ParseRequestHead;
  // Moves the caller's key out of the fields that are passed on to `Key`, and
  // removes the name of an account that the caller states itself.
  std::function<KeyPresence(CallerRequest &)> TakeKey;
  // States the account's name, if there is one.
  std::function<std::string(const CallerRequest &, const ForwardOptions &)>
      FormatRequest;
  std::function<ResponseInfo(const internal::HttpHead &Head)> ParseResponseHead;
  std::function<std::optional<PrefillResult>(const std::string &Body)>
      ParsePrefill;
  // Formats ForwardOptions::KvSource for a prompt's KV cache at a server.
  std::function<std::string(const std::string &Address,
                            const std::string &Handle)>
      FormatKvSource;
  std::function<std::string(const ServerChoice &Server, uint64_t Tokens,
                            Milliseconds Lifetime)>
      FormatReserve;
  // Returns the reservation's id, or nullopt.
  std::function<std::optional<std::string>(const std::string &Body)>
      ParseReservation;
  std::function<std::string(const ServerChoice &Server,
                            const std::string &Reservation)>
      FormatReleaseReservation;
  std::function<std::string(const ServerChoice &Server,
                            const std::string &Handle)>
      FormatReleaseKvCache;
  // A request for a server's status report, and an order to change its stage.
  // The server refuses the order if it has accepted another one since the
  // report.
  std::function<std::string(const ServerChoice &Server)> FormatReport;
  std::function<std::optional<ServerReport>(const std::string &Body)>
      ParseReport;
  std::function<std::string(const ServerChoice &Server, const StageOrder &)>
      FormatStageOrder;
  // What an event states; see StreamProgress.
  StreamProgress::EventHooks Event;
};

} // namespace crocusspur::gateway

#endif
