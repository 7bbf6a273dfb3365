// Collects from the log lines of several instances what they say of one
// request.
#ifndef CROCUSSPUR_REQUEST_STORY_H
#define CROCUSSPUR_REQUEST_STORY_H

#include <istream>
#include <string>
#include <vector>

namespace crocusspur::internal {

struct StoryLine {
  std::string Timestamp;
  std::string Instance;
  std::string Module;
  std::string Message;
  std::string Fields; // "name=value", separated by spaces
};

// Appends the lines that name the request. Text before a line's JSON object,
// as log collectors add it, and lines that aren't JSON are passed over.
void collectStory(std::istream &Log, const std::string &RequestId,
                  std::vector<StoryLine> &Story);

// In order of time; lines of the same time stay in the order of the logs.
void sortStory(std::vector<StoryLine> &Story);

std::string formatStory(const std::vector<StoryLine> &Story);

} // namespace crocusspur::internal

#endif
