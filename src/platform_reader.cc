#include "platform_reader.h"

#include "crocusspur/config_document.h"
#include "crocusspur/instance_list.h"
#include "document_reader.h"
#include "json_reader.h"
#include "log.h"
#include "runtime.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace crocusspur::internal {
namespace {

constexpr char Module[] = "platform_reader";

// Parses a document, posts it and returns its number. Every instance rejects
// the same invalid documents: the diagnostics are logged, and reading continues
// with the next document if the number of this one can be read.
template <typename Parse, typename Publish>
uint64_t processDocument(const std::string &Text, const char *DocumentName,
                         const char *NumberKey, Parse ParseText,
                         Publish PublishResult) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<uint64_t> {
        BOOST_LEAF_AUTO(document, ParseText(Text));
        return PublishResult(std::move(document));
      },
      [&](const DiagnosticList &List) {
        for (const Diagnostic &it : List.Diagnostics)
          log(LogLevel::Error, Module, "mistake in a published document",
              {{"what", DocumentName}, {"mistake", it.str()}});
        DiagnosticList ignored;
        return JsonReader(Text, DocumentName, ignored).number(NumberKey, 0);
      },
      [&] {
        log(LogLevel::Error, Module, "can't parse a published document",
            {{"what", DocumentName}});
        return uint64_t(0);
      });
}

class PlatformReader : public Plugin, public PlatformControl {
public:
  bool start(Kernel &Owner) override;
  void stop() override;
  void setReading(const SetPlatformReading &Item) override;
  PlatformStats stats() const override;

private:
  std::unique_ptr<DocumentReader>
  makeReader(const Settings &Values, const std::string &Name,
             const std::string &Path,
             DocumentReader::DocumentCallback OnDocument);
  uint64_t processConfig(const std::string &Text);
  uint64_t processList(const std::string &Text);

  EventSink *Events = nullptr;
  std::unique_ptr<DocumentReader> Config;
  std::unique_ptr<DocumentReader> List;
};

bool PlatformReader::start(Kernel &Owner) {
  Events = Owner.find<EventSink>();
  if (!Events) {
    log(LogLevel::Error, Module, "can't start: no event sink");
    return false;
  }
  const Settings &values = Owner.settings();
  Config = makeReader(
      values, "config", "/v1/config",
      [this](const std::string &Text) { return processConfig(Text); });
  List =
      makeReader(values, "instances", "/v1/instances",
                 [this](const std::string &Text) { return processList(Text); });
  Owner.provide<PlatformControl>(this);
  Config->start();
  List->start();
  return true;
}

void PlatformReader::stop() {
  Config->stop();
  List->stop();
  log(LogLevel::Info, Module, "stopped",
      {{"config_calls", std::to_string(Config->calls())},
       {"list_calls", std::to_string(List->calls())}});
}

void PlatformReader::setReading(const SetPlatformReading &Item) {
  Config->setReading(Item.Watch, Item.AfterVersion);
  List->setReading(Item.Watch, 0);
}

PlatformStats PlatformReader::stats() const {
  return {Config->calls(), List->calls(), Config->lastResponseAt()};
}

std::unique_ptr<DocumentReader>
PlatformReader::makeReader(const Settings &Values, const std::string &Name,
                           const std::string &Path,
                           DocumentReader::DocumentCallback OnDocument) {
  DocumentReaderOptions options;
  options.Name = Name;
  options.Address = Values.PlatformAddress;
  options.Path = Path;
  options.Instance = Values.Instance;
  options.Timeout = Values.PlatformTimeout;
  options.WatchWait = Values.WatchWait;
  // Differs between instances, so that they don't all retry at the same time.
  options.Seed = Events->nextRequestId().Incarnation + Name.size();
  return std::make_unique<DocumentReader>(std::move(options),
                                          std::move(OnDocument));
}

uint64_t PlatformReader::processConfig(const std::string &Text) {
  return processDocument(Text, "config", "version", parseConfigDocument,
                         [this](ConfigPtr Document) {
                           uint64_t number = Document->Version;
                           Events->post(ConfigPublished{std::move(Document)});
                           return number;
                         });
}

uint64_t PlatformReader::processList(const std::string &Text) {
  return processDocument(Text, "instances", "sequence", parseInstanceList,
                         [this](InstanceListPtr Document) {
                           uint64_t number = Document->Sequence;
                           Events->post(ListPublished{std::move(Document)});
                           return number;
                         });
}

const PluginRegistration Registration{
    {"platform_reader", Phase::PeerLinks, [] { return makePlatformReader(); }}};

} // namespace

std::unique_ptr<Plugin> makePlatformReader() {
  return std::make_unique<PlatformReader>();
}

} // namespace crocusspur::internal
