// Reads and watches one kind of document that the platform publishes, on its
// own thread.
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
  std::string Instance; // this instance's name, sent with each call
  Milliseconds Timeout{2000};
  Milliseconds WatchWait{5000};
  Milliseconds MinBackoff{100};
  Milliseconds MaxBackoff{2000};
  uint64_t Seed = 1; // of the backoff jitter
};

class DocumentReader {
public:
  // Called on the reader's thread with the text of each document. Returns the
  // document's number, or 0 if the number can't be read from the text; the
  // reader then requests the same document again after a delay.
  using DocumentCallback = std::function<uint64_t(const std::string &Text)>;

  DocumentReader(DocumentReaderOptions Options, DocumentCallback OnDocument);
  ~DocumentReader();
  DocumentReader(const DocumentReader &) = delete;
  DocumentReader &operator=(const DocumentReader &) = delete;

  // Until setReading() is called, reads the newest document once and retries
  // until it succeeds.
  void start();
  void stop();

  // With `Watch`, reads every document above `After` in order of number; 0
  // continues after the last document read, or with the newest if none was
  // read. Without `Watch`, cancels the current call and makes no further calls.
  // Thread-safe.
  void setReading(bool Watch, uint64_t After);

  // Number of calls made. Thread-safe.
  uint64_t calls() const;
  // Time of the last successful response, including responses without a newer
  // document. Thread-safe.
  std::optional<TimePoint> lastResponseAt() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
