#include "crocusspur/kernel.h"

#include "checked_mutex.h"
#include "log.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace crocusspur {
namespace {

// A plug-in that takes longer to stop can keep the process from sending its
// last responses.
constexpr Milliseconds SlowStop{500};

std::vector<PluginEntry> &registry() {
  static std::vector<PluginEntry> Entries;
  return Entries;
}

} // namespace

PluginRegistration::PluginRegistration(PluginEntry Entry) {
  registry().push_back(std::move(Entry));
}

struct Kernel::State {
  struct Running {
    std::string Name;
    std::unique_ptr<Plugin> Part;
  };
  std::vector<Running> Started;
  std::map<std::string, void *> Interfaces;
  bool Stopping = false;
  internal::LeafMutex Mutex; // guards all but Started
  internal::ConditionVariable Exit;
  bool ExitRequested = false;
  int ExitCode = 0;
};

Kernel::Kernel(Settings Values)
    : Values(std::move(Values)), Impl(std::make_unique<State>()) {}

Kernel::~Kernel() { stop(); }

bool Kernel::start(Program Run) {
  // Link order differs between builds; phase and name give a fixed order.
  std::vector<PluginEntry> entries = registry();
  std::sort(entries.begin(), entries.end(),
            [](const PluginEntry &Left, const PluginEntry &Right) {
              return std::pair(Left.Start, Left.Name) <
                     std::pair(Right.Start, Right.Name);
            });
  for (const PluginEntry &it : entries) {
    if (it.PartOf != Run && it.PartOf != Program::Both)
      continue;
    std::unique_ptr<Plugin> plugin = it.Make();
    if (!plugin->start(*this)) {
      stop();
      return false;
    }
    Impl->Started.push_back({it.Name, std::move(plugin)});
  }
  return true;
}

// Threads of a plug-in that is still running may be inside a call to one that
// has been stopped, so no plug-in is destroyed before all have been stopped,
// and find() returns null as soon as stop() starts.
void Kernel::stop() {
  {
    std::lock_guard lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  for (auto it = Impl->Started.rbegin(); it != Impl->Started.rend(); ++it)
    it->Part->prepareStop();
  for (auto it = Impl->Started.rbegin(); it != Impl->Started.rend(); ++it) {
    auto began = std::chrono::steady_clock::now();
    it->Part->stop();
    auto taken = std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now() - began);
    if (taken >= SlowStop)
      internal::log(
          internal::LogLevel::Warn, "kernel", "a plug-in was slow to stop",
          {{"plugin", it->Name}, {"taken_ms", std::to_string(taken.count())}});
  }
  while (!Impl->Started.empty())
    Impl->Started.pop_back();
}

void Kernel::waitForExit() {
  std::unique_lock lock(Impl->Mutex);
  Impl->Exit.wait(lock, [this] { return Impl->ExitRequested; });
}

void Kernel::requestExit(int Code) {
  std::lock_guard lock(Impl->Mutex);
  if (!Impl->ExitRequested)
    Impl->ExitCode = Code;
  Impl->ExitRequested = true;
  Impl->Exit.notify_all();
}

int Kernel::exitCode() const {
  std::lock_guard lock(Impl->Mutex);
  return Impl->ExitCode;
}

void Kernel::provideAny(const std::string &TypeName, void *Interface) {
  std::lock_guard lock(Impl->Mutex);
  Impl->Interfaces[TypeName] = Interface;
}

void *Kernel::findAny(const std::string &TypeName) const {
  std::lock_guard lock(Impl->Mutex);
  if (Impl->Stopping)
    return nullptr;
  auto it = Impl->Interfaces.find(TypeName);
  return it == Impl->Interfaces.end() ? nullptr : it->second;
}

} // namespace crocusspur
