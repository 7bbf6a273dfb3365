#include "command_version.h"

#include "command.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace crocusspur::internal {

int runVersion() {
  std::cout << "crocusspur " << CROCUSSPUR_VERSION << '\n';
  return 0;
}

namespace {

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  Program.add_subcommand("version", "Print the version (exit code 0)")
      ->callback([&ExitCode] { ExitCode = runVersion(); });
}};

} // namespace
} // namespace crocusspur::internal
