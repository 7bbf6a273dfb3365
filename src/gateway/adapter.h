// An adapter connects the gateway to the instances, callers, servers and store
// of one kind of deployment. Adapters register themselves and are selected by
// name.
#ifndef CROCUSSPUR_GATEWAY_ADAPTER_H
#define CROCUSSPUR_GATEWAY_ADAPTER_H

#include "gateway/gateway_settings.h"
#include "gateway/http_codec.h"
#include "gateway/published_source.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

struct Adapter {
  std::string Name;
  // Environment variable that holds the path of the settings file.
  std::string SettingsVariable;
  // Path at which the load balancer probes readiness.
  std::string ReadyPath;
  // On failure the LEAF error carries a DiagnosticList with every invalid
  // field.
  std::function<boost::leaf::result<GatewaySettings>(const std::string &File)>
      LoadSettings;
  // Returns the faults of a published configuration, as it would be read from
  // the store. Their files are empty.
  std::function<std::vector<Diagnostic>(const std::string &Text)>
      CheckConfiguration;
  std::function<HttpCodec()> MakeCodec;
  std::function<PublishedSource(const GatewaySettings &)> MakeSource;
};

// Registers an adapter when constructed at namespace scope.
class AdapterRegistration {
public:
  explicit AdapterRegistration(Adapter Entry);
};

// Returns null and prints an error to standard error if no adapter has this
// name.
const Adapter *findAdapter(const std::string &Name);

} // namespace crocusspur::gateway

#endif
