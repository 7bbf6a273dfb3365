// The command `route`: asks running instances of the gateway where a request
// would be routed now, and prints why.
#include "command.h"
#include "operator_client.h"

#include <CLI/CLI.hpp>
#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::internal {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int NoResponse = 1;
constexpr int WouldBeRefused = 4;

struct RouteOptions {
  std::vector<std::string> Addresses;
  std::string Host;
  std::string Path;
  std::string Account;
  std::optional<uint64_t> PromptTokens;
  std::optional<uint64_t> OutputTokens;
  bool Json = false;
};

std::string targetOf(const RouteOptions &Options) {
  Poco::URI uri;
  uri.setPath("/route");
  uri.addQueryParameter("host", Options.Host);
  uri.addQueryParameter("path", Options.Path);
  if (!Options.Account.empty())
    uri.addQueryParameter("account", Options.Account);
  if (Options.PromptTokens)
    uri.addQueryParameter("prompt_tokens",
                          std::to_string(*Options.PromptTokens));
  if (Options.OutputTokens)
    uri.addQueryParameter("output_tokens",
                          std::to_string(*Options.OutputTokens));
  return uri.getPathAndQuery();
}

std::string text(const Object &Item, const char *Name) {
  Poco::Dynamic::Var value = Item.get(Name);
  return value.isEmpty() ? "-" : value.toString();
}

// With one decimal, or "-".
std::string figure(const Object &Item, const char *Name) {
  Poco::Dynamic::Var value = Item.get(Name);
  if (value.isEmpty())
    return "-";
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.1f", value.convert<double>());
  return buf;
}

bool flag(const Object &Item, const char *Name) {
  return Item.optValue<bool>(Name, false);
}

std::string stateOf(const Object &Server) {
  std::string bar = Server.optValue<std::string>("bar", "");
  if (!bar.empty())
    return bar;
  std::string state;
  for (const char *it : {"last_resort", "avoided", "full"})
    if (flag(Server, it))
      state += (state.empty() ? "" : ", ") + std::string(it);
  return state.empty() ? "ok" : state;
}

// Rows of cells, each column as wide as its widest cell.
void printTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<size_t> widths;
  for (const auto &row : Rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto &row : Rows) {
    std::string line = "   ";
    for (size_t i = 0; i < row.size(); ++i)
      line += " " + row[i] + std::string(widths[i] - row[i].size(), ' ');
    line.erase(line.find_last_not_of(' ') + 1);
    std::cout << line << '\n';
  }
}

void printStage(const Object &Stage) {
  std::vector<std::vector<std::string>> rows{
      {text(Stage, "stage"), "server", "address", "domain", "load", "pace",
       "knee", "failures", "score", "state"}};
  Array::Ptr servers = Stage.getArray("servers");
  for (size_t i = 0; i < servers->size(); ++i) {
    const Object &server = *servers->getObject(static_cast<unsigned>(i));
    rows.push_back({std::to_string(i + 1), text(server, "server"),
                    text(server, "address"), text(server, "failure_domain"),
                    figure(server, "load"), figure(server, "pace"),
                    figure(server, "knee"), figure(server, "failure_rate"),
                    figure(server, "score"), stateOf(server)});
  }
  printTable(rows);
}

void printService(const Object &Service) {
  std::cout << "  service " << text(Service, "service") << ", weight "
            << text(Service, "weight") << ": " << text(Service, "waiting")
            << " waiting, ranks above " << text(Service, "ranks_above")
            << ", admitted share " << figure(Service, "admitted_share");
  if (text(Service, "reserved_tokens") != "0")
    std::cout << ", reserves " << text(Service, "reserved_tokens") << " tokens";
  std::cout << '\n';
  if (flag(Service, "passed_on"))
    std::cout << "  passed on: this instance reaches no server of it\n";
  if (std::string refusal = text(Service, "refusal"); !refusal.empty())
    std::cout << "  refused now: " << refusal << "; come back after "
              << text(Service, "retry_after_ms") << " ms\n";
  Array::Ptr stages = Service.getArray("stages");
  for (size_t i = 0; i < stages->size(); ++i)
    printStage(*stages->getObject(static_cast<unsigned>(i)));
}

void printExplanation(const Object &Found) {
  std::cout << text(Found, "instance") << ", configuration "
            << text(Found, "config_version") << '\n';
  if (Object::Ptr route = Found.getObject("route"))
    std::cout << "  route " << text(*route, "name") << ": "
              << text(*route, "host") << text(*route, "path_prefix") << ", "
              << text(*route, "kind") << ", priority "
              << text(*route, "priority") << ", target "
              << text(*route, "latency_target_ms") << " ms, timeout "
              << text(*route, "timeout_ms") << " ms, up to "
              << text(*route, "max_servers") << " servers\n";
  if (std::string refusal = text(Found, "refusal"); !refusal.empty())
    std::cout << "  refused: " << refusal << '\n';
  if (Object::Ptr quota = Found.getObject("quota")) {
    std::cout << "  quota: " << text(*quota, "tokens") << " tokens of "
              << figure(*quota, "rate_per_s") << " a second";
    if (quota->has("home"))
      std::cout << "; leased here " << text(*quota, "leased_tokens")
                << ", home " << text(*quota, "home");
    std::cout << '\n';
  }
  Array::Ptr services = Found.getArray("services");
  for (size_t i = 0; i < services->size(); ++i)
    printService(*services->getObject(static_cast<unsigned>(i)));
}

int explainRoutes(const RouteOptions &Options) {
  int code = 0;
  for (const std::string &address : Options.Addresses) {
    OperatorReply reply = callOperator(address, "", targetOf(Options), "");
    Object::Ptr found;
    if (reply.Status == 200) {
      try {
        found = Poco::JSON::Parser().parse(reply.Body).extract<Object::Ptr>();
      } catch (const Poco::Exception &error) {
        reply = {0, error.displayText()};
      }
    }
    if (!found) {
      std::cerr << "crocusspur: " << address << ": "
                << (reply.Status ? "status " + std::to_string(reply.Status)
                                 : reply.Body)
                << '\n';
      code = NoResponse;
      continue;
    }
    if (Options.Json)
      std::cout << reply.Body << '\n';
    else
      printExplanation(*found);
    if (code == 0 && flag(*found, "refused"))
      code = WouldBeRefused;
  }
  return code;
}

const CommandRegistration Registration{[](CLI::App &Program, int &ExitCode) {
  CLI::App *command = Program.add_subcommand(
      "route", "Print where instances of the gateway would route a request now,"
               "\nand why, without sending it (exit code 0: every instance "
               "responded;\n1: one didn't; 4: one of them would refuse it)");
  auto options = std::make_shared<RouteOptions>();
  command
      ->add_option(
          "--address", options->Addresses,
          "Address of metrics of an instance, IP:port; may be repeated")
      ->required();
  command->add_option("--host", options->Host, "Host of the request")
      ->required();
  command->add_option("--path", options->Path, "Path of the request")
      ->required();
  command->add_option("--account", options->Account,
                      "Name of the client account");
  command->add_option("--prompt-tokens", options->PromptTokens,
                      "Tokens of the prompt");
  command->add_option("--output-tokens", options->OutputTokens,
                      "Most tokens of the output");
  command->add_flag("--json", options->Json, "One line of JSON an instance");
  command->callback(
      [options, &ExitCode] { ExitCode = explainRoutes(*options); });
}};

} // namespace
} // namespace crocusspur::internal
