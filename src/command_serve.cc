#include "command.h"
#include "crocusspur/kernel.h"
#include "log.h"

#include <CLI/CLI.hpp>
#include <boost/leaf.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <pthread.h>
#include <random>
#include <string>

namespace crocusspur::internal {
namespace {

constexpr int BadSettings = 2;

// Threads inherit the mask, so it is set before the first one starts; the
// plug-in core_thread takes the signals with sigwait.
void blockSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

uint64_t randomIncarnation() {
  std::random_device device;
  uint64_t value = 0;
  while (value == 0) // a zero request id stands for none
    value = (static_cast<uint64_t>(device()) << 32) | device();
  return value;
}

std::optional<Settings> readSettings(const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(values, loadSettings(File));
        return std::optional<Settings>(std::move(values));
      },
      [](const MistakeList &Mistakes) -> std::optional<Settings> {
        for (const Mistake &it : Mistakes.Mistakes)
          std::cerr << it.str() << '\n';
        return std::nullopt;
      },
      [&]() -> std::optional<Settings> {
        std::cerr << File << ": could not be read\n";
        return std::nullopt;
      });
}

// `Trace`: file to record a trace to; empty: as the settings say.
int serve(const std::string &File, const std::string &Trace) {
  std::optional<Settings> values = readSettings(File);
  if (!values)
    return BadSettings;
  if (!Trace.empty())
    values->RecordPath = Trace;
  // Drawn before the parts start: the trace's header holds it for the replay.
  values->Core.Incarnation = randomIncarnation();
  blockSignals();
  startLogging(values->LogLevel, values->Instance);
  int code = 1;
  {
    Kernel kernel(std::move(*values));
    if (kernel.start()) {
      kernel.waitForExit();
      code = kernel.exitCode();
    }
    kernel.stop();
  }
  stopLogging();
  return code;
}

std::shared_ptr<std::string> addSettingsOption(CLI::App *Command) {
  auto file = std::make_shared<std::string>();
  Command->add_option("--settings", *file, "Settings file (TOML)")->required();
  return file;
}

const CommandRegistration Serve{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "serve", "Run one instance until SIGTERM or SIGINT, which let its\n"
               "requests end; SIGUSR1 logs the state (exit code 0: shut down;\n"
               "1: a part could not start; 2: the settings have mistakes)");
  auto file = addSettingsOption(command);
  command->callback([file, &ExitCode] { ExitCode = serve(*file, ""); });
}};

const CommandRegistration Record{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "record", "Run one instance as serve does and record a trace for replay\n"
                "(no prompts or answers; idempotency keys are in it)");
  auto file = addSettingsOption(command);
  auto trace = std::make_shared<std::string>();
  command->add_option("--trace", *trace, "File to write")->required();
  command->callback(
      [file, trace, &ExitCode] { ExitCode = serve(*file, *trace); });
}};

} // namespace
} // namespace crocusspur::internal
