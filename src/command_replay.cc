// The command `replay`: feeds a recorded trace to a new decision core.
#include "command.h"
#include "crocusspur/trace.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <memory>

namespace crocusspur::internal {
namespace {

constexpr int BadTrace = 2;
constexpr int Different = 3;

int replay(const std::string &File) {
  std::ifstream in(File);
  if (!in) {
    std::cerr << "crocusspur: " << File << ": can't be read\n";
    return BadTrace;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(result, replayTrace(in, std::cout));
        std::cerr << result.Events << " events, " << result.Actions
                  << " actions, " << result.Differences << " differences\n";
        return result.Differences == 0 ? 0 : Different;
      },
      [&](const DiagnosticList &List) {
        for (const Diagnostic &it : List.Diagnostics)
          std::cerr << File << ": " << it.str() << '\n';
        return BadTrace;
      },
      [&] {
        std::cerr << File << ": internal error while replaying\n";
        return BadTrace;
      });
}

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "replay", "Feed a recorded trace to the decision core and print its "
                "actions\n(exit code 0: they match the recorded ones, or none "
                "are recorded;\n2: not a valid trace; 3: they differ)");
  auto file = std::make_shared<std::string>();
  command->add_option("trace", *file, "Trace file (JSON lines)")->required();
  command->callback([file, &ExitCode] { ExitCode = replay(*file); });
}};

} // namespace
} // namespace crocusspur::internal
