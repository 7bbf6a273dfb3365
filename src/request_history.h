// Collects from the log lines of several instances what they say of one
// request.
#ifndef CROCUSSPUR_REQUEST_HISTORY_H
#define CROCUSSPUR_REQUEST_HISTORY_H

#include <istream>
#include <string>
#include <vector>

namespace crocusspur::internal {

struct HistoryEntry {
  std::string Timestamp;
  std::string Instance;
  std::string Module;
  std::string Message;
  std::string Fields; // "name=value", separated by spaces
};

// Appends the lines that name the request. Text before a line's JSON object,
// as log collectors add it, and lines that aren't JSON are passed over.
void collectHistory(std::istream &Log, const std::string &RequestId,
                    std::vector<HistoryEntry> &History);

// In order of time; lines of the same time stay in the order of the logs.
void sortHistory(std::vector<HistoryEntry> &History);

std::string formatHistory(const std::vector<HistoryEntry> &History);

} // namespace crocusspur::internal

#endif
