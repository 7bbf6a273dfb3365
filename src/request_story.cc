#include "request_story.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>

namespace crocusspur::internal {
namespace {

using Poco::JSON::Object;

// Fields that have a place of their own in the story.
bool isNamedApart(const std::string &Name) {
  return Name == "request" || Name == "instance";
}

StoryLine lineOf(const Object &Line, const Object &Fields) {
  StoryLine item;
  item.Timestamp = Line.optValue<std::string>("timestamp", "");
  item.Module = Line.optValue<std::string>("logger", "");
  item.Message = Line.optValue<std::string>("message", "");
  item.Instance = Fields.optValue<std::string>("instance", "");
  for (const auto &[name, value] : Fields)
    if (!isNamedApart(name))
      item.Fields += (item.Fields.empty() ? "" : " ") + name + "=" +
                     value.convert<std::string>();
  return item;
}

} // namespace

void collectStory(std::istream &Log, const std::string &RequestId,
                  std::vector<StoryLine> &Story) {
  std::string text;
  while (std::getline(Log, text)) {
    // Parsing is slow; most lines are of other requests.
    size_t start = text.find('{');
    if (start == std::string::npos || text.find(RequestId) == std::string::npos)
      continue;
    try {
      auto line =
          Poco::JSON::Parser().parse(text.substr(start)).extract<Object::Ptr>();
      Object::Ptr fields = line->getObject("context_map");
      if (fields && fields->optValue<std::string>("request", "") == RequestId)
        Story.push_back(lineOf(*line, *fields));
    } catch (const std::exception &) {
      // Not a line of ours.
    }
  }
}

void sortStory(std::vector<StoryLine> &Story) {
  std::stable_sort(Story.begin(), Story.end(),
                   [](const StoryLine &Left, const StoryLine &Right) {
                     return Left.Timestamp < Right.Timestamp;
                   });
}

std::string formatStory(const std::vector<StoryLine> &Story) {
  std::string out;
  for (const StoryLine &it : Story)
    out += it.Timestamp + "  " + it.Instance + "  " + it.Message + "  " +
           it.Fields + "\n";
  return out;
}

} // namespace crocusspur::internal
