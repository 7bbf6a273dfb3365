// A loopback proxy that injects faults into the connections it forwards.
#ifndef CROCUSSPUR_SOAK_FAULT_PROXY_H
#define CROCUSSPUR_SOAK_FAULT_PROXY_H

#include "crocusspur/types.h"
#include "test_socket.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace crocusspur::soak {

enum class ProxyFault : uint8_t {
  None,
  Delay, // each piece of data is forwarded late
  Stall, // connections stay open, but nothing is forwarded in either direction
  DropResponses, // requests are forwarded, responses are discarded
  Reject,        // new connections are closed immediately
};

// Resets the connection of a socket that stays open.
void resetConnection(int Fd);

class FaultProxy {
public:
  explicit FaultProxy(std::string Target);
  // Shuts down all connections.
  ~FaultProxy();

  std::string address() const { return Server.address(); }
  void setFault(ProxyFault Fault) { Mode.store(Fault); }
  // Leads connections that are accepted from now on to another server.
  void setTarget(std::string Address);
  // Resets all open connections.
  void resetAll();

private:
  void serve(int Fd);

  int connectToTarget();

  std::atomic<ProxyFault> Mode{ProxyFault::None};
  std::mutex Mutex; // guards what follows
  std::string Target;
  std::set<int> OpenSockets;
  bool Stopping = false;
  ScriptServer Server;
};

} // namespace crocusspur::soak

#endif
