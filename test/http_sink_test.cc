#include "http_sink.h"

#include "test_socket.h"

#include <array>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

TimePoint at(int Ms) { return TimePoint() + Milliseconds(1000 + Ms); }

// Lets the room for what is read be known soon.
void limitBuffers(const SocketPair &Sockets) {
  const int bytes = 32768;
  ::setsockopt(Sockets.near(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  ::setsockopt(Sockets.far(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

// Reads so many bytes after each pause, until the peer closes. Returns what was
// read.
size_t readSlowly(int Fd, size_t Bytes, Milliseconds Pause) {
  size_t all = 0;
  std::string buf(Bytes, '\0');
  while (true) {
    std::this_thread::sleep_for(Pause);
    ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
    if (n <= 0)
      return all;
    all += static_cast<size_t>(n);
  }
}

} // namespace

TEST_CASE("A receiver has stalled that accepts too little in a window") {
  StallDetector stall(Milliseconds(1000), 100);
  CHECK(stall.onBlocked(at(0)) == at(1000));
  stall.onAccepted(99, at(900));
  CHECK(stall.onBlocked(at(900)) == at(1000));
  stall.onAccepted(1, at(950));
  CHECK(stall.onBlocked(at(950)) == at(1950));
  // The window goes on over several writes that wait.
  stall.onAccepted(50, at(1500));
  CHECK(stall.onBlocked(at(1600)) == at(1950));
  SUBCASE("and one that needs no wait begins anew") {
    stall.onFree();
    stall.onAccepted(200, at(1700));
    CHECK(stall.onBlocked(at(1800)) == at(2800));
  }
}

// Each byte counted as progress, so that a caller that read a little now and
// then held its stream and a thread for any time.
TEST_CASE("A caller that reads a little now and then is given up") {
  SocketPair sockets;
  limitBuffers(sockets);
  HttpSink sink(sockets.near(), {.WriteTimeout = Milliseconds(1000),
                                 .MinWriteBytes = 64 << 20});
  std::thread caller(
      [&] { readSlowly(sockets.far(), 16384, Milliseconds(10)); });
  sink.begin({});
  CHECK_FALSE(sink.write(std::string(4 << 20, 'x')));
  CHECK_FALSE(sink.keepsAlive());
  ::shutdown(sockets.near(), SHUT_RDWR);
  caller.join();
}

TEST_CASE("A caller that reads slowly gets the whole response") {
  SocketPair sockets;
  HttpSink sink(sockets.near(),
                {.WriteTimeout = Milliseconds(500), .MinWriteBytes = 1024});
  size_t received = 0;
  std::thread caller(
      [&] { received = readSlowly(sockets.far(), 65536, Milliseconds(5)); });
  sink.begin({});
  constexpr size_t Length = 16 << 20;
  CHECK(sink.write(std::string(Length, 'x')));
  CHECK(sink.end(true));
  ::shutdown(sockets.near(), SHUT_WR);
  caller.join();
  CHECK(received > Length);
}
