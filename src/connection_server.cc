#include "connection_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/ThreadPool.h>
#include <thread>
#include <utility>

namespace crocusspur::internal {
namespace {

using Poco::Net::StreamSocket;
using Poco::Net::TCPServerConnection;

constexpr int ThreadIdleSeconds = 60;

class Connection : public TCPServerConnection {
public:
  Connection(const StreamSocket &Socket,
             const ConnectionServer::Handler &OnConnection)
      : TCPServerConnection(Socket), OnConnection(OnConnection) {}
  void run() override { OnConnection(socket()); }

private:
  const ConnectionServer::Handler &OnConnection;
};

class Factory : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit Factory(const ConnectionServer::Handler &OnConnection)
      : OnConnection(OnConnection) {}
  TCPServerConnection *createConnection(const StreamSocket &Socket) override {
    return new Connection(Socket, OnConnection);
  }

private:
  const ConnectionServer::Handler &OnConnection;
};

class Filter : public Poco::Net::TCPServerConnectionFilter {
public:
  explicit Filter(const ConnectionServer::AcceptFilter &ShouldAccept)
      : ShouldAccept(ShouldAccept) {}
  bool accept(const StreamSocket &Socket) override {
    return ShouldAccept(Socket);
  }

private:
  const ConnectionServer::AcceptFilter &ShouldAccept;
};

} // namespace

struct ConnectionServer::State {
  Handler OnConnection;
  AcceptFilter ShouldAccept;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::TCPServer> Server;
  std::thread Stopper;
};

ConnectionServer::ConnectionServer() : Impl(std::make_unique<State>()) {}

ConnectionServer::~ConnectionServer() = default;

std::string ConnectionServer::start(const ConnectionServerOptions &Options,
                                    Handler OnConnection,
                                    AcceptFilter ShouldAccept) {
  Impl->OnConnection = std::move(OnConnection);
  Impl->ShouldAccept = std::move(ShouldAccept);
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
        new Factory(Impl->OnConnection), *Impl->Pool, socket, params);
    if (Impl->ShouldAccept)
      Impl->Server->setConnectionFilter(new Filter(Impl->ShouldAccept));
    Impl->Server->start();
  } catch (const Poco::Exception &error) {
    return error.displayText();
  }
  return "";
}

std::string ConnectionServer::address() const {
  return Impl->Server ? Impl->Server->socket().address().toString() : "";
}

void ConnectionServer::beginStop() {
  if (Impl->Server && !Impl->Stopper.joinable())
    Impl->Stopper = std::thread([this] { Impl->Server->stop(); });
}

void ConnectionServer::stopAccepting() {
  beginStop();
  if (Impl->Stopper.joinable())
    Impl->Stopper.join();
}

void ConnectionServer::join() {
  if (Impl->Pool)
    Impl->Pool->joinAll();
  Impl->Server.reset();
}

} // namespace crocusspur::internal
