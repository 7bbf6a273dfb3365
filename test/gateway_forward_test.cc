// Tests requests that an instance which reaches no server passes on, with the
// other instance in the same process or scripted.
#include "account_samples.h"
#include "gateway/forward_call.h"
#include "gateway/forward_service.h"
#include "gateway/member_exchange.h"
#include "gateway_fixture.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>
#include <utility>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

void sendFrameText(int Fd, const ForwardResponse &Frame) {
  std::vector<uint8_t> bytes = framed(encode(Frame));
  sendText(Fd, {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

ForwardResponse headFrame(const std::string &Data, bool IsStream) {
  ForwardResponse frame;
  ForwardResponse::Head head;
  head.Response.Status = 200;
  head.Response.HasLength = !IsStream;
  head.Response.Length = IsStream ? 0 : Data.size();
  head.Response.Fields = {{"Server-Signature", "sig"}};
  head.OutputVersion = 7;
  frame.ResponseHead = head;
  frame.Data = Data;
  return frame;
}

ForwardResponse endFrame(bool Complete) {
  ForwardResponse frame;
  frame.End = Complete;
  return frame;
}

ForwardResponse problemFrame(ErrorKind Kind, ExecutionState Run,
                             bool Elsewhere) {
  ForwardResponse frame;
  internal::Problem item = internal::makeProblem(Kind, "why", RequestId());
  item.Run = Run;
  frame.Failure = ForwardResponse::Problem{item, Elsewhere};
  return frame;
}

// Reads a frame as an instance does that gets a request.
std::optional<MemberFrame> readRequestFrame(int Fd) {
  std::string bytes;
  char c;
  while (bytes.size() < FramePrefixBytes && ::recv(Fd, &c, 1, 0) == 1)
    bytes.push_back(c);
  std::optional<size_t> size = frameSize(bytes);
  if (!size)
    return std::nullopt;
  std::vector<uint8_t> body(*size);
  if (::recv(Fd, body.data(), body.size(), MSG_WAITALL) !=
      static_cast<ssize_t>(body.size()))
    return std::nullopt;
  return decodeMemberFrame(body);
}

// Another instance with scripted responses.
class FakePeer {
public:
  using Responder = std::function<void(int Fd, const ForwardedRequest &)>;
  explicit FakePeer(std::string Name, Responder Reply)
      : Name(std::move(Name)), Server([this, Reply](int Fd, int) {
          std::optional<MemberFrame> frame = readRequestFrame(Fd);
          if (!frame || !frame->Forwarded)
            return;
          {
            std::lock_guard lock(Mutex);
            Seen.push_back(*frame->Forwarded);
          }
          Reply(Fd, *frame->Forwarded);
        }) {}
  Member member() const {
    Member item;
    item.Name = Name;
    item.Address = Server.address();
    return item;
  }
  std::vector<ForwardedRequest> seen() const {
    std::lock_guard lock(Mutex);
    return Seen;
  }

private:
  std::string Name;
  mutable std::mutex Mutex;
  std::vector<ForwardedRequest> Seen;
  ScriptServer Server;
};

// An instance whose servers all refuse connections, with these peers.
struct CutOffFixture : GatewayFixture {
  explicit CutOffFixture(std::vector<const FakePeer *> Peers) {
    Hooks.Select = [Peers](const std::string &) {
      std::vector<Member> all;
      for (const FakePeer *it : Peers)
        all.push_back(it->member());
      return all;
    };
    Hooks.OnRefused = [](const Member &, const std::string &) {};
    Hooks.ApplyRoutes = [this](const std::string &Text) { Routes = Text; };
    Hooks.OwnMember = [] {
      Member own;
      own.Name = "g1";
      return own;
    };
    Forwarding = &Hooks;
    for (const char *service : {"bays", "summaries"})
      for (int i = 0; i < 3; ++i) {
        ServerChoice server;
        server.Id = "gone-" + std::to_string(i);
        server.Service = service;
        Connections.reachability().onCall(server, CallEvidence::Failed,
                                          std::chrono::steady_clock::now());
      }
  }
  ForwardingHooks Hooks;
  std::string Routes;
};

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

std::string events(int From, int To) {
  std::string text;
  for (int i = From; i <= To; ++i)
    text += event(i);
  return text;
}

// The body of a response in chunks, without their framing.
std::string unchunked(const std::string &Response) {
  std::string body;
  size_t at = Response.find("\r\n\r\n");
  for (at += 4; at < Response.size();) {
    size_t end = Response.find("\r\n", at);
    if (end == std::string::npos)
      break;
    size_t size = std::strtoul(Response.c_str() + at, nullptr, 16);
    body += Response.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
  return body;
}

// What an instance sends that passes on events 1 to 3, in several frames.
std::string threeEventFrames() {
  std::string text;
  std::string all = event(2) + event(3);
  ForwardResponse rest;
  for (const ForwardResponse &it :
       {headFrame(event(1), true),
        [&] {
          rest.Data = all.substr(0, all.size() - 9); // inside event 3
          return rest;
        }(),
        [&] {
          rest.Data = all.substr(all.size() - 9);
          return rest;
        }(),
        endFrame(true)}) {
    std::vector<uint8_t> bytes = framed(encode(it));
    text.append(bytes.begin(), bytes.end());
  }
  return text;
}

// Goes on with the stream up to event 4.
void goOnToFour(int Fd, const ForwardedRequest &Request) {
  int last = std::atoi(Request.Request.LastEventId.c_str());
  sendFrameText(Fd, headFrame(events(last + 1, 4), true));
  sendFrameText(Fd, endFrame(true));
}

// Selects the first peer for the first run, and the second one from then on.
auto selectInTurn(const FakePeer &First, const FakePeer &Second) {
  return [&First, &Second, n = 0](const std::string &) mutable {
    return std::vector{n++ == 0 ? First.member() : Second.member()};
  };
}

// An instance that handles requests of others at its server of that version.
struct HandlingInstance : GatewayFixture {
  HandlingInstance(const FakeServer &Server, const std::string &Version) {
    addServer("d-" + Version, Server, ServerStage::Decode, Version);
  }
  void handle(int Fd, const ForwardedRequest &Request, const PathRoute &Route) {
    ForwardSink sink(Fd);
    ForwardedOrigin hooks{Request, {}, {}, {}, {}};
    hooks.OnProblem = [&](const internal::Problem &Item) {
      sink.sendProblem(Item, /*Elsewhere=*/false);
    };
    hooks.OnOutputVersion = [&](VersionKey Version,
                                std::optional<ServerProcess> Server) {
      sink.setOutputVersion(Version, std::move(Server));
    };
    hooks.OnVersionUncertain = [&] { sink.setVersionUncertain(); };
    hooks.OnServerLeaving = [](const ServerProcess &) {};
    GatewayContext context{Codec,    Directory,  Limits,  Connections,
                           Queues,   Crashes,    Origins, Quotas,
                           Counters, Forwarding, Access,  Dispatch};
    RequestHandler(context, Document, Route, Request.Request, sink,
                   std::chrono::steady_clock::now(), &hooks)
        .run();
  }
};

PathRoute resumable(const GatewayFixture &Setup) {
  PathRoute route = Setup.route(RouteKind::Stream);
  route.Resumable = true;
  return route;
}

} // namespace

TEST_CASE("A plain request is passed on and its response returned whole") {
  FakePeer peer("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame("ans", false));
    ForwardResponse rest;
    rest.Data = "wer";
    sendFrameText(Fd, rest);
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&peer});
  std::string response = setup.run(setup.route(RouteKind::NonIdempotent));
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(contains(response, "Server-Signature: sig"));
  CHECK(response.ends_with("\r\n\r\nanswer"));
  REQUIRE(peer.seen().size() == 1);
  CHECK(peer.seen()[0].Request.Body == "body");
  CHECK(peer.seen()[0].Request.Target == "/x/y");
  CHECK(peer.seen()[0].Service == "bays");
}

// The first instance kept up to 16 MiB of each.
TEST_CASE("A long response of another instance is passed on as it comes") {
  const std::string part(65536, 'x');
  constexpr size_t Parts = 8;
  for (bool complete : {true, false}) {
    CAPTURE(complete);
    FakePeer peer("g2", [&](int Fd, const ForwardedRequest &) {
      ForwardResponse first = headFrame(part, /*IsStream=*/false);
      first.ResponseHead->Response.Length = Parts * part.size();
      sendFrameText(Fd, first);
      for (size_t i = 1; i < (complete ? Parts : Parts - 1); ++i) {
        ForwardResponse frame;
        frame.Data = part;
        sendFrameText(Fd, frame);
      }
      sendFrameText(Fd, endFrame(complete));
    });
    CutOffFixture gateway({&peer});
    std::string got = gateway.run(gateway.route(RouteKind::NonIdempotent));
    size_t body = got.size() - got.find("\r\n\r\n") - 4;
    CHECK(got.starts_with("HTTP/1.1 200"));
    CHECK(headerField(got, "Content-Length") ==
          std::to_string(Parts * part.size()));
    CHECK(body == (complete ? Parts : Parts - 1) * part.size());
    CHECK(contains(gateway.Counters.render(),
                   complete ? "\"answered\"" : "\"broken\""));
  }
}

// The other instance may have sent it to a server.
TEST_CASE("A non-idempotent request isn't passed on twice") {
  FakePeer broken("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame("ans", false));
  });
  FakePeer other("g3", [](int, const ForwardedRequest &) {});
  CutOffFixture setup({&broken, &other});
  std::string response = setup.run(setup.route(RouteKind::NonIdempotent));
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(other.seen().empty());
}

TEST_CASE("A request goes to another instance if one refuses to handle it") {
  FakePeer full("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, problemFrame(ErrorKind::BackendUnreachable,
                                   ExecutionState::No, true));
  });
  FakePeer other("g3", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame("answer", false));
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&full, &other});
  CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
            .starts_with("HTTP/1.1 200"));
}

// Of eight instances five were cut off at once. A request that met three of
// them first was tried at servers that don't respond, and refused.
TEST_CASE("Instances that refuse at once don't use up the tries of a request") {
  FakePeer cutOff("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, problemFrame(ErrorKind::BackendUnreachable,
                                   ExecutionState::No, true));
  });
  FakePeer other("g3", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame("answer", false));
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&cutOff, &cutOff, &cutOff, &cutOff, &other});
  CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
            .starts_with("HTTP/1.1 200"));
  CHECK(cutOff.seen().size() == 4);
}

// In a large fleet a request must not ask all others.
TEST_CASE("A request asks a bounded number of instances that refuse") {
  FakePeer cutOff("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, problemFrame(ErrorKind::BackendUnreachable,
                                   ExecutionState::No, true));
  });
  CutOffFixture setup(std::vector<const FakePeer *>(40, &cutOff));
  CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
            .starts_with("HTTP/1.1 503"));
  CHECK(cutOff.seen().size() <= 16);
}

TEST_CASE("A refusal by the other instance is the caller's") {
  for (ExecutionState run : {ExecutionState::No, ExecutionState::Unknown}) {
    FakePeer peer("g2", [run](int Fd, const ForwardedRequest &) {
      sendFrameText(Fd, problemFrame(run == ExecutionState::No
                                         ? ErrorKind::DeadlineUnreachable
                                         : ErrorKind::BackendFailed,
                                     run, false));
    });
    CutOffFixture setup({&peer});
    std::string response = setup.run(setup.route(RouteKind::NonIdempotent));
    bool refused = run == ExecutionState::No;
    CHECK(response.starts_with(refused ? "HTTP/1.1 503" : "HTTP/1.1 502"));
    CHECK(
        contains(response, refused ? "\"run\":\"no\"" : "\"run\":\"unknown\""));
  }
}

TEST_CASE("Without an instance that takes it a request is tried directly") {
  CutOffFixture setup({});
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "x"); });
  setup.addServer("s1", server);
  CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
            .starts_with("HTTP/1.1 200"));
}

// Instances of older builds end a stream as complete that their server ended
// inside an event.
TEST_CASE("A stream that another instance ends inside an event goes on") {
  FakePeer older("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(1) + "id: 2\nda", true));
    sendFrameText(Fd, endFrame(true));
  });
  FakePeer other("g3", [](int Fd, const ForwardedRequest &Request) {
    CHECK(Request.Request.LastEventId == "1");
    sendFrameText(Fd, headFrame(event(2), true));
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&older, &other});
  int selections = 0;
  setup.Hooks.Select = [&](const std::string &) {
    return std::vector{selections++ == 0 ? older.member() : other.member()};
  };
  std::string response = setup.run(resumable(setup));
  CHECK(contains(response, event(2)));
  CHECK(response.ends_with("\r\n0\r\n\r\n"));
}

// An instance of an older build passes on what its server answered.
TEST_CASE("Another instance's part of a stream has to continue it") {
  FakePeer broken("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(1) + event(2), true));
  });
  bool typed = false;
  FakePeer older("g3", [&](int Fd, const ForwardedRequest &) {
    ForwardResponse frame = headFrame(event(typed ? 3 : 1), true);
    if (typed)
      frame.ResponseHead->Response.Fields.emplace_back("Content-Type",
                                                       "application/json");
    sendFrameText(Fd, frame);
    sendFrameText(Fd, endFrame(true));
  });
  for (bool isTyped : {false, true}) {
    CAPTURE(isTyped);
    typed = isTyped;
    CutOffFixture setup({});
    int selections = 0;
    setup.Hooks.Select = [&](const std::string &) {
      return std::vector{selections++ == 0 ? broken.member() : older.member()};
    };
    std::string response = setup.run(resumable(setup));
    CHECK(contains(response, event(1) + event(2)));
    CHECK(response.find(event(1)) == response.rfind(event(1)));
    CHECK_FALSE(contains(response, event(3)));
    CHECK_FALSE(response.ends_with("\r\n0\r\n\r\n"));
  }
}

// The other instance is killed in the middle of the stream.
TEST_CASE("A stream goes on at another instance after the last whole event") {
  FakePeer broken("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(1) + event(2) + "id: 3\nda", true));
  });
  FakePeer other("g3", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(3), true));
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&broken, &other});
  int selections = 0;
  setup.Hooks.Select = [&](const std::string &) {
    return std::vector{selections++ == 0 ? broken.member() : other.member()};
  };
  std::string response = setup.run(resumable(setup));
  CHECK(contains(response, "id: 2\n"));
  CHECK(contains(response, "id: 3\ndata: x"));
  CHECK_FALSE(contains(response, "id: 3\nda\r"));
  CHECK(response.ends_with("0\r\n\r\n"));
  REQUIRE(other.seen().size() == 1);
  CHECK(other.seen()[0].Request.LastEventId == "2");
  CHECK(other.seen()[0].StreamVersion == VersionKey(7));
  CHECK(other.seen()[0].MayHaveExecuted);
}

// Its server was replaced meanwhile, and the relaying instance went on with the
// version that the first head had stated.
TEST_CASE("A stream of an uncertain version isn't continued by its relay") {
  bool ownServers = false;
  FakePeer uncertain("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(1), true));
    ForwardResponse frame;
    frame.Data = event(2);
    frame.VersionUncertain = true;
    sendFrameText(Fd, frame);
    sendFrameText(Fd, endFrame(false));
  });
  FakePeer other("g3", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(3), true));
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&uncertain, &other});
  FakeServer own([](const std::string &Request, int) {
    return modelServerResponse(Request);
  });
  SUBCASE("at another instance") {}
  SUBCASE("at a server") { ownServers = true; }
  int selections = 0;
  setup.Hooks.Select = [&](const std::string &) {
    std::vector<Member> all;
    if (selections++ == 0)
      all.push_back(uncertain.member());
    else if (!ownServers)
      all.push_back(other.member());
    return all;
  };
  if (ownServers)
    setup.addServer("d1", own, ServerStage::Decode);
  std::string response = setup.run(resumable(setup));
  CHECK(contains(response, "id: 2\n"));
  CHECK_FALSE(contains(response, "id: 3\n"));
  CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  CHECK(other.seen().empty());
  CHECK(own.count("POST /x/y") == 0);
  CallerRequest request = setup.request();
  CHECK(setup.Origins.find(streamKeyOf(request.Host, request.Target,
                                       request.Id)) == VersionKey(0));
}

TEST_CASE("A stream that isn't resumable ends incomplete with its instance") {
  FakePeer broken("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(1), true));
    sendFrameText(Fd, endFrame(false));
  });
  CutOffFixture setup({&broken});
  std::string response = setup.run(setup.route(RouteKind::Stream));
  CHECK(contains(response, "id: 1\n"));
  CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  CHECK(broken.seen().size() == 1);
}

TEST_CASE("A caller that leaves closes the connection to the other instance") {
  std::atomic<bool> closed{false};
  FakePeer peer("g2", [&](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(event(1), true));
    char c;
    closed = ::recv(Fd, &c, 1, 0) == 0;
  });
  CutOffFixture setup({&peer});
  setup.WhileRunning = [](SocketPair &Sockets) {
    char buf[4096];
    ::recv(Sockets.far(), buf, sizeof buf, 0);
    Sockets.closeFar();
  };
  setup.run(resumable(setup));
  // The peer's thread notes it after the request has ended here.
  CHECK(eventually([&] { return closed.load(); }));
}

TEST_CASE("Newer routes of the other instance are taken over") {
  FakePeer peer("g2", [](int Fd, const ForwardedRequest &) {
    ForwardResponse frame = headFrame("answer", false);
    frame.ConfigVersion = 9;
    frame.RoutesText = "{routes}";
    sendFrameText(Fd, frame);
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&peer});
  setup.run(setup.route(RouteKind::NonIdempotent));
  CHECK(setup.Routes == "{routes}");
}

// Guards against a key that is sent to another instance, and a request that
// loses its account there.
TEST_CASE("A request is passed on with its account and without its key") {
  FakePeer peer("g2", [](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame("answer", false));
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({&peer});
  AccessControl control(setup.Codec, AccessPolicy(),
                        [] { return std::optional(Milliseconds(0)); });
  setup.Access = &control;
  setup.Document->Accounts = AccountTable({test::accountOf("stores", {"k-1"})});
  setup.Directory.applyRoutes(setup.Document, {0, 1});
  CallerRequest request = setup.request();
  request.Forwarded.emplace_back("Authorization", "Bearer k-1");
  request.Forwarded.emplace_back("Tenant", "forged");
  PathRoute route = setup.route(RouteKind::NonIdempotent);
  REQUIRE(control.check(request, *setup.Document, route) ==
          AccessVerdict::Granted);
  CHECK(setup.run(route, request).starts_with("HTTP/1.1 200"));
  REQUIRE(peer.seen().size() == 1);
  const CallerRequest seen = peer.seen()[0].Request;
  CHECK(seen.Account == "stores");
  CHECK(seen.Key.empty());
  CHECK(seen.KeyDigest == internal::sha256("k-1"));
  CHECK(seen.Forwarded == setup.request().Forwarded);
}

// A stranger may write anything to the peers' port.
TEST_CASE("Frames of forwarded requests survive truncated and changed bytes") {
  MemberFrame frame;
  frame.Sender.Name = "g1";
  ForwardedRequest request;
  request.Request = GatewayFixture().request();
  request.Service = "bays";
  request.UsedServers = {"s1"};
  request.StreamVersion = 5;
  request.Request.Account = "stores";
  request.Request.KeyDigest = internal::sha256("k-1");
  frame.Forwarded = request;
  std::vector<uint8_t> bytes = encode(frame);
  std::optional<MemberFrame> back = decodeMemberFrame(bytes);
  REQUIRE((back && back->Forwarded));
  CHECK(back->Forwarded->Request.Body == "body");
  CHECK(back->Forwarded->Request.Generation->PromptTokens == 5000);
  CHECK(back->Forwarded->UsedServers == request.UsedServers);
  CHECK(back->Forwarded->StreamVersion == VersionKey(5));
  std::vector<uint8_t> response = encode(headFrame("answer", false));
  for (size_t n = 0; n < bytes.size(); ++n) {
    decodeMemberFrame({bytes.data(), n});
    std::vector<uint8_t> changed = bytes;
    changed[n] ^= 0xff;
    decodeMemberFrame(changed);
  }
  for (size_t n = 0; n < response.size(); ++n) {
    std::vector<uint8_t> changed = response;
    changed[n] ^= 0xff;
    decodeForwardResponse(changed);
    decodeForwardResponse({response.data(), n});
  }
}

// The other instance is killed, or the link to it is cut, at any byte: inside a
// frame, inside an event, or between them.
TEST_CASE("Another instance's stream that is cut at any byte is joined once") {
  const std::string frames = threeEventFrames();
  std::atomic<size_t> cut{0};
  std::atomic<bool> reset{false};
  FakePeer broken("g2", [&](int Fd, const ForwardedRequest &) {
    sendText(Fd, frames.substr(0, cut));
    if (reset)
      resetOnClose(Fd);
  });
  FakePeer other("g3", goOnToFour);
  CutOffFixture setup({});
  for (size_t n = 0; n < frames.size(); ++n) {
    CAPTURE(n);
    cut = n;
    reset = n % 2 == 1;
    setup.Hooks.Select = selectInTurn(broken, other);
    std::string response = setup.run(resumable(setup));
    CHECK(unchunked(response) == events(1, 4));
    CHECK(response.ends_with("\r\n0\r\n\r\n"));
  }
}

TEST_CASE("Another instance's stream over a slow link is passed on whole") {
  FakePeer slow("g2", [](int Fd, const ForwardedRequest &) {
    for (char it : threeEventFrames()) {
      sendText(Fd, {&it, 1});
      std::this_thread::sleep_for(Milliseconds(1));
    }
  });
  CutOffFixture setup({&slow});
  std::string response = setup.run(resumable(setup));
  CHECK(unchunked(response) == events(1, 3));
  CHECK(response.ends_with("\r\n0\r\n\r\n"));
  CHECK(slow.seen().size() == 1);
}

// The other instance is frozen in the middle of a stream and goes on after its
// run was left.
TEST_CASE("Another instance's late events of a left run are dropped") {
  std::atomic<bool> sentLate{false};
  FakePeer frozen("g2", [&](int Fd, const ForwardedRequest &) {
    sendFrameText(Fd, headFrame(events(1, 2), true));
    std::this_thread::sleep_for(Milliseconds(3300)); // beyond 3 s of silence
    ForwardResponse late;
    late.Data = events(3, 4);
    sendFrameText(Fd, late);
    sendFrameText(Fd, endFrame(true));
    sentLate = true;
  });
  FakePeer other("g3", [&](int Fd, const ForwardedRequest &Request) {
    CHECK(Request.Request.LastEventId == "2");
    sendFrameText(Fd, headFrame(event(3), true));
    CHECK(eventually([&] { return sentLate.load(); }));
    ForwardResponse rest;
    rest.Data = event(4);
    sendFrameText(Fd, rest);
    sendFrameText(Fd, endFrame(true));
  });
  CutOffFixture setup({});
  setup.Hooks.Select = selectInTurn(frozen, other);
  std::string response = setup.run(resumable(setup));
  CHECK(unchunked(response) == events(1, 4));
  CHECK(response.ends_with("\r\n0\r\n\r\n"));
}

// The server of the other instance's run is replaced by a process of another
// version meanwhile: what a third instance sent could be of another version
// than the events so far.
TEST_CASE("Nothing follows another instance's stream of uncertain version") {
  size_t uncertainFrom = 0; // number of the first frame that says so
  bool ends = false;        // with an end frame, or with the connection
  for (size_t n = 0; n < 5; ++n) {
    CAPTURE(n);
    uncertainFrom = n % 3;
    ends = n < 3;
    FakePeer first("g2", [&](int Fd, const ForwardedRequest &) {
      ForwardResponse frames[] = {
          headFrame(event(1), true), {}, endFrame(false)};
      frames[1].Data = event(2) + "id: 3\nda";
      for (size_t i = 0; i < (ends ? 3 : 2); ++i) {
        frames[i].VersionUncertain = i >= uncertainFrom;
        sendFrameText(Fd, frames[i]);
      }
    });
    FakePeer other("g3", goOnToFour);
    CutOffFixture setup({});
    setup.Hooks.Select = selectInTurn(first, other);
    CallerRequest request = setup.request();
    std::string response = setup.run(resumable(setup), request);
    CHECK(unchunked(response) == events(1, 2));
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    // Neither does anything when its caller takes the stream up.
    request.ResumedRequestId = std::exchange(request.Id, "a-late");
    request.LastEventId = "2";
    CHECK(setup.run(resumable(setup), request).starts_with("HTTP/1.1 503"));
    CHECK(other.seen().empty());
  }
}

// An instance that handled the request recorded its server's version and was
// killed before an event; the next one ran it at another version. Its caller's
// stream went on at the first one where only that record had arrived.
TEST_CASE("Only what reaches the caller's instance is recorded") {
  std::atomic<int> link{-1};
  auto serve = [&](bool CutsLink) {
    return [&, CutsLink](const std::string &Request, int) {
      if (!Request.starts_with("POST /x/y"))
        return modelServerResponse(Request);
      if (CutsLink)
        ::shutdown(link, SHUT_RDWR);
      return "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n"
             "Content-Type: text/event-stream\r\nContent-Length: " +
             std::to_string(events(1, 3).size()) + "\r\n\r\n" + events(1, 3);
    };
  };
  FakeServer former(serve(true)), newer(serve(false));
  HandlingInstance first(former, "v1"), second(newer, "v2");
  CutOffFixture setup({});
  PathRoute route = resumable(setup);
  FakePeer killed("g2", [&](int Fd, const ForwardedRequest &Request) {
    link = Fd;
    first.handle(Fd, Request, route);
  });
  bool isOlder = false; // the caller's instance is of an older build
  FakePeer other("g3", [&](int Fd, ForwardedRequest Request) {
    Request.SenderRecordsVersion = !isOlder;
    second.handle(Fd, Request, route);
  });
  SUBCASE("by that instance") {}
  SUBCASE("or, where that is of an older build, by the one with the server") {
    isOlder = true;
  }
  setup.Hooks.Select = selectInTurn(killed, other);
  CallerRequest request = setup.request();
  StreamKey stream = streamKeyOf(request.Host, request.Target, request.Id);
  CHECK(unchunked(setup.run(route, request)) == events(1, 3));
  CHECK(killed.seen().size() == 1);
  CHECK(former.count("POST /x/y") == 1);
  CHECK(first.Origins.counters().Records == 0);
  CHECK((isOlder ? second.Origins : setup.Origins).find(stream) ==
        versionKeyOf("v2"));
  CHECK((isOlder ? setup.Origins : second.Origins).counters().Records == 0);
}
