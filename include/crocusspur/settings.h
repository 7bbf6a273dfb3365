// Settings of one process, read once at start from a TOML file.
#ifndef CROCUSSPUR_SETTINGS_H
#define CROCUSSPUR_SETTINGS_H

#include "crocusspur/decision_core.h"
#include "crocusspur/errors.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace crocusspur {

struct Settings {
  // [instance]
  std::string Instance;
  std::string Region;
  std::string FailureDomain;

  // [callers]
  std::string CallerAddress = "127.0.0.1:8080"; // port 0: chosen by the system
  uint32_t MaxConnections = 1024;
  uint32_t MaxHeaderFields = 64;
  uint32_t MaxBodyBytes = 1048576; // with a key it must fit a peer frame
  Milliseconds IdleTimeout{30000};

  // [operators]
  std::string OperatorAddress = "127.0.0.1:8081";
  std::string OperatorTokenDigest; // SHA-256, lower-case hexadecimal

  // [peers]
  std::string PeerAddress = "127.0.0.1:8082";
  std::string PeerKey; // shared secret, at least 16 characters
  uint32_t MaxFrameBytes = 2097152;

  // [platform]
  std::string PlatformAddress;
  Milliseconds PlatformTimeout{2000};
  Milliseconds WatchWait{5000}; // maximum wait of one watch call

  // [backend]
  Milliseconds ConnectTimeout{500};
  Milliseconds LoadPollPeriod{250};

  // [policy] and [timing]; see CoreOptions
  CoreOptions Core;
  Milliseconds ShutdownLimit{30000};

  // [log]
  std::string LogLevel = "info";

  // [trace]
  std::string RecordPath; // empty: no trace is recorded
};

// Parses and checks the text as a whole. `File` is only used in messages. On
// failure the LEAF error carries a DiagnosticList with every error: unknown
// key, wrong type, value out of range, missing key.
boost::leaf::result<Settings> parseSettings(const std::string &Text,
                                            const std::string &File);

// Reads the file and parses it. An unreadable file is reported as one error.
boost::leaf::result<Settings> loadSettings(const std::string &File);

} // namespace crocusspur

#endif
