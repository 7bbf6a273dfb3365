// A child process of a test with its output lines, signals and exit code.
#ifndef CROCUSSPUR_TEST_CHILD_PROCESS_H
#define CROCUSSPUR_TEST_CHILD_PROCESS_H

#include "crocusspur/types.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::test {

class ChildProcess {
public:
  // Starts the program; the first argument is its path. Aborts the test process
  // if the child can't be created.
  explicit ChildProcess(std::vector<std::string> Arguments);
  // Kills the process if it's still running and waits for its exit.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  // Returns the first line of standard output or standard error that matches,
  // or nothing if none does within the limit or before the output ends.
  std::optional<std::string>
  waitForLine(const std::function<bool(const std::string &)> &Matches,
              Milliseconds Limit);
  // Returns all lines so far, for messages of failed checks.
  std::string output() const;

  int pid() const { return Pid; }
  // No effect after the process has ended.
  void signal(int Number);
  // Returns the exit code (128 + N if killed by signal N), or nothing if the
  // process is still running after the limit. output() is whole then.
  std::optional<int> waitForExit(Milliseconds Limit);

private:
  void readOutput(int Descriptor);
  bool reap();

  int Pid = -1;
  std::optional<int> ExitCode;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Lines;
  bool OutputEnded = false;
  std::thread Reader;
};

// Polls the condition until it's true; returns false after the limit.
bool eventually(const std::function<bool()> &Condition, Milliseconds Limit);

} // namespace crocusspur::test

#endif
