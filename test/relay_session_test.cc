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

// Stands for the core: keeps the events and gives a configuration.
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

  // Waits for the event of this type with this number, from 0.
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
  // Position among all events, or -1.
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

// Keeps the frames that are sent, and refuses them if there is no link.
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
  // Ends the relay and returns all that the caller got.
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

// The texts of the stream's chunks joined together.
std::string textOf(const std::string &Answer) {
  std::string text;
  const std::string mark = "\"text\":\"";
  for (size_t at = Answer.find(mark); at != std::string::npos;
       at = Answer.find(mark, at)) {
    at += mark.size();
    text += Answer.substr(at, Answer.find('"', at) - at);
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
  std::string answer = relay.received();
  CHECK(textOf(answer) == "abc");
  CHECK(contains(answer, "data: [DONE]"));
  CHECK(relay.Events.count<StageFinished>() == 1);
  CHECK(relay.Events.count<StageProgress>() == 2); // import and first token
}

TEST_CASE("The remembered answer of a keyed stream is the whole stream") {
  // Guards against a replay without the end, which callers take for a break.
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

TEST_CASE("A keyed answer over 64 KiB is reported as too large to remember") {
  // Guards against a replay of an empty or cut-off body.
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

TEST_CASE("A stream with a missing token is not whole and is resumed from it") {
  // Guards against an answer with a hole that ends with [DONE].
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
  std::string answer = relay.received();
  CHECK(textOf(answer) == "abc");
  CHECK(contains(answer, "data: [DONE]"));
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
  std::string answer = relay.received();
  CHECK(contains(answer, "event: error\ndata: {\"type\":\"about:blank\""));
  CHECK_FALSE(contains(answer, "[DONE]"));
  CHECK(relay.Events.count<StageFinished>() == 1);
}

TEST_CASE("An error before any output is a problem document with its status") {
  Fixture relay;
  relay.start();
  relay.Mail->push(
      Action(AnswerError{relay.Request.Id, ErrorKind::GroupQueueFull,
                         ExecutionState::No, Milliseconds(2500), "queue"}));
  std::string answer = relay.received();
  CHECK(answer.starts_with("HTTP/1.1 429 "));
  CHECK(contains(answer, "Retry-After: 3\r\n"));
  CHECK(contains(answer, "\"run\":\"no\""));
  CHECK(contains(answer, "\"retry_after_ms\":2500"));
  CHECK(relay.Events.await<RequestClosed>().Delivered);
}

TEST_CASE("A plain answer is collected over a resume") {
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
  std::string answer = relay.received();
  CHECK(contains(answer, "\"text\":\"a\\\"\""));
  CHECK(contains(answer, "\"completion_tokens\":2"));
  CHECK(contains(answer, "\"finish_reason\":\"stop\""));
}

TEST_CASE("A caller that leaves while a server is silent is noticed") {
  // Guards against engine memory held for a caller that is gone.
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
  // A stage that ends first would make the core place the request again.
  CHECK(relay.Events.position<RequestCancelled>() <
        relay.Events.position<StageFinished>());
  CHECK(relay.Events.count<StageFinished>() == 1);
  CHECK(eventually([&] { return engineClosed.load(); }));
}

TEST_CASE("A caller that leaves while its request waits is noticed") {
  Fixture relay;
  relay.start();
  relay.Caller.closeFar();
  relay.Events.await<RequestCancelled>();
  CHECK_FALSE(relay.Events.await<RequestClosed>().Delivered);
  CHECK(relay.Events.count<StageFinished>() == 0);
}

TEST_CASE("A new action ends the stage that runs, which is reported once") {
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

TEST_CASE("A server that isn't in the configuration gets nothing") {
  Fixture relay;
  relay.start();
  relay.decode(1, "unknown");
  CHECK(relay.Events.await<StageFinished>().Outcome == StageOutcome::NotSent);
}

TEST_CASE(
    "The prompt goes to a decode server only without a prefill's result") {
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

TEST_CASE("A full queue of the core sheds the request without an event") {
  Fixture relay;
  relay.Events.Full = true;
  relay.Worker = std::thread([&] {
    RelaySession(relay.Context, relay.Request, relay.Sink, *relay.Mail).run();
  });
  std::string answer = relay.received();
  CHECK(answer.starts_with("HTTP/1.1 503 "));
  CHECK(contains(answer, "\"kind\":\"overloaded\""));
  CHECK(contains(answer, "\"run\":\"no\""));
  CHECK(relay.Events.count<RequestClosed>() == 0);
}

TEST_CASE("A service's answer is copied and reported for its key") {
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
  std::string answer = relay.received();
  CHECK(answer.starts_with("HTTP/1.1 201 "));
  CHECK(answer.ends_with("\r\n\r\nbay"));
}

TEST_CASE("A service that breaks off within a small answer can be replaced") {
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
  std::string answer = relay.received();
  CHECK(answer.ends_with("\r\n\r\nok"));
}

TEST_CASE("A service that breaks off within a long answer is cut off for the "
          "caller too") {
  // Guards against a part of an answer that the caller takes for the whole.
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
  std::string answer = relay.received();
  CHECK(contains(answer, "3\r\nabc\r\n"));
  CHECK_FALSE(contains(answer, "0\r\n\r\n"));
  auto result = relay.Events.await<StageFinished>();
  CHECK(result.Outcome == StageOutcome::Failed);
  CHECK(result.OutputTokens == 1);
  CHECK_FALSE(relay.Events.await<RequestClosed>().Delivered);
}

TEST_CASE("A forwarded answer is copied with its Retry-After") {
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
  std::string answer = relay.received();
  CHECK(answer.starts_with("HTTP/1.1 503 "));
  CHECK(contains(answer, "Retry-After: 4\r\n"));
  CHECK(relay.Events.await<RequestClosed>().Delivered);
}

TEST_CASE("A home without a link is reported as not sent") {
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

TEST_CASE("A home whose link breaks is reported as failed, once") {
  // Guards against telling the caller that a request was not run which the home
  // may have run.
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
