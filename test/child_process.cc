#include "child_process.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace crocusspur::test {
namespace {

constexpr Milliseconds PollPeriod{5};

[[noreturn]] void runChild(char *const *Arguments, int Output) {
  // Kills the child when the thread that started it ends, even if a test
  // crashes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  execv(Arguments[0], Arguments);
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> Arguments) {
  std::vector<char *> pointers;
  for (std::string &it : Arguments)
    pointers.push_back(it.data());
  pointers.push_back(nullptr);
  int ends[2];
  // Closed on exec, so that no child holds another child's pipe open.
  if (pipe2(ends, O_CLOEXEC) != 0 || (Pid = fork()) < 0) {
    std::perror("can't start child process");
    std::abort();
  }
  if (Pid == 0)
    runChild(pointers.data(), ends[1]);
  close(ends[1]);
  Reader =
      std::thread([this, descriptor = ends[0]] { readOutput(descriptor); });
}

ChildProcess::~ChildProcess() {
  if (!reap()) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  Reader.join();
}

void ChildProcess::readOutput(int Descriptor) {
  FILE *stream = fdopen(Descriptor, "r");
  char *buf = nullptr;
  size_t size = 0;
  ssize_t n = 0;
  while ((n = getline(&buf, &size, stream)) > 0) {
    std::string line(buf, static_cast<size_t>(n));
    if (line.back() == '\n')
      line.pop_back();
    std::lock_guard lock(Mutex);
    Lines.push_back(line);
    Changed.notify_all();
  }
  std::free(buf);
  std::fclose(stream);
  std::lock_guard lock(Mutex);
  OutputEnded = true;
  Changed.notify_all();
}

std::optional<std::string> ChildProcess::waitForLine(
    const std::function<bool(const std::string &)> &Matches,
    Milliseconds Limit) {
  std::unique_lock lock(Mutex);
  size_t next = 0;
  auto found = [&] {
    while (next < Lines.size() && !Matches(Lines[next]))
      ++next;
    return next < Lines.size();
  };
  Changed.wait_for(lock, Limit, [&] { return found() || OutputEnded; });
  if (!found())
    return std::nullopt;
  return Lines[next];
}

std::string ChildProcess::output() const {
  std::lock_guard lock(Mutex);
  std::string text;
  for (const std::string &it : Lines)
    text += it + "\n";
  return text;
}

void ChildProcess::signal(int Number) {
  if (!reap())
    kill(Pid, Number);
}

std::optional<int> ChildProcess::waitForExit(Milliseconds Limit) {
  eventually([this] { return reap(); }, Limit);
  // The last lines may still be in the pipe.
  std::unique_lock lock(Mutex);
  if (ExitCode)
    Changed.wait_for(lock, Limit, [this] { return OutputEnded; });
  return ExitCode;
}

bool ChildProcess::reap() {
  int status = 0;
  if (!ExitCode && waitpid(Pid, &status, WNOHANG) == Pid)
    ExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return ExitCode.has_value();
}

bool eventually(const std::function<bool()> &Condition, Milliseconds Limit) {
  auto end = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

} // namespace crocusspur::test
