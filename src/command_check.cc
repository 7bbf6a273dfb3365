#include "command_check.h"

#include "command.h"
#include "crocusspur/settings.h"
#include "gateway/adapter.h"
#include "process_setup.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace crocusspur::internal {

int runCheck(const std::string &File, const std::string &AdapterName) {
  bool ok = false;
  if (AdapterName.empty()) {
    ok = loadOrPrintDiagnostics<Settings>(loadSettings, File).has_value();
  } else if (const gateway::Adapter *found =
                 gateway::findAdapter(AdapterName)) {
    ok = loadOrPrintDiagnostics<gateway::GatewaySettings>(found->LoadSettings,
                                                          File)
             .has_value();
  }
  if (ok)
    std::cout << File << ": ok\n";
  return ok ? 0 : InvalidSettingsExitCode;
}

namespace {

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "check", "Report all errors in a settings file, one per line\n"
               "(exit code 0: none; 2: errors, or the file can't be read)");
  auto file = std::make_shared<std::string>();
  auto adapter = std::make_shared<std::string>();
  command->add_option("FILE", *file, "Settings file (TOML)")->required();
  command->add_option(
      "--adapter", *adapter,
      "The file holds settings for the gateway in the format of\n"
      "this adapter; without this option, settings for serve");
  command->callback(
      [file, adapter, &ExitCode] { ExitCode = runCheck(*file, *adapter); });
}};

} // namespace
} // namespace crocusspur::internal
