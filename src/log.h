// Structured logs: one JSON object per line, written by log4cxx's asynchronous
// appender. If the reader is too slow, lines are dropped and log4cxx logs their
// number.
#ifndef CROCUSSPUR_LOG_H
#define CROCUSSPUR_LOG_H

#include "crocusspur/types.h"

#include <string>
#include <utility>
#include <vector>

namespace crocusspur::internal {

enum class LogStream : uint8_t { StandardError, StandardOutput };

enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

using LogFields = std::vector<std::pair<const char *, std::string>>;

// Call once before any thread logs. `Level` is debug, info, warn or error.
void startLogging(const std::string &Level, const std::string &Instance,
                  LogStream Stream = LogStream::StandardError);

// Flushes and ends logging.
void stopLogging();

// Returns whether lines of this level are written, so that callers can skip
// building the fields.
bool isLogged(LogLevel Level);

// Writes one line with the message and the fields as JSON strings. Fields must
// never contain prompts, responses, tokens or keys. Thread-safe.
void log(LogLevel Level, const char *Module, const std::string &Message,
         const LogFields &Fields = {});

} // namespace crocusspur::internal

#endif
