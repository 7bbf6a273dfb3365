// Plug-in: handles signals, shutdown and settings changes.
#include "crocusspur/kernel.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <boost/leaf.hpp>
#include <csignal>
#include <optional>
#include <pthread.h>
#include <thread>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

constexpr Milliseconds ShutdownCheckPeriod{100};
// The settings file may change without a signal, so it is polled.
constexpr Milliseconds SettingsPeriod{1000};

class Lifecycle final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

private:
  void handleSignals();
  void beginShutdown();
  void checkShutdown();
  void readSettings(const char *Why);

  Kernel *Owner = nullptr;
  GatewayRuntime *Runtime = nullptr;
  std::thread Thread;
  TimePoint ClosedAt; // when Closing was set
  uint64_t ShutdownTimer = 0;
  uint64_t SettingsTimer = 0;
  bool ExitRequested = false;
};

bool Lifecycle::start(Kernel &Owner) {
  this->Owner = &Owner;
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  Thread = std::thread([this] { handleSignals(); });
  SettingsTimer =
      Owner.timers().every(SettingsPeriod, [this] { readSettings("period"); });
  log(LogLevel::Info, "lifecycle", "started",
      {{"incarnation", std::to_string(Runtime->Incarnation)},
       {"failure_domain", Runtime->Values.FailureDomain},
       {"callers", Runtime->Values.CallerAddress},
       {"store", Runtime->Values.StoreAddress},
       {"peers", Runtime->Values.PeerAddress},
       {"revoke_fail_closed",
        Runtime->Values.Access.FailClosed ? "true" : "false"},
       {"revoke_ms", std::to_string(Runtime->Values.Access.MaxAge.count())}});
  // The age is greatest in a small fleet.
  Milliseconds usualAge = propagationBudget({Runtime->Values.ConfigApplyTime,
                                             Runtime->Values.MaxDrainTime},
                                            /*FleetSize=*/1, /*Selective=*/true)
                              .KnowledgeLifetime;
  if (Runtime->Values.Access.FailClosed &&
      Runtime->Values.Access.MaxAge < usualAge)
    log(LogLevel::Warn, "lifecycle",
        "callers may be refused while the store responds: knowledge of it is "
        "usually older",
        {{"revoke_ms", std::to_string(Runtime->Values.Access.MaxAge.count())},
         {"usual_ms", std::to_string(usualAge.count())}});
  return true;
}

void Lifecycle::stop() {
  Owner->timers().cancel(SettingsTimer);
  Owner->timers().cancel(ShutdownTimer);
  pthread_kill(Thread.native_handle(), SIGUSR2);
  Thread.join();
  log(LogLevel::Info, "lifecycle", "stopped", {});
}

void Lifecycle::handleSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (int it : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2})
    sigaddset(&set, it);
  int signal = 0;
  while (sigwait(&set, &signal) == 0 && signal != SIGUSR2) {
    if (signal == SIGHUP)
      readSettings("signal");
    else if (signal == SIGUSR1)
      log(LogLevel::Info, "lifecycle", "state",
          {{"state", Runtime->Directory.dump()}});
    else if (!Runtime->Stopping.load())
      beginShutdown();
  }
}

void Lifecycle::beginShutdown() {
  ShutdownSchedule schedule{Clock::now(), Runtime->Values.ShutdownLimit};
  Runtime->Shutdown = schedule;
  Runtime->Stopping.store(true);
  Runtime->Origins.handOver();
  auto limit = std::chrono::duration_cast<Milliseconds>(schedule.exitsAt() -
                                                        schedule.StartedAt);
  log(LogLevel::Info, "lifecycle", "shutting down",
      {{"open_requests", std::to_string(Runtime->OpenRequests.load())},
       {"limit_ms", std::to_string(limit.count())}});
  ShutdownTimer =
      Owner->timers().every(ShutdownCheckPeriod, [this] { checkShutdown(); });
}

void Lifecycle::checkShutdown() {
  TimePoint now = Clock::now();
  const ShutdownSchedule &schedule = Runtime->Shutdown;
  bool idle = Runtime->OpenRequests.load() == 0;
  if (!Runtime->Closing.load()) {
    if (now < schedule.closesAt() && !(idle && schedule.mayCloseIdle(now)))
      return;
    ClosedAt = now;
    Runtime->Closing.store(true);
    return;
  }
  if (!schedule.mayExit(!idle, ClosedAt, now) || ExitRequested)
    return;
  ExitRequested = true;
  if (!idle)
    log(LogLevel::Warn, "lifecycle", "exiting with open requests",
        {{"open_requests", std::to_string(Runtime->OpenRequests.load())}});
  Owner->requestExit(0);
}

void Lifecycle::readSettings(const char *Why) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(
            values, Runtime->ActiveAdapter.LoadSettings(Runtime->SettingsFile));
        Runtime->applySettings(values, Why);
        return {};
      },
      [&](const DiagnosticList &Diagnostics) {
        Runtime->logInvalidSettings(Diagnostics, Why);
      },
      [] {});
}

const PluginRegistration Registration{
    {"lifecycle", Phase::Core, [] { return std::make_unique<Lifecycle>(); },
     Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
