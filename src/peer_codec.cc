#include "peer_codec.h"

#include "peer_generated.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cstring>
#include <utility>

namespace crocusspur::internal {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Text = flatbuffers::Offset<flatbuffers::String>;
using Octets = flatbuffers::Offset<flatbuffers::Vector<uint8_t>>;
using Packed = std::pair<wire::Body, flatbuffers::Offset<void>>;

// Largest duration accepted in a message. Prevents overflow in sums of time
// points, whatever a peer sends.
constexpr int64_t MaxTimeUs = int64_t(366) * 24 * 3600 * 1000000;

// --- Completeness ---

struct AnyField {
  template <typename T> operator T() const; // NOLINT: never defined
};

template <typename T, typename... Fields> constexpr size_t fieldCount() {
  if constexpr (requires { T{Fields{}..., AnyField{}}; })
    return fieldCount<T, Fields..., AnyField>();
  else
    return sizeof...(Fields);
}

// A field that is added to a message but not to the schema would be dropped
// silently. To change one of these numbers, extend schema/peer.fbs, pack(),
// unpack() and the samples of the test.
static_assert(fieldCount<LeaseSummary>() == 3);
static_assert(fieldCount<Heartbeat>() == 14);
static_assert(fieldCount<AcquireRequest>() == 14);
static_assert(fieldCount<PrefillGrant>() == 7);
static_assert(fieldCount<DecodeGrant>() == 5);
static_assert(fieldCount<Refusal>() == 6);
static_assert(fieldCount<PrefillDone>() == 4);
static_assert(fieldCount<Finished>() == 6);
static_assert(fieldCount<DecodeLost>() == 7);
static_assert(fieldCount<PrefillLost>() == 5);
static_assert(fieldCount<LeaseListRequest>() == 1);
static_assert(fieldCount<LeaseEntry>() == 8);
static_assert(fieldCount<LeaseList>() == 2);
static_assert(fieldCount<ForwardRequest>() == 8);
static_assert(fieldCount<ForwardHead>() == 3);
static_assert(fieldCount<ForwardBody>() == 2);
static_assert(fieldCount<ForwardEnd>() == 2);
static_assert(fieldCount<ForwardCancel>() == 1);
static_assert(fieldCount<KeyQuery>() == 3);
static_assert(fieldCount<KeyAnswer>() == 7);
static_assert(fieldCount<ConfigRequest>() == 1);
static_assert(fieldCount<ConfigOffer>() == 1);
static_assert(fieldCount<ListRequest>() == 1);
static_assert(fieldCount<ListOffer>() == 1);
static_assert(fieldCount<CrashReport>() == 6);
static_assert(fieldCount<Goodbye>() == 0);

// --- Encoding ---

// An empty string is left out of the table, which takes no extra space.
Text pack(Builder &Out, const std::string &Value) {
  return Value.empty() ? Text() : Out.CreateString(Value);
}

Octets packOctets(Builder &Out, const std::string &Value) {
  if (Value.empty())
    return Octets();
  return Out.CreateVector(reinterpret_cast<const uint8_t *>(Value.data()),
                          Value.size());
}

flatbuffers::Offset<flatbuffers::Vector<uint64_t>>
pack(Builder &Out, const std::vector<uint64_t> &Values) {
  if (Values.empty())
    return {};
  return Out.CreateVector(Values);
}

wire::RequestId pack(const RequestId &Id) {
  return wire::RequestId(Id.Incarnation, Id.Sequence);
}

template <typename E> uint8_t number(E Value) {
  return static_cast<uint8_t>(Value);
}

Packed pack(Builder &Out, const Hello &It) {
  auto name = pack(Out, It.Name);
  auto nonce = Out.CreateVector(It.Nonce.data(), It.Nonce.size());
  return {wire::Body::Hello,
          wire::CreateHello(Out, name, It.Incarnation, nonce).Union()};
}

Packed pack(Builder &Out, const HelloProof &It) {
  auto mac = Out.CreateVector(It.Mac.data(), It.Mac.size());
  return {wire::Body::HelloProof, wire::CreateHelloProof(Out, mac).Union()};
}

Packed pack(Builder &Out, const Heartbeat &It) {
  std::vector<flatbuffers::Offset<wire::LeaseSummary>> leases;
  for (const LeaseSummary &lease : It.Leases)
    leases.push_back(wire::CreateLeaseSummary(Out, pack(Out, lease.Shard),
                                              lease.Count, lease.Digest));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::LeaseSummary>>>
      list;
  if (!leases.empty())
    list = Out.CreateVector(leases);
  auto earlier = pack(Out, It.EarlierDigests);
  return {wire::Body::Heartbeat,
          wire::CreateHeartbeat(
              Out, It.ConfigVersion, It.ConfigDigest, It.ListSequence,
              It.ListDigest, It.PreviousDigest, It.MembershipEpoch, It.Draining,
              It.ReadsPlatform, list, earlier, It.FirstDigest, It.ListChanges,
              It.Number, It.Echo)
              .Union()};
}

Packed pack(Builder &Out, const AcquireRequest &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  auto group = pack(Out, It.Group);
  auto hashes = pack(Out, It.PrefixHashes);
  auto lost = pack(Out, It.LostOn);
  return {wire::Body::AcquireRequest,
          wire::CreateAcquireRequest(
              Out, &id, shard, group, number(It.Class), It.Attempt,
              It.PromptTokens, It.MaxOutputTokens, hashes, It.TimeLeft.count(),
              It.MayWait, It.IsRetry, It.Fingerprint, It.RunAlone, lost)
              .Union()};
}

Packed pack(Builder &Out, const PrefillGrant &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  auto prefill = pack(Out, It.PrefillServer);
  auto decode = pack(Out, It.DecodeServer);
  return {wire::Body::PrefillGrant,
          wire::CreatePrefillGrant(Out, &id, shard, It.Attempt, prefill, decode,
                                   It.Fence, It.QueueLength)
              .Union()};
}

Packed pack(Builder &Out, const DecodeGrant &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  auto server = pack(Out, It.DecodeServer);
  return {wire::Body::DecodeGrant,
          wire::CreateDecodeGrant(Out, &id, shard, It.Attempt, server, It.Fence)
              .Union()};
}

Packed pack(Builder &Out, const Refusal &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  return {wire::Body::Refusal,
          wire::CreateRefusal(Out, &id, shard, It.Attempt, number(It.Kind),
                              It.RetryAfter.count(), It.QueueLength)
              .Union()};
}

Packed pack(Builder &Out, const PrefillDone &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  return {
      wire::Body::PrefillDone,
      wire::CreatePrefillDone(Out, &id, shard, It.Attempt, It.KvBytes).Union()};
}

Packed pack(Builder &Out, const Finished &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  return {wire::Body::Finished,
          wire::CreateFinished(Out, &id, shard, It.Attempt, number(It.Reason),
                               It.OutputTokens, It.PrefillUsed)
              .Union()};
}

Packed pack(Builder &Out, const DecodeLost &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  auto server = pack(Out, It.Server);
  return {wire::Body::DecodeLost,
          wire::CreateDecodeLost(Out, &id, shard, It.Attempt, server,
                                 It.ResultAlive, It.ServerFull, It.OutputTokens)
              .Union()};
}

Packed pack(Builder &Out, const PrefillLost &It) {
  auto id = pack(It.Id);
  auto shard = pack(Out, It.Shard);
  auto server = pack(Out, It.Server);
  return {wire::Body::PrefillLost,
          wire::CreatePrefillLost(Out, &id, shard, It.Attempt, server,
                                  It.ServerFull)
              .Union()};
}

Packed pack(Builder &Out, const LeaseListRequest &It) {
  auto shard = pack(Out, It.Shard);
  return {wire::Body::LeaseListRequest,
          wire::CreateLeaseListRequest(Out, shard).Union()};
}

flatbuffers::Offset<wire::LeaseEntry> pack(Builder &Out, const LeaseEntry &It) {
  auto id = pack(It.Id);
  auto group = pack(Out, It.Group);
  auto prefill = pack(Out, It.PrefillServer);
  auto decode = pack(Out, It.DecodeServer);
  return wire::CreateLeaseEntry(Out, &id, It.Attempt, number(It.Stage), group,
                                prefill, decode, It.PromptTokens,
                                It.MaxOutputTokens);
}

Packed pack(Builder &Out, const LeaseList &It) {
  auto shard = pack(Out, It.Shard);
  std::vector<flatbuffers::Offset<wire::LeaseEntry>> leases;
  leases.reserve(It.Leases.size());
  for (const LeaseEntry &lease : It.Leases)
    leases.push_back(pack(Out, lease));
  auto list = Out.CreateVector(leases);
  return {wire::Body::LeaseList,
          wire::CreateLeaseList(Out, shard, list).Union()};
}

Packed pack(Builder &Out, const ForwardRequest &It) {
  auto id = pack(It.Id);
  auto method = pack(Out, It.Method);
  auto path = pack(Out, It.Path);
  auto type = pack(Out, It.ContentType);
  auto group = pack(Out, It.Group);
  auto key = pack(Out, It.IdempotencyKey);
  auto body = packOctets(Out, It.Body);
  return {wire::Body::ForwardRequest,
          wire::CreateForwardRequest(Out, &id, method, path, type, group, key,
                                     body, It.TimeLeft.count())
              .Union()};
}

Packed pack(Builder &Out, const ForwardHead &It) {
  auto id = pack(It.Id);
  auto type = pack(Out, It.ContentType);
  return {wire::Body::ForwardHead,
          wire::CreateForwardHead(Out, &id, It.Status, type).Union()};
}

Packed pack(Builder &Out, const ForwardBody &It) {
  auto id = pack(It.Id);
  auto data = packOctets(Out, It.Data);
  return {wire::Body::ForwardBody,
          wire::CreateForwardBody(Out, &id, data).Union()};
}

Packed pack(Builder &Out, const ForwardEnd &It) {
  auto id = pack(It.Id);
  return {wire::Body::ForwardEnd,
          wire::CreateForwardEnd(Out, &id, It.Complete).Union()};
}

Packed pack(Builder &Out, const ForwardCancel &It) {
  auto id = pack(It.Id);
  return {wire::Body::ForwardCancel,
          wire::CreateForwardCancel(Out, &id).Union()};
}

Packed pack(Builder &Out, const KeyQuery &It) {
  auto id = pack(It.Id);
  auto group = pack(Out, It.Group);
  auto key = pack(Out, It.Key);
  return {wire::Body::KeyQuery,
          wire::CreateKeyQuery(Out, &id, group, key).Union()};
}

Packed pack(Builder &Out, const KeyAnswer &It) {
  auto id = pack(It.Id);
  auto key = pack(Out, It.Key);
  auto type = pack(Out, It.ContentType);
  auto body = packOctets(Out, It.Body);
  return {wire::Body::KeyAnswer,
          wire::CreateKeyAnswer(Out, &id, key, number(It.Status),
                                It.Fingerprint, It.HttpStatus, type, body)
              .Union()};
}

Packed pack(Builder &Out, const ConfigRequest &It) {
  return {wire::Body::ConfigRequest,
          wire::CreateConfigRequest(Out, It.HaveVersion).Union()};
}

Packed pack(Builder &Out, const ConfigOffer &It) {
  auto text = packOctets(Out, It.Text);
  return {wire::Body::ConfigOffer, wire::CreateConfigOffer(Out, text).Union()};
}

Packed pack(Builder &Out, const ListRequest &It) {
  return {wire::Body::ListRequest,
          wire::CreateListRequest(Out, It.HaveSequence).Union()};
}

Packed pack(Builder &Out, const ListOffer &It) {
  auto text = packOctets(Out, It.Text);
  return {wire::Body::ListOffer, wire::CreateListOffer(Out, text).Union()};
}

Packed pack(Builder &Out, const CrashReport &It) {
  auto server = pack(Out, It.Server);
  auto fingerprints = pack(Out, It.Fingerprints);
  auto alone = pack(Out, It.RanAlone);
  auto cleared = pack(Out, It.Cleared);
  return {wire::Body::CrashReport,
          wire::CreateCrashReport(Out, server, It.ServerEpoch, fingerprints,
                                  alone, cleared,
                                  static_cast<uint32_t>(It.Age.count()))
              .Union()};
}

Packed pack(Builder &Out, const Goodbye &) {
  return {wire::Body::Goodbye, wire::CreateGoodbye(Out).Union()};
}

template <typename T> Bytes encodeFrame(const T &Message) {
  Builder out(256);
  auto [type, body] = pack(out, Message);
  out.Finish(wire::CreateFrame(out, ProtocolVersion, type, body));
  return Bytes(out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize());
}

// --- Decoding ---

// Copies fields out of a verified frame and keeps the first error.
class Unpacker {
public:
  explicit Unpacker(size_t FrameSize) : TextBudget(FrameSize) {}

  const char *error() const { return Error; }
  void fail(const char *Reason) {
    if (!Error)
      Error = Reason;
  }

  RequestId id(const wire::RequestId *It) {
    if (!It) {
      fail("request id missing");
      return {};
    }
    return {It->incarnation(), It->sequence()};
  }
  std::string text(const flatbuffers::String *It) {
    if (!It || !consumeBudget(It->size()))
      return {};
    return std::string(It->c_str(), It->size());
  }
  std::string octets(const flatbuffers::Vector<uint8_t> *It) {
    if (!It || !consumeBudget(It->size()))
      return {};
    return std::string(reinterpret_cast<const char *>(It->data()), It->size());
  }
  std::vector<uint64_t> numbers(const flatbuffers::Vector<uint64_t> *It) {
    if (!It || !consumeBudget(size_t(It->size()) * sizeof(uint64_t)))
      return {};
    // The verifier checks the alignment of a list's length but not that of its
    // elements, so a damaged frame can have them at any multiple of 4.
    std::vector<uint64_t> out(It->size());
    if (!out.empty())
      std::memcpy(out.data(), It->Data(), out.size() * sizeof(uint64_t));
    for (uint64_t &value : out)
      value = flatbuffers::EndianScalar(value);
    return out;
  }
  template <typename E> E choice(uint8_t Value, E Last) {
    if (Value <= static_cast<uint8_t>(Last))
      return static_cast<E>(Value);
    fail("enumeration value out of range");
    return Last;
  }
  Microseconds time(int64_t Value) {
    if (Value > MaxTimeUs || Value < -MaxTimeUs) {
      fail("time out of range");
      return Microseconds(0);
    }
    return Microseconds(Value);
  }
  Milliseconds delay(int64_t Value) {
    if (Value > MaxTimeUs / 1000 || Value < 0) {
      fail("delay out of range");
      return Milliseconds(0);
    }
    return Milliseconds(Value);
  }
  uint32_t status(uint32_t Value, bool AllowZero) {
    if ((Value < 100 || Value > 599) && !(Value == 0 && AllowZero))
      fail("HTTP status out of range");
    return Value;
  }
  template <size_t N>
  std::array<uint8_t, N> fixed(const flatbuffers::Vector<uint8_t> *It) {
    std::array<uint8_t, N> out{};
    if (!It || It->size() != N)
      fail("fixed-size field has the wrong size");
    else
      std::copy(It->begin(), It->end(), out.begin());
    return out;
  }

private:
  // Several offsets in a valid buffer may refer to the same string, so the
  // copies could take many times the size of the frame. The encoder never
  // shares strings.
  bool consumeBudget(size_t Size) {
    if (Size > TextBudget) {
      fail("strings exceed the size of the frame");
      return false;
    }
    TextBudget -= Size;
    return true;
  }

  size_t TextBudget;
  const char *Error = nullptr;
};

Hello unpack(Unpacker &In, const wire::Hello &It) {
  return {In.text(It.name()), It.incarnation(), In.fixed<32>(It.nonce())};
}

HelloProof unpack(Unpacker &In, const wire::HelloProof &It) {
  return {In.fixed<32>(It.mac())};
}

Heartbeat unpack(Unpacker &In, const wire::Heartbeat &It) {
  Heartbeat out;
  out.ConfigVersion = It.config_version();
  out.ConfigDigest = It.config_digest();
  out.ListSequence = It.list_sequence();
  out.ListDigest = It.list_digest();
  out.PreviousDigest = It.previous_digest();
  out.EarlierDigests = In.numbers(It.earlier_digests());
  out.FirstDigest = It.first_digest();
  out.ListChanges = It.list_changes();
  out.Number = It.number();
  out.Echo = It.echo();
  out.MembershipEpoch = It.membership_epoch();
  out.Draining = It.draining();
  out.ReadsPlatform = It.reads_platform();
  if (It.leases())
    for (const wire::LeaseSummary *lease : *It.leases())
      out.Leases.push_back(
          {In.text(lease->shard()), lease->count(), lease->digest()});
  return out;
}

AcquireRequest unpack(Unpacker &In, const wire::AcquireRequest &It) {
  AcquireRequest out;
  out.Id = In.id(It.id());
  out.Shard = In.text(It.shard());
  out.Group = In.text(It.group());
  out.Class = In.choice(It.request_class(), RequestClass::Batch);
  out.Attempt = It.attempt();
  out.PromptTokens = It.prompt_tokens();
  out.MaxOutputTokens = It.max_output_tokens();
  out.PrefixHashes = In.numbers(It.prefix_hashes());
  out.TimeLeft = In.time(It.time_left_us());
  out.MayWait = It.may_wait();
  out.IsRetry = It.is_retry();
  out.Fingerprint = It.fingerprint();
  out.RunAlone = It.run_alone();
  out.LostOn = In.text(It.lost_on());
  return out;
}

PrefillGrant unpack(Unpacker &In, const wire::PrefillGrant &It) {
  return {In.id(It.id()),
          In.text(It.shard()),
          It.attempt(),
          In.text(It.prefill_server()),
          In.text(It.decode_server()),
          It.fence(),
          It.queue_length()};
}

DecodeGrant unpack(Unpacker &In, const wire::DecodeGrant &It) {
  return {In.id(It.id()), In.text(It.shard()), It.attempt(),
          In.text(It.decode_server()), It.fence()};
}

Refusal unpack(Unpacker &In, const wire::Refusal &It) {
  return {In.id(It.id()),
          In.text(It.shard()),
          It.attempt(),
          In.choice(It.kind(), ErrorKind::StreamNotResumable),
          In.delay(It.retry_after_ms()),
          It.queue_length()};
}

PrefillDone unpack(Unpacker &In, const wire::PrefillDone &It) {
  return {In.id(It.id()), In.text(It.shard()), It.attempt(), It.kv_bytes()};
}

Finished unpack(Unpacker &In, const wire::Finished &It) {
  return {In.id(It.id()),     In.text(It.shard()),
          It.attempt(),       In.choice(It.reason(), FinishReason::Failed),
          It.output_tokens(), It.prefill_used()};
}

DecodeLost unpack(Unpacker &In, const wire::DecodeLost &It) {
  return {In.id(It.id()),       In.text(It.shard()), It.attempt(),
          In.text(It.server()), It.result_alive(),   It.server_full(),
          It.output_tokens()};
}

PrefillLost unpack(Unpacker &In, const wire::PrefillLost &It) {
  return {In.id(It.id()), In.text(It.shard()), It.attempt(),
          In.text(It.server()), It.server_full()};
}

LeaseListRequest unpack(Unpacker &In, const wire::LeaseListRequest &It) {
  return {In.text(It.shard())};
}

LeaseEntry unpack(Unpacker &In, const wire::LeaseEntry &It) {
  return {In.id(It.id()),
          It.attempt(),
          In.choice(It.stage(), LeaseStage::Decoding),
          In.text(It.group()),
          In.text(It.prefill_server()),
          In.text(It.decode_server()),
          It.prompt_tokens(),
          It.max_output_tokens()};
}

LeaseList unpack(Unpacker &In, const wire::LeaseList &It) {
  LeaseList out;
  out.Shard = In.text(It.shard());
  if (It.leases())
    for (const wire::LeaseEntry *lease : *It.leases())
      out.Leases.push_back(unpack(In, *lease));
  return out;
}

ForwardRequest unpack(Unpacker &In, const wire::ForwardRequest &It) {
  ForwardRequest out;
  out.Id = In.id(It.id());
  out.Method = In.text(It.method());
  out.Path = In.text(It.path());
  out.ContentType = In.text(It.content_type());
  out.Group = In.text(It.group());
  out.IdempotencyKey = In.text(It.idempotency_key());
  out.Body = In.octets(It.body());
  out.TimeLeft = In.time(It.time_left_us());
  return out;
}

ForwardHead unpack(Unpacker &In, const wire::ForwardHead &It) {
  return {In.id(It.id()), In.status(It.status(), false),
          In.text(It.content_type())};
}

ForwardBody unpack(Unpacker &In, const wire::ForwardBody &It) {
  return {In.id(It.id()), In.octets(It.data())};
}

ForwardEnd unpack(Unpacker &In, const wire::ForwardEnd &It) {
  return {In.id(It.id()), It.complete()};
}

ForwardCancel unpack(Unpacker &In, const wire::ForwardCancel &It) {
  return {In.id(It.id())};
}

KeyQuery unpack(Unpacker &In, const wire::KeyQuery &It) {
  return {In.id(It.id()), In.text(It.group()), In.text(It.key())};
}

KeyAnswer unpack(Unpacker &In, const wire::KeyAnswer &It) {
  return {In.id(It.id()),
          In.text(It.key()),
          In.choice(It.status(), KeyStatus::Done),
          It.fingerprint(),
          In.status(It.http_status(), true),
          In.text(It.content_type()),
          In.octets(It.body())};
}

ConfigRequest unpack(Unpacker &, const wire::ConfigRequest &It) {
  return {It.have_version()};
}

ConfigOffer unpack(Unpacker &In, const wire::ConfigOffer &It) {
  return {In.octets(It.text())};
}

ListRequest unpack(Unpacker &, const wire::ListRequest &It) {
  return {It.have_sequence()};
}

ListOffer unpack(Unpacker &In, const wire::ListOffer &It) {
  return {In.octets(It.text())};
}

CrashReport unpack(Unpacker &In, const wire::CrashReport &It) {
  return {In.text(It.server()),          It.server_epoch(),
          In.numbers(It.fingerprints()), In.numbers(It.ran_alone()),
          In.numbers(It.cleared()),      Milliseconds(It.age_ms())};
}

Goodbye unpack(Unpacker &, const wire::Goodbye &) { return {}; }

boost::leaf::error_id frameError(const std::string &Reason) {
  return boost::leaf::new_error(ErrorKind::PeerProtocol, FrameError{Reason});
}

boost::leaf::result<const wire::Frame *>
verified(std::span<const uint8_t> Data) {
  // The encoder writes at least 8 bytes for a table. Without this limit a list
  // could refer to the same table any number of times.
  flatbuffers::Verifier verifier(
      Data.data(), Data.size(), 16,
      static_cast<flatbuffers::uoffset_t>(Data.size() / 8 + 8));
  if (!wire::VerifyFrameBuffer(verifier))
    return frameError("not a valid frame");
  const wire::Frame *frame = wire::GetFrame(Data.data());
  if (frame->version() != ProtocolVersion)
    return frameError("protocol version " + std::to_string(frame->version()) +
                      " instead of " + std::to_string(ProtocolVersion));
  if (!frame->body())
    return frameError("frame without a body");
  return frame;
}

template <typename T>
PeerMessage unpackAs(Unpacker &In, const wire::Frame &Frame) {
  return unpack(In, *static_cast<const T *>(Frame.body()));
}

// Returns false if the body isn't a PeerMessage.
bool unpackBody(Unpacker &In, const wire::Frame &Frame, PeerMessage &Out) {
  switch (Frame.body_type()) {
#define CROCUSSPUR_CASE(NAME)                                                  \
  case wire::Body::NAME:                                                       \
    Out = unpackAs<wire::NAME>(In, Frame);                                     \
    return true;
    CROCUSSPUR_CASE(Heartbeat)
    CROCUSSPUR_CASE(AcquireRequest)
    CROCUSSPUR_CASE(PrefillGrant)
    CROCUSSPUR_CASE(DecodeGrant)
    CROCUSSPUR_CASE(Refusal)
    CROCUSSPUR_CASE(PrefillDone)
    CROCUSSPUR_CASE(Finished)
    CROCUSSPUR_CASE(DecodeLost)
    CROCUSSPUR_CASE(PrefillLost)
    CROCUSSPUR_CASE(LeaseListRequest)
    CROCUSSPUR_CASE(LeaseList)
    CROCUSSPUR_CASE(ForwardRequest)
    CROCUSSPUR_CASE(ForwardHead)
    CROCUSSPUR_CASE(ForwardBody)
    CROCUSSPUR_CASE(ForwardEnd)
    CROCUSSPUR_CASE(ForwardCancel)
    CROCUSSPUR_CASE(KeyQuery)
    CROCUSSPUR_CASE(KeyAnswer)
    CROCUSSPUR_CASE(ConfigRequest)
    CROCUSSPUR_CASE(ConfigOffer)
    CROCUSSPUR_CASE(ListRequest)
    CROCUSSPUR_CASE(ListOffer)
    CROCUSSPUR_CASE(CrashReport)
    CROCUSSPUR_CASE(Goodbye)
#undef CROCUSSPUR_CASE
  default:
    return false;
  }
}

} // namespace

Bytes encode(const PeerMessage &Message) {
  return std::visit([](const auto &It) { return encodeFrame(It); }, Message);
}

Bytes encode(const Hello &Message) { return encodeFrame(Message); }

Bytes encode(const HelloProof &Message) { return encodeFrame(Message); }

boost::leaf::result<PeerMessage> decode(std::span<const uint8_t> Frame) {
  BOOST_LEAF_AUTO(frame, verified(Frame));
  Unpacker in(Frame.size());
  PeerMessage message;
  if (!unpackBody(in, *frame, message))
    return frameError("unexpected message type " +
                      std::to_string(static_cast<int>(frame->body_type())));
  if (in.error())
    return frameError(in.error());
  return message;
}

boost::leaf::result<Hello> decodeHello(std::span<const uint8_t> Frame) {
  BOOST_LEAF_AUTO(frame, verified(Frame));
  const wire::Hello *body = frame->body_as_Hello();
  if (!body)
    return frameError("expected a Hello");
  Unpacker in(Frame.size());
  Hello message = unpack(in, *body);
  if (in.error())
    return frameError(in.error());
  return message;
}

boost::leaf::result<HelloProof>
decodeHelloProof(std::span<const uint8_t> Frame) {
  BOOST_LEAF_AUTO(frame, verified(Frame));
  const wire::HelloProof *body = frame->body_as_HelloProof();
  if (!body)
    return frameError("expected a HelloProof");
  Unpacker in(Frame.size());
  HelloProof message = unpack(in, *body);
  if (in.error())
    return frameError(in.error());
  return message;
}

} // namespace crocusspur::internal
