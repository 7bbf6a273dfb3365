#include "peer_codec.h"

#include "peer_generated.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <random>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

const RequestId Id{0x1122334455667788, 42};

// One message of each type, with every field set.
std::vector<PeerMessage> samples() {
  return {
      Heartbeat{8,
                9,
                10,
                11,
                12,
                {1, 2},
                14,
                15,
                16,
                17,
                13,
                true,
                true,
                {{"summary-0", 3, 77}}},
      AcquireRequest{Id,
                     "summary-0",
                     "drivers",
                     RequestClass::Batch,
                     2,
                     5000,
                     256,
                     {1, 2, 3, 4},
                     Microseconds(812345),
                     true,
                     true,
                     99,
                     true,
                     "d1"},
      PrefillGrant{Id, "summary-0", 2, "p1", "d1", 1764791700000, 17},
      DecodeGrant{Id, "summary-0", 2, "d1", 1764791700000},
      Refusal{Id, "summary-0", 2, ErrorKind::Internal, Milliseconds(1500), 17},
      PrefillDone{Id, "summary-0", 2, uint64_t(1) << 33},
      Finished{Id, "summary-0", 2, FinishReason::Failed, 256, true},
      DecodeLost{Id, "summary-0", 2, "d1", true, true, 7},
      PrefillLost{Id, "summary-0", 2, "p1", true},
      LeaseListRequest{"summary-0"},
      LeaseList{"summary-0",
                {{Id, 2, LeaseStage::Decoding, "drivers", "p1", "d1", 5, 6},
                 {Id, 3, LeaseStage::Waiting, "drivers", "", "", 5, 6}}},
      ForwardRequest{Id, "POST", "/v1/completions", "application/json",
                     "drivers", "key-1", std::string("a\0b\xff", 4),
                     Microseconds(-5)},
      ForwardHead{Id, 200, "text/event-stream"},
      ForwardBody{Id, std::string("x\0y", 3)},
      ForwardEnd{Id, true},
      ForwardCancel{Id},
      KeyQuery{Id, "drivers", "key-1"},
      KeyAnswer{Id, "key-1", KeyStatus::Done, 88, 201, "application/json",
                "{}"},
      ConfigRequest{8},
      ConfigOffer{"{\"version\":8}"},
      ListRequest{7},
      ListOffer{"{\"sequence\":7}"},
      CrashReport{"d1", 4, {5, 6}, {6}, {7}, Milliseconds(900)},
      Goodbye{},
  };
}

struct Result {
  std::optional<PeerMessage> Message;
  std::optional<ErrorKind> Kind;
  std::string Reason;
};

template <typename F> Result resultOf(F Decode) {
  Result result;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(message, Decode());
        if constexpr (std::is_same_v<decltype(message), PeerMessage>)
          result.Message = std::move(message);
        return {};
      },
      [&](ErrorKind Kind, const FrameError &Error) {
        result.Kind = Kind;
        result.Reason = Error.Reason;
      },
      [] { FAIL("the error carries no kind and reason"); });
  return result;
}

Result decoded(const Bytes &Frame) {
  return resultOf([&] { return decode(Frame); });
}

std::string reasonFor(const PeerMessage &Message) {
  return decoded(encode(Message)).Reason;
}

template <typename T> T withId() {
  T message;
  message.Id = Id;
  return message;
}

template <typename Build> Bytes frameOf(Build Body, uint16_t Version = 1) {
  flatbuffers::FlatBufferBuilder out;
  auto [type, body] = Body(out);
  out.Finish(wire::CreateFrame(out, Version, type, body));
  return Bytes(out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize());
}

// Flips up to four bits and sometimes truncates the frame.
Bytes corrupted(Bytes Frame, std::mt19937_64 &Random) {
  for (uint64_t i = Random() % 5; i > 0; --i)
    Frame[Random() % Frame.size()] ^= uint8_t(1) << (Random() % 8);
  if (Random() % 3 == 0)
    Frame.resize(Random() % Frame.size());
  return Frame;
}

} // namespace

// Guards against message types or fields that are dropped. A decoded message
// that encodes to the same bytes has every field of the original, since the
// samples leave no field at its default.
TEST_CASE("PeerCodec round-trips every message type") {
  std::vector<PeerMessage> messages = samples();
  REQUIRE(messages.size() == std::variant_size_v<PeerMessage>);
  for (size_t i = 0; i < messages.size(); ++i) {
    CAPTURE(i);
    CHECK(messages[i].index() == i);
    Bytes frame = encode(messages[i]);
    Result result = decoded(frame);
    REQUIRE(result.Message);
    CHECK(result.Message->index() == i);
    CHECK(encode(*result.Message) == frame);
  }
}

// Guards against fields that both encoder and decoder swap or drop, which the
// comparison of bytes can't detect.
TEST_CASE("PeerCodec keeps the fields of the scheduling messages") {
  auto acquire =
      std::get<AcquireRequest>(*decoded(encode(samples()[1])).Message);
  CHECK(acquire.Id == Id);
  CHECK(acquire.Shard == "summary-0");
  CHECK(acquire.Group == "drivers");
  CHECK(std::string(toString(acquire.Class)) == "batch");
  CHECK(acquire.Attempt == 2);
  CHECK(acquire.PromptTokens == 5000);
  CHECK(acquire.MaxOutputTokens == 256);
  CHECK(acquire.PrefixHashes == std::vector<uint64_t>{1, 2, 3, 4});
  CHECK(acquire.TimeLeft == Microseconds(812345));
  CHECK(acquire.Fingerprint == 99);
  auto grant = std::get<PrefillGrant>(*decoded(encode(samples()[2])).Message);
  CHECK(grant.PrefillServer == "p1");
  CHECK(grant.DecodeServer == "d1");
  CHECK(grant.Fence == 1764791700000);
  CHECK(grant.QueueLength == 17);
  auto forward =
      std::get<ForwardRequest>(*decoded(encode(samples()[11])).Message);
  CHECK(forward.Body == std::string("a\0b\xff", 4));
  CHECK(forward.IdempotencyKey == "key-1");
  CHECK(forward.TimeLeft == Microseconds(-5));
  auto lost = std::get<DecodeLost>(
      *decoded(encode(DecodeLost{Id, "s", 1, "d1", true, false, 7})).Message);
  auto crash = std::get<CrashReport>(*decoded(encode(samples()[22])).Message);
  CHECK(crash.Fingerprints == std::vector<uint64_t>{5, 6});
  CHECK(crash.RanAlone == std::vector<uint64_t>{6});
  CHECK(crash.Cleared == std::vector<uint64_t>{7});
  CHECK(crash.Age == Milliseconds(900));
  CHECK(lost.ResultAlive);
  CHECK_FALSE(lost.ServerFull);
}

// Guards against crashes and exceptions on corrupted frames.
TEST_CASE("PeerCodec rejects corrupted and truncated frames safely") {
  std::mt19937_64 random(20261203);
  std::vector<PeerMessage> messages = samples();
  size_t refused = 0;
  for (int i = 0; i < 200000; ++i) {
    Bytes frame = corrupted(
        encode(messages[static_cast<size_t>(i) % messages.size()]), random);
    Result result = decoded(frame);
    if (!result.Message) {
      CHECK(result.Kind == ErrorKind::PeerProtocol);
      ++refused;
    }
  }
  MESSAGE("rejected " << refused << " of 200000 corrupted frames");
  CHECK(refused > 0);
}

// Guards against values that would cause undefined behaviour or overflow in the
// decision core.
TEST_CASE("PeerCodec rejects values out of range") {
  const std::string range = "enumeration value out of range";
  auto acquire = withId<AcquireRequest>();
  acquire.Class = RequestClass(3);
  CHECK(reasonFor(acquire) == range);
  acquire.Class = RequestClass::Normal;
  acquire.TimeLeft = Microseconds::max();
  CHECK(reasonFor(acquire) == "time out of range");
  auto refusal = withId<Refusal>();
  refusal.Kind = ErrorKind(ErrorKindCount);
  CHECK(reasonFor(refusal) == range);
  refusal.Kind = ErrorKind::Overloaded;
  refusal.RetryAfter = Milliseconds(-1);
  CHECK(reasonFor(refusal) == "delay out of range");
  auto finished = withId<Finished>();
  finished.Reason = FinishReason(3);
  CHECK(reasonFor(finished) == range);
  auto lease = withId<LeaseEntry>();
  lease.Stage = LeaseStage(4);
  CHECK(reasonFor(LeaseList{"s", {lease}}) == range);
  auto answer = withId<KeyAnswer>();
  answer.Status = KeyStatus(4);
  CHECK(reasonFor(answer) == range);
  answer.Status = KeyStatus::Done;
  answer.HttpStatus = 600;
  CHECK(reasonFor(answer) == "HTTP status out of range");
  CHECK(reasonFor(ForwardHead{Id, 99, ""}) == "HTTP status out of range");
}

// Guards against frames of other versions, handshake messages after the
// handshake, and bodies without an id.
TEST_CASE("PeerCodec rejects unexpected frames") {
  auto goodbye = [](auto &Out) {
    return std::pair(wire::Body::Goodbye, wire::CreateGoodbye(Out).Union());
  };
  CHECK(decoded(frameOf(goodbye)).Message);
  CHECK(decoded(frameOf(goodbye, 2)).Reason ==
        "protocol version 2 instead of 1");
  CHECK(decoded(encode(Hello{"e1", 1, {}})).Reason ==
        "unexpected message type 1");
  auto noId = [](auto &Out) {
    return std::pair(wire::Body::ForwardCancel,
                     wire::CreateForwardCancel(Out).Union());
  };
  CHECK(decoded(frameOf(noId)).Reason == "request id missing");
  auto empty = [](auto &) {
    return std::pair(wire::Body::NONE, flatbuffers::Offset<void>());
  };
  CHECK(decoded(frameOf(empty)).Reason == "frame without a body");
  CHECK(decoded({}).Reason == "not a valid frame");
}

// Guards against small frames whose decoded form takes unbounded memory.
TEST_CASE("PeerCodec rejects frames that repeat one string many times") {
  auto shared = [](auto &Out) {
    auto id = wire::RequestId(1, 1);
    auto text = Out.CreateString(std::string(10000, 'x'));
    auto entry = wire::CreateLeaseEntry(Out, &id, 1, 0, text, text, text);
    std::vector<flatbuffers::Offset<wire::LeaseEntry>> entries(1000, entry);
    auto list = Out.CreateVector(entries);
    return std::pair(wire::Body::LeaseList,
                     wire::CreateLeaseList(Out, text, list).Union());
  };
  CHECK(decoded(frameOf(shared)).Reason ==
        "strings exceed the size of the frame");
  auto repeated = [](auto &Out) {
    auto entry = wire::CreateLeaseSummary(Out);
    std::vector<flatbuffers::Offset<wire::LeaseSummary>> entries(100000, entry);
    auto list = Out.CreateVector(entries);
    return std::pair(
        wire::Body::Heartbeat,
        wire::CreateHeartbeat(Out, 0, 0, 0, 0, 0, 0, false, false, list)
            .Union());
  };
  CHECK(decoded(frameOf(repeated)).Reason == "not a valid frame");
}

// Guards against limits that reject the lease lists of a loaded instance.
TEST_CASE("PeerCodec accepts the largest lease list of an entry instance") {
  LeaseList list{"summary-0", {}};
  for (uint64_t i = 0; i < 4096; ++i)
    list.Leases.push_back({{i, i}, 1, LeaseStage::Waiting, "", "", "", 0, 0});
  Heartbeat beat;
  beat.Leases.resize(1000);
  CHECK(decoded(encode(list)).Message);
  CHECK(decoded(encode(beat)).Message);
}

// Guards against handshake messages with nonces or proofs of the wrong size.
TEST_CASE("PeerCodec checks handshake messages") {
  Hello hello{"e1", 7, {}};
  hello.Nonce.fill(9);
  Bytes frame = encode(hello);
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(it, decodeHello(frame));
        CHECK(it.Name == "e1");
        CHECK(it.Incarnation == 7);
        CHECK(it.Nonce == hello.Nonce);
        return {};
      },
      [] { FAIL("a valid Hello is rejected"); });
  CHECK(resultOf([&] { return decodeHelloProof(frame); }).Reason ==
        "expected a HelloProof");
  auto cut = [](auto &Out) {
    auto nonce = Out.CreateVector(std::vector<uint8_t>(31));
    return std::pair(wire::Body::Hello,
                     wire::CreateHello(Out, 0, 1, nonce).Union());
  };
  Bytes shortNonce = frameOf(cut);
  CHECK(resultOf([&] { return decodeHello(shortNonce); }).Reason ==
        "fixed-size field has the wrong size");
}

// Guards against growth of the messages sent for every request, which determine
// the control traffic of a node at target size (docs/design.md section 4).
TEST_CASE("PeerCodec keeps the scheduling messages small") {
  // Includes the 4 bytes of the frame's length.
  auto size = [](const PeerMessage &It) { return encode(It).size() + 4; };
  auto acquire = withId<AcquireRequest>();
  acquire.Shard = "summary-0";
  acquire.Group = "drivers";
  acquire.PromptTokens = 5000;
  acquire.MaxOutputTokens = 256;
  acquire.TimeLeft = Microseconds(800000);
  acquire.Fingerprint = 0x99aabbccddeeff00;
  size_t plain = size(acquire);
  acquire.PrefixHashes = {1, 2, 3, 4};
  size_t hashed = size(acquire);
  size_t prefill =
      size(PrefillGrant{Id, "summary-0", 1, "p1", "", 1764791700000, 5});
  size_t done = size(PrefillDone{Id, "summary-0", 1, 1000000});
  size_t decode = size(DecodeGrant{Id, "summary-0", 1, "d1", 1764791700000});
  size_t finished =
      size(Finished{Id, "summary-0", 1, FinishReason::Completed, 256, true});
  MESSAGE("AcquireRequest " << plain << " (" << hashed << " with 4 prefixes), "
                            << "PrefillGrant " << prefill << ", PrefillDone "
                            << done << ", DecodeGrant " << decode
                            << ", Finished " << finished << ", empty Heartbeat "
                            << size(Heartbeat{}));
  CHECK(plain + prefill + done + decode + finished <= 5 * 128);
}
