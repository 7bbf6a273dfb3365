// Messages between instances, as plain aggregates. `peer_codec` converts them
// to FlatBuffers frames; the decision core only sees these types.
#ifndef CROCUSSPUR_PEER_MESSAGE_H
#define CROCUSSPUR_PEER_MESSAGE_H

#include "crocusspur/errors.h"
#include "crocusspur/types.h"

#include <string>
#include <variant>
#include <vector>

namespace crocusspur {

// Leases that the sender holds from the receiver, as owner of one shard.
struct LeaseSummary {
  std::string Shard;
  uint32_t Count = 0;
  uint64_t Digest = 0; // XOR of std::hash<RequestId> over the held requests
};

// Sent to every peer each heartbeat period.
struct Heartbeat {
  uint64_t ConfigVersion = 0;
  uint64_t ConfigDigest = 0;
  uint64_t ListSequence = 0; // newest list seen
  uint64_t ListDigest = 0;   // list that the sender confirms; 0 = none
  // Lists that the sender confirmed before ListDigest and that may still be
  // active: the last of them, and those before it. 0 and empty once the sender
  // has seen ListDigest active.
  uint64_t PreviousDigest = 0;
  std::vector<uint64_t> EarlierDigests;
  uint64_t FirstDigest = 0; // list that it offers to confirm as its first one
                            // since its start; 0 = has confirmed an active one
  uint64_t ListChanges = 0; // lists that it has confirmed since its start
  // Heartbeat numbers, to bound the age of their contents: `Echo` is the
  // highest Number that the sender has received from the receiver.
  uint64_t Number = 0;
  uint64_t Echo = 0;
  uint64_t MembershipEpoch = 0;
  bool Draining = false;
  bool ReadsPlatform = false;
  std::vector<LeaseSummary> Leases;
};

// Entry to owner: requests a prefill.
struct AcquireRequest {
  RequestId Id;
  std::string Shard;
  std::string Group;
  RequestClass Class = RequestClass::Normal;
  uint32_t Attempt = 1; // increases with every new placement of the request
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 0;
  std::vector<uint64_t> PrefixHashes; // one for each prefix block, in order
  Microseconds TimeLeft{0};           // to the first-output deadline
  bool MayWait = false;
  bool IsRetry = false;
  uint64_t Fingerprint = 0;
  bool RunAlone = false; // suspected of crashing servers
  // Server on which the last attempt was lost, if any. An owner that has taken
  // over the shard places the request after a report about this server.
  std::string LostOn;
};

// Owner to entry: start the prefill on this server now. The lease covers the
// request until Finished, and is renewed by the entry's heartbeats.
struct PrefillGrant {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  std::string
      PrefillServer;        // equal to DecodeServer: prefill there, no transfer
  std::string DecodeServer; // empty until the decode grant
  uint64_t Fence = 0;
  uint32_t QueueLength = 0; // of the shard, for the choice between shards
};

// Owner to entry: decode on this server.
struct DecodeGrant {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  std::string DecodeServer;
  uint64_t Fence = 0;
};

// Owner to entry: the request gets no placement.
struct Refusal {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  ErrorKind Kind = ErrorKind::Overloaded;
  Milliseconds RetryAfter{0};
  uint32_t QueueLength = 0;
};

// Entry to owner: the prefill's result is ready on its server.
struct PrefillDone {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  uint64_t KvBytes = 0;
};

enum class FinishReason : uint8_t { Completed, Cancelled, Failed };

// Entry to owner: the request no longer needs its slot and lease.
struct Finished {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  FinishReason Reason = FinishReason::Completed;
  uint32_t OutputTokens = 0;
  bool PrefillUsed = false; // a decode server imported the prefill's result
};

// Entry to owner: the decode server refused or failed before or during the
// decode. `ResultAlive` means that the prefill's result can still be used.
struct DecodeLost {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  std::string Server;
  bool ResultAlive = false;
  bool ServerFull = false; // refused for lack of a slot, not failed
  uint32_t OutputTokens = 0;
};

// Entry to owner: the prefill produced no result.
struct PrefillLost {
  RequestId Id;
  std::string Shard;
  uint32_t Attempt = 0;
  std::string Server;
  bool ServerFull = false;
};

enum class LeaseStage : uint8_t { Waiting, Prefilling, Ready, Decoding };

struct LeaseEntry {
  RequestId Id;
  uint32_t Attempt = 0;
  LeaseStage Stage = LeaseStage::Waiting;
  std::string Group;
  std::string PrefillServer;
  std::string DecodeServer;
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 0;
};

struct LeaseListRequest {
  std::string Shard;
};

// Entry to owner: every lease that it holds from this shard. Also sent
// unsolicited to a new owner.
struct LeaseList {
  std::string Shard;
  std::vector<LeaseEntry> Leases;
};

// Entry to home instance: a request with an idempotency key, with its body.
struct ForwardRequest {
  RequestId Id;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Group;
  std::string IdempotencyKey;
  std::string Body;
  Microseconds TimeLeft{0};
};

struct ForwardHead {
  RequestId Id;
  uint32_t Status = 0;
  std::string ContentType;
};

struct ForwardBody {
  RequestId Id;
  std::string Data;
};

struct ForwardEnd {
  RequestId Id;
  bool Complete = false; // false: the response was cut off
};

struct ForwardCancel {
  RequestId Id;
};

// A new home asks former homes for their record of a key.
struct KeyQuery {
  RequestId Id;
  std::string Group;
  std::string Key;
};

enum class KeyStatus : uint8_t { Unknown, NeverSeen, Running, Done };

struct KeyAnswer {
  RequestId Id;
  std::string Key;
  KeyStatus Status = KeyStatus::Unknown;
  uint64_t Fingerprint = 0; // Done: of the request that was executed
  uint32_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

struct ConfigRequest {
  uint64_t HaveVersion = 0;
};

struct ConfigOffer {
  std::string Text; // published document
};

struct ListRequest {
  uint64_t HaveSequence = 0;
};

struct ListOffer {
  std::string Text; // published list
};

// A backend server failed while these requests ran on it. If Server is empty,
// the message only lists contents that have completed successfully since.
struct CrashReport {
  std::string Server;
  uint64_t ServerEpoch = 0; // identifies the run, to count its crash once
  std::vector<uint64_t> Fingerprints;
  // Those of Fingerprints that ran alone because they were already suspected.
  std::vector<uint64_t> RanAlone;
  std::vector<uint64_t> Cleared;
  Milliseconds Age{0}; // since the sender saw the crash
};

// The sender is shutting down; what it owned passes to the next in rank
// immediately.
struct Goodbye {};

using PeerMessage =
    std::variant<Heartbeat, AcquireRequest, PrefillGrant, DecodeGrant, Refusal,
                 PrefillDone, Finished, DecodeLost, PrefillLost,
                 LeaseListRequest, LeaseList, ForwardRequest, ForwardHead,
                 ForwardBody, ForwardEnd, ForwardCancel, KeyQuery, KeyAnswer,
                 ConfigRequest, ConfigOffer, ListRequest, ListOffer,
                 CrashReport, Goodbye>;

} // namespace crocusspur

#endif
