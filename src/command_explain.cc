#include "command.h"
#include "request_history.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace crocusspur::internal {
namespace {

constexpr int NothingFound = 1;
constexpr int Unreadable = 2;

int explain(const std::vector<std::string> &Files,
            const std::string &RequestId) {
  std::vector<HistoryEntry> history;
  std::set<std::string> contents;
  for (const std::string &it : Files) {
    std::ifstream in(it);
    if (!in) {
      std::cerr << it << ": can't be read\n";
      return Unreadable;
    }
    collectHistory(in, RequestId, history);
  }
  for (const HistoryEntry &it : history)
    if (!it.Content.empty())
      contents.insert(it.Content);
  for (const std::string &it : Files) {
    std::ifstream in(it);
    if (!contents.empty())
      collectCrashes(in, contents, RequestId, history);
  }
  sortHistory(history);
  std::cout << formatHistory(history);
  if (!history.empty())
    return 0;
  std::cerr << "no log line belongs to the request " << RequestId << '\n';
  return NothingFound;
}

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "explain", "Print the log lines of all instances about one request,\n"
                 "and about crashes of servers under its content, ordered by\n"
                 "time (exit code 1: none found)");
  auto files = std::make_shared<std::vector<std::string>>();
  auto request = std::make_shared<std::string>();
  command->add_option("logs", *files, "Log files")->required();
  command->add_option("--request", *request, "Id of the request")->required();
  command->callback(
      [files, request, &ExitCode] { ExitCode = explain(*files, *request); });
}};

} // namespace
} // namespace crocusspur::internal
