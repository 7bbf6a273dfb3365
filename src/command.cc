#include "command.h"

#include <utility>

namespace crocusspur::internal {
namespace {

std::vector<CommandSetup> &commands() {
  static std::vector<CommandSetup> Commands;
  return Commands;
}

} // namespace

CommandRegistration::CommandRegistration(CommandSetup Setup) {
  commands().push_back(std::move(Setup));
}

const std::vector<CommandSetup> &registeredCommands() { return commands(); }

} // namespace crocusspur::internal
