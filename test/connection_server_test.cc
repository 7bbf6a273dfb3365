#include "connection_server.h"
#include "gateway_fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::test;
using internal::ConnectionServer;
using internal::ConnectionServerOptions;
using Poco::Net::StreamSocket;

namespace {

constexpr Milliseconds WaitTime{5000};

ConnectionServerOptions options(int MaxThreads, int MaxQueued) {
  ConnectionServerOptions values;
  values.Name = "test";
  values.Address = "127.0.0.1:0";
  values.MaxThreads = MaxThreads;
  values.MaxQueued = MaxQueued;
  values.Backlog = 1024;
  return values;
}

// Counts handlers, each of which waits until it is told to end.
class Gate {
public:
  void enter() {
    std::unique_lock lock(Mutex);
    ++Entered;
    Threads.insert(std::this_thread::get_id());
    Changed.notify_all();
    Changed.wait(lock, [this] { return Open; });
  }
  bool waitFor(int Count) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, WaitTime, [&] { return Entered >= Count; });
  }
  void open() {
    std::lock_guard lock(Mutex);
    Open = true;
    Changed.notify_all();
  }
  int entered() {
    std::lock_guard lock(Mutex);
    return Entered;
  }
  size_t threads() {
    std::lock_guard lock(Mutex);
    return Threads.size();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  int Entered = 0;
  bool Open = false;
  std::set<std::thread::id> Threads;
};

// Whether the peer closes or resets the connection in time.
bool closes(int Fd) {
  timeval wait{WaitTime.count() / 1000, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  char byte = 0;
  ssize_t n = ::recv(Fd, &byte, 1, 0);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

bool reaches(const ConnectionServer &Server, size_t Connections) {
  TimePoint until = std::chrono::steady_clock::now() + WaitTime;
  while (Server.connections() != Connections &&
         std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(Milliseconds(1));
  return Server.connections() == Connections;
}

bool becomesIdle(const ConnectionServer &Server) { return reaches(Server, 0); }

} // namespace

TEST_CASE("Connections beyond the threads wait for one, further ones close") {
  Gate gate;
  ConnectionServer server;
  REQUIRE(server.start(options(2, 1), [&](StreamSocket &) { gate.enter(); }) ==
          "");
  std::vector<int> sockets;
  for (int i = 0; i < 2; ++i)
    sockets.push_back(connectTo(server.address()));
  REQUIRE(gate.waitFor(2));
  sockets.push_back(connectTo(server.address())); // queued
  sockets.push_back(connectTo(server.address()));
  CHECK(closes(sockets[3]));
  CHECK(gate.entered() == 2);
  gate.open();
  CHECK(gate.waitFor(3));
  for (int it : {0, 1, 2})
    CHECK(closes(sockets[static_cast<size_t>(it)]));
  for (int it : sockets)
    ::close(it);
}

// Both listened, and each got only some of the connections.
TEST_CASE("An address that is in use can't be listened at a second time") {
  ConnectionServer server;
  REQUIRE(server.start(options(1, 1), [](StreamSocket &) {}) == "");
  ConnectionServerOptions same = options(1, 1);
  same.Address = server.address();
  ConnectionServer second;
  CHECK(second.start(same, [](StreamSocket &) {}) != "");
}

TEST_CASE("A thread that is idle handles the next connection") {
  Gate gate;
  ConnectionServer server;
  gate.open();
  REQUIRE(server.start(options(8, 8), [&](StreamSocket &) { gate.enter(); }) ==
          "");
  constexpr int Count = 20;
  for (int i = 0; i < Count; ++i) {
    int fd = connectTo(server.address());
    CHECK(closes(fd));
    ::close(fd);
    CHECK(becomesIdle(server)); // the connection closes before
  }
  CHECK(gate.waitFor(Count));
  CHECK(gate.threads() == 1);
}

// The thread ended, and a stop waited for it for ever.
TEST_CASE("A handler that throws costs its connection only") {
  Gate gate;
  gate.open();
  ConnectionServer server;
  std::atomic<int> calls{0};
  REQUIRE(server.start(options(1, 8), [&](StreamSocket &) {
    if (++calls == 1)
      throw std::runtime_error("x");
    gate.enter();
  }) == "");
  for (int i = 0; i < 2; ++i) {
    int fd = connectTo(server.address());
    CHECK(closes(fd));
    ::close(fd);
  }
  CHECK(gate.waitFor(1));
  CHECK(becomesIdle(server));
}

TEST_CASE("Connections that wait for a thread count as open") {
  Gate gate;
  ConnectionServer server;
  REQUIRE(server.start(options(1, 8), [&](StreamSocket &) { gate.enter(); }) ==
          "");
  std::vector<int> sockets;
  for (int i = 0; i < 3; ++i)
    sockets.push_back(connectTo(server.address()));
  CHECK(reaches(server, 3));
  gate.open();
  CHECK(becomesIdle(server));
  for (int it : sockets)
    ::close(it);
}

TEST_CASE("A stop ends idle threads and closes what waits for a thread") {
  Gate gate;
  ConnectionServer server;
  REQUIRE(server.start(options(1, 8), [&](StreamSocket &) { gate.enter(); }) ==
          "");
  int first = connectTo(server.address());
  REQUIRE(gate.waitFor(1));
  int second = connectTo(server.address());
  server.stopAccepting();
  gate.open();
  server.join();
  CHECK(closes(first));
  CHECK(closes(second));
  CHECK(gate.entered() == 1);
  ::close(first);
  ::close(second);
}
