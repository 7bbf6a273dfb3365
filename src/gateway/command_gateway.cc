#include "command.h"
#include "crocusspur/kernel.h"
#include "gateway/adapter.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <CLI/CLI.hpp>
#include <boost/leaf.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <pthread.h>
#include <random>

namespace crocusspur::gateway {
namespace {

constexpr int BadSettings = 2;

// Threads inherit the mask, so it is set before the first one starts; the
// plug-in `lifecycle` takes the signals with sigwait.
void blockSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (int it : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2})
    sigaddset(&set, it);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

uint64_t randomIncarnation() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

struct GatewayOptions {
  std::string AdapterName = "platform";
  std::string SettingsFile; // empty: as the environment says
  std::string LogLevel = "info";
  uint16_t MetricsPort = 0; // 0: metrics are served with readiness only
};

std::optional<GatewaySettings> readSettings(const Adapter &Edge,
                                            const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<GatewaySettings>> {
        BOOST_LEAF_AUTO(values, Edge.LoadSettings(File));
        return std::optional<GatewaySettings>(std::move(values));
      },
      [](const MistakeList &Mistakes) -> std::optional<GatewaySettings> {
        for (const Mistake &it : Mistakes.Mistakes)
          std::cerr << it.str() << '\n';
        return std::nullopt;
      },
      [&]() -> std::optional<GatewaySettings> {
        std::cerr << File << ": could not be read\n";
        return std::nullopt;
      });
}

int run(GatewayOptions Options) {
  const Adapter *edge = findAdapter(Options.AdapterName);
  if (!edge) {
    std::cerr << "crocusspur: there is no adapter " << Options.AdapterName
              << '\n';
    return BadSettings;
  }
  if (Options.SettingsFile.empty())
    if (const char *path = std::getenv(edge->SettingsVariable.c_str()))
      Options.SettingsFile = path;
  std::optional<GatewaySettings> values =
      readSettings(*edge, Options.SettingsFile);
  if (!values)
    return BadSettings;
  values->LogLevel = Options.LogLevel;
  if (Options.MetricsPort != 0)
    values->MetricsAddress =
        values->CallerAddress.substr(0, values->CallerAddress.rfind(':') + 1) +
        std::to_string(Options.MetricsPort);
  blockSignals();
  internal::startLogging(values->LogLevel, values->Instance,
                         internal::LogStream::StandardOutput);
  int code = 1;
  {
    Settings kernelValues;
    kernelValues.Instance = values->Instance;
    GatewayRuntime runtime(*edge, std::move(*values), Options.SettingsFile,
                           randomIncarnation());
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
          "reads the settings again, SIGUSR1 logs the state (exit codes as\n"
          "for serve)");
      auto options = std::make_shared<GatewayOptions>();
      command->add_option("--adapter", options->AdapterName,
                          "What callers, servers and the store speak");
      command->add_option("--settings", options->SettingsFile,
                          "Settings file; default: as the adapter's\n"
                          "environment variable says");
      command->add_option("--log-level", options->LogLevel,
                          "debug, info, warn or error");
      command->add_option("--metrics-port", options->MetricsPort,
                          "Port of /metrics and /state on the callers' IP");
      command->callback([options, &ExitCode] { ExitCode = run(*options); });
    }};

} // namespace
} // namespace crocusspur::gateway
