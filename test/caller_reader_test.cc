#include "caller_reader.h"

#include "test_socket.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

ReadLimits limits(int IdleMilliseconds) {
  ReadLimits values;
  values.MaxHeaderFields = 8;
  values.MaxBodyBytes = 100;
  values.IdleTimeout = Milliseconds(IdleMilliseconds);
  return values;
}

} // namespace

TEST_CASE("Requests that arrive together are read one after the other") {
  SocketPair sockets;
  ReadLimits values = limits(10000);
  CallerReader reader(sockets.near(), values);
  sendText(sockets.far(), "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyPOST "
                          "/b HTTP/1.1\r\n\r\n");
  HttpHead head;
  REQUIRE(reader.readHead(head) == RequestReadStatus::Ok);
  std::string body;
  REQUIRE(reader.readBody({BodyForm::Length, 2}, body) ==
          RequestReadStatus::Ok);
  CHECK(body == "xy");
  HttpHead next;
  REQUIRE(reader.readHead(next) == RequestReadStatus::Ok);
  CHECK(next.Target == "/b");
}

TEST_CASE("A caller that sends its head slowly times out on the whole head") {
  // Guards against a slow sender that holds a thread by sending one byte within
  // each idle timeout.
  SocketPair sockets;
  ReadLimits values = limits(100);
  CallerReader reader(sockets.near(), values);
  std::atomic<bool> done{false};
  std::thread sender([&] {
    sendText(sockets.far(), "GET / HTTP/1.1\r\nA: ");
    while (!done.load()) {
      sendText(sockets.far(), "x");
      std::this_thread::sleep_for(Milliseconds(10));
    }
  });
  HttpHead head;
  RequestReadStatus status = reader.readHead(head);
  done.store(true);
  sender.join();
  CHECK(status == RequestReadStatus::TimedOut);
}

TEST_CASE("A connection that stays idle between requests is closed silently") {
  SocketPair sockets;
  ReadLimits values = limits(50);
  CallerReader reader(sockets.near(), values);
  HttpHead head;
  CHECK(reader.readHead(head) == RequestReadStatus::Closed);
}

// A client that ends a body with CRLF, or sends it before a request, got 400.
TEST_CASE("An empty line before a request is ignored") {
  SocketPair sockets;
  ReadLimits values = limits(200);
  CallerReader reader(sockets.near(), values);
  sendText(sockets.far(), "\r\n\r\nPOST /a HTTP/1.1\r\nContent-Length: 2\r\n"
                          "\r\nxy\r\nGET /b HTTP/1.1\r\n\r\n\r\n");
  HttpHead head;
  REQUIRE(reader.readHead(head) == RequestReadStatus::Ok);
  CHECK(head.Target == "/a");
  std::string body;
  REQUIRE(reader.readBody({BodyForm::Length, 2}, body) ==
          RequestReadStatus::Ok);
  HttpHead next;
  REQUIRE(reader.readHead(next) == RequestReadStatus::Ok);
  CHECK(next.Target == "/b");
  // No request has begun with the last line.
  CHECK(reader.readHead(next) == RequestReadStatus::Closed);
}

TEST_CASE("Endless empty lines before a request are rejected") {
  SocketPair sockets;
  ReadLimits values = limits(2000);
  CallerReader reader(sockets.near(), values);
  for (int i = 0; i < 100; ++i)
    sendText(sockets.far(), "\r\n");
  HttpHead head;
  CHECK(reader.readHead(head) == RequestReadStatus::Malformed);
}

// Such a head was taken for one that isn't whole yet, and timed out.
TEST_CASE("A line of a head that ends with LF alone is rejected at once") {
  for (const std::string it :
       {"GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\n", "\n",
        "GET / HTTP/1.1\r\nHost: h\r\n\n"}) {
    CAPTURE(it);
    for (size_t piece : {it.size(), size_t(1)}) {
      SocketPair sockets;
      ReadLimits values = limits(2000);
      CallerReader reader(sockets.near(), values);
      for (size_t i = 0; i < it.size(); i += piece)
        sendText(sockets.far(), it.substr(i, piece));
      HttpHead head;
      CHECK(reader.readHead(head) == RequestReadStatus::Malformed);
    }
  }
  SocketPair sockets;
  ReadLimits values = limits(2000);
  CallerReader reader(sockets.near(), values);
  sendText(sockets.far(), "POST /a HTTP/1.1\r\n\r\n\n\n");
  HttpHead head;
  CHECK(reader.readHead(head) == RequestReadStatus::Ok);
}

TEST_CASE("The limit of a head decides, also for one long field") {
  for (size_t length : {9000, 16300, 17000}) {
    CAPTURE(length);
    SocketPair sockets;
    ReadLimits values = limits(10000);
    values.MaxHeadBytes = 16384;
    CallerReader reader(sockets.near(), values);
    sendText(sockets.far(),
             "GET / HTTP/1.1\r\nA: " + std::string(length, 'x') + "\r\n\r\n");
    HttpHead head;
    CHECK(reader.readHead(head) == (length < values.MaxHeadBytes
                                        ? RequestReadStatus::Ok
                                        : RequestReadStatus::TooLarge));
  }
}

TEST_CASE("An endless head is rejected at the limit") {
  SocketPair sockets;
  ReadLimits values = limits(10000);
  CallerReader reader(sockets.near(), values);
  std::thread sender([&] {
    sendText(sockets.far(), "GET / HTTP/1.1\r\n" + std::string(40000, 'a'));
  });
  HttpHead head;
  CHECK(reader.readHead(head) == RequestReadStatus::TooLarge);
  sender.join();
}

TEST_CASE(
    "Bodies over the limit are rejected, by length before they are read") {
  SocketPair sockets;
  ReadLimits values = limits(10000);
  CallerReader reader(sockets.near(), values);
  std::string body;
  CHECK(reader.readBody({BodyForm::Length, 101}, body) ==
        RequestReadStatus::TooLarge);
  sendText(sockets.far(), "80\r\n" + std::string(128, 'a') + "\r\n0\r\n\r\n");
  CHECK(reader.readBody({BodyForm::Chunked, 0}, body) ==
        RequestReadStatus::TooLarge);
}

// The size of a chunk beyond the limit was known, but the caller got no answer
// while the chunk didn't come.
TEST_CASE("A chunk over the limit is rejected before it arrives") {
  const std::string first = "60\r\n" + std::string(96, 'a') + "\r\n";
  for (const std::string &it : {std::string("ffffffffffffffff\r\n"),
                                std::string("65\r\n"), first + "5\r\n"}) {
    CAPTURE(it);
    SocketPair sockets;
    ReadLimits values = limits(2000);
    CallerReader reader(sockets.near(), values);
    sendText(sockets.far(), it);
    std::string body;
    CHECK(reader.readBody({BodyForm::Chunked, 0}, body) ==
          RequestReadStatus::TooLarge);
  }
  SocketPair sockets;
  ReadLimits values = limits(2000);
  CallerReader reader(sockets.near(), values);
  sendText(sockets.far(), first + "4\r\naaaa\r\n0\r\n\r\n");
  std::string body;
  CHECK(reader.readBody({BodyForm::Chunked, 0}, body) == RequestReadStatus::Ok);
}

TEST_CASE("A body that stalls times out, and one that is cut off is detected") {
  SocketPair sockets;
  ReadLimits values = limits(50);
  CallerReader reader(sockets.near(), values);
  sendText(sockets.far(), "abc");
  std::string body;
  CHECK(reader.readBody({BodyForm::Length, 10}, body) ==
        RequestReadStatus::TimedOut);
  sockets.closeFar();
  CHECK(reader.readBody({BodyForm::Length, 10}, body) ==
        RequestReadStatus::Closed);
}

TEST_CASE(
    "A lingering close lets the caller read the response before the end") {
  // Guards against a reset that destroys the response while the caller still
  // sends its body.
  SocketPair sockets;
  ReadLimits values = limits(10000);
  CallerReader reader(sockets.near(), values);
  std::string received;
  std::thread caller([&] {
    sendText(sockets.far(), std::string(300000, 'b'));
    ::shutdown(sockets.far(), SHUT_WR);
    received = readAll(sockets.far());
  });
  sendText(sockets.near(), "answer");
  reader.lingeringClose();
  caller.join();
  CHECK(received == "answer");
}
