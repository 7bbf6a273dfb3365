#include "relay_session.h"

#include "test_socket.h"

#include "http_sink.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <memory>
#include <mutex>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

// Fake core that records the events and provides a configuration.
class FakeEvents : public EventSink {
public:
  bool tryPost(EventBody Body) override {
    if (Full)
      return false;
    post(std::move(Body));
    return true;
  }
  void post(EventBody Body) override {
    std::lock_guard lock(Mutex);
    Bodies.push_back(std::move(Body));
    Changed.notify_all();
  }
  std::string dumpState(Milliseconds) override { return ""; }
  std::string makeTicket() override { return ""; }
  RequestId nextRequestId() override { return {}; }
  ConfigPtr config() const override { return Config; }
  InstanceListPtr list() const override { return nullptr; }
  bool ready() const override { return true; }

  // Waits for the event of this type with the given number, counted from 0.
  template <typename T> T await(size_t Number = 0) {
    std::unique_lock lock(Mutex);
    T found;
    bool came = Changed.wait_for(lock, std::chrono::seconds(20), [&] {
      size_t n = 0;
      for (const EventBody &it : Bodies)
        if (const T *item = std::get_if<T>(&it); item && n++ == Number) {
          found = *item;
          return true;
        }
      return false;
    });
    CHECK(came);
    return found;
  }
  template <typename T> size_t count() {
    std::lock_guard lock(Mutex);
    size_t n = 0;
    for (const EventBody &it : Bodies)
      n += std::holds_alternative<T>(it);
    return n;
  }
  // Position of the first event of this type among all events, or -1.
  template <typename T> int position() {
    std::lock_guard lock(Mutex);
    for (size_t i = 0; i < Bodies.size(); ++i)
      if (std::holds_alternative<T>(Bodies[i]))
        return static_cast<int>(i);
    return -1;
  }

  std::shared_ptr<ConfigDocument> Config = std::make_shared<ConfigDocument>();
  bool Full = false;

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<EventBody> Bodies;
};

// Records the frames that are sent. Sending fails if there is no link.
class FakePeers : public PeerSender {
public:
  bool send(const std::string &, const PeerMessage &Message) override {
    std::lock_guard lock(Mutex);
    Sent.push_back(Message);
    return Linked;
  }
  void setPeers(const InstanceList &) override {}
  size_t count() {
    std::lock_guard lock(Mutex);
    return Sent.size();
  }

  std::mutex Mutex;
  std::vector<PeerMessage> Sent;
  bool Linked = true;
};

// A relay on its own thread with a caller at the other end of a socket.
struct Fixture {
  FakeEvents Events;
  FakePeers Peers;
  BackendClient Backends;
  Settings Values;
  RelayContext Context;
  CallerRequest Request;
  SocketPair Caller;
  MailboxPtr Mail{new Mailbox};
  HttpSink Sink{Caller.near(), {}};
  std::thread Worker;

  explicit Fixture(bool Stream = true) {
    Context = {&Events, &Backends, &Values, [this] { return &Peers; }};
    Request.Id = {1, 2};
    Request.Spec.Group = "g";
    Request.Spec.Target = "m";
    Request.Spec.MaxOutputTokens = 100;
    Request.Stream = Stream;
    Request.PromptJson = "\"p\"";
  }
  ~Fixture() {
    Mail->disconnect();
    if (Worker.joinable())
      Worker.join();
  }

  void addServer(const std::string &Name, const std::string &Address) {
    ServerConfig server;
    server.Name = Name;
    server.Address = Address;
    Events.Config->Servers.push_back(server);
  }
  void start() {
    Worker = std::thread(
        [this] { RelaySession(Context, Request, Sink, *Mail).run(); });
    Events.await<RequestArrived>();
  }
  void decode(uint32_t Attempt, const std::string &Server,
              const std::string &PrefillServer = "p1") {
    Mail->push(Action(StartDecode{Request.Id, Attempt, Server, PrefillServer, 1,
                                  TimePoint::max(), Milliseconds(10000)}));
  }
  void service() {
    Request.Path.Kind = RouteKind::Service;
    Request.Spec.Kind = RequestKind::Service;
    Request.Input.Method = "POST";
    Request.Path.ServicePath = "/x";
    Request.Stream = false;
  }
  // Waits for the relay to end and returns all that the caller received.
  std::string received() {
    Worker.join();
    ::shutdown(Caller.near(), SHUT_WR);
    return readAll(Caller.far());
  }
};

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::string token(int Index, const std::string &Text) {
  return "data: {\"index\":" + std::to_string(Index) + ",\"token\":\"" + Text +
         "\"}\n\n";
}

std::string done(int Tokens) {
  return "data: {\"done\":true,\"tokens\":" + std::to_string(Tokens) + "}\n\n";
}

// The concatenated texts of the stream's chunks.
std::string textOf(const std::string &Response) {
  std::string text;
  const std::string mark = "\"text\":\"";
  for (size_t at = Response.find(mark); at != std::string::npos;
       at = Response.find(mark, at)) {
    at += mark.size();
    text += Response.substr(at, Response.find('"', at) - at);
  }
  return text;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("A stream with repeated and reordered tokens reaches the caller once "
          "and in order") {
  ScriptServer engine([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, StreamHead + "data: {\"imported\":true}\n\n" + token(0, "a") +
                     token(0, "a") + token(2, "c") + token(1, "b") +
                     token(2, "c") + done(3));
  });
  Fixture relay;
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.Outcome == StageOutcome::Ok);
  CHECK(result.OutputTokens == 3);
  CHECK(relay.Events.await<RequestClosed>().Delivered);
  std::string response = relay.received();
  CHECK(textOf(response) == "abc");
  CHECK(contains(response, "data: [DONE]"));
  CHECK(relay.Events.count<StageFinished>() == 1);
  CHECK(relay.Events.count<StageProgress>() == 2); // import and first token
}

TEST_CASE("The stored response of a keyed stream is the complete stream") {
  // Guards against a replay without the end, which callers would treat as a
  // broken connection.
  ScriptServer engine([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, StreamHead + token(0, "a") + done(1));
  });
  Fixture relay;
  relay.Request.Spec.IdempotencyKey = "k";
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.HttpStatus == 200);
  CHECK(result.ContentType == "text/event-stream");
  CHECK(textOf(result.Body) == "a");
  CHECK(result.Body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("A keyed response over 64 KiB is reported as too large to store") {
  // Guards against a replay of an empty or truncated body.
  const std::string body(100000, 'x');
  ScriptServer server([&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, httpResponse(200, body));
  });
  Fixture relay(false);
  relay.service();
  relay.Request.Spec.IdempotencyKey = "k";
  relay.addServer("s1", server.address());
  relay.start();
  relay.Mail->push(Action(StartService{relay.Request.Id, 1, "s1", 1,
                                       TimePoint::max(), Milliseconds(10000)}));
  CHECK(relay.received().ends_with(body));
  CHECK(relay.Events.await<StageFinished>().Body.size() == 65537);
}

TEST_CASE(
    "A stream with a missing token is incomplete and is resumed from it") {
  // Guards against a response that lacks a token but ends with [DONE].
  std::string second;
  ScriptServer engine([&](int Fd, int Number) {
    std::string request = readRequest(Fd);
    if (Number == 0) {
      sendText(Fd, StreamHead + token(0, "a") + token(2, "c") + done(3));
      return;
    }
    second = request;
    sendText(Fd, StreamHead + token(1, "b") + token(2, "c") + done(3));
  });
  Fixture relay;
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.Outcome == StageOutcome::Failed);
  CHECK(result.OutputTokens == 1);
  relay.decode(2, "d1");
  CHECK(relay.Events.await<StageFinished>(1).Outcome == StageOutcome::Ok);
  std::string response = relay.received();
  CHECK(textOf(response) == "abc");
  CHECK(contains(response, "data: [DONE]"));
  CHECK(contains(second, "\"first_index\":1"));
  CHECK(contains(second, "\"prompt\":\"p\""));
}

TEST_CASE("A stream that can't be completed ends with an error event") {
  ScriptServer engine([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, StreamHead + token(0, "a"));
  });
  Fixture relay;
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  CHECK(relay.Events.await<StageFinished>().Outcome == StageOutcome::Failed);
  relay.Mail->push(
      Action(AnswerError{relay.Request.Id, ErrorKind::BackendFailed,
                         ExecutionState::Yes, Milliseconds(0), ""}));
  std::string response = relay.received();
  CHECK(contains(response, "event: error\ndata: {\"type\":\"about:blank\""));
  CHECK_FALSE(contains(response, "[DONE]"));
  CHECK(relay.Events.count<StageFinished>() == 1);
}

TEST_CASE("An error before any output is a problem document with its status") {
  Fixture relay;
  relay.start();
  relay.Mail->push(
      Action(AnswerError{relay.Request.Id, ErrorKind::GroupQueueFull,
                         ExecutionState::No, Milliseconds(2500), "queue"}));
  std::string response = relay.received();
  CHECK(response.starts_with("HTTP/1.1 429 "));
  CHECK(contains(response, "Retry-After: 3\r\n"));
  CHECK(contains(response, "\"run\":\"no\""));
  CHECK(contains(response, "\"retry_after_ms\":2500"));
  CHECK(relay.Events.await<RequestClosed>().Delivered);
}

TEST_CASE("A non-streaming response is assembled across a resume") {
  ScriptServer engine([](int Fd, int Number) {
    readRequest(Fd);
    sendText(Fd, Number == 0 ? StreamHead + token(0, "a")
                             : StreamHead + token(1, "\\\"") + done(2));
  });
  Fixture relay(false);
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  relay.Events.await<StageFinished>();
  relay.decode(2, "d1");
  std::string response = relay.received();
  CHECK(contains(response, "\"text\":\"a\\\"\""));
  CHECK(contains(response, "\"completion_tokens\":2"));
  CHECK(contains(response, "\"finish_reason\":\"stop\""));
}

TEST_CASE("A caller that disconnects while a server is silent is detected") {
  // Guards against engine memory held for a caller that has disconnected.
  std::atomic<bool> engineClosed{false};
  ScriptServer engine([&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, StreamHead + token(0, "a"));
    readAll(Fd); // returns when the relay closes
    engineClosed.store(true);
  });
  Fixture relay;
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  relay.Events.await<StageProgress>();
  relay.Caller.closeFar();
  relay.Events.await<RequestCancelled>();
  CHECK(relay.Events.await<StageFinished>().Outcome == StageOutcome::Failed);
  CHECK_FALSE(relay.Events.await<RequestClosed>().Delivered);
  // If the stage ended first, the core would retry the request.
  CHECK(relay.Events.position<RequestCancelled>() <
        relay.Events.position<StageFinished>());
  CHECK(relay.Events.count<StageFinished>() == 1);
  CHECK(eventually([&] { return engineClosed.load(); }));
}

TEST_CASE("A caller that disconnects while its request waits is detected") {
  Fixture relay;
  relay.start();
  relay.Caller.closeFar();
  relay.Events.await<RequestCancelled>();
  CHECK_FALSE(relay.Events.await<RequestClosed>().Delivered);
  CHECK(relay.Events.count<StageFinished>() == 0);
}

// The thread of a relay may learn at once that its caller has disconnected and
// that its request may start. The cancel that followed such a start could reach
// the server first, so the server held memory until it was cancelled again.
TEST_CASE("A request whose caller has disconnected starts at no server") {
  ScriptServer engine([](int Fd, int) { readAll(Fd); });
  const std::vector<std::pair<Stage, Action>> starts = {
      {Stage::Prefill, StartPrefill{{1, 2}, 1, "s", 0, TimePoint::max(), {}}},
      {Stage::Decode,
       StartDecode{{1, 2}, 1, "s", "s", 0, TimePoint::max(), {}}},
      {Stage::Service, StartService{{1, 2}, 1, "s", 0, TimePoint::max(), {}}}};
  for (const auto &[stage, action] : starts)
    for (bool isForwarded : {false, true}) {
      CAPTURE(isForwarded);
      Fixture relay;
      relay.addServer("s", engine.address());
      relay.Mail->push(action);
      if (isForwarded)
        relay.Mail->disconnect(); // its entry instance has cancelled it
      else
        relay.Caller.closeFar();
      relay.start();
      StageFinished finished = relay.Events.await<StageFinished>();
      CHECK(finished.FinishedStage == stage);
      CHECK(finished.Outcome == StageOutcome::NotSent);
      CHECK_FALSE(relay.Events.await<RequestClosed>().Delivered);
      // If the stage ended first, the core would retry the request.
      CHECK(relay.Events.position<RequestCancelled>() >= 0);
      CHECK(relay.Events.position<RequestCancelled>() <
            relay.Events.position<StageFinished>());
    }
  CHECK(engine.connections() == 0);
}

TEST_CASE("A new action ends the running stage, which is reported once") {
  ScriptServer engine([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, StreamHead + token(0, "a"));
    readAll(Fd);
  });
  Fixture relay;
  relay.addServer("d1", engine.address());
  relay.start();
  relay.decode(1, "d1");
  relay.Events.await<StageProgress>();
  relay.Mail->push(
      Action(AnswerError{relay.Request.Id, ErrorKind::ShuttingDown,
                         ExecutionState::Yes, Milliseconds(0), ""}));
  CHECK(contains(relay.received(), "event: error"));
  CHECK(relay.Events.count<StageFinished>() == 1);
  CHECK(relay.Events.count<RequestCancelled>() == 0);
}

TEST_CASE("Nothing is sent to a server that isn't in the configuration") {
  Fixture relay;
  relay.start();
  relay.decode(1, "unknown");
  CHECK(relay.Events.await<StageFinished>().Outcome == StageOutcome::NotSent);
}

TEST_CASE(
    "The prompt is sent to a decode server only without a prefill result") {
  // Guards against a server that silently repeats a prefill.
  std::vector<std::string> requests;
  ScriptServer engine([&](int Fd, int Number) {
    requests.push_back(readRequest(Fd));
    if (Number == 0)
      sendText(Fd, httpResponse(200, "{\"kv_bytes\":1}"));
    else
      sendText(Fd, httpResponse(503, "{\"refused\":\"full\"}"));
  });
  Fixture relay;
  relay.addServer("p1", engine.address());
  relay.addServer("d1", engine.address());
  relay.start();
  relay.Mail->push(Action(StartPrefill{relay.Request.Id, 1, "p1", 1,
                                       TimePoint::max(), Milliseconds(10000)}));
  relay.Events.await<StageFinished>(0);
  relay.decode(2, "d1", "p1");
  CHECK(relay.Events.await<StageFinished>(1).Outcome ==
        StageOutcome::RefusedFull);
  relay.decode(3, "d1", "d1");
  relay.Events.await<StageFinished>(2);
  REQUIRE(requests.size() == 3);
  CHECK_FALSE(contains(requests[1], "\"prompt\""));
  CHECK(contains(requests[1], "\"source\":\"" + engine.address() + "\""));
  CHECK(contains(requests[2], "\"prompt\":\"p\""));
  CHECK(contains(requests[2], "\"source\":\"\""));
}

TEST_CASE("A full queue of the core rejects the request without an event") {
  Fixture relay;
  relay.Events.Full = true;
  relay.Worker = std::thread([&] {
    RelaySession(relay.Context, relay.Request, relay.Sink, *relay.Mail).run();
  });
  std::string response = relay.received();
  CHECK(response.starts_with("HTTP/1.1 503 "));
  CHECK(contains(response, "\"kind\":\"overloaded\""));
  CHECK(contains(response, "\"run\":\"no\""));
  CHECK(relay.Events.count<RequestClosed>() == 0);
}

TEST_CASE("A service's response is copied and reported for its key") {
  ScriptServer server([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 201 X\r\nContent-Type: text/x\r\nContent-Length: "
                 "3\r\n\r\nbay");
  });
  Fixture relay(false);
  relay.service();
  relay.Request.Spec.IdempotencyKey = "k";
  relay.addServer("s1", server.address());
  relay.start();
  relay.Mail->push(Action(StartService{relay.Request.Id, 1, "s1", 1,
                                       TimePoint::max(), Milliseconds(10000)}));
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.HttpStatus == 201);
  CHECK(result.ContentType == "text/x");
  CHECK(result.Body == "bay");
  std::string response = relay.received();
  CHECK(response.starts_with("HTTP/1.1 201 "));
  CHECK(response.ends_with("\r\n\r\nbay"));
}

TEST_CASE("A service call that fails within a small response can be retried") {
  ScriptServer server([](int Fd, int Number) {
    readRequest(Fd);
    sendText(Fd, Number == 0 ? "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nab"
                             : "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok");
  });
  Fixture relay(false);
  relay.service();
  relay.addServer("s1", server.address());
  relay.start();
  StartService item{relay.Request.Id,   1, "s1", 1, TimePoint::max(),
                    Milliseconds(10000)};
  relay.Mail->push(Action(item));
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.Outcome == StageOutcome::Failed);
  CHECK(result.OutputTokens == 0);
  item.Attempt = 2;
  relay.Mail->push(Action(item));
  std::string response = relay.received();
  CHECK(response.ends_with("\r\n\r\nok"));
}

TEST_CASE("A service call that fails within a long response is cut off for the "
          "caller too") {
  // Guards against a partial response that the caller takes for a complete one.
  ScriptServer server([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n"
                 "abc\r\n");
  });
  Fixture relay(false);
  relay.service();
  relay.addServer("s1", server.address());
  relay.start();
  relay.Mail->push(Action(StartService{relay.Request.Id, 1, "s1", 1,
                                       TimePoint::max(), Milliseconds(10000)}));
  std::string response = relay.received();
  CHECK(contains(response, "3\r\nabc\r\n"));
  CHECK_FALSE(contains(response, "0\r\n\r\n"));
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.Outcome == StageOutcome::Failed);
  CHECK(result.OutputTokens == 1);
  CHECK_FALSE(relay.Events.await<RequestClosed>().Delivered);
}

TEST_CASE("A forwarded response is copied with its Retry-After") {
  Fixture relay;
  relay.start();
  relay.Mail->push(
      Action(ForwardToHome{relay.Request.Id, "e2", Milliseconds(100)}));
  CHECK(eventually([&] { return relay.Peers.count() == 1; }));
  relay.Mail->push(
      PeerMessage(ForwardHead{relay.Request.Id, 503, ProblemType}));
  relay.Mail->push(
      PeerMessage(ForwardBody{relay.Request.Id, "{\"retry_after_ms\":4000}"}));
  relay.Mail->push(PeerMessage(ForwardEnd{relay.Request.Id, true}));
  std::string response = relay.received();
  CHECK(response.starts_with("HTTP/1.1 503 "));
  CHECK(contains(response, "Retry-After: 4\r\n"));
  CHECK(relay.Events.await<RequestClosed>().Delivered);
}

TEST_CASE("A request to a home without a link is reported as not sent") {
  Fixture relay;
  relay.Peers.Linked = false;
  relay.start();
  relay.Mail->push(
      Action(ForwardToHome{relay.Request.Id, "e2", Milliseconds(100)}));
  CHECK(relay.Events.await<StageFinished>().Outcome == StageOutcome::NotSent);
  relay.Mail->push(
      Action(AnswerError{relay.Request.Id, ErrorKind::HomeUnreachable,
                         ExecutionState::No, Milliseconds(2000), ""}));
  CHECK(relay.received().starts_with("HTTP/1.1 503 "));
}

TEST_CASE("A request to a home whose link breaks is reported as failed, once") {
  // Guards against reporting a request as not executed that the home may have
  // executed.
  Fixture relay;
  relay.start();
  relay.Mail->push(
      Action(ForwardToHome{relay.Request.Id, "e2", Milliseconds(100)}));
  CHECK(eventually([&] { return relay.Mail->hasPeer("e2"); }));
  CHECK(eventually([&] { return relay.Peers.count() == 1; }));
  relay.Mail->disconnect();
  CHECK(relay.Events.await<StageFinished>().Outcome == StageOutcome::Failed);
  relay.Mail->push(
      Action(AnswerError{relay.Request.Id, ErrorKind::OutcomeUnknown,
                         ExecutionState::Unknown, Milliseconds(0), ""}));
  CHECK(relay.received().starts_with("HTTP/1.1 409 "));
  CHECK(relay.Events.count<StageFinished>() == 1);
  CHECK(relay.Events.count<RequestCancelled>() == 0);
}
