// The kernel starts and stops the plug-ins of a process. Plug-ins register
// themselves at load time; the kernel refers to none of them by name.
#ifndef CROCUSSPUR_KERNEL_H
#define CROCUSSPUR_KERNEL_H

#include "crocusspur/settings.h"
#include "crocusspur/timer_service.h"

#include <functional>
#include <memory>
#include <string>
#include <typeinfo>

namespace crocusspur {

class Kernel;

// Order of start; stop runs in reverse.
enum class Phase : uint8_t { Foundation, Core, PeerLinks, Listeners };

class Plugin {
public:
  virtual ~Plugin() = default;
  // Must not throw. Returns false after logging the reason if it can't start.
  virtual bool start(Kernel &Owner) = 0;
  // Called once if start() returned true, for all plug-ins before the first one
  // is stopped: tells the plug-in's threads to end, so that stop() needn't wait
  // for each plug-in's in turn. Must not block.
  virtual void prepareStop() {}
  // Called once if start() returned true. Must join the plug-in's threads.
  virtual void stop() = 0;
};

// The programs of the binary that run a kernel; a plug-in names those that it
// is part of.
enum class Program : uint8_t { Serve, Gateway, Both };

struct PluginEntry {
  std::string Name;
  Phase Start = Phase::Foundation;
  std::function<std::unique_ptr<Plugin>()> Make;
  Program PartOf = Program::Serve;
};

// Registers a plug-in from a namespace-scope object:
//   const PluginRegistration Registration{
//       {"peer_link", Phase::PeerLinks, ...}};
class PluginRegistration {
public:
  explicit PluginRegistration(PluginEntry Entry);
};

class Kernel {
public:
  explicit Kernel(Settings Values);
  ~Kernel();

  const Settings &settings() const { return Values; }
  TimerService &timers() { return Timers; }

  // Interfaces between plug-ins, keyed by type. provide() is called in start(),
  // before any plug-in of a later phase starts; find() returns null if no
  // plug-in provides the type, and after stop() has started. The provider keeps
  // ownership. It's destroyed only after all plug-ins have stopped, and must
  // tolerate calls after its own stop(). Both functions are thread-safe.
  template <typename T> void provide(T *Interface);
  template <typename T> T *find() const;

  // Starts all registered plug-ins of the program. On failure stops those
  // started, in reverse order, and returns false.
  bool start(Program Run = Program::Serve);
  void stop();

  // Blocks until requestExit() is called.
  void waitForExit();
  // Thread-safe; `Code` becomes the exit code of the process.
  void requestExit(int Code);
  int exitCode() const;

private:
  void provideAny(const std::string &TypeName, void *Interface);
  void *findAny(const std::string &TypeName) const;

  struct State;
  Settings Values;
  TimerService Timers;
  std::unique_ptr<State> Impl;
};

template <typename T> void Kernel::provide(T *Interface) {
  provideAny(typeid(T).name(), Interface);
}

template <typename T> T *Kernel::find() const {
  return static_cast<T *>(findAny(typeid(T).name()));
}

} // namespace crocusspur

#endif
