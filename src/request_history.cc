#include "request_history.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <functional>

namespace crocusspur::internal {
namespace {

using Poco::JSON::Object;

constexpr const char *CrashModule = "crash_monitor"; // as logger

// Fields that aren't listed in HistoryEntry::Fields.
bool isShownSeparately(const std::string &Name) {
  return Name == "request" || Name == "instance";
}

HistoryEntry entryOf(const Object &Line, const Object &Fields) {
  HistoryEntry item;
  item.Timestamp = Line.optValue<std::string>("timestamp", "");
  item.Module = Line.optValue<std::string>("logger", "");
  item.Message = Line.optValue<std::string>("message", "");
  item.Instance = Fields.optValue<std::string>("instance", "");
  item.Content = Fields.optValue<std::string>("content", "");
  for (const auto &[name, value] : Fields)
    if (!isShownSeparately(name))
      item.Fields += (item.Fields.empty() ? "" : " ") + name + "=" +
                     value.convert<std::string>();
  return item;
}

// Appends the lines that the predicate accepts. Parsing is slow and most lines
// are about other requests, so only lines that may match are parsed.
void collectLines(std::istream &Log,
                  const std::function<bool(const std::string &Text)> &MayMatch,
                  const std::function<bool(const Object &Line,
                                           const Object &Fields)> &Matches,
                  std::vector<HistoryEntry> &History) {
  std::string text;
  while (std::getline(Log, text)) {
    size_t start = text.find('{');
    if (start == std::string::npos || !MayMatch(text))
      continue;
    try {
      auto line =
          Poco::JSON::Parser().parse(text.substr(start)).extract<Object::Ptr>();
      Object::Ptr fields = line->getObject("context_map");
      if (fields && Matches(*line, *fields))
        History.push_back(entryOf(*line, *fields));
    } catch (const std::exception &) {
      // Not a log line of this program.
    }
  }
}

} // namespace

void collectHistory(std::istream &Log, const std::string &RequestId,
                    std::vector<HistoryEntry> &History) {
  collectLines(
      Log,
      [&](const std::string &Text) {
        return Text.find(RequestId) != std::string::npos;
      },
      [&](const Object &, const Object &Fields) {
        return Fields.optValue<std::string>("request", "") == RequestId;
      },
      History);
}

void collectCrashes(std::istream &Log, const std::set<std::string> &Contents,
                    const std::string &RequestId,
                    std::vector<HistoryEntry> &History) {
  collectLines(
      Log,
      [](const std::string &Text) {
        return Text.find(CrashModule) != std::string::npos;
      },
      [&](const Object &Line, const Object &Fields) {
        return Line.optValue<std::string>("logger", "") == CrashModule &&
               Contents.contains(Fields.optValue<std::string>("content", "")) &&
               Fields.optValue<std::string>("request", "") != RequestId;
      },
      History);
}

void sortHistory(std::vector<HistoryEntry> &History) {
  std::stable_sort(History.begin(), History.end(),
                   [](const HistoryEntry &Left, const HistoryEntry &Right) {
                     return Left.Timestamp < Right.Timestamp;
                   });
}

std::string formatHistory(const std::vector<HistoryEntry> &History) {
  std::string out;
  for (const HistoryEntry &it : History)
    out += it.Timestamp + "  " + it.Instance + "  " + it.Message + "  " +
           it.Fields + "\n";
  return out;
}

} // namespace crocusspur::internal
