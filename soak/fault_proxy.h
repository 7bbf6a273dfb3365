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

class FaultProxy {
public:
  explicit FaultProxy(std::string Target);
  // Shuts down all connections.
  ~FaultProxy();

  std::string address() const { return Server.address(); }
  void setFault(ProxyFault Fault) { Mode.store(Fault); }
  // Resets all open connections.
  void resetAll();

private:
  void serve(int Fd);

  std::string Target;
  std::atomic<ProxyFault> Mode{ProxyFault::None};
  std::mutex Mutex;
  std::set<int> OpenSockets;
  bool Stopping = false;
  ScriptServer Server;
};

} // namespace crocusspur::soak

#endif
