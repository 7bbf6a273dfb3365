#include "log.h"

#include <atomic>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <memory>

namespace crocusspur::internal {
namespace {

// Lines below this level are dropped before any work is done for them. Off
// until startLogging(), so that tests and short commands log nothing.
std::atomic<int> Threshold{static_cast<int>(LogLevel::Error) + 1};
std::string InstanceName;

// Lines that can wait for the writer; further ones are dropped. At 160 requests
// per second and instance the buffer lasts about 50 s.
constexpr int BufferedLines = 8192;

LogLevel levelFromName(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warn")
    return LogLevel::Warn;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

log4cxx::LevelPtr toLog4cxx(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

} // namespace

void startLogging(const std::string &Level, const std::string &Instance,
                  LogStream Stream) {
  InstanceName = Instance;
  auto console = std::make_shared<log4cxx::ConsoleAppender>(
      std::make_shared<log4cxx::JSONLayout>(),
      Stream == LogStream::StandardOutput
          ? log4cxx::ConsoleAppender::getSystemOut()
          : log4cxx::ConsoleAppender::getSystemErr());
  auto appender = std::make_shared<log4cxx::AsyncAppender>();
  // A log reader that stops reading must not block the core and the relays.
  appender->setBlocking(false);
  appender->setBufferSize(BufferedLines);
  appender->addAppender(console);
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getDebug());
  Threshold.store(static_cast<int>(levelFromName(Level)));
}

void stopLogging() {
  Threshold.store(static_cast<int>(LogLevel::Error) + 1);
  log4cxx::LogManager::shutdown();
}

bool isLogged(LogLevel Level) {
  return static_cast<int>(Level) >= Threshold.load(std::memory_order_relaxed);
}

// JSONLayout writes the mapped diagnostic context as the object `context_map`,
// which is how the fields reach the line.
void log(LogLevel Level, const char *Module, const std::string &Message,
         const LogFields &Fields) {
  if (!isLogged(Level))
    return;
  log4cxx::MDC::put("instance", InstanceName);
  for (const auto &it : Fields)
    log4cxx::MDC::put(it.first, it.second);
  log4cxx::Logger::getLogger(Module)->log(toLog4cxx(Level), Message,
                                          log4cxx::spi::LocationInfo());
  log4cxx::MDC::clear();
}

} // namespace crocusspur::internal
