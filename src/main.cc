#include "command.h"

#include <CLI/CLI.hpp>
#include <string>

int main(int Argc, char **Argv) {
  CLI::App program("Router for separate prefill and decode pools",
                   "crocusspur");
  program.require_subcommand(1);
  program.footer(
      "Exit codes: 0 success; 1 the process or call failed; 2 wrong usage, or\n"
      "a file that can't be read or has errors; 3 the patch is refused, or a\n"
      "replay differs from the recorded actions.\n"
      "\n"
      "Getting started: write a settings file (docs/example-settings.toml),\n"
      "test it with 'crocusspur check FILE', then run\n"
      "'crocusspur serve --settings FILE'.");
  // One line only, since the full help would bury the error.
  program.failure_message([](const CLI::App *, const CLI::Error &Error) {
    return std::string("crocusspur: ") + Error.what() +
           " (see crocusspur --help)\n";
  });
  int exitCode = 0;
  for (const auto &it : crocusspur::internal::registeredCommands())
    it(program, exitCode);
  try {
    program.parse(Argc, Argv);
  } catch (const CLI::ParseError &error) {
    // Exit code 2 means wrong usage, as it does for invalid settings.
    return program.exit(error) == 0 ? 0 : 2;
  }
  return exitCode;
}
