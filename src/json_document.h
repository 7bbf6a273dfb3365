// Parses JSON text from other processes without keeping what nobody reads, so
// that a text of any form takes a bounded amount of memory. A tree of all
// values would take some 300 bytes for each two bytes of "{}".
#ifndef CROCUSSPUR_JSON_DOCUMENT_H
#define CROCUSSPUR_JSON_DOCUMENT_H

#include <Poco/JSON/Object.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace crocusspur::internal {

// Member names. An empty list means all.
using JsonNames = std::span<const std::string_view>;

enum class JsonFault : uint8_t {
  None,
  Invalid, // no JSON object, or nested deeper than allowed
  TooLarge // the values that would be kept exceed the bound
};

struct JsonBounds {
  // Names of the members that are kept, at any depth. Others are skipped with
  // all that they hold.
  JsonNames Kept{};
  // Of the values kept, as they take memory. An element counts until it has
  // been handed over.
  size_t MaxBytes = 1048576;
  size_t MaxDepth = 128; // also of what is skipped
};

// Objects of a list that are handed over one by one and not kept.
struct JsonElements {
  JsonNames Lists; // members of the root that hold such lists
  std::function<void(const Poco::JSON::Object::Ptr &)> OnElement;
};

struct JsonDocument {
  JsonFault Fault = JsonFault::Invalid;
  Poco::JSON::Object::Ptr Root; // null if there is a fault
  // Whether one of the lists was there and held nothing but objects.
  bool HasElements = false;
};

// Throws nothing. If the text turns out to be invalid, elements before that
// place have been handed over. Of members of one name the last one counts.
JsonDocument parseJson(const std::string &Text, const JsonBounds &Bounds,
                       const JsonElements &Elements = {});

} // namespace crocusspur::internal

#endif
