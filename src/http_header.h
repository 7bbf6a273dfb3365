// Parses HTTP/1.x message heads and decodes message bodies from bytes that have
// already been read. Strict where leniency would let two parsers disagree on
// the end of a message.
#ifndef CROCUSSPUR_HTTP_HEADER_H
#define CROCUSSPUR_HTTP_HEADER_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusspur::internal {

// Maximum length of a head from a caller or a backend server.
inline constexpr size_t MaxHeadBytes = 32768;
// Of one field in the head of a backend server's response.
inline constexpr size_t MaxResponseFieldBytes = 8192;

struct HttpHead {
  std::string Method; // requests
  std::string Target;
  uint32_t Status = 0; // responses
  int MinorVersion = 1;
  std::vector<std::pair<std::string, std::string>> Fields;

  // Field names are compared case-insensitively; find() returns null if there
  // is no such field.
  const std::string *find(std::string_view Name) const;
  size_t count(std::string_view Name) const;
  bool wantsKeepAlive() const;
};

enum class HeadParseStatus : uint8_t { Ok, Malformed, TooLarge };

// `Text` is the head up to and including the empty line. Its length is the
// reader's to bound: a request's line or field may be as long as its head. A
// target in absolute form ("http://HOST/PATH") is reduced to its path and
// query, and its host replaces the Host fields (RFC 9112, 3.2.2).
HeadParseStatus parseRequestHead(std::string_view Text, size_t MaxFields,
                                 HttpHead &Head);
HeadParseStatus parseResponseHead(std::string_view Text, HttpHead &Head);

enum class BodyForm : uint8_t { None, Length, Chunked, UntilClose };

const char *nameOf(BodyForm Form); // name in logs

struct BodyFraming {
  BodyForm Form = BodyForm::None;
  uint64_t Length = 0;
};

// Return false if the fields are contradictory or not understood.
bool requestFraming(const HttpHead &Head, BodyFraming &Framing);
bool responseFraming(const HttpHead &Head, const std::string &Method,
                     BodyFraming &Framing);

// Decodes a body that arrives in pieces of any size.
class BodyDecoder {
public:
  void reset(const BodyFraming &Framing);
  // Consumes bytes from the front of `Input` and appends the content to `Out`.
  // Stops at the end of the body. Returns false if the body is malformed.
  bool feed(std::string_view &Input, std::string &Out);
  // Called when the peer has closed the connection; completes a body that is
  // delimited by it.
  void endOfInput();
  bool complete() const { return Current == State::Done; }
  // Bytes of content that the current chunk or the length says are still to
  // come.
  uint64_t announcedBytes() const;

private:
  enum class State : uint8_t { Data, Size, ChunkData, ChunkEnd, Trailer, Done };

  bool readLine(std::string_view &Input, bool &GotLine);
  bool processLine();
  void readData(std::string_view &Input, std::string &Out);

  State Current = State::Done;
  bool UntilClose = false;
  uint64_t Remaining = 0;
  uint32_t TrailerLines = 0;
  std::string Line;
};

} // namespace crocusspur::internal

#endif
