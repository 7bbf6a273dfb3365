#include "command.h"

#include <CLI/CLI.hpp>

int main(int Argc, char **Argv) {
  CLI::App program("Router for separate prefill and decode pools",
                   "crocusspur");
  program.require_subcommand(1);
  int exitCode = 0;
  for (const auto &it : crocusspur::internal::registeredCommands())
    it(program, exitCode);
  try {
    program.parse(Argc, Argv);
  } catch (const CLI::ParseError &error) {
    // Exit code 2 stands for wrong usage, as for bad settings.
    return program.exit(error) == 0 ? 0 : 2;
  }
  return exitCode;
}
