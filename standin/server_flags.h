// Command-line flags common to all stand-ins.
#ifndef STANDIN_SERVER_FLAGS_H
#define STANDIN_SERVER_FLAGS_H

#include "standin_server.h"

#include <CLI/CLI.hpp>

namespace standin {

inline void addServerFlags(CLI::App &App, ServerOptions &Options) {
  App.add_option("--listen", Options.Address, "IP address to listen on");
  App.add_option("--port", Options.Port, "TCP port; 0: chosen by the kernel");
  App.add_option("--lifetime-s", Options.LifetimeSeconds,
                 "seconds after which the process exits");
}

} // namespace standin

#endif
