// A loopback proxy that harms the connections that pass through it.
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
  Delay,         // each piece waits
  Stall,         // takes bytes and passes none on, in both directions
  DropResponses, // only requests pass
  Reject,        // new connections are closed at once
};

class FaultProxy {
public:
  explicit FaultProxy(std::string Target);
  // Ends all connections.
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
