// A child process of a test: its output lines, signals and exit code.
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
  // Starts the program; the first argument is its path. Aborts the test
  // process if no child can be made.
  explicit ChildProcess(std::vector<std::string> Arguments);
  // Kills the process if it still runs and waits for its end.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  // Returns the first line of standard output or error for which the function
  // returns true, or nothing after the limit or when the output has ended.
  std::optional<std::string>
  waitForLine(const std::function<bool(const std::string &)> &Matches,
              Milliseconds Limit);
  // All lines up to now, for messages of failed checks.
  std::string output() const;

  int pid() const { return Pid; }
  // No effect after the process has ended.
  void signal(int Number);
  // Returns the exit code, 128 + N after signal N, or nothing after the limit.
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

// Calls the function until it returns true; false after the limit.
bool eventually(const std::function<bool()> &Condition, Milliseconds Limit);

} // namespace crocusspur::test

#endif
