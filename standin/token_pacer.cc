#include "token_pacer.h"

#include <cerrno>
#include <cstdio>
#include <sys/socket.h>
#include <utility>

namespace standin {
namespace {

constexpr size_t WheelTicks = 4096;
constexpr std::chrono::milliseconds TickLength{1};
// Delay before a write to a blocked or full connection is retried.
constexpr std::chrono::milliseconds RetryDelay{5};

enum class WriteResult : uint8_t { Complete, Partial, Failed };

WriteResult flush(TokenStream &Stream) {
  while (!Stream.Pending.empty()) {
    ssize_t n = ::send(Stream.Descriptor, Stream.Pending.data(),
                       Stream.Pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0)
      Stream.Pending.erase(0, static_cast<size_t>(n));
    else if (n < 0 && errno == EINTR)
      continue;
    else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return WriteResult::Partial;
    else
      return WriteResult::Failed;
  }
  return WriteResult::Complete;
}

void appendToken(TokenStream &Stream) {
  char json[96];
  std::snprintf(json, sizeof json, R"({"index":%u,"token":"%u:%s "})",
                Stream.NextIndex, Stream.NextIndex, Stream.PromptHash.c_str());
  Stream.Pending += eventChunk(json);
  ++Stream.NextIndex;
}

void appendEnd(TokenStream &Stream) {
  char json[64];
  std::snprintf(json, sizeof json, R"({"done":true,"tokens":%u})",
                Stream.EndIndex);
  Stream.Pending += eventChunk(json) + "0\r\n\r\n";
}

} // namespace

std::string eventChunk(const std::string &Json) {
  std::string event = "data: " + Json + "\n\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", event.size());
  return size + event + "\r\n";
}

void TokenStream::stop() {
  std::lock_guard lock(Mutex);
  StopRequested = true;
  Changed.notify_all();
}

bool TokenStream::stopped() const {
  std::lock_guard lock(Mutex);
  return StopRequested;
}

bool TokenStream::waitForStop(std::chrono::microseconds Time) {
  std::unique_lock lock(Mutex);
  return Changed.wait_for(lock, Time, [this] { return StopRequested; });
}

StreamEnd TokenStream::waitForEnd() {
  std::unique_lock lock(Mutex);
  Changed.wait(lock, [this] { return Reason != StreamEnd::Running; });
  return Reason;
}

void TokenStream::end(StreamEnd Value) {
  std::lock_guard lock(Mutex);
  Reason = Value;
  Changed.notify_all();
}

TokenPacer::TokenPacer() : Wheel(WheelTicks), Thread([this] { run(); }) {}

TokenPacer::~TokenPacer() {
  Stopping = true;
  Thread.join();
}

void TokenPacer::add(StreamPtr Stream) {
  Clock::time_point due = Clock::now() + Stream->Interval;
  std::lock_guard lock(Mutex);
  NewEntries.push_back({due, std::move(Stream)});
}

uint64_t TokenPacer::tickOf(Clock::time_point Time) const {
  return static_cast<uint64_t>((Time - Start) / TickLength);
}

void TokenPacer::schedule(TimerEntry Entry) {
  // Never schedules into the tick that is being processed: its entries were
  // already taken out of the wheel, so a new one would wait for the next turn.
  uint64_t tick = std::max(tickOf(Entry.Time), CurrentTick + 1);
  Wheel[tick % WheelTicks].push_back(std::move(Entry));
}

void TokenPacer::run() {
  while (!Stopping) {
    std::this_thread::sleep_until(Start + TickLength * (CurrentTick + 1));
    uint64_t now = tickOf(Clock::now());
    {
      std::lock_guard lock(Mutex);
      for (TimerEntry &it : NewEntries)
        schedule(std::move(it));
      NewEntries.clear();
    }
    while (CurrentTick < now) {
      ++CurrentTick;
      runTick(CurrentTick);
    }
  }
}

void TokenPacer::runTick(uint64_t Tick) {
  std::vector<TimerEntry> entries = std::move(Wheel[Tick % WheelTicks]);
  Wheel[Tick % WheelTicks].clear();
  for (TimerEntry &it : entries) {
    // The slot also holds entries of later turns of the wheel.
    if (tickOf(it.Time) > Tick || advance(it))
      schedule(std::move(it));
  }
}

bool TokenPacer::advance(TimerEntry &Entry) {
  TokenStream &stream = *Entry.Stream;
  if (stream.stopped()) {
    stream.end(StreamEnd::Stopped);
    return false;
  }
  if (stream.IsBlocked && stream.IsBlocked()) {
    Entry.Time = Clock::now() + RetryDelay;
    return true;
  }
  bool finishing = stream.NextIndex >= stream.EndIndex;
  if (!finishing && stream.Pending.empty()) {
    appendToken(stream);
    finishing = stream.NextIndex >= stream.EndIndex;
    if (finishing)
      appendEnd(stream);
  } else if (finishing && stream.Pending.empty()) {
    appendEnd(stream);
  }
  WriteResult result = flush(stream);
  if (result == WriteResult::Failed) {
    stream.end(StreamEnd::Closed);
    return false;
  }
  if (result == WriteResult::Partial) {
    Entry.Time = Clock::now() + RetryDelay;
    return true;
  }
  stream.Sent = stream.NextIndex;
  if (finishing) {
    stream.end(StreamEnd::Done);
    return false;
  }
  Entry.Time += stream.Interval;
  return true;
}

} // namespace standin
