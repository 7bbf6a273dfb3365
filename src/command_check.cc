#include "command_check.h"

#include "command.h"
#include "crocusspur/settings.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <memory>

namespace crocusspur::internal {

int runCheck(const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(loadSettings(File));
        std::cout << File << ": ok\n";
        return 0;
      },
      [](const MistakeList &List) {
        for (const Mistake &it : List.Mistakes)
          std::cerr << it.str() << '\n';
        return 2;
      },
      [&] {
        std::cerr << File << ": internal error while reading\n";
        return 2;
      });
}

namespace {

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "check", "Report all mistakes of a settings file, one a line\n"
               "(exit code 0: none; 2: mistakes, or the file can't be read)");
  auto file = std::make_shared<std::string>();
  command->add_option("FILE", *file, "Settings file (TOML)")->required();
  command->callback([file, &ExitCode] { ExitCode = runCheck(*file); });
}};

} // namespace
} // namespace crocusspur::internal
