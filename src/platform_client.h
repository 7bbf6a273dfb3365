// Makes one HTTP call at a time to the platform's service, with a bounded
// response and a wait that can be cancelled.
#ifndef CROCUSSPUR_PLATFORM_CLIENT_H
#define CROCUSSPUR_PLATFORM_CLIENT_H

#include "crocusspur/types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur::internal {

struct PlatformResponse {
  int Status = 0; // 0: no response
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Fields; // of the header
  std::string Error;      // why there is no response
  bool Cancelled = false; // the caller cancelled the wait
  bool IsTooLong = false; // the body exceeds the bound; there is no status
};

class PlatformClient {
public:
  // Of a response from its first byte to its last. A page of 1 MB takes about a
  // second on a link of 10 Mbit/s.
  static constexpr Milliseconds MaxResponseTime{10000};

  // `Address` is "IP:port". `Timeout` bounds connecting, sending, each pause
  // while reading, and the time that a response takes beyond the requested
  // wait. `Instance` is this instance's name, which the service uses to count
  // calls.
  PlatformClient(std::string Address, Milliseconds Timeout,
                 std::string Instance, size_t MaxBodyBytes = 1048576,
                 Milliseconds ResponseTime = MaxResponseTime);
  ~PlatformClient();

  // Called with the bytes that a response's body takes so far, before they are
  // kept. Set before the first call.
  using BodySizeListener = std::function<void(size_t Bytes)>;
  void setBodySizeListener(BodySizeListener Listener);

  // Sends GET for the path. Calls `IsCancelled` every 50 ms while waiting for
  // the response, and cancels the wait if it returns true. Throws nothing.
  PlatformResponse get(const std::string &Path, Milliseconds Wait,
                       const std::function<bool()> &IsCancelled);

  // Number of calls sent. Thread-safe.
  uint64_t calls() const { return Calls.load(); }

private:
  struct State;
  std::unique_ptr<State> Impl;
  std::atomic<uint64_t> Calls{0};
};

} // namespace crocusspur::internal

#endif
