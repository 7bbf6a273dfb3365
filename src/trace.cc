#include "crocusspur/trace.h"

#include "trace_describe.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <istream>
#include <iterator>
#include <ostream>
#include <sstream>
#include <utility>

namespace crocusspur::internal {
namespace {

constexpr uint64_t MaxExactNumber = uint64_t(1) << 53;

template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
constexpr bool IsDuration =
    std::is_same_v<T, Milliseconds> || std::is_same_v<T, Microseconds>;

template <typename V> const char *const *namesOf() {
  if constexpr (std::is_same_v<V, PeerMessage>)
    return MessageNames;
  else if constexpr (std::is_same_v<V, EventBody>)
    return EventNames;
  else
    return ActionNames;
}

// Makes the variant hold a default value of the alternative with this index.
template <typename V, size_t I = 0> bool emplaceAt(V &Value, size_t Index) {
  if constexpr (I < std::variant_size_v<V>) {
    if (I == Index) {
      Value.template emplace<I>();
      return true;
    }
    return emplaceAt<V, I + 1>(Value, Index);
  }
  return false;
}

template <typename V> bool emplaceNamed(V &Value, const std::string &Name) {
  for (size_t i = 0; i < std::variant_size_v<V>; ++i)
    if (Name == namesOf<V>()[i])
      return emplaceAt(Value, i);
  return false;
}

// Descriptions take values by reference for both directions; writing does not
// change them.
template <typename T>
Poco::JSON::Object objectOf(const T &Value, TimePoint Start) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  FieldWriter writer(object, Start);
  describe(writer, const_cast<T &>(Value));
  return object;
}

template <typename V>
Poco::JSON::Object bodyOf(const V &Value, TimePoint Start) {
  return std::visit([&](const auto &It) { return objectOf(It, Start); }, Value);
}

std::string textOf(const Poco::JSON::Object &Object) {
  std::ostringstream out;
  Object.stringify(out);
  return out.str();
}

int64_t microsecondsSince(TimePoint At, TimePoint Start) {
  return std::chrono::duration_cast<Microseconds>(At - Start).count();
}

template <typename E> bool enumFrom(const std::string &Name, E &Value) {
  const auto &names = EnumNames<E>::Names;
  for (size_t i = 0; i < std::size(names); ++i)
    if (Name == names[i]) {
      Value = static_cast<E>(i);
      return true;
    }
  return false;
}

bool errorFrom(const std::string &Name, ErrorKind &Value) {
  Value = errorKindFromName(Name);
  return Name == errorResponse(Value).Name;
}

template <typename Pointer>
bool documentFrom(boost::leaf::result<Pointer> (*Parse)(const std::string &),
                  const std::string &Text, Pointer &Value) {
  Value = boost::leaf::try_handle_all([&] { return Parse(Text); },
                                      [] { return Pointer(); });
  return Value != nullptr;
}

} // namespace

Poco::Dynamic::Var numberToJson(uint64_t Value) {
  if (Value <= MaxExactNumber)
    return static_cast<Poco::UInt64>(Value);
  return std::to_string(Value);
}

template <typename T> Poco::Dynamic::Var FieldWriter::toJson(const T &Value) {
  if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, double> ||
                std::is_same_v<T, std::string>)
    return Value;
  else if constexpr (std::is_unsigned_v<T>)
    return numberToJson(Value);
  else if constexpr (IsDuration<T>)
    return static_cast<Poco::Int64>(Value.count());
  else if constexpr (std::is_same_v<T, TimePoint>)
    return static_cast<Poco::Int64>(microsecondsSince(Value, Start));
  else if constexpr (std::is_same_v<T, RequestId>)
    return Value.str();
  else if constexpr (std::is_same_v<T, ErrorKind>)
    return std::string(errorResponse(Value).Name);
  else if constexpr (std::is_enum_v<T>)
    return std::string(EnumNames<T>::Names[static_cast<size_t>(Value)]);
  else if constexpr (std::is_same_v<T, ConfigPtr> ||
                     std::is_same_v<T, InstanceListPtr>)
    return Value ? Value->Text : std::string();
  else if constexpr (std::is_same_v<T, PeerMessage>) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("type", std::string(MessageNames[Value.index()]));
    object.set("body", bodyOf(Value, Start));
    return object;
  } else
    return objectOf(Value, Start);
}

bool FieldReader::numberFrom(const Poco::Dynamic::Var &Json, uint64_t &Value) {
  if (!Json.isString()) {
    if (!Json.isInteger() || Json.isBoolean() || Json.convert<int64_t>() < 0)
      return false;
    Value = Json.convert<uint64_t>();
    return true;
  }
  std::string text = Json.extract<std::string>();
  const char *end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, Value);
  return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

template <typename T>
bool FieldReader::fromJson(const Poco::Dynamic::Var &Json, T &Value,
                           const std::string &Name) {
  if constexpr (std::is_same_v<T, bool>) {
    if (!Json.isBoolean())
      return false;
    Value = Json.convert<bool>();
  } else if constexpr (std::is_same_v<T, double>) {
    if (!Json.isNumeric() || Json.isBoolean())
      return false;
    Value = Json.convert<double>();
  } else if constexpr (std::is_unsigned_v<T>) {
    uint64_t number = 0;
    if (!numberFrom(Json, number) || number > std::numeric_limits<T>::max())
      return false;
    Value = static_cast<T>(number);
  } else if constexpr (IsDuration<T>) {
    if (!Json.isInteger() || Json.isBoolean())
      return false;
    Value = T(Json.convert<int64_t>());
  } else if constexpr (std::is_same_v<T, PeerMessage> || std::is_class_v<T>) {
    if constexpr (std::is_same_v<T, std::string>) {
      if (!Json.isString())
        return false;
      Value = Json.extract<std::string>();
    } else if constexpr (std::is_same_v<T, RequestId>) {
      if (!Json.isString())
        return false;
      Value = RequestId::parse(Json.extract<std::string>());
      return Value.str() == Json.extract<std::string>();
    } else if constexpr (std::is_same_v<T, ConfigPtr>) {
      return Json.isString() &&
             documentFrom(parseConfigDocument, Json.extract<std::string>(),
                          Value);
    } else if constexpr (std::is_same_v<T, InstanceListPtr>) {
      return Json.isString() &&
             documentFrom(parseInstanceList, Json.extract<std::string>(),
                          Value);
    } else {
      if (Json.type() != typeid(Poco::JSON::Object::Ptr))
        return false;
      auto object = Json.extract<Poco::JSON::Object::Ptr>();
      if constexpr (std::is_same_v<T, PeerMessage>) {
        if (!emplaceNamed(Value, object->optValue<std::string>("type", "")) ||
            !object->isObject("body"))
          return false;
        Poco::JSON::Object::Ptr body = object->getObject("body");
        FieldReader reader(*body, Path + Name + ".body.", Start, Diagnostics);
        std::visit([&](auto &It) { describe(reader, It); }, Value);
      } else {
        FieldReader reader(*object, Path + Name + ".", Start, Diagnostics);
        describe(reader, Value);
      }
    }
  } else if constexpr (std::is_same_v<T, ErrorKind>) {
    return Json.isString() && errorFrom(Json.extract<std::string>(), Value);
  } else {
    return Json.isString() && enumFrom(Json.extract<std::string>(), Value);
  }
  return true;
}

template <typename T>
bool FieldReader::fromJson(const Poco::Dynamic::Var &Json,
                           std::vector<T> &Values, const std::string &Name) {
  if (Json.type() != typeid(Poco::JSON::Array::Ptr))
    return false;
  auto array = Json.extract<Poco::JSON::Array::Ptr>();
  for (size_t i = 0; i < array->size(); ++i) {
    T value{};
    std::string name = Name + "[" + std::to_string(i) + "]";
    if (!fromJson(array->get(static_cast<unsigned>(i)), value, name))
      addDiagnostic(name, "a value of the field's type");
    Values.push_back(std::move(value));
  }
  return true;
}

template <typename T> void FieldReader::operator()(const char *Name, T &Value) {
  if (!In.has(Name) || !fromJson(In.get(Name), Value, Name))
    addDiagnostic(Name, "a value of the field's type");
}

namespace {

Poco::JSON::Object::Ptr parsedLine(const std::string &Line) {
  try {
    return Poco::JSON::Parser().parse(Line).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

// Poco reports a value of an unexpected type by an exception.
template <typename Function>
void readGuarded(FieldReader &Reader, Function &&Read) {
  try {
    Read();
  } catch (const Poco::Exception &) {
    Reader.addDiagnostic("", "fields of the recorded types");
  }
}

} // namespace
} // namespace crocusspur::internal

namespace crocusspur {

using internal::FieldReader;

namespace {

// Any fixed start serves; it is later than the longest period of the core, so
// that no time in a replay lies before the clock's zero.
constexpr TimePoint ReplayStart{std::chrono::hours(24)};

int64_t wallMicroseconds(WallTime Wall) {
  return std::chrono::duration_cast<Microseconds>(Wall.time_since_epoch())
      .count();
}

WallTime wallFrom(Microseconds Since) {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(Since));
}

// Reads the object, or collects the mistakes of the whole line.
template <typename T, typename Read>
boost::leaf::result<T> readLine(const std::string &Line, TimePoint Start,
                                Read &&Function) {
  DiagnosticList diagnostics;
  T value;
  Poco::JSON::Object::Ptr object = internal::parsedLine(Line);
  if (object) {
    FieldReader reader(*object, "", Start, diagnostics);
    internal::readGuarded(
        reader, [&] { Function(*object, reader, diagnostics, value); });
  } else {
    diagnostics.Diagnostics.push_back({"trace", 0, "(line)", "a JSON object"});
  }
  if (!diagnostics.Diagnostics.empty())
    return boost::leaf::new_error(std::move(diagnostics));
  return value;
}

} // namespace

std::string formatEvent(const Event &Event, TimePoint Start) {
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("at", static_cast<Poco::Int64>(
                     internal::microsecondsSince(Event.At, Start)));
  line.set("wall", static_cast<Poco::Int64>(wallMicroseconds(Event.Wall)));
  line.set("event", std::string(internal::EventNames[Event.Body.index()]));
  line.set("body", internal::bodyOf(Event.Body, Start));
  return internal::textOf(line);
}

std::string formatAction(const Action &Action, TimePoint At, TimePoint Start) {
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("at",
           static_cast<Poco::Int64>(internal::microsecondsSince(At, Start)));
  line.set("action", std::string(internal::ActionNames[Action.index()]));
  line.set("body", internal::bodyOf(Action, Start));
  return internal::textOf(line);
}

boost::leaf::result<Event> parseEvent(const std::string &Line,
                                      TimePoint Start) {
  return readLine<Event>(
      Line, Start,
      [&](const Poco::JSON::Object &Object, FieldReader &Reader,
          DiagnosticList &Diagnostics, Event &Value) {
        Microseconds at{0};
        Microseconds wall{0};
        std::string name;
        Reader("at", at);
        Reader("wall", wall);
        Reader("event", name);
        Value.At = Start + at;
        Value.Wall = wallFrom(wall);
        if (!internal::emplaceNamed(Value.Body, name) ||
            !Object.isObject("body")) {
          Reader.addDiagnostic("event", "the name of an event, with a body");
          return;
        }
        Poco::JSON::Object::Ptr body = Object.getObject("body");
        FieldReader reader(*body, "body.", Start, Diagnostics);
        std::visit([&](auto &It) { describe(reader, It); }, Value.Body);
      });
}

std::string formatOptions(const CoreOptions &Options, WallTime StartWall) {
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("start_wall", static_cast<Poco::Int64>(wallMicroseconds(StartWall)));
  line.set("options", internal::objectOf(Options, TimePoint()));
  return internal::textOf(line);
}

boost::leaf::result<TraceHeader> parseOptions(const std::string &Line) {
  return readLine<TraceHeader>(Line, TimePoint(),
                               [](const Poco::JSON::Object &,
                                  FieldReader &Reader, DiagnosticList &,
                                  TraceHeader &Value) {
                                 Microseconds wall{0};
                                 Reader("start_wall", wall);
                                 Reader("options", Value.Options);
                                 Value.StartWall = wallFrom(wall);
                               });
}

namespace {

// Replays one trace and compares the actions of each event.
class Replay {
public:
  Replay(const CoreOptions &Options, std::ostream &Out)
      : Core(Options), Out(Out) {}

  void onEvent(const Event &Item) {
    compare();
    ActionList actions;
    Core.handle(Item, actions);
    ++Result.Events;
    Result.Actions += actions.size();
    for (const Action &it : actions) {
      Made.push_back(formatAction(it, Item.At, ReplayStart));
      Out << Made.back() << '\n';
    }
  }

  void onRecorded(std::string Line) { Recorded.push_back(std::move(Line)); }

  ReplayResult finish() {
    compare();
    if (!HasRecorded)
      Result.Differences = 0;
    return Result;
  }

private:
  void compare() {
    size_t n = std::max(Made.size(), Recorded.size());
    for (size_t i = 0; i < n; ++i)
      Result.Differences +=
          i >= Made.size() || i >= Recorded.size() || Made[i] != Recorded[i];
    HasRecorded = HasRecorded || !Recorded.empty();
    Made.clear();
    Recorded.clear();
  }

  DecisionCore Core;
  std::ostream &Out;
  ReplayResult Result;
  std::vector<std::string> Made;
  std::vector<std::string> Recorded;
  bool HasRecorded = false;
};

bool isAction(const std::string &Line) {
  Poco::JSON::Object::Ptr object = internal::parsedLine(Line);
  return object && object->has("action");
}

} // namespace

boost::leaf::result<ReplayResult> replayTrace(std::istream &In,
                                              std::ostream &Out) {
  std::string line;
  std::getline(In, line);
  BOOST_LEAF_AUTO(header, parseOptions(line));
  Replay replay(header.Options, Out);
  while (std::getline(In, line)) {
    if (line.empty())
      continue;
    if (isAction(line)) {
      replay.onRecorded(line);
      continue;
    }
    BOOST_LEAF_AUTO(event, parseEvent(line, ReplayStart));
    replay.onEvent(event);
  }
  return replay.finish();
}

} // namespace crocusspur
