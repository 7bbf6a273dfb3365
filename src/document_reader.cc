#include "document_reader.h"

#include "checked_mutex.h"
#include "log.h"
#include "platform_client.h"

#include <Poco/Thread.h>
#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char Module[] = "platform_reader";
constexpr int ThreadStackBytes = 524288; // parses JSON of up to 1 MiB

enum class Mode : uint8_t { ReadOnce, Watch, Idle };

} // namespace

struct DocumentReader::State {
  State(DocumentReaderOptions Options, DocumentCallback OnDocument)
      : Options(std::move(Options)), OnDocument(std::move(OnDocument)),
        Client(this->Options.Address, this->Options.Timeout,
               this->Options.Instance),
        Random(this->Options.Seed), Thread("reader-" + this->Options.Name) {}

  DocumentReaderOptions Options;
  DocumentCallback OnDocument;
  PlatformClient Client;
  std::mt19937_64 Random;
  Poco::Thread Thread;
  bool Running = false;

  LeafMutex Mutex; // guards the members up to Changed
  ConditionVariable Changed;
  Mode Reading = Mode::ReadOnce;
  uint64_t After = 0;    // number of the last document read
  uint64_t Revision = 0; // increases when the current call is obsolete
  bool Stopping = false;

  std::atomic<TimePoint> LastResponseAt{TimePoint()}; // zero: none yet

  Milliseconds Backoff{0}; // reader's thread only
  bool Failing = false;

  void run();
  bool waitForWork(uint64_t &From, uint64_t &AtRevision, bool &Watch);
  void readNext(uint64_t From, uint64_t AtRevision, bool Watch);
  void processDocument(const std::string &Text, uint64_t From);
  void recordSuccess();
  void recordFailure(const std::string &Reason);
  void waitForBackoff(uint64_t AtRevision);
  bool isObsolete(uint64_t AtRevision);
};

DocumentReader::DocumentReader(DocumentReaderOptions Options,
                               DocumentCallback OnDocument)
    : Impl(std::make_unique<State>(std::move(Options), std::move(OnDocument))) {
}

DocumentReader::~DocumentReader() { stop(); }

void DocumentReader::start() {
  Impl->Thread.setStackSize(ThreadStackBytes);
  Impl->Thread.startFunc([this] { Impl->run(); });
  Impl->Running = true;
}

void DocumentReader::stop() {
  if (!Impl->Running)
    return;
  {
    std::lock_guard lock(Impl->Mutex);
    Impl->Stopping = true;
    Impl->Changed.notify_all();
  }
  Impl->Thread.join();
  Impl->Running = false;
}

void DocumentReader::setReading(bool Watch, uint64_t After) {
  std::lock_guard lock(Impl->Mutex);
  Mode newMode = Watch ? Mode::Watch : Mode::Idle;
  // While watching, a lower number is one that the core evaluated while later
  // documents were queued for it, so it must not move the reader back.
  bool continues = newMode == Mode::Watch && Impl->Reading == Mode::Watch;
  if (After > Impl->After || (After > 0 && Watch && !continues)) {
    Impl->Revision += After != Impl->After;
    Impl->After = After;
  }
  Impl->Revision += newMode != Impl->Reading;
  Impl->Reading = newMode;
  Impl->Changed.notify_all();
}

uint64_t DocumentReader::calls() const { return Impl->Client.calls(); }

std::optional<TimePoint> DocumentReader::lastResponseAt() const {
  TimePoint at = Impl->LastResponseAt.load();
  return at == TimePoint() ? std::nullopt : std::optional(at);
}

void DocumentReader::State::run() {
  uint64_t from = 0, revision = 0;
  bool watch = false;
  while (waitForWork(from, revision, watch))
    readNext(from, revision, watch);
}

// Returns false if the reader must stop.
bool DocumentReader::State::waitForWork(uint64_t &From, uint64_t &AtRevision,
                                        bool &Watch) {
  std::unique_lock lock(Mutex);
  Changed.wait(lock, [this] { return Stopping || Reading != Mode::Idle; });
  From = After;
  AtRevision = Revision;
  Watch = Reading == Mode::Watch;
  return !Stopping;
}

void DocumentReader::State::readNext(uint64_t From, uint64_t AtRevision,
                                     bool Watch) {
  bool waits = Watch && From > 0;
  Milliseconds wait = waits ? Options.WatchWait : Milliseconds(0);
  std::string path = Options.Path;
  if (waits)
    path += "?after=" + std::to_string(From) +
            "&wait_ms=" + std::to_string(wait.count());
  TimePoint start = Clock::now();
  PlatformResponse response =
      Client.get(path, wait, [&] { return isObsolete(AtRevision); });
  if (response.Cancelled || isObsolete(AtRevision))
    return;
  if (response.Status == 200)
    processDocument(response.Body, From);
  else if (response.Status == 304 && Clock::now() - start >= wait / 2)
    recordSuccess();
  else if (response.Status == 404 && !waits)
    recordFailure("nothing is published yet");
  else if (response.Status == 304)
    // Back off: otherwise a service that doesn't wait would be polled without
    // a pause.
    recordFailure("watch ended before the requested wait");
  else
    recordFailure(response.Status ? "status " + std::to_string(response.Status)
                                  : response.Error);
  if (Backoff.count() > 0)
    waitForBackoff(AtRevision);
}

void DocumentReader::State::processDocument(const std::string &Text,
                                            uint64_t From) {
  uint64_t number = OnDocument(Text);
  if (number == 0)
    return recordFailure("document without a number");
  // The service's replica lags behind the others; its document has been read
  // before.
  if (number <= From)
    return recordFailure("document " + std::to_string(number) + " after " +
                         std::to_string(From));
  {
    std::lock_guard lock(Mutex);
    After = std::max(After, number);
    if (Reading == Mode::ReadOnce)
      Reading = Mode::Idle;
  }
  recordSuccess();
}

void DocumentReader::State::recordSuccess() {
  LastResponseAt.store(Clock::now());
  if (Failing)
    log(LogLevel::Info, Module, "reading from the platform again",
        {{"what", Options.Name}});
  Failing = false;
  Backoff = Milliseconds(0);
}

// Logs only the first of several consecutive failures.
void DocumentReader::State::recordFailure(const std::string &Reason) {
  if (!Failing)
    log(LogLevel::Warn, Module, "can't read from the platform",
        {{"what", Options.Name}, {"reason", Reason}});
  Failing = true;
  Backoff = std::clamp(Backoff * 2, Options.MinBackoff, Options.MaxBackoff);
}

void DocumentReader::State::waitForBackoff(uint64_t AtRevision) {
  std::uniform_int_distribution<int64_t> spread(Backoff.count() / 2,
                                                Backoff.count());
  Milliseconds delay(spread(Random));
  std::unique_lock lock(Mutex);
  Changed.wait_for(lock, delay,
                   [&] { return Stopping || Revision != AtRevision; });
}

bool DocumentReader::State::isObsolete(uint64_t AtRevision) {
  std::lock_guard lock(Mutex);
  return Stopping || Revision != AtRevision;
}

} // namespace crocusspur::internal
