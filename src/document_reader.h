// Reads and watches one kind of document that the platform publishes, in a
// thread of its own.
#ifndef CROCUSSPUR_DOCUMENT_READER_H
#define CROCUSSPUR_DOCUMENT_READER_H

#include "crocusspur/types.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusspur::internal {

struct DocumentReaderOptions {
  std::string Name;     // for the log
  std::string Address;  // "IP:port" of the platform's service
  std::string Path;     // such as "/v1/config"
  std::string Instance; // name of this instance, sent with each call
  Milliseconds Timeout{2000};
  Milliseconds WatchWait{5000};
  Milliseconds MinBackoff{100};
  Milliseconds MaxBackoff{2000};
  uint64_t Seed = 1; // of the jitter
};

class DocumentReader {
public:
  // Takes the text of a document, called on the reader's thread. Returns its
  // number, or 0 if not even that can be read from the text; the reader then
  // asks for the same document again after a delay.
  using DocumentCallback = std::function<uint64_t(const std::string &Text)>;

  DocumentReader(DocumentReaderOptions Options, DocumentCallback OnDocument);
  ~DocumentReader();
  DocumentReader(const DocumentReader &) = delete;
  DocumentReader &operator=(const DocumentReader &) = delete;

  // Until setReading() is called, the newest document is read once, with
  // retries until an answer comes.
  void start();
  void stop();

  // With `Watch`, reads every document above `After` in order of number; 0
  // continues after the last that was read, or with the newest. Without it, a
  // call that is under way is given up and none is made. Thread-safe.
  void setReading(bool Watch, uint64_t After);

  // Calls made so far. Thread-safe.
  uint64_t calls() const;
  // Time of the last answer, also one without a newer document. Thread-safe.
  std::optional<TimePoint> lastResponseAt() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
