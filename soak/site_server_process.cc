#include "site_server_process.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace crocusspur::soak {
namespace {

constexpr Milliseconds StartTime{10000};
const char *const ListensAt = "port ";
const char *const RunOf = "run ";

std::string textOf(const SiteServerTerms &Terms) {
  const SiteServerOptions &streams = Terms.Streams;
  std::ostringstream out;
  out << streams.Id << ' ' << streams.Version << ' ' << streams.BreakPercent
      << ' ' << streams.Seed << ' ' << streams.CopyPercent << ' ' << Terms.Seed
      << ' ' << Terms.FormSeed << ' ' << Terms.StartedAt << ' ' << Terms.Port
      << ' ' << Terms.FirstRun << ' ' << streams.FailFirstPercent << ' '
      << streams.LeastPause.count();
  return out.str();
}

SiteServerTerms parseTerms(const std::string &Text) {
  SiteServerTerms terms;
  SiteServerOptions &streams = terms.Streams;
  std::istringstream in(Text);
  Milliseconds::rep pause = 0;
  in >> streams.Id >> streams.Version >> streams.BreakPercent >> streams.Seed >>
      streams.CopyPercent >> terms.Seed >> terms.FormSeed >> terms.StartedAt >>
      terms.Port >> terms.FirstRun >> streams.FailFirstPercent >> pause;
  streams.LeastPause = Milliseconds(pause);
  if (!in)
    throw std::invalid_argument("terms of a server: " + Text);
  return terms;
}

// Lines of several threads stay whole, and are written before what follows.
void print(const std::string &Line) {
  std::string text = Line + "\n";
  [[maybe_unused]] ssize_t n = ::write(STDOUT_FILENO, text.data(), text.size());
}

} // namespace

int serveSite(const std::string &Text) {
  SiteServerTerms terms = parseTerms(Text);
  EventForm form = drawForm(terms.FormSeed);
  terms.Streams.Form = &form;
  StreamHook streams = makeSiteStreams(terms.Streams);
  RunCounter executions;
  SoakServer server(
      executions, terms.Seed, terms.Streams.Id, terms.Streams.Version,
      terms.StartedAt,
      [&](SoakServer &Self, const StreamCall &Call) {
        print(RunOf + Call.RequestId);
        return streams(Self, {Call.Fd, Call.Request, Call.RequestId,
                              terms.FirstRun + Call.Run});
      },
      terms.Port);
  print(ListensAt + server.address().substr(server.address().find(':') + 1));
  while (true)
    ::pause();
}

SiteServerProcess::SiteServerProcess(const SiteServerTerms &Terms)
    : Terms(Terms),
      Child(std::make_unique<test::ChildProcess>(std::vector<std::string>{
          std::filesystem::read_symlink("/proc/self/exe").string(), "--serve",
          textOf(Terms)})) {
  auto line = Child->waitForLine(
      [](const std::string &It) { return It.starts_with(ListensAt); },
      StartTime);
  if (!line)
    throw std::runtime_error("a server didn't start: " + Child->output());
  Port = static_cast<uint16_t>(
      std::stoi(line->substr(std::string(ListensAt).size())));
}

void SiteServerProcess::kill(Milliseconds Stopped) {
  if (Stopped > Milliseconds(0)) {
    Child->signal(SIGSTOP);
    std::this_thread::sleep_for(Stopped);
  }
  Child->signal(SIGKILL);
  Child->waitForExit(StartTime);
}

void SiteServerProcess::countRuns(std::map<std::string, int> &Runs) const {
  std::istringstream in(Child->output());
  const std::string prefix = RunOf;
  for (std::string line; std::getline(in, line);)
    if (line.starts_with(prefix))
      ++Runs[line.substr(prefix.size())];
}

} // namespace crocusspur::soak
