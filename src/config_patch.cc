#include "config_state.h"

#include "json_document.h"
#include "json_reader.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>

namespace crocusspur::internal {
namespace {

using Poco::Dynamic::Var;
using ObjectPtr = Poco::JSON::Object::Ptr;
using ArrayPtr = Poco::JSON::Array::Ptr;

const char *const InputName = "patch";
// Of the values of a document or a patch as they take memory.
constexpr size_t MaxDocumentBytes = 33554432;

ObjectPtr asObject(const Var &Value) {
  return Value.type() == typeid(ObjectPtr) ? Value.extract<ObjectPtr>()
                                           : ObjectPtr();
}

ArrayPtr asArray(const Var &Value) {
  return Value.type() == typeid(ArrayPtr) ? Value.extract<ArrayPtr>()
                                          : ArrayPtr();
}

ObjectPtr parseObject(const std::string &Text) {
  return parseJson(Text, {.MaxBytes = MaxDocumentBytes}).Root;
}

// Returns the name of an array element, or an empty string.
std::string nameOf(const ObjectPtr &Element) {
  Var name = Element ? Element->get("name") : Var();
  return name.isString() ? name.convert<std::string>() : "";
}

// MergePatch of RFC 7396 for objects.
ObjectPtr mergePatch(const ObjectPtr &Target, const ObjectPtr &Changes) {
  ObjectPtr result = new Poco::JSON::Object;
  if (Target)
    *result = *Target;
  for (const auto &[key, value] : *Changes) {
    if (value.isEmpty()) {
      result->remove(key);
      continue;
    }
    ObjectPtr inner = asObject(value);
    if (inner)
      result->set(key, mergePatch(asObject(result->get(key)), inner));
    else
      result->set(key, value);
  }
  return result;
}

class ArrayMerge {
public:
  ArrayMerge(std::string Path, DiagnosticList &Diagnostics)
      : Path(std::move(Path)), Diagnostics(Diagnostics) {}

  ArrayPtr apply(const ArrayPtr &Target, const ArrayPtr &Changes) {
    if (Target)
      for (const Var &it : *Target)
        Elements.push_back(asObject(it));
    for (size_t i = 0; i < Changes->size(); ++i)
      applyChange(i, Changes->getObject(static_cast<unsigned>(i)));
    ArrayPtr result = new Poco::JSON::Array;
    for (const ObjectPtr &it : Elements)
      result->add(it);
    return result;
  }

private:
  void applyChange(size_t Index, const ObjectPtr &Change) {
    std::string name = nameOf(Change);
    if (name.empty())
      return addDiagnostic(Index, "an object with a name");
    auto it = std::find_if(
        Elements.begin(), Elements.end(),
        [&](const ObjectPtr &Element) { return nameOf(Element) == name; });
    bool found = it != Elements.end();
    if (Change->has("remove"))
      return remove(Index, Change, found ? it : Elements.end());
    if (found)
      *it = mergePatch(*it, Change);
    else
      Elements.push_back(mergePatch(nullptr, Change));
  }

  void remove(size_t Index, const ObjectPtr &Change,
              std::vector<ObjectPtr>::iterator It) {
    Var flag = Change->get("remove");
    if (!flag.isBoolean() || !flag.convert<bool>())
      return addDiagnostic(Index, "true as the value of remove");
    if (It == Elements.end())
      return addDiagnostic(Index, "the name of an existing element to remove");
    Elements.erase(It);
  }

  void addDiagnostic(size_t Index, const char *Expected) {
    Diagnostics.Diagnostics.push_back(
        {InputName, 0, Path + "[" + std::to_string(Index) + "]", Expected});
  }

  std::string Path;
  DiagnosticList &Diagnostics;
  std::vector<ObjectPtr> Elements;
};

// Merges the arrays of named elements from `Changes` into `Document` and
// removes them from `Changes`.
void mergeNamedArrays(ObjectPtr &Document, ObjectPtr &Changes,
                      DiagnosticList &Diagnostics) {
  for (const char *key : {"groups", "models", "services", "servers"}) {
    ArrayPtr changes = asArray(Changes->get(key));
    if (!changes)
      continue;
    ArrayMerge merge(std::string("changes.") + key, Diagnostics);
    Document->set(key, merge.apply(asArray(Document->get(key)), changes));
    Changes->remove(key);
  }
}

void rejectHeaderFields(const ObjectPtr &Changes, DiagnosticList &Diagnostics) {
  for (const char *key : {"version", "base", "patch_id"})
    if (Changes->has(key))
      Diagnostics.Diagnostics.push_back({InputName, 0,
                                         std::string("changes.") + key,
                                         "no such field; the router sets it"});
}

struct Patch {
  uint64_t Base = 0;
  std::string Id;
  ObjectPtr Changes;
};

Patch parsePatch(const std::string &Text, DiagnosticList &Diagnostics) {
  Patch patch;
  JsonReader reader(Text, InputName, Diagnostics);
  patch.Base = reader.number("base");
  patch.Id = reader.text("patch_id");
  ObjectPtr root = parseObject(Text);
  patch.Changes = root ? asObject(root->get("changes")) : ObjectPtr();
  if (!patch.Changes)
    reader.addDiagnostic("changes", "an object");
  else
    rejectHeaderFields(patch.Changes, Diagnostics);
  return patch;
}

std::string makeResultText(const ConfigDocument &Active, Patch &Patch,
                           uint64_t Version, DiagnosticList &Diagnostics) {
  ObjectPtr document = parseObject(Active.Text);
  if (!document)
    document = new Poco::JSON::Object;
  mergeNamedArrays(document, Patch.Changes, Diagnostics);
  document = mergePatch(document, Patch.Changes);
  document->set("version", Version);
  document->set("base", Active.Version);
  document->set("patch_id", Patch.Id);
  std::ostringstream out;
  document->stringify(out);
  return out.str();
}

ConfigPtr parseResult(const std::string &Text, DiagnosticList &Diagnostics) {
  ConfigPtr result;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(result, parseConfigDocument(Text));
        return {};
      },
      [&](const DiagnosticList &Found) { Diagnostics = Found; },
      [&] {
        Diagnostics.Diagnostics.push_back(
            {InputName, 0, "(document)", "a valid configuration"});
      });
  return result;
}

} // namespace

PatchResult evaluatePatch(const ConfigDocument &Active,
                          const std::string &PatchText,
                          uint64_t LastEvaluated) {
  PatchResult result;
  result.CurrentVersion = Active.Version;
  DiagnosticList &diagnostics = result.Diagnostics;
  Patch patch = parsePatch(PatchText, diagnostics);
  if (!diagnostics.Diagnostics.empty())
    return result;
  if (patch.Base != Active.Version) {
    result.Error = ErrorKind::StaleBase;
    return result;
  }
  uint64_t version = std::max(Active.Version, LastEvaluated) + 1;
  std::string text = makeResultText(Active, patch, version, diagnostics);
  if (!diagnostics.Diagnostics.empty())
    return result;
  result.Result = parseResult(text, diagnostics);
  result.Accepted = result.Result != nullptr;
  return result;
}

} // namespace crocusspur::internal
