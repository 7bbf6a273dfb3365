#include "connection_server.h"

#include "crocusspur/types.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/ThreadPool.h>
#include <utility>

namespace crocusspur::internal {
namespace {

using Poco::Net::StreamSocket;
using Poco::Net::TCPServerConnection;

constexpr int ThreadIdleSeconds = 60;
// A thread of POCO's dispatcher that is about to wait misses the wake-up of a
// stop and then waits for this long.
constexpr Milliseconds DispatcherWait{500};

class Connection : public TCPServerConnection {
public:
  Connection(const StreamSocket &Socket,
             const ConnectionServer::Serve &Function)
      : TCPServerConnection(Socket), Function(Function) {}
  void run() override { Function(socket()); }

private:
  const ConnectionServer::Serve &Function;
};

class Factory : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit Factory(const ConnectionServer::Serve &Function)
      : Function(Function) {}
  TCPServerConnection *createConnection(const StreamSocket &Socket) override {
    return new Connection(Socket, Function);
  }

private:
  const ConnectionServer::Serve &Function;
};

} // namespace

struct ConnectionServer::State {
  Serve Function;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

ConnectionServer::ConnectionServer() : Impl(std::make_unique<State>()) {}

ConnectionServer::~ConnectionServer() = default;

std::string ConnectionServer::start(const ConnectionServerOptions &Options,
                                    Serve Function) {
  Impl->Function = std::move(Function);
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(Options.Address), true);
    socket.listen(Options.Backlog);
    Impl->Pool = std::make_unique<Poco::ThreadPool>(
        Options.Name, Options.MinThreads, Options.MaxThreads, ThreadIdleSeconds,
        Options.StackBytes);
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(Options.MaxThreads);
    params->setMaxQueued(Options.Backlog);
    params->setThreadIdleTime(
        Poco::Timespan(std::chrono::microseconds(DispatcherWait).count()));
    Impl->Server = std::make_unique<Poco::Net::TCPServer>(
        new Factory(Impl->Function), *Impl->Pool, socket, params);
    Impl->Server->start();
  } catch (const Poco::Exception &error) {
    return error.displayText();
  }
  return "";
}

void ConnectionServer::stopAccepting() {
  if (Impl->Server)
    Impl->Server->stop();
}

void ConnectionServer::join() {
  if (Impl->Pool)
    Impl->Pool->joinAll();
  Impl->Server.reset();
}

} // namespace crocusspur::internal
