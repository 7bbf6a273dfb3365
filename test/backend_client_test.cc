#include "backend_client.h"

#include "test_socket.h"

#include <atomic>
#include <cstdio>
#include <doctest/doctest.h>
#include <mutex>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

const std::string Prompt = "\"hello\"";
const std::vector<uint64_t> NoHashes;

BackendCall callTo(const std::string &Address,
                   int TimeoutMilliseconds = 10000) {
  BackendCall call;
  call.Address = Address;
  call.ConnectTimeout = Milliseconds(10000);
  call.Timeout = Milliseconds(TimeoutMilliseconds);
  return call;
}

PrefillResult prefill(BackendClient &Client, const BackendCall &Call) {
  PrefillRequest input;
  input.Common.Id = {1, 2};
  input.Common.Model = "m";
  input.Common.Group = "g";
  input.PromptJson = &Prompt;
  input.PromptTokens = 1;
  input.PrefixHashes = &NoHashes;
  PollWaiter waiter;
  return Client.prefill(Call, input, waiter);
}

// Collects the events of a decode stream.
struct StreamCollector : DecodeHandler {
  std::string Text;
  bool Imported = false;
  bool Done = false;
  int Batches = 0;

  bool onEvent(const EngineEvent &Event) override {
    Imported = Imported || Event.Imported;
    Done = Done || Event.Done;
    Text += Event.RawToken;
    return true;
  }
  bool onBatch() override {
    ++Batches;
    return true;
  }
};

BackendCallResult decode(BackendClient &Client, const BackendCall &Call,
                         StreamCollector &Events) {
  DecodeRequest input;
  input.Common.Id = {1, 2};
  input.MaxTokens = 3;
  PollWaiter waiter;
  return Client.decode(Call, input, waiter, Events);
}

struct ServiceCollector : ServiceHandler {
  uint32_t Status = 0;
  std::string Body;

  bool onHead(const HttpHead &Head) override {
    Status = Head.Status;
    return true;
  }
  bool onBody(std::string_view Data) override {
    Body += Data;
    return true;
  }
};

std::string chunk(const std::string &Text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", Text.size());
  return size + Text + "\r\n";
}

const std::string StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: "
                               "text/event-stream\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n";

// Address of a port on which no server listens.
std::string unusedAddress() {
  ScriptServer server([](int, int) {});
  return server.address();
}

} // namespace

TEST_CASE("A refused connection means that nothing was sent") {
  BackendClient client;
  PrefillResult end = prefill(client, callTo(unusedAddress()));
  CHECK(end.Outcome == StageOutcome::NotSent);
  CHECK(prefill(client, callTo("no address")).Outcome == StageOutcome::NotSent);
}

TEST_CASE("A call whose NotAfter time has passed sends nothing") {
  // Guards against a process that resumes late and dispatches under a lease
  // that has expired.
  std::atomic<int> bytes{0};
  ScriptServer server(
      [&](int Fd, int) { bytes += static_cast<int>(readAll(Fd).size()); });
  BackendClient client;
  BackendCall call = callTo(server.address());
  call.NotAfter = std::chrono::steady_clock::now() - Milliseconds(1);
  CHECK(prefill(client, call).Outcome == StageOutcome::NotSent);
  CHECK(bytes.load() == 0);
}

TEST_CASE(
    "A finished prefill returns its KV size and the connection is reused") {
  std::string first;
  ScriptServer server([&](int Fd, int) {
    for (int i = 0; i < 2; ++i) {
      std::string text = readRequest(Fd);
      if (i == 0)
        first = text;
      sendText(Fd, httpResponse(200, R"({"kv_bytes":77,"cached_tokens":0})"));
    }
  });
  BackendClient client;
  PrefillResult end = prefill(client, callTo(server.address()));
  CHECK(end.Outcome == StageOutcome::Ok);
  CHECK(end.KvBytes == 77);
  CHECK(prefill(client, callTo(server.address())).Outcome == StageOutcome::Ok);
  CHECK(server.connections() == 1);
  CHECK(first.find("\"request\":\"1-2\"") != std::string::npos);
  CHECK(first.find("\"prompt\":\"hello\"") != std::string::npos);
}

TEST_CASE("Only refusals that the protocol defines count as not executed") {
  struct Case {
    int Status;
    const char *Body;
    StageOutcome Expected;
  };
  const Case cases[] = {
      {503, R"({"refused":"full"})", StageOutcome::RefusedFull},
      {409, R"({"refused":"fence"})", StageOutcome::RefusedFence},
      {409, R"({"refused":"evicted"})", StageOutcome::RefusedOther},
      {503, R"({"error":"x"})", StageOutcome::Failed},
      {503, "not JSON", StageOutcome::Failed},
      {500, R"({"refused":"full"})", StageOutcome::Failed},
      {404, "", StageOutcome::Failed},
  };
  for (const Case &it : cases) {
    ScriptServer server([&](int Fd, int) {
      readRequest(Fd);
      sendText(Fd, httpResponse(it.Status, it.Body));
    });
    BackendClient client;
    CHECK_MESSAGE(prefill(client, callTo(server.address())).Outcome ==
                      it.Expected,
                  it.Status, " ", it.Body);
    StreamCollector events;
    CHECK_MESSAGE(decode(client, callTo(server.address()), events).Outcome ==
                      it.Expected,
                  it.Status, " ", it.Body);
  }
}

TEST_CASE(
    "A connection that breaks before or within the response is a failure") {
  // Guards against reporting a request as not executed that the server has
  // received.
  const std::string responses[] = {
      "", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{",
      "nonsense\r\n\r\n"};
  for (bool reset : {false, true})
    for (const std::string &it : responses) {
      ScriptServer server([&](int Fd, int) {
        readRequest(Fd);
        sendText(Fd, it);
        if (reset)
          resetOnClose(Fd);
      });
      BackendClient client;
      CHECK_MESSAGE(prefill(client, callTo(server.address())).Outcome ==
                        StageOutcome::Failed,
                    it);
    }
}

TEST_CASE("A call to a silent server times out") {
  ScriptServer server([](int Fd, int) {
    readRequest(Fd);
    readAll(Fd);
  });
  BackendClient client;
  CHECK(prefill(client, callTo(server.address(), 50)).Outcome ==
        StageOutcome::TimedOut);
}

TEST_CASE("A stalled stream times out after its last token") {
  ScriptServer server([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, StreamHead + chunk("data: {\"index\":0,\"token\":\"a\"}\n\n"));
    readAll(Fd);
  });
  BackendClient client;
  StreamCollector events;
  BackendCallResult end = decode(client, callTo(server.address(), 50), events);
  CHECK(end.Outcome == StageOutcome::TimedOut);
  CHECK(events.Text == "a");
}

TEST_CASE("A stream is complete only with its last event") {
  // Guards against a truncated response that looks complete.
  auto run = [](const std::string &Rest, StreamCollector &Events) {
    ScriptServer server([&](int Fd, int) {
      readRequest(Fd);
      sendText(Fd, StreamHead + chunk("data: {\"imported\":true}\n\n") +
                       chunk("data: {\"index\":0,\"tok") +
                       chunk("en\":\"a\"}\r\n\r\ndata: "
                             "{\"index\":1,\"token\":\"b\"}\n\n") +
                       Rest);
    });
    BackendClient client;
    return decode(client, callTo(server.address()), Events).Outcome;
  };
  StreamCollector whole;
  CHECK(run(chunk("data: {\"done\":true,\"tokens\":2}\n\n"), whole) ==
        StageOutcome::Ok);
  CHECK(whole.Text == "ab");
  CHECK(whole.Imported);
  CHECK(whole.Done);
  StreamCollector cut;
  CHECK(run("", cut) == StageOutcome::Failed);
  CHECK(cut.Text == "ab");
  StreamCollector ended;
  CHECK(run("0\r\n\r\n", ended) == StageOutcome::Failed);
  StreamCollector bad;
  CHECK(run(chunk("data: {\"index\":x}\n\n"), bad) == StageOutcome::Failed);
}

TEST_CASE(
    "A service's response is passed on, and its refusals are recognized") {
  const std::string body = "in";
  ServiceRequest input;
  input.Id = {1, 2};
  input.Fence = 9;
  input.Method = "POST";
  input.Path = "/x?y=1";
  input.ContentType = "text/plain";
  input.IdempotencyKey = "k";
  input.Body = &body;
  auto run = [&](const std::string &Response, ServiceCollector &Out,
                 std::string &Request) {
    ScriptServer server([&](int Fd, int) {
      Request = readRequest(Fd);
      sendText(Fd, Response);
    });
    BackendClient client;
    PollWaiter waiter;
    return client.service(callTo(server.address()), input, waiter, Out).Outcome;
  };
  ServiceCollector ok;
  std::string request;
  CHECK(run(httpResponse(201, "out"), ok, request) == StageOutcome::Ok);
  CHECK(ok.Status == 201);
  CHECK(ok.Body == "out");
  CHECK(request.starts_with("POST /x?y=1 HTTP/1.1\r\n"));
  for (const char *it :
       {"\r\nCrocusspur-Request: 1-2\r\n", "\r\nCrocusspur-Fence: 9\r\n",
        "\r\nIdempotency-Key: k\r\n", "\r\nContent-Type: text/plain\r\n",
        "\r\n\r\nin"})
    CHECK_MESSAGE(request.find(it) != std::string::npos, it);
  ServiceCollector out;
  CHECK(run("HTTP/1.1 503 X\r\nCrocusspur-Refused: full\r\nContent-Length: "
            "0\r\n\r\n",
            out, request) == StageOutcome::RefusedFull);
  CHECK(run("HTTP/1.1 503 X\r\nCrocusspur-Refused: fence\r\nContent-Length: "
            "0\r\n\r\n",
            out, request) == StageOutcome::RefusedFence);
  // A 503 of the service itself may come after execution.
  ServiceCollector own;
  CHECK(run(httpResponse(503, "busy"), own, request) == StageOutcome::Ok);
  CHECK(own.Status == 503);
  ServiceCollector cut;
  CHECK(run("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nabc", cut, request) ==
        StageOutcome::Failed);
}

namespace {

StageOutcome callService(const std::string &Address, const std::string &Method,
                         const std::string &Body) {
  BackendClient client;
  ServiceRequest input;
  input.Method = Method;
  input.Path = "/";
  input.Body = &Body;
  ServiceCollector response;
  PollWaiter waiter;
  return client.service(callTo(Address), input, waiter, response).Outcome;
}

StageOutcome getFromService(const std::string &Address) {
  return callService(Address, "GET", "");
}

} // namespace

// Without a length or chunks, the end of the connection was taken for the end.
TEST_CASE("A service's event stream that ends inside an event has failed") {
  std::string body;
  ScriptServer server([&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n" +
                     body);
  });
  auto outcomeOf = [&](const std::string &Sent) {
    body = Sent;
    return getFromService(server.address());
  };
  CHECK(outcomeOf("data: a\n\ndata: b\n\n") == StageOutcome::Ok);
  CHECK(outcomeOf("data: a\n\ndata: b") == StageOutcome::Failed);
  CHECK(outcomeOf("data: a\n\ndata: b\n") == StageOutcome::Failed);
}

// A web server ends the body when the program behind it fails, so a length or
// a last chunk doesn't show that the last event is whole.
TEST_CASE("A service's event stream inside an event fails in every framing") {
  std::string response;
  ScriptServer server([&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, response);
  });
  const std::string head =
      "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n";
  auto outcomeOf = [&](const std::string &Sent) {
    response = Sent;
    return getFromService(server.address());
  };
  CHECK(outcomeOf(head + "Content-Length: 15\r\n\r\ndata: a\n\ndata: ") ==
        StageOutcome::Failed);
  CHECK(outcomeOf(head + "Content-Length: 18\r\n\r\ndata: a\n\ndata: b\n\n") ==
        StageOutcome::Ok);
  CHECK(outcomeOf(head + "Transfer-Encoding: chunked\r\n\r\n"
                         "f\r\ndata: a\n\ndata: \r\n0\r\n\r\n") ==
        StageOutcome::Failed);
  CHECK(outcomeOf(head + "Transfer-Encoding: chunked\r\n\r\n"
                         "9\r\ndata: a\n\n\r\n0\r\n\r\n") == StageOutcome::Ok);
}

// A service's server that was killed in the middle of its response ends the
// connection like one that has finished, and the response looked complete.
TEST_CASE("A response without a length is whole if its server lives after it") {
  enum class After : uint8_t { Responds, AcceptsOnly, Refuses };
  auto outcomeOf = [](After How) {
    std::function<void()> stopListening;
    ScriptServer server([&](int Fd, int) {
      if (readRequest(Fd).starts_with("GET /v1/load")) {
        if (How == After::Responds)
          sendText(Fd, httpResponse(200, "{}"));
        return;
      }
      if (How == After::Refuses)
        stopListening();
      sendText(Fd, "HTTP/1.1 200 OK\r\n\r\na part");
    });
    stopListening = [&] { server.stopListening(); };
    return getFromService(server.address());
  };
  CHECK(outcomeOf(After::Responds) == StageOutcome::Ok);
  CHECK(outcomeOf(After::AcceptsOnly) == StageOutcome::Failed);
  CHECK(outcomeOf(After::Refuses) == StageOutcome::Failed);
}

// Responses of sound servers were given up a second after their end, or with
// the first connection that a busy server closed.
TEST_CASE("A service's whole response isn't lost to a slow or closed report") {
  auto outcomeOf = [](std::chrono::milliseconds Delay, int Closed) {
    std::atomic<int> loads{0};
    ScriptServer server([&](int Fd, int) {
      if (readRequest(Fd).starts_with("GET /v1/load")) {
        if (loads++ < Closed)
          return;
        std::this_thread::sleep_for(Delay);
        sendText(Fd, httpResponse(200, "{}"));
        return;
      }
      sendText(Fd, "HTTP/1.1 200 OK\r\n\r\nall");
    });
    return getFromService(server.address());
  };
  using std::chrono::milliseconds;
  CHECK(outcomeOf(milliseconds(1200), 0) == StageOutcome::Ok);
  CHECK(outcomeOf(milliseconds(2000), 0) == StageOutcome::Ok);
  CHECK(outcomeOf(milliseconds(1200), 1) == StageOutcome::Ok);
  // A later connection may lead to a successor of a killed server.
  CHECK(outcomeOf(milliseconds(0), 2) == StageOutcome::Failed);
}

// The reset showed while the request was sent, and the response then seemed to
// end in order.
TEST_CASE("A response without a length whose connection is reset during the "
          "request has failed") {
  ScriptServer server([&](int Fd, int) {
    if (readUntil(Fd, "\r\n\r\n").starts_with("GET /v1/load")) {
      sendText(Fd, httpResponse(200, "{}"));
      return;
    }
    sendText(Fd, "HTTP/1.1 200 OK\r\n\r\na part");
    // The client waits for the server by then.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    resetOnClose(Fd);
  });
  const std::string body(32 << 20, 'x'); // more than the sockets hold
  CHECK(callService(server.address(), "POST", body) == StageOutcome::Failed);
}

TEST_CASE("A control call is retried once if a reused connection has broken") {
  // Guards against lost cancels after a server closed an idle connection.
  ScriptServer server([](int Fd, int Number) {
    readRequest(Fd);
    sendText(Fd, httpResponse(200, "{}"));
    if (Number == 0)
      readRequest(Fd); // closes without a response
  });
  BackendClient client;
  uint32_t status = 0;
  for (int i = 0; i < 2; ++i) {
    std::string response;
    CHECK(client.control(callTo(server.address()), "POST", "/v1/cancel",
                         "{\"request\":\"1-2\"}", status, response));
    CHECK(status == 200);
  }
  CHECK(server.connections() == 2);
}

TEST_CASE("A prefill on a reused connection that breaks is a failure") {
  // Guards against resending a request that has crashed its server.
  ScriptServer server([](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, httpResponse(200, "{\"kv_bytes\":1}"));
    readRequest(Fd);
  });
  BackendClient client;
  CHECK(prefill(client, callTo(server.address())).Outcome == StageOutcome::Ok);
  CHECK(prefill(client, callTo(server.address())).Outcome ==
        StageOutcome::Failed);
  CHECK(server.connections() == 1);
}

TEST_CASE("A connection that the server closed while idle is not reused") {
  std::atomic<bool> closed{false};
  ScriptServer server([&](int Fd, int Number) {
    readRequest(Fd);
    sendText(Fd, httpResponse(200, "{\"kv_bytes\":1}"));
    if (Number == 0) {
      resetOnClose(Fd);
      closed.store(true);
    }
  });
  BackendClient client;
  CHECK(prefill(client, callTo(server.address())).Outcome == StageOutcome::Ok);
  CHECK(eventually([&] { return closed.load(); }));
  // The call may fail until the reset has arrived.
  CHECK(eventually([&] {
    return prefill(client, callTo(server.address())).Outcome ==
           StageOutcome::Ok;
  }));
  CHECK(server.connections() >= 2);
}
