// Listens on an address and serves each connection on a thread of its own.
#ifndef CROCUSSPUR_CONNECTION_SERVER_H
#define CROCUSSPUR_CONNECTION_SERVER_H

#include <functional>
#include <memory>
#include <string>

// The name is POCO's.
// NOLINTNEXTLINE(readability-identifier-naming)
namespace Poco::Net {
class StreamSocket;
} // namespace Poco::Net

namespace crocusspur::internal {

struct ConnectionServerOptions {
  std::string Name;    // of the threads
  std::string Address; // "IP:port"
  int MinThreads = 1;
  int MaxThreads = 8; // connections that are served at the same time
  int Backlog = 64;
  int StackBytes = 262144;
};

class ConnectionServer {
public:
  // Called on the connection's thread; the connection is closed afterwards.
  // Must throw nothing.
  using Serve = std::function<void(Poco::Net::StreamSocket &)>;

  ConnectionServer();
  ~ConnectionServer();

  // Returns an empty text, or why it can't listen.
  std::string start(const ConnectionServerOptions &Options, Serve Function);
  // Takes no more connections.
  void stopAccepting();
  // Waits for the threads; their connections must be ending.
  void join();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
