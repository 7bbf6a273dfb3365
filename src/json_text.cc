#include "json_text.h"

#include <charconv>
#include <cstdio>

namespace crocusspur::internal {
namespace {

// Reads JSON values from the start of a text.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Text(Text) {}

  bool consume(char C) {
    skipSpace();
    if (Text.empty() || Text.front() != C)
      return false;
    Text.remove_prefix(1);
    return true;
  }

  // Consumes a string and returns its content, still escaped.
  bool consumeString(std::string_view &Raw) {
    if (!consume('"'))
      return false;
    for (size_t i = 0; i < Text.size(); ++i) {
      auto c = static_cast<unsigned char>(Text[i]);
      if (c < 0x20)
        return false;
      if (c == '"') {
        Raw = Text.substr(0, i);
        Text.remove_prefix(i + 1);
        return true;
      }
      if (c == '\\' && !skipEscape(i))
        return false;
    }
    return false;
  }

  bool consumeNumber(uint64_t &Value) {
    skipSpace();
    const char *end = Text.data() + Text.size();
    auto result = std::from_chars(Text.data(), end, Value);
    if (result.ec != std::errc())
      return false;
    Text.remove_prefix(static_cast<size_t>(result.ptr - Text.data()));
    return Text.empty() ||
           std::string_view(".eE").find(Text.front()) == std::string_view::npos;
  }

  bool consumeBool(bool &Value) {
    Value = consumeLiteral("true");
    return Value || consumeLiteral("false");
  }

  // Skips one value of any type.
  bool skipValue() {
    skipSpace();
    int depth = 0;
    do {
      skipSpace();
      if (Text.empty())
        return false;
      char c = Text.front();
      std::string_view raw;
      if (c == '"') {
        if (!consumeString(raw))
          return false;
        continue;
      }
      if (c == '{' || c == '[')
        ++depth;
      else if (c == '}' || c == ']')
        --depth;
      else if (depth == 0 || (c != ',' && c != ':')) {
        if (!skipScalar())
          return false;
        continue;
      }
      Text.remove_prefix(1);
    } while (depth > 0);
    return depth == 0;
  }

  bool atEnd() {
    skipSpace();
    return Text.empty();
  }

private:
  void skipSpace() {
    while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t' ||
                             Text.front() == '\r' || Text.front() == '\n'))
      Text.remove_prefix(1);
  }

  // `At` is the position of a backslash and is moved to the last byte of the
  // escape sequence.
  bool skipEscape(size_t &At) const {
    if (++At >= Text.size())
      return false;
    if (Text[At] != 'u')
      return std::string_view("\"\\/bfnrt").find(Text[At]) !=
             std::string_view::npos;
    for (int i = 0; i < 4; ++i)
      if (++At >= Text.size() ||
          !std::isxdigit(static_cast<unsigned char>(Text[At])))
        return false;
    return true;
  }

  bool consumeLiteral(std::string_view Literal) {
    skipSpace();
    if (!Text.starts_with(Literal))
      return false;
    Text.remove_prefix(Literal.size());
    return true;
  }

  bool skipScalar() {
    size_t n = 0;
    while (n < Text.size() &&
           (std::isalnum(static_cast<unsigned char>(Text[n])) ||
            std::string_view("+-.").find(Text[n]) != std::string_view::npos))
      ++n;
    Text.remove_prefix(n);
    return n > 0;
  }

  std::string_view Text;
};

bool readField(Scanner &In, std::string_view Key, EngineEvent &Event) {
  if (Key == "index")
    return Event.HasIndex = In.consumeNumber(Event.Index);
  if (Key == "token")
    return Event.HasToken = In.consumeString(Event.RawToken);
  if (Key == "tokens")
    return In.consumeNumber(Event.Tokens);
  if (Key == "imported")
    return In.consumeBool(Event.Imported);
  if (Key == "done")
    return In.consumeBool(Event.Done);
  return In.skipValue();
}

} // namespace

void appendJsonString(std::string &Out, std::string_view Text) {
  Out.push_back('"');
  size_t start = 0;
  for (size_t i = 0; i < Text.size(); ++i) {
    auto c = static_cast<unsigned char>(Text[i]);
    if (c >= 0x20 && c != '"' && c != '\\')
      continue;
    Out.append(Text, start, i - start);
    start = i + 1;
    char buf[8];
    if (c == '"' || c == '\\')
      std::snprintf(buf, sizeof buf, "\\%c", c);
    else if (c == '\n')
      std::snprintf(buf, sizeof buf, "\\n");
    else
      std::snprintf(buf, sizeof buf, "\\u%04x", c);
    Out += buf;
  }
  Out.append(Text, start, Text.size() - start);
  Out.push_back('"');
}

std::string jsonString(std::string_view Text) {
  std::string out;
  out.reserve(Text.size() + Text.size() / 16 + 2);
  appendJsonString(out, Text);
  return out;
}

bool parseEngineEvent(std::string_view Text, EngineEvent &Event) {
  Scanner in(Text);
  if (!in.consume('{'))
    return false;
  if (in.consume('}'))
    return in.atEnd();
  do {
    std::string_view key;
    if (!in.consumeString(key) || !in.consume(':') ||
        !readField(in, key, Event))
      return false;
  } while (in.consume(','));
  return in.consume('}') && in.atEnd();
}

} // namespace crocusspur::internal
