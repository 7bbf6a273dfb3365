#include "command.h"
#include "crocusspur/kernel.h"
#include "log.h"
#include "process_setup.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <string>

namespace crocusspur::internal {
namespace {

// `Trace`: trace file to write; empty: the one that the settings name, if any.
int serve(const std::string &File, const std::string &Trace) {
  std::optional<Settings> values =
      loadOrPrintDiagnostics<Settings>(loadSettings, File);
  if (!values)
    return InvalidSettingsExitCode;
  if (!Trace.empty())
    values->RecordPath = Trace;
  // Drawn before the plug-ins start, since the trace's header records it.
  values->Core.Incarnation = randomIncarnation();
  // Received by the plug-in core_thread.
  blockSignals({SIGTERM, SIGINT, SIGUSR1});
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
      "serve", "Run one instance until SIGTERM or SIGINT, then finish its\n"
               "requests; SIGUSR1 logs the state (exit code 0: shut down;\n"
               "1: a plug-in could not start; 2: the settings have errors)");
  auto file = addSettingsOption(command);
  command->callback([file, &ExitCode] { ExitCode = serve(*file, ""); });
}};

const CommandRegistration Record{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "record", "Run one instance as serve does and record a trace for replay\n"
                "(without prompts and responses, but with idempotency keys)");
  auto file = addSettingsOption(command);
  auto trace = std::make_shared<std::string>();
  command->add_option("--trace", *trace, "File to write")->required();
  command->callback(
      [file, trace, &ExitCode] { ExitCode = serve(*file, *trace); });
}};

} // namespace
} // namespace crocusspur::internal
