#include "json_document.h"

#include <Poco/Exception.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <utility>

namespace crocusspur::internal {
namespace {

using Poco::JSON::Object;
using Poco::JSON::ParseHandler;

// Memory of POCO's values: an object or array, and a member or another value.
constexpr size_t ContainerBytes = 1024;
constexpr size_t ValueBytes = 256;

bool contains(JsonNames Names, std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

class BoundExceeded : public Poco::Exception {
public:
  BoundExceeded() : Poco::Exception("values of a JSON text take too much") {}
};

// Keeps values of the named members.
class SelectingHandler : public Poco::JSON::Handler {
public:
  SelectingHandler(const JsonBounds &Bounds, const JsonElements &Elements)
      : Bounds(Bounds), Elements(Elements) {}

  bool hasElements() const { return HasList && !HasOthers; }
  Poco::Dynamic::Var asVar() const override { return Root.asVar(); }

  void reset() override {}

  void startObject() override {
    if (skipsContainer(IsListNext))
      return;
    if (isElement()) {
      Element = new ParseHandler;
      BytesBesideElement = KeptBytes;
    }
    ++Depth;
    charge(ContainerBytes);
    target().startObject();
  }

  void endObject() override { endContainer(&ParseHandler::endObject); }

  void startArray() override {
    if (skipsContainer(isElement()))
      return;
    if (IsListNext) {
      IsListNext = false;
      IsInList = HasList = true;
      ListDepth = ++Depth;
      return;
    }
    ++Depth;
    charge(ContainerBytes);
    target().startArray();
  }

  void endArray() override {
    if (SkippedDepth == 0 && IsInList && Depth == ListDepth) {
      IsInList = false;
      --Depth;
      return;
    }
    endContainer(&ParseHandler::endArray);
  }

  void key(const std::string &Name) override {
    if (SkippedDepth > 0)
      return;
    IsListNext = Depth == 1 && contains(Elements.Lists, Name);
    SkipsNext =
        !IsListNext && !Bounds.Kept.empty() && !contains(Bounds.Kept, Name);
    if (SkipsNext || IsListNext)
      return;
    charge(Name.size());
    target().key(Name);
  }

  void null() override {
    if (takesValue(0))
      target().null();
  }
  void value(int Value) override { keep(Value); }
  void value(unsigned Value) override { keep(Value); }
  void value(Poco::Int64 Value) override { keep(Value); }
  void value(Poco::UInt64 Value) override { keep(Value); }
  void value(double Value) override { keep(Value); }
  void value(bool Value) override { keep(Value); }
  void value(const std::string &Value) override {
    if (takesValue(Value.size()))
      target().value(Value);
  }

private:
  template <typename T> void keep(T Value) {
    if (takesValue(0))
      target().value(Value);
  }

  // Whether the next value is an element of a list that is handed over.
  bool isElement() const { return IsInList && Depth == ListDepth; }

  ParseHandler &target() { return Element ? *Element : Root; }

  void charge(size_t Bytes) {
    KeptBytes += Bytes;
    if (KeptBytes > Bounds.MaxBytes)
      throw BoundExceeded();
  }

  // `IsOther`: stands where an element or a list of them is expected.
  bool skipsContainer(bool IsOther) {
    if (SkippedDepth == 0 && !SkipsNext && !IsOther)
      return false;
    HasOthers = HasOthers || (SkippedDepth == 0 && IsOther);
    SkipsNext = IsListNext = false;
    ++SkippedDepth;
    return true;
  }

  bool takesValue(size_t Bytes) {
    if (SkippedDepth > 0)
      return false;
    bool isOther = IsListNext || isElement();
    HasOthers = HasOthers || isOther;
    bool isSkipped = std::exchange(SkipsNext, false) || isOther;
    IsListNext = false;
    if (isSkipped)
      return false;
    charge(ValueBytes + Bytes);
    return true;
  }

  void endContainer(void (ParseHandler::*End)()) {
    if (SkippedDepth > 0) {
      --SkippedDepth;
      return;
    }
    (target().*End)();
    --Depth;
    if (!Element || !isElement())
      return;
    Poco::Dynamic::Var value = Element->asVar();
    Element = nullptr;
    KeptBytes = BytesBesideElement;
    if (value.type() == typeid(Object::Ptr))
      Elements.OnElement(value.extract<Object::Ptr>());
  }

  const JsonBounds &Bounds;
  const JsonElements &Elements;
  ParseHandler Root;
  Poco::SharedPtr<ParseHandler> Element; // of a list that is handed over
  size_t KeptBytes = 0;
  size_t BytesBesideElement = 0; // of KeptBytes, those outside of the element
  size_t Depth = 0;              // of what isn't skipped
  size_t SkippedDepth = 0;       // of a container that is skipped; 0: none
  size_t ListDepth = 0;
  bool SkipsNext = false; // the value of the last name
  bool IsListNext = false;
  bool IsInList = false;
  bool HasList = false;
  bool HasOthers = false; // a list that isn't one, or holds other values
};

} // namespace

JsonDocument parseJson(const std::string &Text, const JsonBounds &Bounds,
                       const JsonElements &Elements) {
  JsonDocument document;
  Poco::SharedPtr<SelectingHandler> handler(
      new SelectingHandler(Bounds, Elements));
  try {
    Poco::JSON::Parser parser(handler);
    parser.setDepth(Bounds.MaxDepth);
    parser.parse(Text);
    Poco::Dynamic::Var value = handler->asVar();
    if (value.type() != typeid(Object::Ptr))
      return document;
    document.Root = value.extract<Object::Ptr>();
    document.HasElements = handler->hasElements();
    document.Fault = JsonFault::None;
  } catch (const BoundExceeded &) {
    document.Fault = JsonFault::TooLarge;
  } catch (const std::exception &) {
    // Stays invalid; the caller reports it.
  }
  return document;
}

} // namespace crocusspur::internal
