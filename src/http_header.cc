#include "http_header.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace crocusspur::internal {
namespace {

constexpr size_t MaxLineBytes = 8192; // of a body's framing
constexpr uint32_t MaxTrailerLines = 32;
constexpr uint32_t MinStatus = 100;
constexpr uint32_t MaxStatus = 599;
// Bytes of another protocol follow it. No request asks for one.
constexpr uint32_t SwitchingProtocols = 101;

bool isTokenChar(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isFieldText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char It) {
    auto c = static_cast<unsigned char>(It);
    return c == '\t' || (c >= 0x20 && c != 0x7f);
  });
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

template <typename T>
bool parseNumber(std::string_view Text, T &Value, int Base = 10) {
  const char *end = Text.data() + Text.size();
  auto result = std::from_chars(Text.data(), end, Value, Base);
  return result.ec == std::errc() && result.ptr == end && !Text.empty();
}

// Removes the first line from the text and returns it without its CRLF.
bool nextLine(std::string_view &Text, std::string_view &Line) {
  size_t n = Text.find("\r\n");
  if (n == std::string_view::npos)
    return false;
  Line = Text.substr(0, n);
  Text.remove_prefix(n + 2);
  return true;
}

bool parseVersion(std::string_view Text, int &Minor) {
  if (Text != "HTTP/1.1" && Text != "HTTP/1.0")
    return false;
  Minor = Text.back() - '0';
  return true;
}

bool isHostChar(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) ||
         std::string_view("-._~").find(C) != std::string_view::npos;
}

bool isAddressChar(char C) {
  return std::isxdigit(static_cast<unsigned char>(C)) || C == ':' || C == '.';
}

// Accepts a name or an address, with or without a port. Other forms, as user
// information, might be read differently by another parser.
bool isAuthority(std::string_view Text) {
  bool bracketed = Text.starts_with('[');
  size_t end = bracketed ? Text.find(']') : Text.find(':');
  if (bracketed && end == std::string_view::npos)
    return false;
  std::string_view host = Text.substr(0, end);
  Text.remove_prefix(host.size());
  if (bracketed) {
    host.remove_prefix(1);
    Text.remove_prefix(1);
  }
  if (host.empty() || !std::all_of(host.begin(), host.end(),
                                   bracketed ? isAddressChar : isHostChar))
    return false;
  uint16_t port = 0;
  return Text.empty() ||
         (Text.front() == ':' && parseNumber(Text.substr(1), port));
}

// Reduces a target in absolute form to its path and query, and returns its
// authority. Other targets stay as they are, with an empty authority. Returns
// false if the target has neither form.
bool splitTarget(HttpHead &Head, std::string &Authority) {
  constexpr std::string_view Scheme = "http://";
  std::string_view target = Head.Target;
  if (target.starts_with('/'))
    return true;
  if (!equalsIgnoreCase(target.substr(0, Scheme.size()), Scheme))
    return false;
  target.remove_prefix(Scheme.size());
  Authority = target.substr(0, target.find_first_of("/?"));
  target.remove_prefix(Authority.size());
  std::string path(target);
  if (!path.starts_with('/')) {
    // Without a path, OPTIONS asks for the server as a whole, like "*".
    if (Head.Method == "OPTIONS")
      return false;
    path.insert(0, "/");
  }
  Head.Target = std::move(path);
  return isAuthority(Authority);
}

bool parseRequestLine(std::string_view Line, HttpHead &Head) {
  size_t first = Line.find(' ');
  size_t second = Line.rfind(' ');
  if (first == std::string_view::npos || second <= first)
    return false;
  std::string_view target = Line.substr(first + 1, second - first - 1);
  bool printable = std::all_of(target.begin(), target.end(),
                               [](char It) { return It > 0x20 && It != 0x7f; });
  if (!isToken(Line.substr(0, first)) || !printable)
    return false;
  Head.Method = Line.substr(0, first);
  Head.Target = target;
  return parseVersion(Line.substr(second + 1), Head.MinorVersion);
}

HeadParseStatus parseFields(std::string_view Text, size_t MaxFields,
                            size_t MaxFieldBytes, HttpHead &Head) {
  std::string_view line;
  while (nextLine(Text, line)) {
    if (line.empty())
      return Text.empty() ? HeadParseStatus::Ok : HeadParseStatus::Malformed;
    if (line.size() > MaxFieldBytes || Head.Fields.size() >= MaxFields)
      return HeadParseStatus::TooLarge;
    size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) ||
        !isFieldText(line))
      return HeadParseStatus::Malformed;
    Head.Fields.emplace_back(line.substr(0, colon),
                             trim(line.substr(colon + 1)));
  }
  return HeadParseStatus::Malformed;
}

// Returns false on an invalid or contradictory Content-Length.
bool findLength(const HttpHead &Head, bool &Found, uint64_t &Length) {
  Found = false;
  for (const auto &it : Head.Fields) {
    if (!equalsIgnoreCase(it.first, "Content-Length"))
      continue;
    uint64_t value = 0;
    if (!parseNumber(it.second, value) || (Found && value != Length))
      return false;
    Found = true;
    Length = value;
  }
  return true;
}

} // namespace

const std::string *HttpHead::find(std::string_view Name) const {
  for (const auto &it : Fields)
    if (equalsIgnoreCase(it.first, Name))
      return &it.second;
  return nullptr;
}

size_t HttpHead::count(std::string_view Name) const {
  return static_cast<size_t>(
      std::count_if(Fields.begin(), Fields.end(), [&](const auto &It) {
        return equalsIgnoreCase(It.first, Name);
      }));
}

bool HttpHead::wantsKeepAlive() const {
  const std::string *value = find("Connection");
  if (value && equalsIgnoreCase(*value, "close"))
    return false;
  return MinorVersion >= 1 || (value && equalsIgnoreCase(*value, "keep-alive"));
}

HeadParseStatus parseRequestHead(std::string_view Text, size_t MaxFields,
                                 HttpHead &Head) {
  std::string_view line;
  if (!nextLine(Text, line))
    return HeadParseStatus::Malformed;
  std::string authority;
  if (!parseRequestLine(line, Head) || !splitTarget(Head, authority))
    return HeadParseStatus::Malformed;
  HeadParseStatus status = parseFields(Text, MaxFields, Text.size(), Head);
  if (status == HeadParseStatus::Ok && Head.count("Host") > 1)
    return HeadParseStatus::Malformed; // RFC 9112, 3.2
  if (status == HeadParseStatus::Ok && !authority.empty()) {
    std::erase_if(Head.Fields, [](const auto &It) {
      return equalsIgnoreCase(It.first, "Host");
    });
    Head.Fields.emplace_back("Host", std::move(authority));
  }
  return status;
}

HeadParseStatus parseResponseHead(std::string_view Text, HttpHead &Head) {
  constexpr size_t ResponseFieldLimit = 256;
  std::string_view line;
  if (!nextLine(Text, line) || line.size() < 12 || line[8] != ' ' ||
      (line.size() > 12 && line[12] != ' ') ||
      !parseVersion(line.substr(0, 8), Head.MinorVersion) ||
      !parseNumber(line.substr(9, 3), Head.Status) || Head.Status < MinStatus ||
      Head.Status > MaxStatus || Head.Status == SwitchingProtocols)
    return HeadParseStatus::Malformed;
  return parseFields(Text, ResponseFieldLimit, MaxResponseFieldBytes, Head);
}

const char *nameOf(BodyForm Form) {
  switch (Form) {
  case BodyForm::Length:
    return "length";
  case BodyForm::Chunked:
    return "chunked";
  case BodyForm::UntilClose:
    return "until_close";
  case BodyForm::None:
    break;
  }
  return "none";
}

bool requestFraming(const HttpHead &Head, BodyFraming &Framing) {
  bool found = false;
  if (!findLength(Head, found, Framing.Length))
    return false;
  const std::string *coding = Head.find("Transfer-Encoding");
  if (coding) {
    // Both fields together are the usual means of request smuggling.
    if (found || Head.count("Transfer-Encoding") != 1 ||
        !equalsIgnoreCase(*coding, "chunked"))
      return false;
    Framing.Form = BodyForm::Chunked;
    return true;
  }
  Framing.Form =
      found && Framing.Length > 0 ? BodyForm::Length : BodyForm::None;
  return true;
}

bool responseFraming(const HttpHead &Head, const std::string &Method,
                     BodyFraming &Framing) {
  bool found = false;
  if (!findLength(Head, found, Framing.Length))
    return false;
  if (Method == "HEAD" || Head.Status == 204 || Head.Status == 304)
    Framing.Form = BodyForm::None;
  else if (const std::string *coding = Head.find("Transfer-Encoding")) {
    if (!equalsIgnoreCase(*coding, "chunked"))
      return false;
    Framing.Form = BodyForm::Chunked;
  } else
    Framing.Form = found ? BodyForm::Length : BodyForm::UntilClose;
  return true;
}

void BodyDecoder::reset(const BodyFraming &Framing) {
  UntilClose = Framing.Form == BodyForm::UntilClose;
  Remaining = UntilClose ? UINT64_MAX : Framing.Length;
  TrailerLines = 0;
  Line.clear();
  if (Framing.Form == BodyForm::Chunked)
    Current = State::Size;
  else if (UntilClose || (Framing.Form == BodyForm::Length && Remaining > 0))
    Current = State::Data;
  else
    Current = State::Done;
}

void BodyDecoder::endOfInput() {
  if (Current == State::Data && UntilClose)
    Current = State::Done;
}

uint64_t BodyDecoder::announcedBytes() const {
  bool inData = Current == State::Data || Current == State::ChunkData;
  return inData && !UntilClose ? Remaining : 0;
}

void BodyDecoder::readData(std::string_view &Input, std::string &Out) {
  size_t n = static_cast<size_t>(std::min<uint64_t>(Remaining, Input.size()));
  Out.append(Input.data(), n);
  Input.remove_prefix(n);
  if (UntilClose)
    return;
  Remaining -= n;
  if (Remaining == 0)
    Current = Current == State::Data ? State::Done : State::ChunkEnd;
}

bool BodyDecoder::readLine(std::string_view &Input, bool &GotLine) {
  size_t n = Input.find('\n');
  GotLine = n != std::string_view::npos;
  size_t used = GotLine ? n + 1 : Input.size();
  Line.append(Input.data(), used);
  Input.remove_prefix(used);
  return Line.size() <= MaxLineBytes;
}

// Processes the complete line in `Line`.
bool BodyDecoder::processLine() {
  std::string_view text(Line);
  if (text.size() < 2 || text[text.size() - 2] != '\r')
    return false;
  text.remove_suffix(2);
  if (Current == State::ChunkEnd) {
    Current = State::Size;
    return text.empty();
  }
  if (Current == State::Trailer) {
    if (text.empty())
      Current = State::Done;
    return ++TrailerLines <= MaxTrailerLines;
  }
  if (!parseNumber(trim(text.substr(0, text.find(';'))), Remaining, 16))
    return false;
  Current = Remaining == 0 ? State::Trailer : State::ChunkData;
  return true;
}

bool BodyDecoder::feed(std::string_view &Input, std::string &Out) {
  while (!Input.empty() && Current != State::Done) {
    if (Current == State::Data || Current == State::ChunkData) {
      readData(Input, Out);
      continue;
    }
    bool gotLine = false;
    if (!readLine(Input, gotLine))
      return false;
    if (!gotLine)
      continue;
    if (!processLine())
      return false;
    Line.clear();
  }
  return true;
}

} // namespace crocusspur::internal
