// Responses of plain services that are longer than what is kept of them.
#include "gateway_fixture.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

enum class Form : uint8_t { Length, Chunks, UntilClose };
constexpr std::array Forms{Form::Length, Form::Chunks, Form::UntilClose};

// Well above what is kept, below what sockets take without a reader.
constexpr size_t BodyBytes = 1048576;
constexpr size_t ChunkBytes = 65536;

std::string bodyOf(size_t Size) {
  std::string body;
  while (body.size() < Size)
    body += std::to_string(body.size()) + " ";
  return body.substr(0, Size);
}

std::string chunked(const std::string &Body) {
  std::string all;
  for (size_t i = 0; i < Body.size(); i += ChunkBytes) {
    std::string part = Body.substr(i, ChunkBytes);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    all += size + part + "\r\n";
  }
  return all;
}

// A response with the first `Sent` bytes of the body.
std::string response(int Status, Form Framing, const std::string &Body,
                     size_t Sent) {
  std::string head = "HTTP/1.1 " + std::to_string(Status) +
                     " X\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n";
  std::string part = Body.substr(0, Sent);
  if (Framing == Form::Length)
    return head + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + part;
  if (Framing == Form::UntilClose)
    return head + "\r\n" + part;
  return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(part) +
         (Sent == Body.size() ? "0\r\n\r\n" : "");
}

// Sends the bytes in response to each request, but for reports, and closes the
// connection.
class OneResponseServer {
public:
  explicit OneResponseServer(std::string Bytes, bool Ends = false)
      : Server([this, Bytes, Ends](int Fd, int) {
          std::string request = readRequest(Fd);
          if (request.empty())
            return;
          if (request.starts_with("GET /api/report")) {
            sendText(Fd, httpResponse(400, "no report"));
            return;
          }
          ++Runs;
          if (Ends)
            Server.stopListening();
          sendText(Fd, Bytes);
        }) {}
  std::string address() const { return Server.address(); }
  int runs() const { return Runs.load(); }

private:
  std::atomic<int> Runs{0};
  ScriptServer Server;
};

void add(GatewayFixture &Gateway, const std::string &Id,
         const std::string &Address) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = Address;
  entry.Slots = 4;
  entry.Stage = ServerStage::Whole;
  Gateway.Directory.applyServer({Id, {0, ++Gateway.Revision}, entry},
                                UpdateOrigin::Store);
}

// Runs a request while its caller reads, and returns what the caller got.
std::string runReading(GatewayFixture &Gateway, const PathRoute &Route) {
  std::string received;
  std::atomic<bool> done{false};
  Gateway.WhileRunning = [&](SocketPair &Sockets) {
    timeval wait{0, 20000};
    ::setsockopt(Sockets.far(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    bool ended = false;
    while (!ended) {
      // The type of each histogram is rendered from the start.
      ended = Gateway.Counters.render().find("request_seconds_count") !=
              std::string::npos;
      char buf[65536];
      ssize_t n;
      while ((n = ::recv(Sockets.far(), buf, sizeof buf, 0)) > 0)
        received.append(buf, static_cast<size_t>(n));
    }
  };
  Gateway.run(Route);
  return received;
}

std::string bodyIn(const std::string &Response) {
  size_t at = Response.find("\r\n\r\n");
  return at == std::string::npos ? "" : Response.substr(at + 4);
}

// The content of a chunked body. Sets `Ended` if it has its last chunk.
std::string unchunked(std::string Text, bool &Ended) {
  std::string all;
  Ended = false;
  size_t line;
  while (!Ended && (line = Text.find("\r\n")) != std::string::npos) {
    size_t size = std::strtoul(Text.c_str(), nullptr, 16);
    Ended = size == 0;
    all += Text.substr(line + 2, size);
    Text.erase(0, std::min(Text.size(), line + 2 + size + 2));
  }
  return all;
}

// What the caller has of the body, and whether it looks complete.
std::string contentOf(const std::string &Response, Form Framing, bool &Ended) {
  if (Framing != Form::Length)
    return unchunked(bodyIn(Response), Ended);
  std::string body = bodyIn(Response);
  Ended =
      headerField(Response, "Content-Length") == std::to_string(body.size());
  return body;
}

} // namespace

TEST_CASE("A long plain response reaches its caller unchanged") {
  const std::string body = bodyOf(BodyBytes);
  for (Form framing : Forms) {
    CAPTURE(static_cast<int>(framing));
    OneResponseServer server(response(200, framing, body, body.size()));
    GatewayFixture gateway;
    add(gateway, "s1", server.address());
    std::string got =
        runReading(gateway, gateway.route(RouteKind::NonIdempotent));
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(headerField(got, "Server-Signature") == "sig");
    bool ended = false;
    CHECK((contentOf(got, framing, ended) == body));
    CHECK(ended);
  }
}

// A part would be taken for the whole.
TEST_CASE("A long plain response that breaks off looks incomplete") {
  const std::string body = bodyOf(BodyBytes);
  for (Form framing : Forms) {
    CAPTURE(static_cast<int>(framing));
    // Without an end of its own, a body is cut if its server's process ended.
    OneResponseServer server(response(200, framing, body, body.size() / 2),
                             /*Ends=*/framing == Form::UntilClose);
    GatewayFixture gateway;
    add(gateway, "s1", server.address());
    std::string got = runReading(gateway, gateway.route(RouteKind::Idempotent));
    CHECK(got.starts_with("HTTP/1.1 200"));
    bool ended = true;
    std::string content = contentOf(got, framing, ended);
    CHECK_FALSE(ended);
    CHECK((body.starts_with(content)));
    CHECK(server.runs() == 1);
  }
}

// Nothing of a failure may be passed on that another server's response
// replaces.
TEST_CASE("A long failure is replaced by the response of another server") {
  const std::string body = bodyOf(BodyBytes);
  for (const std::string &failure :
       {response(500, Form::Chunks, body, body.size()),
        std::string("HTTP/1.1 200 X\r\nContent-Length: 1048576\r\n\r\n") +
            body}) {
    OneResponseServer first(failure);
    FakeServer second(
        [](const std::string &, int) { return signedResponse(200, "bay 7"); });
    for (int i = 0; i < 4; ++i) {
      GatewayFixture gateway;
      add(gateway, "s1", first.address());
      add(gateway, "s2", second.address());
      std::string got =
          runReading(gateway, gateway.route(RouteKind::Idempotent));
      CAPTURE(got);
      CHECK(got.starts_with("HTTP/1.1 200"));
      CHECK(bodyIn(got) == "bay 7");
    }
    CHECK(first.runs() > 0);
  }
}

// The server would go on with work that nobody wants.
TEST_CASE("A caller that leaves within a long response ends its call") {
  std::atomic<bool> closed{false};
  ScriptServer server([&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: "
                 "a1\r\nContent-Length: 9000000000\r\n\r\n");
    const std::string part(ChunkBytes, 'x');
    while (::send(Fd, part.data(), part.size(), MSG_NOSIGNAL) > 0) {
    }
    closed = true;
  });
  GatewayFixture gateway;
  add(gateway, "s1", server.address());
  gateway.WhileRunning = [](SocketPair &Sockets) {
    std::string part(4 * BodyBytes, '\0');
    ::recv(Sockets.far(), part.data(), part.size(), MSG_WAITALL);
    Sockets.closeFar();
  };
  auto start = std::chrono::steady_clock::now();
  gateway.run(gateway.route(RouteKind::NonIdempotent));
  CHECK(std::chrono::steady_clock::now() - start < Milliseconds(2000));
  CHECK(eventually([&] { return closed.load(); }));
}
