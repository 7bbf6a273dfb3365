// Fields of every type that a trace contains, each listed once for both writing
// and reading. Writing doesn't change the values.
#ifndef CROCUSSPUR_TRACE_DESCRIBE_H
#define CROCUSSPUR_TRACE_DESCRIBE_H

#include "trace_fields.h"

#include "crocusspur/action.h"
#include "crocusspur/decision_core.h"
#include "crocusspur/event.h"
#include "crocusspur/peer_message.h"

namespace crocusspur::internal {

template <> struct EnumNames<RequestKind> {
  static constexpr const char *Names[] = {"model", "service"};
};
template <> struct EnumNames<RequestClass> {
  static constexpr const char *Names[] = {"interactive", "normal", "batch"};
};
template <> struct EnumNames<ExecutionState> {
  static constexpr const char *Names[] = {"no", "yes", "unknown"};
};
template <> struct EnumNames<Stage> {
  static constexpr const char *Names[] = {"prefill", "decode", "service"};
};
template <> struct EnumNames<StageOutcome> {
  static constexpr const char *Names[] = {
      "ok",     "not_sent", "refused_full", "refused_fence", "refused_other",
      "failed", "timed_out"};
};
template <> struct EnumNames<FinishReason> {
  static constexpr const char *Names[] = {"completed", "cancelled", "failed"};
};
template <> struct EnumNames<LeaseStage> {
  static constexpr const char *Names[] = {"waiting", "prefilling", "ready",
                                          "decoding"};
};
template <> struct EnumNames<KeyStatus> {
  static constexpr const char *Names[] = {"unknown", "never_seen", "running",
                                          "done"};
};
template <> struct EnumNames<OrderKind> {
  static constexpr const char *Names[] = {"load_model", "load_adapter",
                                          "set_role"};
};
template <> struct EnumNames<PlacementPolicy> {
  static constexpr const char *Names[] = {"round_robin", "least_load",
                                          "split_slots", "hold_slot", "pool"};
};

// Names of the alternatives, in the order of the variants.
inline constexpr const char *EventNames[] = {
    "RequestArrived",   "RequestCancelled", "StageFinished",   "StageProgress",
    "RequestClosed",    "LoadReported",     "CacheEvents",     "PeerReceived",
    "PeerLinkChanged",  "ListPublished",    "ConfigPublished", "TimerFired",
    "ShutdownRequested"};
inline constexpr const char *ActionNames[] = {
    "StartPrefill",     "StartDecode",
    "StartService",     "ForwardToHome",
    "AnswerError",      "AnswerStored",
    "CancelAtServer",   "SendToPeer",
    "OrderServer",      "SetPlatformReading",
    "UseConfig",        "UseList",
    "SetPolledServers", "SetReadiness",
    "ShutdownComplete", "Note"};
inline constexpr const char *MessageNames[] = {
    "Heartbeat",   "AcquireRequest",   "PrefillGrant",  "DecodeGrant",
    "Refusal",     "PrefillDone",      "Finished",      "DecodeLost",
    "PrefillLost", "LeaseListRequest", "LeaseList",     "ForwardRequest",
    "ForwardHead", "ForwardBody",      "ForwardEnd",    "ForwardCancel",
    "KeyQuery",    "KeyAnswer",        "ConfigRequest", "ConfigOffer",
    "ListRequest", "ListOffer",        "CrashReport",   "Goodbye"};
static_assert(std::size(EventNames) == std::variant_size_v<EventBody>);
static_assert(std::size(ActionNames) == std::variant_size_v<Action>);
static_assert(std::size(MessageNames) == std::variant_size_v<PeerMessage>);

// Events.

template <typename F> void describe(F &Field, RequestSpec &It) {
  Field("group", It.Group);
  Field("kind", It.Kind);
  Field("target", It.Target);
  Field("idempotent", It.Idempotent);
  Field("key", It.IdempotencyKey);
  Field("prompt_tokens", It.PromptTokens);
  Field("max_output_tokens", It.MaxOutputTokens);
  Field("prefix_hashes", It.PrefixHashes);
  Field("fingerprint", It.Fingerprint);
}

template <typename F> void describe(F &Field, RequestArrived &It) {
  Field("id", It.Id);
  Field("spec", It.Spec);
  Field("forwarded_by", It.ForwardedBy);
}

template <typename F> void describe(F &Field, RequestCancelled &It) {
  Field("id", It.Id);
}

template <typename F> void describe(F &Field, StageFinished &It) {
  Field("id", It.Id);
  Field("attempt", It.Attempt);
  Field("stage", It.FinishedStage);
  Field("outcome", It.Outcome);
  Field("server", It.Server);
  Field("kv_bytes", It.KvBytes);
  Field("output_tokens", It.OutputTokens);
  Field("http_status", It.HttpStatus);
  Field("content_type", It.ContentType);
  Field("body_bytes", RedactedText{It.Body});
}

template <typename F> void describe(F &Field, StageProgress &It) {
  Field("id", It.Id);
  Field("attempt", It.Attempt);
  Field("output_tokens", It.OutputTokens);
}

template <typename F> void describe(F &Field, RequestClosed &It) {
  Field("id", It.Id);
  Field("delivered", It.Delivered);
}

template <typename F> void describe(F &Field, LoadReported &It) {
  Field("server", It.Server);
  Field("reachable", It.Reachable);
  Field("epoch", It.Epoch);
  Field("running", It.Running);
  Field("queued", It.Queued);
  Field("slots", It.Slots);
  Field("age_ms", It.Age);
  Field("requests", It.RequestIds);
}

template <typename F> void describe(F &Field, CacheChange &It) {
  Field("prefix", It.PrefixHash);
  Field("added", It.Added);
}

template <typename F> void describe(F &Field, CacheEventsReported &It) {
  Field("server", It.Server);
  Field("first", It.FirstSequence);
  Field("changes", It.Changes);
}

template <typename F> void describe(F &Field, PeerReceived &It) {
  Field("from", It.From);
  Field("incarnation", It.Incarnation);
  Field("message", It.Message);
}

template <typename F> void describe(F &Field, PeerLinkChanged &It) {
  Field("instance", It.Instance);
  Field("incarnation", It.Incarnation);
  Field("up", It.Up);
}

template <typename F> void describe(F &Field, ListPublished &It) {
  Field("list", It.List);
}

template <typename F> void describe(F &Field, ConfigPublished &It) {
  Field("document", It.Document);
}

template <typename F> void describe(F &, TimerFired &) {}

template <typename F> void describe(F &Field, ShutdownRequested &It) {
  Field("limit_ms", It.Limit);
}

// Messages between instances.

template <typename F> void describe(F &Field, LeaseSummary &It) {
  Field("shard", It.Shard);
  Field("count", It.Count);
  Field("digest", It.Digest);
}

template <typename F> void describe(F &Field, Heartbeat &It) {
  Field("config_version", It.ConfigVersion);
  Field("config_digest", It.ConfigDigest);
  Field("list_sequence", It.ListSequence);
  Field("list_digest", It.ListDigest);
  Field("previous_digest", It.PreviousDigest);
  Field("earlier_digests", It.EarlierDigests);
  Field("first_digest", It.FirstDigest);
  Field("list_changes", It.ListChanges);
  Field("number", It.Number);
  Field("echo", It.Echo);
  Field("membership_epoch", It.MembershipEpoch);
  Field("draining", It.Draining);
  Field("reads_platform", It.ReadsPlatform);
  Field("leases", It.Leases);
}

template <typename F> void describe(F &Field, AcquireRequest &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("group", It.Group);
  Field("class", It.Class);
  Field("attempt", It.Attempt);
  Field("prompt_tokens", It.PromptTokens);
  Field("max_output_tokens", It.MaxOutputTokens);
  Field("prefix_hashes", It.PrefixHashes);
  Field("time_left_us", It.TimeLeft);
  Field("may_wait", It.MayWait);
  Field("is_retry", It.IsRetry);
  Field("fingerprint", It.Fingerprint);
  Field("run_alone", It.RunAlone);
  Field("lost_on", It.LostOn);
}

template <typename F> void describe(F &Field, PrefillGrant &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("prefill_server", It.PrefillServer);
  Field("decode_server", It.DecodeServer);
  Field("fence", It.Fence);
  Field("queue_length", It.QueueLength);
}

template <typename F> void describe(F &Field, DecodeGrant &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("decode_server", It.DecodeServer);
  Field("fence", It.Fence);
}

template <typename F> void describe(F &Field, Refusal &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("error", It.Kind);
  Field("retry_after_ms", It.RetryAfter);
  Field("queue_length", It.QueueLength);
}

template <typename F> void describe(F &Field, PrefillDone &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("kv_bytes", It.KvBytes);
}

template <typename F> void describe(F &Field, Finished &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("reason", It.Reason);
  Field("output_tokens", It.OutputTokens);
  Field("prefill_used", It.PrefillUsed);
}

template <typename F> void describe(F &Field, DecodeLost &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("server", It.Server);
  Field("result_alive", It.ResultAlive);
  Field("server_full", It.ServerFull);
  Field("output_tokens", It.OutputTokens);
}

template <typename F> void describe(F &Field, PrefillLost &It) {
  Field("id", It.Id);
  Field("shard", It.Shard);
  Field("attempt", It.Attempt);
  Field("server", It.Server);
  Field("server_full", It.ServerFull);
}

template <typename F> void describe(F &Field, LeaseEntry &It) {
  Field("id", It.Id);
  Field("attempt", It.Attempt);
  Field("stage", It.Stage);
  Field("group", It.Group);
  Field("prefill_server", It.PrefillServer);
  Field("decode_server", It.DecodeServer);
  Field("prompt_tokens", It.PromptTokens);
  Field("max_output_tokens", It.MaxOutputTokens);
}

template <typename F> void describe(F &Field, LeaseListRequest &It) {
  Field("shard", It.Shard);
}

template <typename F> void describe(F &Field, LeaseList &It) {
  Field("shard", It.Shard);
  Field("leases", It.Leases);
}

template <typename F> void describe(F &Field, ForwardRequest &It) {
  Field("id", It.Id);
  Field("method", It.Method);
  Field("path", It.Path);
  Field("content_type", It.ContentType);
  Field("group", It.Group);
  Field("key", It.IdempotencyKey);
  Field("body_bytes", RedactedText{It.Body});
  Field("time_left_us", It.TimeLeft);
}

template <typename F> void describe(F &Field, ForwardHead &It) {
  Field("id", It.Id);
  Field("status", It.Status);
  Field("content_type", It.ContentType);
}

template <typename F> void describe(F &Field, ForwardBody &It) {
  Field("id", It.Id);
  Field("data_bytes", RedactedText{It.Data});
}

template <typename F> void describe(F &Field, ForwardEnd &It) {
  Field("id", It.Id);
  Field("complete", It.Complete);
}

template <typename F> void describe(F &Field, ForwardCancel &It) {
  Field("id", It.Id);
}

template <typename F> void describe(F &Field, KeyQuery &It) {
  Field("id", It.Id);
  Field("group", It.Group);
  Field("key", It.Key);
}

template <typename F> void describe(F &Field, KeyAnswer &It) {
  Field("id", It.Id);
  Field("key", It.Key);
  Field("status", It.Status);
  Field("fingerprint", It.Fingerprint);
  Field("http_status", It.HttpStatus);
  Field("content_type", It.ContentType);
  Field("body_bytes", RedactedText{It.Body});
}

template <typename F> void describe(F &Field, ConfigRequest &It) {
  Field("have_version", It.HaveVersion);
}

template <typename F> void describe(F &Field, ConfigOffer &It) {
  Field("text", It.Text);
}

template <typename F> void describe(F &Field, ListRequest &It) {
  Field("have_sequence", It.HaveSequence);
}

template <typename F> void describe(F &Field, ListOffer &It) {
  Field("text", It.Text);
}

template <typename F> void describe(F &Field, CrashReport &It) {
  Field("server", It.Server);
  Field("server_epoch", It.ServerEpoch);
  Field("fingerprints", It.Fingerprints);
  Field("ran_alone", It.RanAlone);
  Field("cleared", It.Cleared);
  Field("age_ms", It.Age);
}

template <typename F> void describe(F &, Goodbye &) {}

// Actions, which are only written.

template <typename F> void describe(F &Field, StartPrefill &It) {
  Field("id", It.Id);
  Field("attempt", It.Attempt);
  Field("server", It.Server);
  Field("fence", It.Fence);
  Field("not_after", It.NotAfter);
  Field("timeout_ms", It.Timeout);
}

template <typename F> void describe(F &Field, StartDecode &It) {
  Field("id", It.Id);
  Field("attempt", It.Attempt);
  Field("server", It.Server);
  Field("prefill_server", It.PrefillServer);
  Field("fence", It.Fence);
  Field("not_after", It.NotAfter);
  Field("timeout_ms", It.Timeout);
}

template <typename F> void describe(F &Field, StartService &It) {
  Field("id", It.Id);
  Field("attempt", It.Attempt);
  Field("server", It.Server);
  Field("fence", It.Fence);
  Field("not_after", It.NotAfter);
  Field("timeout_ms", It.Timeout);
}

template <typename F> void describe(F &Field, ForwardToHome &It) {
  Field("id", It.Id);
  Field("home", It.Home);
  Field("timeout_ms", It.Timeout);
}

template <typename F> void describe(F &Field, AnswerError &It) {
  Field("id", It.Id);
  Field("error", It.Kind);
  Field("run", It.Run);
  Field("retry_after_ms", It.RetryAfter);
  Field("detail", It.Detail);
}

template <typename F> void describe(F &Field, AnswerStored &It) {
  Field("id", It.Id);
  Field("http_status", It.HttpStatus);
  Field("content_type", It.ContentType);
  Field("body_bytes", RedactedText{It.Body});
}

template <typename F> void describe(F &Field, CancelAtServer &It) {
  Field("id", It.Id);
  Field("server", It.Server);
  Field("fence", It.Fence);
}

template <typename F> void describe(F &Field, SendToPeer &It) {
  Field("instance", It.Instance);
  Field("message", It.Message);
}

template <typename F> void describe(F &Field, OrderServer &It) {
  Field("server", It.Server);
  Field("kind", It.Kind);
  Field("argument", It.Argument);
  Field("fence", It.Fence);
}

template <typename F> void describe(F &Field, SetPlatformReading &It) {
  Field("watch", It.Watch);
  Field("after_version", It.AfterVersion);
}

template <typename F> void describe(F &Field, UseConfig &It) {
  Field("version", It.Document->Version);
  Field("digest", It.Document->Digest);
}

template <typename F> void describe(F &Field, UseList &It) {
  Field("sequence", It.List->Sequence);
  Field("digest", It.List->Digest);
}

template <typename F> void describe(F &Field, SetPolledServers &It) {
  Field("servers", It.Servers);
}

template <typename F> void describe(F &Field, SetReadiness &It) {
  Field("ready", It.Ready);
}

template <typename F> void describe(F &Field, ShutdownComplete &It) {
  Field("abandoned", It.Abandoned);
}

template <typename F> void describe(F &Field, DecisionRecord &It) {
  std::string kind = toString(It.Kind);
  Field("kind", kind);
  Field("id", It.Id);
  Field("group", It.Group);
  Field("subject", It.Subject);
  Field("error", It.Error);
  Field("value", It.Value);
}

// Options of the core.

template <typename F> void describe(F &Field, CoreOptions &It) {
  Field("instance", It.Instance);
  Field("region", It.Region);
  Field("failure_domain", It.FailureDomain);
  Field("incarnation", It.Incarnation);
  Field("ticket_key", It.TicketKey);
  Field("policy", It.Policy);
  Field("prefill_waste_bound", It.PrefillWasteBound);
  Field("interactive_wait_bound_ms", It.InteractiveWaitBound);
  Field("retry_budget_ratio", It.RetryBudgetRatio);
  Field("retry_budget_floor", It.RetryBudgetFloor);
  Field("heartbeat_period_ms", It.HeartbeatPeriod);
  Field("lease_period_ms", It.LeasePeriod);
  Field("progress_timeout_ms", It.ProgressTimeout);
  Field("key_retention_ms", It.KeyRetention);
  Field("clock_margin_ms", It.ClockMargin);
  Field("max_requests", It.MaxRequests);
  Field("max_remembered_keys", It.MaxRememberedKeys);
  Field("watchers_per_domain", It.WatchersPerDomain);
}

} // namespace crocusspur::internal

#endif
