// Writes the tokens of many decode streams at their intervals from one thread,
// using a timer wheel with one-millisecond ticks.
#ifndef STANDIN_TOKEN_PACER_H
#define STANDIN_TOKEN_PACER_H

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standin {

enum class StreamEnd : uint8_t {
  Running,
  Done,    // all tokens and the final event were written
  Stopped, // stop() was called
  Closed,  // the client closed the connection
};

struct TokenStream : boost::intrusive_ref_counter<TokenStream> {
  int Descriptor = -1;
  std::string PromptHash; // in each token, to detect mixed streams
  uint32_t NextIndex = 0;
  uint32_t EndIndex = 0;
  std::chrono::microseconds Interval{25000};
  // Returns true while a fault blocks writes to the connection.
  std::function<bool()> IsBlocked;
  std::atomic<uint32_t> Sent{0}; // tokens written

  // Thread-safe. The pacer drops the stream when its next token is due.
  void stop();
  bool stopped() const;
  // Waits up to `Time` for stop(); returns true if it has been called.
  bool waitForStop(std::chrono::microseconds Time);
  StreamEnd waitForEnd();
  void end(StreamEnd Reason);

  std::string Pending; // bytes that the socket hasn't accepted yet

private:
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool StopRequested = false;
  StreamEnd Reason = StreamEnd::Running;
};

using StreamPtr = boost::intrusive_ptr<TokenStream>;

// Returns an HTTP chunk that contains one server-sent event.
std::string eventChunk(const std::string &Json);

class TokenPacer {
public:
  TokenPacer();
  ~TokenPacer();

  // The first token is due after one interval. The descriptor must stay open
  // until waitForEnd() returns.
  void add(StreamPtr Stream);

private:
  using Clock = std::chrono::steady_clock;
  struct TimerEntry {
    Clock::time_point Time;
    StreamPtr Stream;
  };

  void run();
  void runTick(uint64_t Tick);
  // Writes the due token; returns false if the stream has ended.
  bool advance(TimerEntry &Entry);
  void schedule(TimerEntry Entry);
  uint64_t tickOf(Clock::time_point Time) const;

  const Clock::time_point Start = Clock::now();
  std::mutex Mutex;
  std::vector<TimerEntry> NewEntries;
  std::vector<std::vector<TimerEntry>> Wheel;
  uint64_t CurrentTick = 0;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace standin

#endif
