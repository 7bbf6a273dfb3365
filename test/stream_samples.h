// Streams of events as a server sends them.
#ifndef CROCUSSPUR_TEST_STREAM_SAMPLES_H
#define CROCUSSPUR_TEST_STREAM_SAMPLES_H

#include <cstdio>
#include <string>

namespace crocusspur::test {

// Head of a signed stream in chunks, in response to request a1.
inline const std::string StreamHead =
    "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: "
    "a1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";
inline const std::string LastChunk = "0\r\n\r\n";

inline std::string chunk(const std::string &Data) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", Data.size());
  return size + Data + "\r\n";
}

inline std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: e" + std::to_string(Id) +
         "\n\n";
}

// The events in chunks of one each.
inline std::string eventChunks(int From, int To) {
  std::string all;
  for (int i = From; i <= To; ++i)
    all += chunk(event(i));
  return all;
}

} // namespace crocusspur::test

#endif
