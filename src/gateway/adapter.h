// An adapter makes the gateway speak with the instances, callers, servers and
// store of one kind of deployment. It registers itself and is chosen by name.
#ifndef CROCUSSPUR_GATEWAY_ADAPTER_H
#define CROCUSSPUR_GATEWAY_ADAPTER_H

#include "gateway/gateway_settings.h"
#include "gateway/http_codec.h"
#include "gateway/published_source.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <string>

namespace crocusspur::gateway {

struct Adapter {
  std::string Name;
  // Name of the environment variable that holds the path of the settings file.
  std::string SettingsVariable;
  // Path at which the balancer asks whether the instance is ready.
  std::string ReadyPath;
  // On failure the LEAF error carries a DiagnosticList with every mistake.
  std::function<boost::leaf::result<GatewaySettings>(const std::string &File)>
      LoadSettings;
  std::function<HttpCodec()> MakeCodec;
  std::function<PublishedSource(const GatewaySettings &)> MakeSource;
};

// Registers an adapter from a namespace-scope object.
class AdapterRegistration {
public:
  explicit AdapterRegistration(Adapter Entry);
};

// Returns null, with a line on standard error, if there is no adapter of the
// name.
const Adapter *findAdapter(const std::string &Name);

} // namespace crocusspur::gateway

#endif
