#include "gateway/server_limits.h"

#include "json_text.h"
#include "log.h"

#include <cstdio>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Bounds the log lines about statements that can't be parsed.
constexpr std::chrono::seconds MalformedLogPeriod{10};

} // namespace

std::string limitText(double PerSecond) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f", PerSecond);
  return buf;
}

void ServerLimits::onResponse(const std::string &ServerId,
                              const StatedLimit &Limit, TimePoint SentAt) {
  if (!Limit.PerSecond && !Limit.Malformed && !Any.load())
    return;
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  if (Limit.Malformed && now - MalformedLoggedAt >= MalformedLogPeriod) {
    MalformedLoggedAt = now;
    log(LogLevel::Warn, "server_limits",
        Limit.PerSecond ? "ignored an invalid request limit beside a valid one"
                        : "ignored an invalid request limit",
        {{"server", ServerId}});
  }
  std::optional<ServerLimit> former = Table.find(ServerId, now);
  if (!Table.onResponse(ServerId, Limit, SentAt, now))
    return;
  Any.store(!Table.empty());
  std::optional<ServerLimit> limit = Table.find(ServerId, now);
  log(LogLevel::Info, "server_limits",
      limit ? "server stated a request limit" : "server lifted its limit",
      {{"server", ServerId},
       {"limit_per_s", limit ? limitText(*limit->PerSecond) : ""},
       {"former_per_s", former ? limitText(*former->PerSecond) : ""}});
}

std::vector<ServerLimit> ServerLimits::active() const {
  std::lock_guard lock(Mutex);
  std::vector<ServerLimit> all = Table.known(Clock::now());
  std::erase_if(all, [](const ServerLimit &It) { return !It.PerSecond; });
  return all;
}

std::optional<ServerLimit>
ServerLimits::find(const std::string &ServerId) const {
  if (!Any.load())
    return std::nullopt;
  std::lock_guard lock(Mutex);
  return Table.find(ServerId, Clock::now());
}

std::string ServerLimits::dump() const {
  std::string out = "[";
  const char *separator = "";
  for (const ServerLimit &it : active()) {
    out += separator + std::string("{\"server\":") +
           internal::jsonString(it.ServerId) +
           ",\"limit_per_s\":" + limitText(*it.PerSecond) +
           ",\"age_ms\":" + std::to_string(it.Age.count()) +
           ",\"source\":" + internal::jsonString(it.Source) + "}";
    separator = ",";
  }
  return out + "]";
}

} // namespace crocusspur::gateway
