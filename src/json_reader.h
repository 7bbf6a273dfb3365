// Reads fields of published JSON documents and collects a diagnostic with the
// path of every error, so that all of them are reported at once.
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
  // Parses the text. If it isn't a JSON object, adds one diagnostic and behaves
  // as for an empty object. `File` names the input in diagnostics.
  JsonReader(const std::string &Text, std::string File,
             DiagnosticList &Diagnostics);
  ~JsonReader();

  // Required fields. A missing or mistyped field adds a diagnostic and returns
  // an empty string or 0.
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

  // Path of this key in the document, as used in diagnostics.
  std::string path(const std::string &Key) const;

  // Adds a diagnostic for this key.
  void addDiagnostic(const std::string &Key, const std::string &Expected);

private:
  struct State;
  explicit JsonReader(std::unique_ptr<State> Inner);
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
