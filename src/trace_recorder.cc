#include "trace_recorder.h"

#include "crocusspur/trace.h"
#include "log.h"
#include "ring.h"
#include "runtime.h"

#include <Poco/Thread.h>
#include <atomic>
#include <fstream>
#include <utility>
#include <variant>

namespace crocusspur::internal {
namespace {

constexpr char Module[] = "trace_recorder";
constexpr int ThreadStackBytes = 262144;
constexpr Milliseconds FlushPeriod{200};

struct ActionRecord {
  Action Item;
  TimePoint At;
};
using Record = std::variant<Event, ActionRecord>;

class TraceRecorder : public Plugin, public TraceSink {
public:
  explicit TraceRecorder(size_t RingCapacity)
      : Records(RingCapacity), Thread("trace-recorder") {}

  bool start(Kernel &Owner) override;
  void stop() override;
  void onEvent(const Event &Item) override { record(Item); }
  void onAction(const Action &Item, TimePoint At) override {
    record(ActionRecord{Item, At});
  }

private:
  void record(Record Item);
  void run();
  void write(const Record &Item);

  Ring<Record> Records;
  std::atomic<bool> Recording{false};
  TimePoint StartedAt;
  std::ofstream Out;
  Poco::Thread Thread;
};

bool TraceRecorder::start(Kernel &Owner) {
  const Settings &values = Owner.settings();
  if (values.RecordPath.empty())
    return true;
  Out.open(values.RecordPath, std::ios::binary | std::ios::trunc);
  if (!Out) {
    log(LogLevel::Error, Module, "can't open the trace file",
        {{"path", values.RecordPath}});
    return false;
  }
  // In whole microseconds, like the recorded times, so that no difference is
  // rounded.
  StartedAt =
      std::chrono::floor<Microseconds>(std::chrono::steady_clock::now());
  Out << formatOptions(values.Core, std::chrono::system_clock::now()) << '\n';
  Recording = true;
  Thread.setStackSize(ThreadStackBytes);
  Thread.startFunc([this] { run(); });
  Owner.provide<TraceSink>(this);
  return true;
}

void TraceRecorder::stop() {
  if (!Out.is_open())
    return;
  Recording = false;
  Records.close();
  Thread.join();
  Out.close();
}

void TraceRecorder::record(Record Item) {
  if (!Recording)
    return;
  if (Records.tryPush(Item))
    return;
  if (Recording.exchange(false))
    log(LogLevel::Error, Module,
        "recording stopped: the writer is too slow and its ring is full");
}

void TraceRecorder::run() {
  Record item;
  for (;;) {
    if (Records.pop(item, FlushPeriod))
      write(item);
    else if (Records.closed())
      break;
    else
      Out.flush();
  }
  Out.flush();
}

void TraceRecorder::write(const Record &Item) {
  if (const Event *event = std::get_if<Event>(&Item)) {
    Out << formatEvent(*event, StartedAt) << '\n';
  } else {
    const auto &action = std::get<ActionRecord>(Item);
    Out << formatAction(action.Item, action.At, StartedAt) << '\n';
  }
  if (!Out && Recording.exchange(false))
    log(LogLevel::Error, Module,
        "recording stopped: the trace file can't be written");
}

const PluginRegistration Registration{
    {"trace_recorder", Phase::Foundation, [] { return makeTraceRecorder(); }}};

} // namespace

std::unique_ptr<Plugin> makeTraceRecorder(size_t RingCapacity) {
  return std::make_unique<TraceRecorder>(RingCapacity);
}

} // namespace crocusspur::internal
