// How a server's response ends, by framing and by what ends it, and what the
// caller gets.
#include "gateway_fixture.h"

#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

enum class Framing : uint8_t { Length, Chunks, UntilClose };
enum class End : uint8_t {
  Whole,
  ClosedInside,  // in the middle of the third event
  ClosedBetween, // after the second of three events
  ResetInside,
  SilentInside
};

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: e" + std::to_string(Id) +
         "\n\n";
}

std::string events(int From, int To) {
  std::string all;
  for (int i = From; i <= To; ++i)
    all += event(i);
  return all;
}

std::string chunk(const std::string &Data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", Data.size());
  return size + Data + "\r\n";
}

std::string headOf(Framing Form, size_t Length) {
  std::string head = "HTTP/1.1 200 X\r\nServer-Signature: sig\r\n"
                     "Attempt-Id: a1\r\nContent-Type: text/event-stream\r\n";
  if (Form == Framing::Length)
    head += "Content-Length: " + std::to_string(Length) + "\r\n";
  else if (Form == Framing::Chunks)
    head += "Transfer-Encoding: chunked\r\n";
  return head + "\r\n";
}

// Sends a body of this many bytes with the first `Sent` of them.
void respond(int Fd, Framing Form, const std::string &Body, size_t Sent) {
  std::string part = Body.substr(0, Sent);
  std::string bytes = headOf(Form, Body.size());
  if (Form == Framing::Chunks) {
    bytes += chunk(part);
    if (Sent == Body.size())
      bytes += "0\r\n\r\n";
  } else
    bytes += part;
  sendText(Fd, bytes);
}

// Servers that end the first of all their responses in the given way. A stream
// that is resumed gets the events that are left.
struct Ending {
  Framing Form = Framing::Length;
  End How = End::Whole;
  bool ProcessEnds = false; // connections are refused from then on
  Milliseconds ReportDelay{0};
  std::function<void()> BeforeEnd; // called before the first response is sent
  std::function<void()> AfterSent; // called before its connection ends
  std::atomic<int> Runs{0};
};

class EndingServer {
public:
  explicit EndingServer(Ending &Shared)
      : Shared(Shared), Server([this](int Fd, int) { serve(Fd); }) {}
  std::string address() const { return Server.address(); }

private:
  void serve(int Fd) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (request.starts_with("POST /api/hold-take")) {
        sendText(Fd, httpResponse(200, R"({"retention":"res1"})"));
        continue;
      }
      if (!request.starts_with("POST /x/y")) {
        if (request.starts_with("GET /api/report"))
          std::this_thread::sleep_for(Shared.ReportDelay);
        sendText(Fd, httpResponse(200, "{}"));
        continue;
      }
      run(Fd, request);
      return;
    }
  }

  void run(int Fd, const std::string &Request) {
    bool first = ++Shared.Runs == 1;
    End how = first ? Shared.How : End::Whole;
    std::string after = headerField(Request, "Last-Event-Id");
    std::string body = events(after.empty() ? 1 : std::stoi(after) + 1, 3);
    size_t sent = body.size();
    if (how == End::ClosedBetween)
      sent -= event(3).size();
    else if (how != End::Whole)
      sent -= event(3).size() / 2;
    if (first && Shared.BeforeEnd)
      Shared.BeforeEnd();
    if (first && Shared.ProcessEnds)
      Server.stopListening();
    respond(Fd, first ? Shared.Form : Framing::Chunks, body, sent);
    if (first && Shared.AfterSent)
      Shared.AfterSent();
    if (how == End::SilentInside) {
      readAll(Fd); // until the gateway gives up
      return;
    }
    if (how == End::ResetInside) {
      // A reset discards bytes that the gateway hasn't read.
      std::this_thread::sleep_for(Milliseconds(100));
      resetOnClose(Fd);
    }
  }

  Ending &Shared;
  ScriptServer Server;
};

void add(GatewayFixture &Gateway, const std::string &Id,
         const std::string &Address, ServerStage Stage, bool Leaving = false,
         int64_t StartedAt = 0) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = Stage == ServerStage::Whole ? "bays" : "summaries";
  entry.Address = Address;
  entry.Slots = 4;
  entry.Stage = Stage;
  entry.Leaving = Leaving;
  entry.StartedAt = StartedAt;
  Gateway.Directory.applyServer({Id, {0, ++Gateway.Revision}, entry},
                                UpdateOrigin::Store);
}

// The body of a chunked response, without its last chunk.
std::string bodyOf(const std::string &Response) {
  std::string body;
  size_t at = Response.find("\r\n\r\n");
  while (at != std::string::npos) {
    at += at == Response.find("\r\n\r\n") ? 4 : 2;
    size_t line = Response.find("\r\n", at);
    if (line == std::string::npos)
      break;
    size_t n = std::stoul(Response.substr(at, line - at), nullptr, 16);
    if (n == 0)
      break;
    body += Response.substr(line + 2, n);
    at = line + 2 + n;
  }
  return body;
}

bool looksComplete(const std::string &Response) {
  return Response.ends_with("\r\n0\r\n\r\n");
}

// More than the buffers of a connection hold.
constexpr size_t LongUpload = 32 << 20;

constexpr std::array Framings = {Framing::Length, Framing::Chunks,
                                 Framing::UntilClose};

} // namespace

// A stream without a length or chunks ends with its connection, so a crash in
// the middle of an event looked like the end.
TEST_CASE("A stream that is cut inside an event never looks complete") {
  for (Framing form : Framings)
    for (End how : {End::ClosedInside, End::ResetInside, End::SilentInside}) {
      CAPTURE(static_cast<int>(form));
      CAPTURE(static_cast<int>(how));
      GatewayFixture gateway;
      Ending ending{form, how, false};
      EndingServer server(ending);
      add(gateway, "d1", server.address(), ServerStage::Decode);
      PathRoute route = gateway.route(RouteKind::Stream);
      route.Timeout = Milliseconds(1000); // ends the silent stream
      std::string response = gateway.run(route);
      CHECK_FALSE(looksComplete(response));
      CHECK(bodyOf(response) == events(1, 2));
      CHECK(ending.Runs == 1);
    }
}

// The same fault kept such a stream from being resumed at another server.
TEST_CASE("A resumable stream that is cut inside an event goes on elsewhere") {
  for (Framing form : Framings)
    for (End how : {End::ClosedInside, End::ResetInside, End::SilentInside}) {
      CAPTURE(static_cast<int>(form));
      CAPTURE(static_cast<int>(how));
      GatewayFixture gateway;
      Ending ending{form, how, false};
      EndingServer first(ending);
      EndingServer second(ending);
      add(gateway, "d1", first.address(), ServerStage::Decode);
      add(gateway, "d2", second.address(), ServerStage::Decode);
      PathRoute route = gateway.route(RouteKind::Stream);
      route.Resumable = true;
      std::string response = gateway.run(route);
      CHECK(looksComplete(response));
      CHECK(bodyOf(response) == events(1, 3));
      CHECK(ending.Runs == 2);
    }
}

TEST_CASE("A whole stream is forwarded in every framing") {
  for (Framing form : Framings) {
    CAPTURE(static_cast<int>(form));
    GatewayFixture gateway;
    Ending ending{form, End::Whole};
    EndingServer server(ending);
    add(gateway, "d1", server.address(), ServerStage::Decode);
    std::string response = gateway.run(gateway.route(RouteKind::Stream));
    CHECK(looksComplete(response));
    CHECK(bodyOf(response) == events(1, 3));
  }
}

// Its successor accepts connections at the address, so that the end of the
// process looked like the end of the stream.
TEST_CASE(
    "A stream whose server was replaced doesn't end with its connection") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::ClosedBetween, false};
  EndingServer first(ending);
  EndingServer second(ending);
  add(gateway, "d1", first.address(), ServerStage::Decode, false, 1000);
  auto replace = [&] {
    add(gateway, "d1", first.address(), ServerStage::Decode, false, 2000);
    add(gateway, "d2", second.address(), ServerStage::Decode);
  };
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  std::string response;
  SUBCASE("after its events, which another server goes on after") {
    std::atomic<bool> received{false};
    ending.AfterSent = [&] {
      CHECK(eventually([&] { return received.load(); }));
      replace();
    };
    gateway.WhileRunning = [&](SocketPair &Sockets) {
      response = readUntil(Sockets.far(), event(2));
      received = true;
      response += readUntil(Sockets.far(), "\r\n0\r\n\r\n");
    };
    gateway.run(route);
    CHECK(looksComplete(response));
    CHECK(bodyOf(response) == events(1, 3));
    CHECK(ending.Runs == 2);
  }
  // They may be another version's, so that nothing follows them.
  SUBCASE("before its events") {
    ending.BeforeEnd = replace;
    response = gateway.run(route);
    CHECK_FALSE(looksComplete(response));
    CHECK(bodyOf(response) == events(1, 2));
    CHECK(ending.Runs == 1);
  }
}

// Only a length or chunks can show that events are missing.
TEST_CASE("A stream that is cut between events is broken unless its end is the "
          "connection's") {
  for (Framing form : Framings) {
    CAPTURE(static_cast<int>(form));
    GatewayFixture gateway;
    Ending ending{form, End::ClosedBetween};
    EndingServer server(ending);
    add(gateway, "d1", server.address(), ServerStage::Decode);
    std::string response = gateway.run(gateway.route(RouteKind::Stream));
    CHECK(looksComplete(response) == (form == Framing::UntilClose));
    CHECK(bodyOf(response) == events(1, 2));
  }
}

TEST_CASE("A plain response that is cut is never forwarded") {
  for (Framing form : Framings)
    for (End how : {End::ClosedInside, End::ResetInside, End::SilentInside}) {
      if (form == Framing::UntilClose && how == End::ClosedInside)
        continue; // can't be told from the end
      CAPTURE(static_cast<int>(form));
      CAPTURE(static_cast<int>(how));
      GatewayFixture gateway;
      Ending ending{form, how, false};
      EndingServer server(ending);
      add(gateway, "b1", server.address(), ServerStage::Whole);
      PathRoute route = gateway.route(RouteKind::NonIdempotent);
      route.Timeout = Milliseconds(1000);
      std::string response = gateway.run(route);
      CHECK(response.starts_with(how == End::SilentInside ? "HTTP/1.1 504"
                                                          : "HTTP/1.1 502"));
      CHECK(response.find("\"run\":\"no\"") == std::string::npos);
      CHECK(ending.Runs == 1);
    }
}

// The kernel closes the connections of a process that is gone, so a response
// without a length or chunks seemed to have ended.
TEST_CASE("A response whose server's process ended with it isn't complete") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::ClosedBetween, true};
  EndingServer server(ending);
  SUBCASE("stream") {
    add(gateway, "d1", server.address(), ServerStage::Decode);
    std::string response = gateway.run(gateway.route(RouteKind::Stream));
    CHECK_FALSE(looksComplete(response));
    CHECK(bodyOf(response) == events(1, 2));
  }
  SUBCASE("plain") {
    add(gateway, "b1", server.address(), ServerStage::Whole);
    std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("\"run\":\"no\"") == std::string::npos);
  }
}

TEST_CASE("A resumable stream whose server's process ended goes on elsewhere") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::ClosedBetween, true};
  EndingServer first(ending);
  EndingServer second(ending);
  add(gateway, "d1", first.address(), ServerStage::Decode);
  add(gateway, "d2", second.address(), ServerStage::Decode);
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Resumable = true;
  std::string response = gateway.run(route);
  CHECK(looksComplete(response));
  CHECK(bodyOf(response) == events(1, 3));
}

// A server that leaves may end before its time, and its last response with it.
TEST_CASE("A response of a leaving server is whole if its process lives on") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::Whole, false};
  SUBCASE("lives on") {}
  SUBCASE("ended") { ending.ProcessEnds = true; }
  EndingServer server(ending);
  add(gateway, "d1", server.address(), ServerStage::Decode);
  ending.BeforeEnd = [&] {
    add(gateway, "d1", server.address(), ServerStage::Decode, true);
  };
  std::string response = gateway.run(gateway.route(RouteKind::Stream));
  CHECK(looksComplete(response) == !ending.ProcessEnds);
  CHECK(bodyOf(response) == events(1, 3));
}

// A sound server's answer waits for a slow report, and is given up rather than
// completed without one.
TEST_CASE("The end of an answer waits a bounded time for the sender's report") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::Whole, false};
  PathRoute route = gateway.route(RouteKind::Stream);
  CallerRequest request = gateway.request();
  SUBCASE("slow") { ending.ReportDelay = Milliseconds(300); }
  SUBCASE("too slow for the caller") {
    ending.ReportDelay = Milliseconds(3500);
    request.TimeLeft = Milliseconds(2000);
  }
  SUBCASE("too slow for the route") {
    ending.ReportDelay = Milliseconds(3500);
    route.Timeout = Milliseconds(2000);
  }
  EndingServer server(ending);
  add(gateway, "d1", server.address(), ServerStage::Decode);
  auto started = std::chrono::steady_clock::now();
  std::string response = gateway.run(route, request);
  CHECK(looksComplete(response) == (ending.ReportDelay == Milliseconds(300)));
  CHECK(bodyOf(response) == events(1, 3));
  CHECK(std::chrono::steady_clock::now() - started < Milliseconds(2500));
}

namespace {

// An answer without a length beside reports of one kind, and whether the
// caller got it as whole.
struct ProofCase {
  RouteKind Kind = RouteKind::NonIdempotent;
  size_t BodyBytes = 30; // of a plain answer
  Milliseconds ReportDelay{0};
  int ClosedReports = 0;     // connections for reports that close first
  int64_t KnownStart = 0;    // by the server's entry
  int64_t ReportedStart = 0; // 0: reports state none
  double LimitPerSecond = 0; // used up as the answer ends
};

bool isReceivedWhole(const ProofCase &Case) {
  bool streams = Case.Kind == RouteKind::Stream;
  std::string body = streams ? events(1, 3) : std::string(Case.BodyBytes, 'x');
  std::atomic<int> closed{0};
  GatewayFixture gateway;
  ScriptServer server([&](int Fd, int) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (request.starts_with("POST /api/hold-take")) {
        sendText(Fd, httpResponse(200, R"({"retention":"res1"})"));
      } else if (request.starts_with("GET /api/report")) {
        if (closed++ < Case.ClosedReports)
          return;
        std::this_thread::sleep_for(Case.ReportDelay);
        std::string born =
            Case.ReportedStart == 0
                ? ""
                : ",\"born\":" + std::to_string(Case.ReportedStart);
        sendText(Fd, httpResponse(200, R"({"phase":"decode","sequence":0)" +
                                           born + "}"));
      } else {
        if (Case.LimitPerSecond > 0) {
          TimePoint now = std::chrono::steady_clock::now();
          StatedLimit limit;
          limit.PerSecond = Case.LimitPerSecond;
          gateway.Limits.onResponse("s1", limit, now);
          while (gateway.Limits.acquire("s1", 1, Milliseconds(0)).Granted) {
          }
        }
        respond(Fd, Framing::UntilClose, body, body.size());
        return;
      }
    }
  });
  add(gateway, "s1", server.address(),
      streams ? ServerStage::Decode : ServerStage::Whole, false,
      Case.KnownStart);
  std::string response = gateway.run(gateway.route(Case.Kind));
  if (!response.starts_with("HTTP/1.1 200"))
    return false;
  if (!streams && response.find("chunked") == std::string::npos)
    return response.ends_with(body);
  return looksComplete(response) && bodyOf(response) == body;
}

// The cases take seconds each, in which they wait.
std::vector<bool> receivedWhole(const std::vector<ProofCase> &Cases) {
  std::vector<char> results(Cases.size());
  std::vector<std::thread> threads;
  for (size_t i = 0; i < Cases.size(); ++i)
    threads.emplace_back(
        [&, i] { results[i] = isReceivedWhole(Cases[i]) ? 1 : 0; });
  for (std::thread &it : threads)
    it.join();
  return {results.begin(), results.end()};
}

constexpr size_t LongBody = 600000; // passed on before its end

} // namespace

// Answers were given up a second after their end, though their callers waited:
// to a call that may not be repeated, 502 says that its outcome is unknown.
TEST_CASE("A sound answer isn't lost to a report that takes seconds") {
  std::vector<ProofCase> cases;
  for (int delay : {0, 1200, 2000, 5000})
    for (int64_t start : {0, 1000}) {
      Milliseconds time(delay);
      cases.push_back({.ReportDelay = time, .KnownStart = start});
      cases.push_back({.BodyBytes = LongBody, .ReportDelay = time});
      cases.push_back({.Kind = RouteKind::Stream,
                       .ReportDelay = time,
                       .KnownStart = start,
                       .ReportedStart = start});
    }
  std::vector<bool> whole = receivedWhole(cases);
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(cases[i].ReportDelay.count());
    CAPTURE(static_cast<int>(cases[i].Kind));
    CAPTURE(cases[i].BodyBytes);
    CHECK(whole[i]);
  }
}

// A busy server may close a connection; its process lives on.
TEST_CASE("A sound answer isn't lost to a closed connection for its report") {
  std::vector<ProofCase> cases;
  for (RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Stream}) {
    cases.push_back({.Kind = kind, .ClosedReports = 1});
    cases.push_back(
        {.Kind = kind, .ReportDelay = Milliseconds(1500), .ClosedReports = 1});
    cases.push_back({.Kind = kind,
                     .ClosedReports = 4,
                     .KnownStart = 1000,
                     .ReportedStart = 1000});
  }
  std::vector<bool> whole = receivedWhole(cases);
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    CHECK(whole[i]);
  }
}

// Once every connection that the answer's end has opened is closed, the process
// at the address may be another one: a killed server comes back in a moment.
TEST_CASE("A successor's report doesn't make a killed server's answer whole") {
  std::vector<ProofCase> cases;
  for (RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Stream})
    for (int closed : {2, 3}) {
      cases.push_back({.Kind = kind, .ClosedReports = closed});
      cases.push_back(
          {.Kind = kind, .ClosedReports = closed, .KnownStart = 1000});
      cases.push_back({.Kind = kind,
                       .ClosedReports = closed,
                       .KnownStart = 1000,
                       .ReportedStart = 2000});
    }
  std::vector<bool> whole = receivedWhole(cases);
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    CHECK_FALSE(whole[i]);
  }
}

// The report counts as a request, so it waits for its turn. It had a second
// for that.
TEST_CASE("A sound answer isn't lost to a server's used-up request limit") {
  for (bool whole :
       receivedWhole({{.LimitPerSecond = 0.5},
                      {.BodyBytes = LongBody, .LimitPerSecond = 0.5},
                      {.Kind = RouteKind::Stream, .LimitPerSecond = 0.5}}))
    CHECK(whole);
}

// Answers that wait for slow reports would take the budget of other services.
TEST_CASE("Waiting answers of one service don't take the room of others") {
  constexpr size_t Limit = 1048576;
  MemoryBudget memory(Limit);
  GatewayFixture gateway;
  CHECK(gateway.Waiting.tryAdd("bays", Limit / 4, Limit));
  CHECK_FALSE(gateway.Waiting.tryAdd("bays", 1, Limit));
  CHECK(gateway.Waiting.tryAdd("others", Limit / 4, Limit));
  gateway.Memory = &memory;
  Ending ending{Framing::UntilClose, End::Whole, false};
  ending.ReportDelay = Milliseconds(1000);
  EndingServer server(ending);
  add(gateway, "b1", server.address(), ServerStage::Whole);
  std::string response;
  SUBCASE("whole") {
    gateway.WhileRunning = [&](SocketPair &Sockets) {
      response = readUntil(Sockets.far(), event(3) + "\r\n");
      CHECK(eventually([&] { return memory.held() == 0; }));
      response += readUntil(Sockets.far(), "0\r\n\r\n");
    };
    gateway.run(gateway.route(RouteKind::NonIdempotent));
  }
  SUBCASE("cut") {
    ending.ProcessEnds = true;
    response = gateway.run(gateway.route(RouteKind::NonIdempotent));
  }
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(bodyOf(response) == events(1, 3));
  CHECK(looksComplete(response) == !ending.ProcessEnds);
  gateway.Waiting.remove("bays", Limit / 4);
  CHECK(gateway.Waiting.tryAdd("bays", Limit / 4, Limit));
}

TEST_CASE("A caller that leaves ends the wait for the sender's report") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::Whole, false};
  ending.ReportDelay = Milliseconds(5000);
  EndingServer server(ending);
  add(gateway, "d1", server.address(), ServerStage::Decode);
  gateway.WhileRunning = [&](SocketPair &Sockets) {
    readUntil(Sockets.far(), event(3) + "\r\n");
    std::this_thread::sleep_for(Milliseconds(200));
    Sockets.closeFar();
  };
  auto started = std::chrono::steady_clock::now();
  gateway.run(gateway.route(RouteKind::Stream));
  CHECK(std::chrono::steady_clock::now() - started < Milliseconds(3500));
}

// The exit of the instance ends the reading side of its callers' connections.
TEST_CASE("An instance that exits ends the wait for the sender's report") {
  GatewayFixture gateway;
  Ending ending{Framing::UntilClose, End::Whole, false};
  ending.ReportDelay = Milliseconds(5000);
  EndingServer server(ending);
  add(gateway, "b1", server.address(), ServerStage::Whole);
  gateway.WhileRunning = [&](SocketPair &Sockets) {
    CHECK(eventually([&] { return ending.Runs > 0; }));
    std::this_thread::sleep_for(Milliseconds(300));
    ::shutdown(Sockets.near(), SHUT_RD);
  };
  auto started = std::chrono::steady_clock::now();
  gateway.run(gateway.route(RouteKind::NonIdempotent));
  CHECK(std::chrono::steady_clock::now() - started < Milliseconds(3500));
}

// A listener that is closed a moment later still accepts connections.
TEST_CASE(
    "A connection that opens doesn't show that a server's process lives") {
  GatewayFixture gateway;
  std::atomic<bool> ended{false};
  ScriptServer server([&](int Fd, int) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty() || ended.load())
        return; // as a connection that nobody has accepted
      if (request.starts_with("POST /api/hold-take")) {
        sendText(Fd, httpResponse(200, R"({"retention":"res1"})"));
        continue;
      }
      ended.store(true);
      respond(Fd, Framing::UntilClose, events(1, 3), events(1, 2).size());
      return;
    }
  });
  SUBCASE("stream") {
    add(gateway, "d1", server.address(), ServerStage::Decode);
    std::string response = gateway.run(gateway.route(RouteKind::Stream));
    CHECK_FALSE(looksComplete(response));
    CHECK(bodyOf(response) == events(1, 2));
  }
  SUBCASE("plain") {
    add(gateway, "b1", server.address(), ServerStage::Whole);
    std::string response = gateway.run(gateway.route(RouteKind::NonIdempotent));
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("\"run\":\"no\"") == std::string::npos);
  }
}

// Operators of similar systems saw callers get a 200 with an empty or short
// body, framed as whole, after a server had closed inside the head.
TEST_CASE("A response that ends inside its head never reaches the caller") {
  for (Framing form : Framings)
    for (RouteKind kind :
         {RouteKind::NonIdempotent, RouteKind::Idempotent, RouteKind::Stream})
      for (bool reset : {false, true}) {
        std::string head = headOf(form, events(1, 3).size());
        // All places but the end, and each of them in the last two lines.
        for (size_t cut = 1;
             cut<head.size(); cut += head.size() - cut> 40 ? 7 : 1) {
          CAPTURE(static_cast<int>(form));
          CAPTURE(static_cast<int>(kind));
          CAPTURE(reset);
          CAPTURE(cut);
          GatewayFixture gateway;
          std::atomic<int> runs{0};
          ScriptServer server([&](int Fd, int) {
            while (true) {
              std::string request = readRequest(Fd);
              if (request.starts_with("POST /api/hold-take")) {
                sendText(Fd, httpResponse(200, R"({"retention":"res1"})"));
                continue;
              }
              if (request.empty())
                return;
              ++runs;
              sendText(Fd, head.substr(0, cut));
              if (reset)
                resetOnClose(Fd);
              return;
            }
          });
          add(gateway, "b1", server.address(),
              kind == RouteKind::Stream ? ServerStage::Decode
                                        : ServerStage::Whole);
          PathRoute route = gateway.route(kind);
          route.LatencyTarget = route.Timeout; // to wait for a reservation
          std::string response = gateway.run(route);
          CHECK(runs > 0);
          // The request may have run.
          CHECK(response.starts_with("HTTP/1.1 502"));
          CHECK(response.find("\"run\":\"no\"") == std::string::npos);
          CHECK(response.find("sig") == std::string::npos);
        }
      }
}

// The reset showed while the request was sent, and its response then seemed to
// end in order.
TEST_CASE("A response without a length whose connection is reset during the "
          "upload isn't complete") {
  for (RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Idempotent}) {
    CAPTURE(static_cast<int>(kind));
    GatewayFixture gateway;
    std::atomic<int> runs{0};
    ScriptServer server([&](int Fd, int) {
      std::string head = readUntil(Fd, "\r\n\r\n");
      if (!head.starts_with("POST /x/y")) {
        sendText(Fd, httpResponse(200, "{}"));
        return;
      }
      ++runs;
      sendText(Fd, headOf(Framing::UntilClose, 0) + "a part");
      // The upload waits for the server by then.
      std::this_thread::sleep_for(Milliseconds(100));
      resetOnClose(Fd);
    });
    add(gateway, "b1", server.address(), ServerStage::Whole);
    CallerRequest request = gateway.request();
    request.Body = std::string(LongUpload, 'x');
    std::string response = gateway.run(gateway.route(kind), request);
    CHECK(runs > 0);
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("\"run\":\"no\"") == std::string::npos);
    CHECK(response.find("a part") == std::string::npos);
  }
}

// The response to a server that reads no more of the request was given up with
// the upload.
TEST_CASE("A response to a part of an upload reaches the caller") {
  GatewayFixture gateway;
  ScriptServer server([&](int Fd, int) {
    readUntil(Fd, "\r\n\r\n");
    sendText(Fd, signedResponse(413, "too long"));
    std::this_thread::sleep_for(TransferTimeout + Milliseconds(1000));
  });
  add(gateway, "b1", server.address(), ServerStage::Whole);
  CallerRequest request = gateway.request();
  request.Body = std::string(LongUpload, 'x');
  std::string response =
      gateway.run(gateway.route(RouteKind::NonIdempotent), request);
  CHECK(response.starts_with("HTTP/1.1 413"));
  CHECK(response.ends_with("too long"));
  CHECK(gateway.Connections.idleCount() == 0);
}
