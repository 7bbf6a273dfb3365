#include "crocusspur/trace.h"

#include "core_samples.h"
#include "trace_describe.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/pfr.hpp>
#include <doctest/doctest.h>
#include <limits>
#include <optional>
#include <sstream>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

constexpr TimePoint Start{std::chrono::hours(24)};
constexpr uint64_t Large = std::numeric_limits<uint64_t>::max() - 1;

std::optional<Event> parsedEvent(const std::string &Line,
                                 std::vector<std::string> *Wrong = nullptr) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Event>> {
        BOOST_LEAF_AUTO(event, parseEvent(Line, Start));
        return std::optional<Event>(std::move(event));
      },
      [&](const DiagnosticList &List) {
        for (const Diagnostic &it : List.Diagnostics)
          if (Wrong)
            Wrong->push_back(it.Key);
        return std::optional<Event>();
      },
      [] { return std::optional<Event>(); });
}

Event at(EventBody Body) {
  return {Start + Microseconds(1234567),
          WallTime(std::chrono::microseconds(1700000000123456)),
          std::move(Body)};
}

Event fromPeer(PeerMessage Message) {
  return at(PeerReceived{"e2", Large, std::move(Message)});
}

const RequestId Id{0xfedcba9876543210, 17};

std::vector<Event> peerEvents() {
  Heartbeat beat{3,    Large,
                 5,    Large - 3,
                 7,    {Large - 5, 6},
                 11,   12,
                 13,   14,
                 8,    true,
                 true, {{"summary-0", 2, Large - 9}}};
  AcquireRequest acquire{Id,
                         "summary-0",
                         "drivers",
                         RequestClass::Batch,
                         3,
                         10,
                         20,
                         {Large, 1},
                         Microseconds(-5),
                         true,
                         true,
                         Large,
                         true,
                         "d1"};
  LeaseEntry lease{Id, 2, LeaseStage::Decoding, "drivers", "p1", "d1", 10, 20};
  return {
      fromPeer(beat),
      fromPeer(acquire),
      fromPeer(PrefillGrant{Id, "s", 2, "p1", "d1", Large, 4}),
      fromPeer(DecodeGrant{Id, "s", 2, "d1", Large}),
      fromPeer(
          Refusal{Id, "s", 2, ErrorKind::GroupQueueFull, Milliseconds(700), 4}),
      fromPeer(PrefillDone{Id, "s", 2, Large}),
      fromPeer(Finished{Id, "s", 2, FinishReason::Failed, 9, true}),
      fromPeer(DecodeLost{Id, "s", 2, "d1", true, true, 9}),
      fromPeer(PrefillLost{Id, "s", 2, "p1", true}),
      fromPeer(LeaseListRequest{"s"}),
      fromPeer(LeaseList{"s", {lease, lease}}),
      fromPeer(ForwardRequest{Id, "POST", "/v1/x", "text/plain", "drivers",
                              "key", "body", Microseconds(44)}),
      fromPeer(ForwardHead{Id, 200, "text/plain"}),
      fromPeer(ForwardBody{Id, "data"}),
      fromPeer(ForwardEnd{Id, true}),
      fromPeer(ForwardCancel{Id}),
      fromPeer(KeyQuery{Id, "drivers", "key"}),
      fromPeer(KeyAnswer{Id, "key", KeyStatus::Done, Large, 201, "text/plain",
                         "stored"}),
      fromPeer(ConfigRequest{4}),
      fromPeer(ConfigOffer{sampleConfigText()}),
      fromPeer(ListRequest{6}),
      fromPeer(ListOffer{sampleListText(3, 2)}),
      fromPeer(CrashReport{"d1", Large, {Large, 2}, {2}, {3}, Milliseconds(4)}),
      fromPeer(Goodbye{})};
}

std::vector<Event> allEvents() {
  RequestSpec spec = modelSpec();
  spec.IdempotencyKey = "a\"b\\c";
  spec.Idempotent = false;
  spec.Fingerprint = Large;
  StageFinished finished;
  finished.Id = Id;
  finished.Attempt = 2;
  finished.FinishedStage = Stage::Service;
  finished.Outcome = StageOutcome::TimedOut;
  finished.Server = "s1";
  finished.KvBytes = Large;
  finished.OutputTokens = 7;
  finished.HttpStatus = 404;
  finished.ContentType = "application/json";
  finished.Body = "secret";
  std::vector<Event> events = {
      at(RequestArrived{Id, spec, "e3"}),
      at(RequestCancelled{Id}),
      at(finished),
      at(StageProgress{Id, 2, 8}),
      at(RequestClosed{Id, true}),
      at(LoadReported{"d1", false, Large, 1, 2, 3, Milliseconds(45), {Id}}),
      at(CacheEventsReported{"p1", Large, {{Large, true}, {5, false}}}),
      at(PeerLinkChanged{"e2", Large, true}),
      at(ListPublished{parsedList(sampleListText(3, 2))}),
      at(ConfigPublished{parsedConfig(sampleConfigText())}),
      at(TimerFired{}),
      at(ShutdownRequested{Milliseconds(1500)})};
  std::vector<Event> peers = peerEvents();
  events.insert(events.end(), peers.begin(), peers.end());
  return events;
}

ReplayResult replayed(const std::string &Text, std::string *Out = nullptr) {
  std::istringstream in(Text);
  std::ostringstream out;
  ReplayResult result;
  bool ok = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_ASSIGN(result, replayTrace(in, out));
        return true;
      },
      [] { return false; });
  CHECK(ok);
  if (Out)
    *Out = out.str();
  return result;
}

// Counts the fields that describe() lists.
struct FieldCounter {
  size_t Count = 0;
  template <typename T> void operator()(const char *, T &&) { ++Count; }
};

template <typename T> void checkAllFieldsDescribed(const char *Type) {
  T value{};
  FieldCounter counter;
  internal::describe(counter, value);
  CAPTURE(Type);
  CHECK(counter.Count == boost::pfr::tuple_size_v<T>);
}

template <typename V, size_t... I>
void checkAlternatives(const char *const *Names, std::index_sequence<I...>) {
  (checkAllFieldsDescribed<std::variant_alternative_t<I, V>>(Names[I]), ...);
}

// Records a plain service call as a trace.
std::string recordedSession() {
  CoreOptions options = sampleCoreOptions("e1", 7);
  DecisionCore core(options);
  std::string text =
      formatOptions(options, WallTime(std::chrono::hours(1))) + "\n";
  TimePoint now = Start;
  auto feed = [&](EventBody Body) {
    now += Milliseconds(3);
    Event event{now, WallTime(std::chrono::hours(1)), std::move(Body)};
    ActionList actions;
    core.handle(event, actions);
    text += formatEvent(event, Start) + "\n";
    for (const Action &it : actions)
      text += formatAction(it, now, Start) + "\n";
  };
  feed(ListPublished{parsedList(sampleListText(1, 1))});
  feed(ConfigPublished{parsedConfig(sampleConfigText())});
  feed(RequestArrived{Id, serviceSpec(false), ""});
  StageFinished done;
  done.Id = Id;
  done.Attempt = 1;
  done.FinishedStage = Stage::Service;
  done.Server = "s1";
  done.HttpStatus = 200;
  feed(done);
  feed(RequestClosed{Id, true});
  return text;
}

} // namespace

// Guards against a field that is written but not read back, or read as another
// one, so that a replay would get different events.
TEST_CASE("Trace reads every event type back exactly") {
  std::vector<bool> seen(std::variant_size_v<EventBody>);
  std::vector<bool> seenMessage(std::variant_size_v<PeerMessage>);
  for (const Event &it : allEvents()) {
    std::string line = formatEvent(it, Start);
    CAPTURE(line);
    CHECK(line.find('\n') == std::string::npos);
    auto back = parsedEvent(line);
    REQUIRE(back);
    CHECK(back->At == it.At);
    CHECK(back->Wall == it.Wall);
    CHECK(back->Body.index() == it.Body.index());
    CHECK(formatEvent(*back, Start) == line);
    seen[it.Body.index()] = true;
    if (auto *peer = std::get_if<PeerReceived>(&it.Body))
      seenMessage[peer->Message.index()] = true;
  }
  CHECK(std::count(seen.begin(), seen.end(), false) == 0);
  CHECK(std::count(seenMessage.begin(), seenMessage.end(), false) == 0);
}

// Guards against a field that is added to a type but missing in traces.
TEST_CASE("Trace describes every field of every event and message") {
  checkAlternatives<EventBody>(
      internal::EventNames,
      std::make_index_sequence<std::variant_size_v<EventBody>>());
  checkAlternatives<PeerMessage>(
      internal::MessageNames,
      std::make_index_sequence<std::variant_size_v<PeerMessage>>());
  checkAllFieldsDescribed<RequestSpec>("RequestSpec");
  checkAllFieldsDescribed<LeaseEntry>("LeaseEntry");
  checkAllFieldsDescribed<LeaseSummary>("LeaseSummary");
  checkAllFieldsDescribed<CacheChange>("CacheChange");
  checkAllFieldsDescribed<CoreOptions>("CoreOptions");
}

// Guards against lost digits of large numbers and lost special characters of
// keys.
TEST_CASE("Trace keeps large numbers and escaped text") {
  auto back = parsedEvent(formatEvent(allEvents()[0], Start));
  REQUIRE(back);
  const auto &arrived = std::get<RequestArrived>(back->Body);
  CHECK(arrived.Id == Id);
  CHECK(arrived.Spec.Fingerprint == Large);
  CHECK(arrived.Spec.IdempotencyKey == "a\"b\\c");
  CHECK_FALSE(arrived.Spec.Idempotent);
}

// Guards against prompts or responses in a trace file.
TEST_CASE("Trace replaces bodies by their length") {
  for (const Event &it : allEvents()) {
    std::string line = formatEvent(it, Start);
    CHECK(line.find("secret") == std::string::npos);
    CHECK(line.find("stored") == std::string::npos);
  }
  AnswerStored answer{Id, 200, "text/plain", "secret"};
  std::string line = formatAction(answer, Start, Start);
  CHECK(line.find("secret") == std::string::npos);
  CHECK(line.find("\"body_bytes\":6") != std::string::npos);
}

// Guards against a reader that accepts a damaged line as an event.
TEST_CASE("Trace reports every error of a line") {
  std::vector<std::string> wrong;
  CHECK_FALSE(parsedEvent("{", &wrong));
  CHECK(wrong == std::vector<std::string>{"(line)"});
  wrong.clear();
  CHECK_FALSE(
      parsedEvent(R"({"at":1,"wall":2,"event":"Unknown","body":{}})", &wrong));
  CHECK(wrong == std::vector<std::string>{"event"});
  wrong.clear();
  CHECK_FALSE(parsedEvent(R"({"at":"x","wall":2,"event":"RequestClosed",)"
                          R"("body":{"id":"zz","delivered":3}})",
                          &wrong));
  CHECK(wrong == std::vector<std::string>{"at", "body.id", "body.delivered"});
}

// Guards against options that a replay doesn't read from the trace.
TEST_CASE("Trace header reads the options back") {
  CoreOptions options = sampleCoreOptions("e1", Large);
  options.Policy = PlacementPolicy::HoldSlot;
  options.RetryBudgetRatio = 0.3;
  options.LeasePeriod = Milliseconds(1234);
  WallTime wall(std::chrono::microseconds(1700000000123456));
  std::string line = formatOptions(options, wall);
  bool ok = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(back, parseOptions(line));
        CHECK(formatOptions(back.Options, back.StartWall) == line);
        CHECK(back.StartWall == wall);
        return true;
      },
      [] { return false; });
  CHECK(ok);
}

// Guards against a comparison that misses a difference.
TEST_CASE("Replay counts the actions that differ from the recorded ones") {
  std::string text = recordedSession();
  std::string out;
  ReplayResult same = replayed(text, &out);
  CHECK(same.Events == 5);
  CHECK(same.Differences == 0);
  CHECK(same.Actions > 0);
  CHECK(out.find("StartService") != std::string::npos);

  std::string changed = text;
  std::string from = R"("action":"StartService","body":{"id":")";
  changed.replace(changed.find(from), from.size(),
                  R"("action":"StartPrefill","body":{"id":")");
  CHECK(replayed(changed).Differences == 1);

  std::string missing = text;
  size_t pos = missing.find(from);
  size_t begin = missing.rfind('\n', pos) + 1;
  missing.erase(begin, missing.find('\n', pos) + 1 - begin);
  CHECK(replayed(missing).Differences > 0);
}

// Guards against differences counted for a trace that has only events.
TEST_CASE("Replay of events alone counts no differences") {
  std::istringstream in(recordedSession());
  std::string events;
  for (std::string line; std::getline(in, line);)
    if (line.find("\"action\"") == std::string::npos)
      events += line + "\n";
  ReplayResult result = replayed(events);
  CHECK(result.Events == 5);
  CHECK(result.Differences == 0);
}
