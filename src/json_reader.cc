#include "json_reader.h"

#include "json_document.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <utility>

namespace crocusspur::internal {
namespace {

// Of the values of a document as they take memory. The text of published ones
// has at most 1 MiB.
constexpr size_t MaxDocumentBytes = 33554432;

} // namespace

struct JsonReader::State {
  std::string File;
  std::string Path;
  DiagnosticList &Diagnostics;
  Poco::JSON::Object::Ptr Object;
};

JsonReader::JsonReader(const std::string &Text, std::string File,
                       DiagnosticList &Diagnostics)
    : Impl(new State{std::move(File), "", Diagnostics, nullptr}) {
  JsonDocument document = parseJson(Text, {.MaxBytes = MaxDocumentBytes});
  Impl->Object = document.Root;
  if (!Impl->Object) {
    Impl->Object = new Poco::JSON::Object;
    addDiagnostic("(document)", document.Fault == JsonFault::TooLarge
                                    ? "values of at most 32 MiB in memory"
                                    : "a JSON object");
  }
}

JsonReader::JsonReader(std::unique_ptr<State> Inner) : Impl(std::move(Inner)) {}

JsonReader::~JsonReader() = default;

bool JsonReader::has(const std::string &Key) const {
  return Impl->Object->has(Key) && !Impl->Object->isNull(Key);
}

std::string JsonReader::path(const std::string &Key) const {
  return Impl->Path + Key;
}

void JsonReader::addDiagnostic(const std::string &Key,
                               const std::string &Expected) {
  Impl->Diagnostics.Diagnostics.push_back({Impl->File, 0, path(Key), Expected});
}

std::string JsonReader::text(const std::string &Key) {
  if (!has(Key)) {
    addDiagnostic(Key, "a string");
    return "";
  }
  std::string value = text(Key, "");
  if (value.empty())
    addDiagnostic(Key, "a string that isn't empty");
  return value;
}

std::string JsonReader::text(const std::string &Key,
                             const std::string &Default) {
  if (!has(Key))
    return Default;
  Poco::Dynamic::Var value = Impl->Object->get(Key);
  if (!value.isString()) {
    addDiagnostic(Key, "a string");
    return Default;
  }
  return value.convert<std::string>();
}

uint64_t JsonReader::number(const std::string &Key) {
  if (!has(Key)) {
    addDiagnostic(Key, "a whole number of 0 or more");
    return 0;
  }
  return number(Key, 0);
}

uint64_t JsonReader::number(const std::string &Key, uint64_t Default) {
  if (!has(Key))
    return Default;
  Poco::Dynamic::Var value = Impl->Object->get(Key);
  try {
    if (value.isInteger())
      return value.convert<uint64_t>();
  } catch (const Poco::Exception &) {
    // Negative or too large; reported below.
  }
  addDiagnostic(Key, "a whole number of 0 or more");
  return Default;
}

double JsonReader::real(const std::string &Key, double Default) {
  if (!has(Key))
    return Default;
  Poco::Dynamic::Var value = Impl->Object->get(Key);
  if (!value.isNumeric() || value.isBoolean()) {
    addDiagnostic(Key, "a number");
    return Default;
  }
  return value.convert<double>();
}

bool JsonReader::flag(const std::string &Key, bool Default) {
  if (!has(Key))
    return Default;
  Poco::Dynamic::Var value = Impl->Object->get(Key);
  if (!value.isBoolean()) {
    addDiagnostic(Key, "true or false");
    return Default;
  }
  return value.convert<bool>();
}

std::vector<std::string> JsonReader::texts(const std::string &Key) {
  std::vector<std::string> values;
  if (!has(Key))
    return values;
  Poco::JSON::Array::Ptr array = Impl->Object->getArray(Key);
  if (!array) {
    addDiagnostic(Key, "an array of strings");
    return values;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    Poco::Dynamic::Var value = array->get(static_cast<unsigned>(i));
    if (value.isString())
      values.push_back(value.convert<std::string>());
    else
      addDiagnostic(Key + "[" + std::to_string(i) + "]", "a string");
  }
  return values;
}

void JsonReader::forEach(const std::string &Key,
                         const std::function<void(JsonReader &)> &Each) {
  Poco::JSON::Array::Ptr array =
      has(Key) ? Impl->Object->getArray(Key) : nullptr;
  if (!array) {
    addDiagnostic(Key, "an array of objects");
    return;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    std::string path = Impl->Path + Key + "[" + std::to_string(i) + "]";
    Poco::JSON::Object::Ptr object = array->getObject(static_cast<unsigned>(i));
    if (!object) {
      Impl->Diagnostics.Diagnostics.push_back(
          {Impl->File, 0, path, "an object"});
      continue;
    }
    JsonReader reader(std::unique_ptr<State>(
        new State{Impl->File, path + ".", Impl->Diagnostics, object}));
    Each(reader);
  }
}

} // namespace crocusspur::internal
