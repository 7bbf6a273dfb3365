// A loopback proxy that cuts an instance off from a backend server, in the
// forms that a cut can have.
#ifndef CROCUSSPUR_TEST_CUT_PROXY_H
#define CROCUSSPUR_TEST_CUT_PROXY_H

#include "crocusspur/types.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::test {

enum class CutForm : uint8_t {
  None,
  Reset,         // open connections are reset, new ones refused
  RefusedSilent, // open connections are silent, new ones refused
  Hang,          // open connections are silent, new ones hang
  Silent,        // new connections open and are silent, like the others
  RefusedNew,    // open connections live on, new ones are refused
};

class CutProxy {
public:
  explicit CutProxy(std::string Target);
  ~CutProxy();
  std::string address() const;
  // Changes the form of the cut; None ends it. What was held up is forwarded
  // then.
  void setForm(CutForm Form);

private:
  int bindSocket();
  void listen();
  void stopListening();
  // Makes the kernel drop further connection requests.
  void fillBacklog();
  void accept();
  // With the mutex held. Returns false if no connection waits.
  bool acceptNext();
  void forward(int Fd);
  bool isSilent() const;

  std::string Target;
  uint16_t Port = 0;
  std::atomic<CutForm> Form{CutForm::None};
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;  // guards what follows
  int Reserved = -1; // keeps the port while nothing listens on it
  int Listener = -1;
  std::vector<int> Fillers; // connections that fill the backlog
  std::set<int> Open;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

} // namespace crocusspur::test

#endif
