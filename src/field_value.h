// What may stand in the head of a message. Names that come from a server, a
// peer or the store are checked with these before they are written into one.
#ifndef CROCUSSPUR_FIELD_VALUE_H
#define CROCUSSPUR_FIELD_VALUE_H

#include <algorithm>
#include <string_view>

namespace crocusspur::internal {

// Whether the text may be the value of a header field.
inline bool isFieldValue(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](char It) {
    return (static_cast<unsigned char>(It) < ' ' && It != '\t') || It == 127;
  });
}

// Whether the text may be a segment of a path, and so a field's value: visible
// ASCII without the delimiters of a path.
inline bool isPathSegment(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char It) {
    return It > ' ' && It < 127 && It != '/' && It != '?' && It != '#';
  });
}

} // namespace crocusspur::internal

#endif
