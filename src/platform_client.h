// One HTTP call at a time to the platform's service, with a bounded answer and
// a wait that can be given up.
#ifndef CROCUSSPUR_PLATFORM_CLIENT_H
#define CROCUSSPUR_PLATFORM_CLIENT_H

#include "crocusspur/types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace crocusspur::internal {

struct PlatformResponse {
  int Status = 0; // 0: no answer
  std::string Body;
  std::string Error;      // why there is no answer
  bool Cancelled = false; // the caller's function ended the wait
};

class PlatformClient {
public:
  // `Address` is "IP:port". `Timeout` bounds connecting, sending, reading and
  // the time that an answer takes beyond the wait that was asked for.
  // `Reader` is the instance's name, by which the service counts its calls.
  PlatformClient(std::string Address, Milliseconds Timeout,
                 std::string Instance, size_t MaxBodyBytes = 1048576);
  ~PlatformClient();

  // Calls GET on the path. `IsCancelled` is asked every 50 ms while no answer
  // has come. Throws nothing.
  PlatformResponse get(const std::string &Path, Milliseconds Wait,
                       const std::function<bool()> &IsCancelled);

  // Calls sent so far. Thread-safe.
  uint64_t calls() const { return Calls.load(); }

private:
  struct State;
  std::unique_ptr<State> Impl;
  std::atomic<uint64_t> Calls{0};
};

} // namespace crocusspur::internal

#endif
