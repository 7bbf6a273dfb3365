#include "connection_server.h"

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

class Filter : public Poco::Net::TCPServerConnectionFilter {
public:
  explicit Filter(const ConnectionServer::Accept &Admits) : Admits(Admits) {}
  bool accept(const StreamSocket &Socket) override { return Admits(Socket); }

private:
  const ConnectionServer::Accept &Admits;
};

} // namespace

struct ConnectionServer::State {
  Serve Function;
  Accept Admits;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

ConnectionServer::ConnectionServer() : Impl(std::make_unique<State>()) {}

ConnectionServer::~ConnectionServer() = default;

std::string ConnectionServer::start(const ConnectionServerOptions &Options,
                                    Serve Function, Accept Admits) {
  Impl->Function = std::move(Function);
  Impl->Admits = std::move(Admits);
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(Options.Address), true);
    socket.listen(Options.Backlog);
    Impl->Pool = std::make_unique<Poco::ThreadPool>(
        Options.Name, Options.MinThreads, Options.MaxThreads, ThreadIdleSeconds,
        Options.StackBytes);
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(Options.MaxThreads);
    params->setMaxQueued(Options.MaxQueued);
    params->setThreadIdleTime(Poco::Timespan(
        std::chrono::microseconds(DispatcherIdleTimeout).count()));
    Impl->Server = std::make_unique<Poco::Net::TCPServer>(
        new Factory(Impl->Function), *Impl->Pool, socket, params);
    if (Impl->Admits)
      Impl->Server->setConnectionFilter(new Filter(Impl->Admits));
    Impl->Server->start();
  } catch (const Poco::Exception &error) {
    return error.displayText();
  }
  return "";
}

std::string ConnectionServer::address() const {
  return Impl->Server ? Impl->Server->socket().address().toString() : "";
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
