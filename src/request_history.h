// Collects the log lines of several instances about one request, and about the
// crashes of servers under requests with the same content.
#ifndef CROCUSSPUR_REQUEST_HISTORY_H
#define CROCUSSPUR_REQUEST_HISTORY_H

#include <istream>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::internal {

struct HistoryEntry {
  std::string Timestamp;
  std::string Instance;
  std::string Module;
  std::string Message;
  std::string Content; // fingerprint of the request's content; empty: none
  std::string Fields;  // "name=value", separated by spaces
};

// Appends the lines about the request. Skips text before a line's JSON object,
// which log collectors add, and lines that aren't JSON.
void collectHistory(std::istream &Log, const std::string &RequestId,
                    std::vector<HistoryEntry> &History);

// Appends what instances have seen, told each other and concluded about the
// contents, except for lines about the request itself.
void collectCrashes(std::istream &Log, const std::set<std::string> &Contents,
                    const std::string &RequestId,
                    std::vector<HistoryEntry> &History);

// Sorts by time; lines of the same time stay in the order of the logs.
void sortHistory(std::vector<HistoryEntry> &History);

std::string formatHistory(const std::vector<HistoryEntry> &History);

} // namespace crocusspur::internal

#endif
