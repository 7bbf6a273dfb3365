// The command `state`: prints the state dump of a running process.
#include "command.h"
#include "operator_client.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace crocusspur::internal {
namespace {

int showState(const std::string &Address) {
  OperatorReply reply =
      callOperator(Address, operatorToken(), "/admin/v1/state", "");
  if (reply.Status == 200) {
    std::cout << reply.Body << '\n';
    return 0;
  }
  std::cerr << "crocusspur: " << Address << ": "
            << (reply.Status ? "status " + std::to_string(reply.Status) : "")
            << (reply.Status ? "" : reply.Body) << '\n';
  return 1;
}

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "state", "Print the state dump of a running process\n"
               "(token from CROCUSSPUR_OPERATOR_TOKEN; exit code 1: the "
               "process\ndid not return it)");
  auto address = std::make_shared<std::string>("127.0.0.1:8081");
  command->add_option("--address", *address, "Operators' address, IP:port")
      ->capture_default_str();
  command->callback([address, &ExitCode] { ExitCode = showState(*address); });
}};

} // namespace
} // namespace crocusspur::internal
