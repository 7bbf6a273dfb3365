// Writes and reads the fields of one record of a trace as a JSON object. The
// same describe() function serves both directions; see trace_describe.h.
#ifndef CROCUSSPUR_TRACE_FIELDS_H
#define CROCUSSPUR_TRACE_FIELDS_H

#include "crocusspur/config_document.h"
#include "crocusspur/errors.h"
#include "crocusspur/instance_list.h"
#include "crocusspur/types.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <string>
#include <type_traits>
#include <vector>

namespace crocusspur::internal {

// Names of the values of an enumeration, in order. Specialised for each type.
template <typename E> struct EnumNames;

// A text field of which only the length is recorded.
struct RedactedText {
  std::string &Value;
};

// Numbers above 2^53 are written as strings, since JSON readers would lose
// digits.
Poco::Dynamic::Var numberToJson(uint64_t Value);

class FieldWriter {
public:
  FieldWriter(Poco::JSON::Object &Out, TimePoint Start)
      : Out(Out), Start(Start) {}

  template <typename T> void operator()(const char *Name, const T &Value) {
    Out.set(Name, toJson(Value));
  }
  void operator()(const char *Name, RedactedText Value) {
    Out.set(Name, numberToJson(Value.Value.size()));
  }

private:
  template <typename T> Poco::Dynamic::Var toJson(const T &Value);
  template <typename T>
  Poco::Dynamic::Var toJson(const std::vector<T> &Values) {
    Poco::JSON::Array array;
    for (const T &it : Values)
      array.add(toJson(it));
    return array;
  }

  Poco::JSON::Object &Out;
  TimePoint Start;
};

class FieldReader {
public:
  FieldReader(const Poco::JSON::Object &In, std::string Path, TimePoint Start,
              DiagnosticList &Diagnostics)
      : In(In), Path(std::move(Path)), Start(Start), Diagnostics(Diagnostics) {}

  template <typename T> void operator()(const char *Name, T &Value);
  void operator()(const char *Name, RedactedText Value) {
    uint64_t size = 0;
    (*this)(Name, size);
    if (size <= MaxRedactedBytes)
      Value.Value.assign(size, '.');
    else
      addDiagnostic(Name, "a length");
  }

  void addDiagnostic(const std::string &Name, const std::string &Expected) {
    Diagnostics.Diagnostics.push_back({"trace", 0, Path + Name, Expected});
  }

private:
  static constexpr uint64_t MaxRedactedBytes = uint64_t(1) << 24;

  template <typename T>
  bool fromJson(const Poco::Dynamic::Var &Json, T &Value,
                const std::string &Name);
  template <typename T>
  bool fromJson(const Poco::Dynamic::Var &Json, std::vector<T> &Values,
                const std::string &Name);
  bool numberFrom(const Poco::Dynamic::Var &Json, uint64_t &Value);

  const Poco::JSON::Object &In;
  std::string Path;
  TimePoint Start;
  DiagnosticList &Diagnostics;
};

} // namespace crocusspur::internal

#endif
