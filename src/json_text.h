// Writes JSON strings and parses the flat JSON objects of engine streams. The
// parser builds no document because it runs once for every token.
#ifndef CROCUSSPUR_JSON_TEXT_H
#define CROCUSSPUR_JSON_TEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusspur::internal {

// Appends the text as a JSON string with quotes.
void appendJsonString(std::string &Out, std::string_view Text);
std::string jsonString(std::string_view Text);

// One event of a decode stream.
struct EngineEvent {
  bool Imported = false;
  bool Done = false;
  bool HasIndex = false;
  bool HasToken = false;
  uint64_t Index = 0;
  uint64_t Tokens = 0;
  // Content of the JSON string, still escaped and without quotes, so that it
  // can be inserted into another JSON string unchanged. Points into the input.
  std::string_view RawToken;
};

// Returns false if the text isn't a JSON object or a known field has the wrong
// type. Unknown fields are ignored.
bool parseEngineEvent(std::string_view Text, EngineEvent &Event);

} // namespace crocusspur::internal

#endif
