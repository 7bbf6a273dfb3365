// Listens on an address and handles each connection on its own thread.
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

struct ConnectionServerOptions {
  std::string Name;    // of the threads
  std::string Address; // "IP:port"
  int MinThreads = 1;  // started at once, kept while idle
  int MaxThreads = 8;  // connections handled concurrently
  int MaxQueued = 64;  // accepted connections waiting for a thread
  int Backlog = 64;    // of the listening socket
  int StackBytes = 262144;
  // Called on the acceptor's thread for each connection, to call the function
  // that accepts it. Null: nothing is done around that.
  std::function<void(const std::function<void()> &Accept)> AroundAccept;
};

class ConnectionServer {
public:
  // Called on the connection's thread; the connection is closed afterwards.
  // Must not throw.
  using Handler = std::function<void(Poco::Net::StreamSocket &)>;
  // Called on the acceptor's thread, so it must not block. Connections for
  // which it returns false are closed.
  using AcceptFilter = std::function<bool(const Poco::Net::StreamSocket &)>;

  ConnectionServer();
  ~ConnectionServer();

  // Returns an empty string, or the reason why it can't listen.
  std::string start(const ConnectionServerOptions &Options,
                    Handler OnConnection, AcceptFilter ShouldAccept = nullptr);
  // Connections that were accepted and haven't ended, those that wait for a
  // thread too. Thread-safe.
  size_t connections() const;
  // The listening address, with the port chosen by the kernel.
  std::string address() const;
  // Begins to stop accepting connections, which takes some hundred
  // milliseconds. Doesn't wait for it; those accepted meanwhile are handled.
  void beginStop();
  // Stops accepting connections, and closes those that wait for a thread.
  void stopAccepting();
  // Waits for the connections' threads, which must be about to end.
  void join();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
