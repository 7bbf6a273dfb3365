// Commands of the program. Each command registers itself from its own file, so
// main refers to none of them by name.
#ifndef CROCUSSPUR_COMMAND_H
#define CROCUSSPUR_COMMAND_H

#include <functional>
#include <vector>

// The name is CLI11's.
// NOLINTNEXTLINE(readability-identifier-naming)
namespace CLI {
class App;
} // namespace CLI

namespace crocusspur::internal {

// Adds a subcommand to the program. Its callback stores the exit code of the
// process in `ExitCode`, which outlives the parsing.
using CommandSetup = std::function<void(CLI::App &Program, int &ExitCode)>;

// Registers a command from a namespace-scope object.
class CommandRegistration {
public:
  explicit CommandRegistration(CommandSetup Setup);
};

const std::vector<CommandSetup> &registeredCommands();

} // namespace crocusspur::internal

#endif
