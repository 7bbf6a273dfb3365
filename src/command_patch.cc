// The command `patch check`: shows the result of a patch to a document in a
// file or to the active version of a running process.
#include "command.h"
#include "operator_client.h"
#include "patch_report.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

namespace crocusspur::internal {
namespace {

constexpr int BadInput = 2;
constexpr int Refused = 3;

struct PatchArguments {
  std::string PatchFile;
  std::string DocumentFile;
  std::string Address;
};

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream in(Path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    std::cerr << "crocusspur: " << Path << ": can't be read\n";
    return std::nullopt;
  }
  return text.str();
}

ConfigPtr readDocument(const std::string &Path) {
  std::optional<std::string> text = readFile(Path);
  if (!text)
    return nullptr;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ConfigPtr> {
        return parseConfigDocument(*text);
      },
      [&](const DiagnosticList &List) -> ConfigPtr {
        for (const Diagnostic &it : List.Diagnostics)
          std::cerr << Path << ": " << it.str() << '\n';
        return nullptr;
      },
      []() -> ConfigPtr { return nullptr; });
}

int checkAgainstFile(const std::string &Patch, const std::string &Path) {
  ConfigPtr active = readDocument(Path);
  if (!active)
    return BadInput;
  PatchResult verdict = evaluatePatch(*active, Patch);
  if (!verdict.Accepted) {
    std::cerr << describePatchRejection(verdict) << '\n';
    return Refused;
  }
  std::cout << verdict.Result->Text << '\n';
  return 0;
}

int checkAgainstProcess(const std::string &Patch, const std::string &Address) {
  OperatorReply reply =
      callOperator(Address, operatorToken(), "/admin/v1/config/patches", Patch);
  if (reply.Status == 200) {
    std::cout << reply.Body << '\n';
    return 0;
  }
  std::cerr << "crocusspur: " << Address << ": " << reply.Body << '\n';
  return reply.Status == 409 || reply.Status == 422 ? Refused : 1;
}

int check(const PatchArguments &Arguments) {
  std::optional<std::string> patch = readFile(Arguments.PatchFile);
  if (!patch)
    return BadInput;
  return Arguments.DocumentFile.empty()
             ? checkAgainstProcess(*patch, Arguments.Address)
             : checkAgainstFile(*patch, Arguments.DocumentFile);
}

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *patch =
      Program.add_subcommand("patch", "Work with configuration patches");
  patch->require_subcommand(1);
  CLI::App *command = patch->add_subcommand(
      "check",
      "Print the document that results from a patch, or why it is "
      "refused\n(exit code 0: accepted; 1: no response from the process; "
      "2: a file\ncan't be read; 3: refused. Token from "
      "CROCUSSPUR_OPERATOR_TOKEN)");
  auto values = std::make_shared<PatchArguments>();
  values->Address = "127.0.0.1:8081";
  command->add_option("patch", values->PatchFile, "Patch file (JSON)")
      ->required();
  command->add_option("--against", values->DocumentFile,
                      "Configuration document to patch (JSON)");
  command
      ->add_option("--address", values->Address,
                   "Operators' address of a running process, used without "
                   "--against")
      ->capture_default_str();
  command->callback([values, &ExitCode] { ExitCode = check(*values); });
}};

} // namespace
} // namespace crocusspur::internal
