// A decode server of the site shape as a process of its own, which can be
// killed: the kernel then ends its connections as an orderly close does.
#ifndef CROCUSSPUR_SOAK_SITE_SERVER_PROCESS_H
#define CROCUSSPUR_SOAK_SITE_SERVER_PROCESS_H

#include "child_process.h"
#include "site_servers.h"

#include <map>
#include <memory>
#include <string>

namespace crocusspur::soak {

struct SiteServerTerms {
  SiteServerOptions Streams;
  uint64_t Seed = 0;
  uint64_t FormSeed = 0; // of Streams.Form
  int64_t StartedAt = 0; // Unix milliseconds
  uint16_t Port = 0;     // 0: chosen by the kernel
  uint64_t FirstRun = 0; // number of its first run
};

// Serves until the process is killed. `Text`: the terms, as the class below
// writes them on the command line.
int serveSite(const std::string &Text);

class SiteServerProcess {
public:
  // Starts this program with the option --serve and waits until it listens.
  // The process ends with the thread that starts it.
  explicit SiteServerProcess(const SiteServerTerms &Terms);

  const std::string &id() const { return Terms.Streams.Id; }
  const std::string &version() const { return Terms.Streams.Version; }
  int64_t startedAt() const { return Terms.StartedAt; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }
  uint16_t port() const { return Port; }
  // Kills the process, after it has been stopped for that long.
  void kill(Milliseconds Stopped = Milliseconds(0));
  // Adds the runs of each request so far, by the request's id.
  void countRuns(std::map<std::string, int> &Runs) const;

private:
  const SiteServerTerms Terms;
  uint16_t Port = 0;
  std::unique_ptr<test::ChildProcess> Child;
};

} // namespace crocusspur::soak

#endif
