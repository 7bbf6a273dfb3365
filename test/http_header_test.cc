#include "http_header.h"

#include <doctest/doctest.h>

using namespace crocusspur::internal;

namespace {

HeadParseStatus parseStatusOf(const std::string &Text) {
  HttpHead head;
  return parseRequestHead(Text, 4, head);
}

// Decodes the body in pieces of the given size and returns the content, "bad"
// or "incomplete".
std::string decoded(const BodyFraming &Framing, const std::string &Text,
                    size_t PieceSize) {
  BodyDecoder decoder;
  decoder.reset(Framing);
  std::string out;
  for (size_t i = 0; i < Text.size(); i += PieceSize) {
    std::string piece = Text.substr(i, PieceSize);
    std::string_view input(piece);
    if (!decoder.feed(input, out))
      return "bad";
  }
  return decoder.complete() ? out : "incomplete";
}

} // namespace

TEST_CASE("A request head is parsed into method, target and case-insensitive "
          "fields") {
  HttpHead head;
  REQUIRE(
      parseRequestHead("POST /a?b=c HTTP/1.1\r\nHost: x\r\nX-Y:  v \r\n\r\n", 4,
                       head) == HeadParseStatus::Ok);
  CHECK(head.Method == "POST");
  CHECK(head.Target == "/a?b=c");
  REQUIRE(head.find("x-y"));
  CHECK(*head.find("x-y") == "v");
  CHECK(head.wantsKeepAlive());
}

TEST_CASE("Malformed request heads are distinguished from those over a limit") {
  // Guards against a head that another parser would read differently.
  for (const char *it :
       {"GET / HTTP/2.0\r\n\r\n", "GET  HTTP/1.1\r\n\r\n", "\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n", "G@T / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nA : b\r\n\r\n", "GET / HTTP/1.1\r\nA\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\x01\r\n\r\n",
        "GET / HTTP/1.1\nA: b\n\n\r\n\r\n"})
    CHECK_MESSAGE(parseStatusOf(it) == HeadParseStatus::Malformed, it);
  CHECK(parseStatusOf(
            "GET / HTTP/1.1\r\nA: 1\r\nB: 2\r\nC: 3\r\nD: 4\r\nE: 5\r\n\r\n") ==
        HeadParseStatus::TooLarge);
}

// Such targets, which a server must accept, were refused.
TEST_CASE("The host of a target in absolute form replaces the Host field") {
  struct Sample {
    std::string Target;
    std::string Host;
    std::string OriginForm;
  };
  for (const Sample &it :
       {Sample{"http://a.example/t/x?y=/z", "a.example", "/t/x?y=/z"},
        Sample{"HTTP://a.example:8080//t//", "a.example:8080", "//t//"},
        Sample{"http://a.example", "a.example", "/"},
        Sample{"http://a.example?q", "a.example", "/?q"},
        Sample{"http://[::1]:80/", "[::1]:80", "/"}}) {
    CAPTURE(it.Target);
    HttpHead head;
    REQUIRE(parseRequestHead("GET " + it.Target +
                                 " HTTP/1.1\r\nA: b\r\nhost: other\r\n\r\n",
                             4, head) == HeadParseStatus::Ok);
    CHECK(head.Target == it.OriginForm);
    REQUIRE(head.count("Host") == 1);
    CHECK(*head.find("Host") == it.Host);
    CHECK(head.count("A") == 1);
  }
}

// It was routed by the first one, while the server, which got both, might have
// used the other.
TEST_CASE("A request with two Host fields is rejected") {
  for (const std::string it : {"/x", "http://h/x"})
    CHECK_MESSAGE(parseStatusOf("GET " + it +
                                " HTTP/1.1\r\nHost: h\r\nhost: g\r\n\r\n") ==
                      HeadParseStatus::Malformed,
                  it);
}

TEST_CASE("A target in absolute form without one plain host is rejected") {
  // Guards against a host that another parser would read differently.
  for (const std::string it :
       {"http://",        "http:///x",    "http://?x",       "http:/x",
        "http:x",         "ftp://h/",     "https://h/",      "http://user@h/",
        "http://h:80@g/", "http://h#/x",  "http://h\\@g/x",  "http://h:/x",
        "http://h:8x/",   "http://:80/",  "http://h:99999/", "http://h:80:81/",
        "http://%68/",    "http://[::1/", "http://[]/",      "http://[::1]x/",
        "http://h,g/",    "http://h g/"})
    CHECK_MESSAGE(parseStatusOf("GET " + it + " HTTP/1.1\r\n\r\n") ==
                      HeadParseStatus::Malformed,
                  it);
  CHECK(parseStatusOf("OPTIONS http://h HTTP/1.1\r\n\r\n") ==
        HeadParseStatus::Malformed);
}

// A field of 9,000 bytes was refused though the configured limit of a head is
// above it.
TEST_CASE("Only the limit of a head bounds a request's line and fields") {
  CHECK(parseStatusOf("GET / HTTP/1.1\r\nA: " + std::string(30000, 'x') +
                      "\r\n\r\n") == HeadParseStatus::Ok);
  CHECK(parseStatusOf("GET /" + std::string(30000, 'x') +
                      " HTTP/1.1\r\n\r\n") == HeadParseStatus::Ok);
}

TEST_CASE("A long field in a server's head is refused") {
  auto statusOf = [](size_t Length) {
    HttpHead head;
    return parseResponseHead(
        "HTTP/1.1 200 X\r\nA: " + std::string(Length, 'x') + "\r\n\r\n", head);
  };
  CHECK(statusOf(MaxResponseFieldBytes - 3) == HeadParseStatus::Ok);
  CHECK(statusOf(MaxResponseFieldBytes) == HeadParseStatus::TooLarge);
}

// A response of status 000 was taken for an interim one, and what followed it
// for the response.
TEST_CASE("A head without a status of the protocol is no response") {
  auto statusOf = [](const std::string &Line) {
    HttpHead head;
    return parseResponseHead(Line + "\r\n\r\n", head);
  };
  for (const std::string it :
       {"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
        "HTTP/1.1 101 X", "HTTP/1.1 2000 X", "HTTP/1.1 200X", "HTTP/1.1 20 OK",
        "HTTP/1.1 -20 X"})
    CHECK_MESSAGE(statusOf(it) == HeadParseStatus::Malformed, it);
  for (const std::string it :
       {"HTTP/1.1 100 X", "HTTP/1.1 200", "HTTP/1.1 599 X"})
    CHECK_MESSAGE(statusOf(it) == HeadParseStatus::Ok, it);
}

TEST_CASE("A request whose end is ambiguous is rejected") {
  // Guards against request smuggling through a load balancer.
  auto usable = [](const std::string &Fields) {
    HttpHead head;
    BodyFraming framing;
    REQUIRE(parseRequestHead("POST / HTTP/1.1\r\n" + Fields + "\r\n", 8,
                             head) == HeadParseStatus::Ok);
    return requestFraming(head, framing);
  };
  CHECK(usable("Content-Length: 3\r\n"));
  CHECK(usable("Transfer-Encoding: chunked\r\n"));
  CHECK(usable("Content-Length: 3\r\nContent-Length: 3\r\n"));
  CHECK_FALSE(usable("Content-Length: 3\r\nContent-Length: 4\r\n"));
  CHECK_FALSE(usable("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"));
  CHECK_FALSE(usable("Transfer-Encoding: gzip, chunked\r\n"));
  CHECK_FALSE(usable("Content-Length: -3\r\n"));
  CHECK_FALSE(usable("Content-Length: 99999999999999999999999\r\n"));
}

TEST_CASE("A chunked body is decoded whatever the size of the pieces") {
  BodyFraming framing{BodyForm::Chunked, 0};
  const std::string text =
      "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: x\r\n\r\n";
  for (size_t i = 1; i <= text.size(); ++i)
    CHECK_MESSAGE(decoded(framing, text, i) == "hello world", i);
  CHECK(decoded(framing, "5\r\nhel", 2) == "incomplete");
  CHECK(decoded(framing, "zz\r\nhello\r\n", 3) == "bad");
  CHECK(decoded(framing, "5\r\nhelloXX\r\n0\r\n\r\n", 3) == "bad");
  CHECK(decoded(framing, std::string(9000, '1'), 100) == "bad");
}

TEST_CASE(
    "A body delimited by the end of the connection is complete only then") {
  // Guards against taking a broken connection for the end of a known length.
  BodyDecoder decoder;
  std::string out;
  std::string_view input = "abc";
  decoder.reset({BodyForm::UntilClose, 0});
  REQUIRE(decoder.feed(input, out));
  CHECK_FALSE(decoder.complete());
  decoder.endOfInput();
  CHECK(decoder.complete());

  decoder.reset({BodyForm::Length, 10});
  input = "abc";
  REQUIRE(decoder.feed(input, out));
  decoder.endOfInput();
  CHECK_FALSE(decoder.complete());
}
