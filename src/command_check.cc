#include "command_check.h"

#include "command.h"
#include "crocusspur/settings.h"
#include "gateway/adapter.h"
#include "process_setup.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

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

int runCheckPublished(const std::string &File, const std::string &AdapterName) {
  const gateway::Adapter *adapter = gateway::findAdapter(AdapterName);
  if (!adapter)
    return InvalidSettingsExitCode;
  std::vector<Diagnostic> faults;
  std::ifstream in(File);
  std::ostringstream text;
  if (in)
    text << in.rdbuf();
  if (in)
    faults = adapter->CheckConfiguration(text.str());
  else
    faults.push_back({"", 0, "file", "a readable file"});
  for (Diagnostic &it : faults) {
    it.File = File;
    std::cerr << it.str() << "\n";
  }
  if (faults.empty())
    std::cout << File << ": ok\n";
  return faults.empty() ? 0 : InvalidSettingsExitCode;
}

namespace {

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "check", "Report all errors in a settings file or a published\n"
               "configuration, one per line (exit code 0: none; 2: errors, or\n"
               "the file can't be read)");
  auto file = std::make_shared<std::string>();
  auto adapter = std::make_shared<std::string>();
  auto published = std::make_shared<bool>(false);
  command
      ->add_option("FILE", *file,
                   "Settings file (TOML), or published configuration")
      ->required();
  auto *adapterOption = command->add_option(
      "--adapter", *adapter,
      "The file holds settings for the gateway in the format of\n"
      "this adapter; without this option, settings for serve");
  command
      ->add_flag("--published", *published,
                 "The file holds a configuration as the operators publish it\n"
                 "for the gateway: routes, services and accounts")
      ->needs(adapterOption);
  command->callback([file, adapter, published, &ExitCode] {
    ExitCode = *published ? runCheckPublished(*file, *adapter)
                          : runCheck(*file, *adapter);
  });
}};

} // namespace
} // namespace crocusspur::internal
