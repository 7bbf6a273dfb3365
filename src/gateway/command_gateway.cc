#include "command.h"
#include "crocusspur/kernel.h"
#include "gateway/adapter.h"
#include "gateway/gateway_runtime.h"
#include "log.h"
#include "process_setup.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <malloc.h>
#include <memory>
#include <optional>

namespace crocusspur::gateway {
namespace {

struct GatewayOptions {
  std::string AdapterName = "platform";
  std::string SettingsFile; // empty: taken from the environment
  std::string LogLevel = "info";
  uint16_t MetricsPort = 0; // 0: metrics are served with readiness only
};

// Buffers of at least this size go back to the system when they are freed. By
// default the allocator raises this size with each one that is freed, up to
// 32 MiB, and each thread's arena keeps what it once had.
constexpr int LargeBufferBytes = 131072;

int run(GatewayOptions Options) {
  ::mallopt(M_MMAP_THRESHOLD, LargeBufferBytes);
  ::mallopt(M_TRIM_THRESHOLD, LargeBufferBytes);
  const Adapter *adapter = findAdapter(Options.AdapterName);
  if (!adapter)
    return internal::InvalidSettingsExitCode;
  if (Options.SettingsFile.empty())
    if (const char *path = std::getenv(adapter->SettingsVariable.c_str()))
      Options.SettingsFile = path;
  std::optional<GatewaySettings> values =
      internal::loadOrPrintDiagnostics<GatewaySettings>(adapter->LoadSettings,
                                                        Options.SettingsFile);
  if (!values)
    return internal::InvalidSettingsExitCode;
  values->LogLevel = Options.LogLevel;
  if (Options.MetricsPort != 0)
    values->MetricsAddress =
        values->CallerAddress.substr(0, values->CallerAddress.rfind(':') + 1) +
        std::to_string(Options.MetricsPort);
  // The lifecycle plug-in handles these signals.
  internal::blockSignals({SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2});
  internal::startLogging(values->LogLevel, values->Instance,
                         internal::LogStream::StandardOutput);
  int code = 1;
  {
    Settings kernelValues;
    kernelValues.Instance = values->Instance;
    GatewayRuntime runtime(*adapter, std::move(*values), Options.SettingsFile,
                           internal::randomIncarnation());
    Kernel kernel(std::move(kernelValues));
    kernel.provide(&runtime);
    if (kernel.start(Program::Gateway)) {
      kernel.waitForExit();
      code = kernel.exitCode();
    }
    kernel.stop();
  }
  internal::stopLogging();
  return code;
}

const internal::CommandRegistration Registration{
    [](CLI::App &Program, int &ExitCode) {
      CLI::App *command = Program.add_subcommand(
          "gateway",
          "Serve published routes by host and path in front of prefill and\n"
          "decode servers and plain services, until SIGTERM or SIGINT; SIGHUP\n"
          "reloads the settings, SIGUSR1 logs the state (exit codes as\n"
          "for serve)");
      auto options = std::make_shared<GatewayOptions>();
      command->add_option("--adapter", options->AdapterName,
                          "Adapter for callers, servers and the store");
      command->add_option("--settings", options->SettingsFile,
                          "Settings file; default: the path in the\n"
                          "adapter's environment variable");
      command->add_option("--log-level", options->LogLevel,
                          "debug, info, warn or error");
      command->add_option("--metrics-port", options->MetricsPort,
                          "Port of /metrics and /state on the callers' IP");
      command->callback([options, &ExitCode] { ExitCode = run(*options); });
    }};

} // namespace
} // namespace crocusspur::gateway
