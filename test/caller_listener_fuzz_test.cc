// Seeded test of the listener for callers with requests that must not reach an
// engine.
#include "process_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Poco::Net::StreamSocket;
using Random = std::mt19937_64;

constexpr uint64_t Seed = 20261203;
constexpr int Rounds = 40; // of each kind of input

const std::string Body = R"({"model":"summary","prompt":"p","max_tokens":1})";
const std::string Auth = "Authorization: Bearer drivers-token\r\n";

// A request that would be executed if its framing were valid.
std::string withHead(const std::string &Line, const std::string &Fields,
                     const std::string &Content = Body) {
  return Line + "\r\nHost: h\r\n" + Auth +
         "Content-Type: application/json\r\n" + Fields + "\r\n" + Content;
}

const std::string Post = "POST /v1/completions HTTP/1.1";

std::string lengthField(size_t Length) {
  return "Content-Length: " + std::to_string(Length) + "\r\n";
}

template <typename T> const T &pick(Random &Rng, const std::vector<T> &From) {
  return From[Rng() % From.size()];
}

std::string randomBytes(Random &Rng, size_t Count) {
  std::string text;
  for (size_t i = 0; i < Count; ++i)
    text += static_cast<char>(Rng() % 256);
  return text;
}

std::string noise(Random &Rng) {
  // The first byte can't be part of a method.
  return "\x01" + randomBytes(Rng, 1 + Rng() % 2000) + "\r\n\r\n";
}

std::string wrongRequestLine(Random &Rng) {
  static const std::vector<std::string> Lines = {
      "POST /v1/completions",
      "POST /v1/completions HTTP/3.9",
      "POST /v1/completions http/1.1",
      "POST  /v1/completions HTTP/1.1 x",
      "POST v1/completions HTTP/1.1",
      "PO(ST /v1/completions HTTP/1.1",
      "/v1/completions HTTP/1.1",
      "GET /v1/completions HTTP/1.1",
      "POST /v1/completions/../../x HTTP/1.1",
      std::string("POST /v1/compl\0etions HTTP/1.1", 31),
      "POST /nothing HTTP/1.1"};
  return withHead(pick(Rng, Lines), lengthField(Body.size()));
}

std::string wrongField(Random &Rng) {
  static const std::vector<std::string> Fields = {
      "no colon here\r\n",  "Name : space\r\n",
      ": empty\r\n",        std::string("Nul: a\0b\r\n", 10),
      "Bad\x02Name: v\r\n", "(x): v\r\n"};
  return withHead(Post, lengthField(Body.size()) + pick(Rng, Fields));
}

std::string hugeHead(Random &Rng) {
  std::string fields;
  switch (Rng() % 3) {
  case 0: // too many fields
    for (uint64_t i = 0; i < 65 + Rng() % 2000; ++i)
      fields += "X-" + std::to_string(i) + ": v\r\n";
    break;
  case 1: // too long a line
    fields = "X-Long: " + std::string(32768 + Rng() % 300000, 'x') + "\r\n";
    break;
  default: // too large in total
    for (int i = 0; i < 60; ++i)
      fields +=
          "X-" + std::to_string(i) + ": " + std::string(8000, 'y') + "\r\n";
  }
  return withHead(Post, fields + lengthField(Body.size()));
}

std::string wrongLength(Random &Rng) {
  std::string right = lengthField(Body.size());
  const std::vector<std::string> fields = {
      "Content-Length: -1\r\n",
      "Content-Length: 99999999999999999999999\r\n",
      "Content-Length: 0x10\r\n",
      "Content-Length: 12, 13\r\n",
      "Content-Length: \r\n",
      "Content-Length: +47\r\n",
      right + lengthField(Body.size() + 1),
      right + "Transfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      lengthField(Body.size() + 1 + Rng() % 1000), // the end comes first
      lengthField(Body.size() - 1 - Rng() % 20),   // the rest isn't a request
      lengthField(2097152 + Rng() % 1000000)};
  return withHead(Post, pick(Rng, fields));
}

std::string wrongChunks(Random &Rng) {
  static const std::vector<std::string> Chunks = {
      "zz\r\n" + Body + "\r\n0\r\n\r\n",
      "-5\r\n" + Body + "\r\n0\r\n\r\n",
      "ffffffffffffffffffff\r\n" + Body,
      "7fffffff\r\n" + Body,
      "5\r\n" + Body + "\r\n0\r\n\r\n", // data longer than the chunk size
      "\r\n" + Body + "\r\n0\r\n\r\n",
      "2f;" + std::string(20000, 'e') + "\r\n" + Body + "\r\n0\r\n\r\n",
      "2f\r\n" + Body, // no last chunk
      "2f\r\n" + Body.substr(0, 10)};
  return withHead(Post, "Transfer-Encoding: chunked\r\n", pick(Rng, Chunks));
}

// Cut off anywhere before its end.
std::string truncated(Random &Rng) {
  std::string whole = withHead(Post, lengthField(Body.size()));
  return whole.substr(0, 1 + Rng() % (whole.size() - 1));
}

// Any change of bytes must be rejected, because the token is unknown.
std::string flipped(Random &Rng) {
  std::string text = withHead(Post, lengthField(Body.size()));
  text.replace(text.find("drivers-token"), 13, "another-token");
  for (uint64_t i = 0; i < 1 + Rng() % 8; ++i)
    text[Rng() % text.size()] = static_cast<char>(Rng() % 256);
  return text;
}

std::string pipelined(Random &Rng) {
  // After a rejection that leaves the framing intact, the next request is read.
  std::string first = withHead("POST /nothing HTTP/1.1", "", "");
  std::string second = Rng() % 2 ? wrongLength(Rng) : wrongField(Rng);
  return first + first + second + noise(Rng);
}

// Returns everything that the router sends until it closes or resets the
// connection.
std::string exchange(const std::string &Address, const std::string &Text,
                     size_t PieceBytes, bool Finish) {
  StreamSocket socket{Poco::Net::SocketAddress(Address)};
  socket.setReceiveTimeout(Poco::Timespan(30, 0));
  std::string response;
  try {
    for (size_t at = 0; at < Text.size(); at += PieceBytes)
      socket.sendBytes(Text.data() + at, static_cast<int>(std::min(
                                             PieceBytes, Text.size() - at)));
    if (Finish)
      socket.shutdownSend();
  } catch (const Poco::Exception &) {
    // The router may close before it has read everything.
  }
  try {
    char buf[4096];
    for (int n = 1; (n = socket.receiveBytes(buf, sizeof buf)) > 0;)
      response.append(buf, static_cast<size_t>(n));
  } catch (const Poco::TimeoutException &) {
    return "not closed within 30 s: " + response;
  } catch (const Poco::Exception &) {
  }
  return response;
}

// Status codes of the responses in a text; each body is one line of JSON.
std::vector<std::string> statuses(const std::string &Response) {
  std::vector<std::string> found;
  for (size_t at = Response.find("HTTP/1.1 "); at != std::string::npos;
       at = Response.find("HTTP/1.1 ", at + 1))
    found.push_back(Response.substr(at + 9, 3));
  return found;
}

bool rejectedOrClosed(const std::string &Response) {
  std::vector<std::string> all = statuses(Response);
  if (all.empty())
    return Response.empty();
  for (const std::string &it : all)
    if (it[0] != '4')
      return false;
  return true;
}

std::string escaped(const std::string &Text) {
  std::ostringstream out;
  for (char it : Text.substr(0, 400))
    if (it >= ' ' && it <= '~')
      out << it;
    else
      out << "\\x" << std::hex << (static_cast<unsigned>(it) & 0xff);
  return out.str();
}

void checkNothingRan(ProcessFixture &Fleet) {
  CHECK(Fleet.countRuns("", "") == 0);
  // Guards against a listener that rejects everything.
  HttpResponse good = send(Fleet.completion(0, "p", 1, false));
  CHECK_MESSAGE(good.Status == 200, good.Body);
  // The engine records the end of a run after its last event.
  CHECK(eventually([&] { return Fleet.countRuns("decode", "done") == 1; },
                   Milliseconds(20000)));
  CHECK(Fleet.countRuns("decode", "") == 1);
  CHECK(send({Fleet.router(0).OperatorAddress, "GET", "/healthz", "", {}})
            .Status == 200);
}

} // namespace

// Guards against malformed requests that are executed, crash the process or
// hang a connection. The message of a failure contains its seed and input.
TEST_CASE("CallerListener rejects malformed requests over raw sockets") {
  FleetOptions options;
  options.Routers = 1;
  ProcessFixture fleet(options);
  const std::string address = fleet.router(0).CallerAddress;
  using Generator = std::string (*)(Random &);
  const std::vector<std::pair<const char *, Generator>> generators = {
      {"noise", noise},         {"request line", wrongRequestLine},
      {"field", wrongField},    {"huge head", hugeHead},
      {"length", wrongLength},  {"chunks", wrongChunks},
      {"truncated", truncated}, {"flipped", flipped},
      {"pipelined", pipelined}};
  Random random(Seed);
  for (const auto &it : generators)
    for (int i = 0; i < Rounds; ++i) {
      std::string text = it.second(random);
      size_t piece = random() % 4 ? text.size() : 1 + random() % 40;
      std::string response = exchange(address, text, piece, true);
      CHECK_MESSAGE(rejectedOrClosed(response),
                    "seed " << Seed << ", " << it.first << " " << i << ": "
                            << escaped(text) << "\ngave " << escaped(response));
    }
  checkNothingRan(fleet);
}

// Guards against callers that hold connections forever by not completing a
// request.
TEST_CASE("CallerListener closes connections that stall within a request") {
  FleetOptions options;
  options.Routers = 1;
  options.CallerIdleTimeout = Milliseconds(300);
  ProcessFixture fleet(options);
  std::string whole = withHead(Post, lengthField(Body.size()));
  Random random(Seed);
  for (int i = 0; i < 6; ++i) {
    std::string text = whole.substr(0, 1 + random() % (whole.size() - 1));
    std::string response =
        exchange(fleet.router(0).CallerAddress, text, text.size(), false);
    CHECK_MESSAGE(rejectedOrClosed(response),
                  "seed " << Seed << ": " << escaped(text) << "\ngave "
                          << escaped(response));
  }
  checkNothingRan(fleet);
}
