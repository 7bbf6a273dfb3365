// Listens on an address and serves each connection on a thread of its own.
#ifndef CROCUSSPUR_CONNECTION_SERVER_H
#define CROCUSSPUR_CONNECTION_SERVER_H

#include "crocusspur/types.h"

#include <functional>
#include <memory>
#include <string>

// The name is POCO's.
// NOLINTNEXTLINE(readability-identifier-naming)
namespace Poco::Net {
class StreamSocket;
} // namespace Poco::Net

namespace crocusspur::internal {

// Idle time of the threads of POCO's dispatchers. One that is about to wait
// when its listener stops misses the wake-up and ends only after this time.
inline constexpr Milliseconds DispatcherIdleTimeout{500};

struct ConnectionServerOptions {
  std::string Name;    // of the threads
  std::string Address; // "IP:port"
  int MinThreads = 1;
  int MaxThreads = 8; // connections that are served at the same time
  int MaxQueued = 64; // accepted connections that wait for a thread
  int Backlog = 64;   // of the listening socket
  int StackBytes = 262144;
};

class ConnectionServer {
public:
  // Called on the connection's thread; the connection is closed afterwards.
  // Must throw nothing.
  using Handler = std::function<void(Poco::Net::StreamSocket &)>;
  // Called on the acceptor's thread, so it must not wait. Connections for which
  // it returns false are closed.
  using AcceptFilter = std::function<bool(const Poco::Net::StreamSocket &)>;

  ConnectionServer();
  ~ConnectionServer();

  // Returns an empty text, or why it can't listen.
  std::string start(const ConnectionServerOptions &Options,
                    Handler OnConnection, AcceptFilter ShouldAccept = nullptr);
  // The address that it listens on, with the port that the kernel chose.
  std::string address() const;
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
