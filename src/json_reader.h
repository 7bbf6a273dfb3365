// Reads fields of published JSON documents and collects every mistake with its
// path, so that one reading reports all of them.
#ifndef CROCUSSPUR_JSON_READER_H
#define CROCUSSPUR_JSON_READER_H

#include "crocusspur/errors.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocusspur::internal {

class JsonReader {
public:
  // Parses the text; if it isn't a JSON object, notes one mistake and reads as
  // an empty object. `File` names the input in messages.
  JsonReader(const std::string &Text, std::string File,
             DiagnosticList &Diagnostics);
  ~JsonReader();

  // Required fields; a missing or mistyped one is noted and reads as empty.
  std::string text(const std::string &Key);
  uint64_t number(const std::string &Key);

  // Optional fields.
  std::string text(const std::string &Key, const std::string &Default);
  uint64_t number(const std::string &Key, uint64_t Default);
  double real(const std::string &Key, double Default);
  bool flag(const std::string &Key, bool Default);
  std::vector<std::string> texts(const std::string &Key);

  // Calls the function with a reader for each object in a required array.
  void forEach(const std::string &Key,
               const std::function<void(JsonReader &)> &Each);

  bool has(const std::string &Key) const;

  // Path of this key in the document, as mistakes name it.
  std::string path(const std::string &Key) const;

  // Notes a mistake at this key.
  void addDiagnostic(const std::string &Key, const std::string &Expected);

private:
  struct State;
  explicit JsonReader(std::unique_ptr<State> Inner);
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
