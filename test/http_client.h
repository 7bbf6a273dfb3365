// Simple HTTP client for the process tests, with streamed responses.
#ifndef CROCUSSPUR_TEST_HTTP_CLIENT_H
#define CROCUSSPUR_TEST_HTTP_CLIENT_H

#include "crocusspur/types.h"

#include <map>
#include <memory>
#include <string>

namespace crocusspur::test {

struct HttpRequest {
  std::string Address; // IP:port
  std::string Method = "GET";
  std::string Path = "/"; // with the query
  std::string Body;
  std::map<std::string, std::string> Headers;
  Milliseconds Timeout{30000}; // of each read
};

struct HttpResponse {
  int Status = 0; // 0: no response; Body then holds the reason
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
};

HttpResponse send(const HttpRequest &Request);

struct StreamEvent {
  std::string Name; // empty for plain data
  std::string Data;
};

// A streamed response that is read event by event. Not thread-safe.
class EventStream {
public:
  explicit EventStream(const HttpRequest &Request);
  ~EventStream();

  int status() const; // 0: no response
  // Body of a response that isn't a stream.
  std::string body();
  // Returns false at the end of the response, if it is cut off, or on timeout.
  bool next(StreamEvent &Event);
  // Closes the connection immediately.
  void close();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::test

#endif
