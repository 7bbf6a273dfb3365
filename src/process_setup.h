// Setup of the programs that run until a signal, before their kernel starts.
#ifndef CROCUSSPUR_PROCESS_SETUP_H
#define CROCUSSPUR_PROCESS_SETUP_H

#include "crocusspur/errors.h"

#include <boost/leaf.hpp>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <iostream>
#include <optional>
#include <string>

namespace crocusspur::internal {

// Exit code for settings that can't be read or have errors.
inline constexpr int InvalidSettingsExitCode = 2;

// Blocks the signals, which a plug-in then receives with sigwait, and ignores
// SIGPIPE. Threads inherit the mask, so call this before starting any.
void blockSignals(std::initializer_list<int> Signals);

// Returns a random number that isn't zero, since a zero request id means none.
uint64_t randomIncarnation();

// Returns the settings, or nothing after printing each diagnostic to standard
// error.
template <typename T>
std::optional<T> loadOrPrintDiagnostics(
    const std::function<boost::leaf::result<T>(const std::string &)> &Load,
    const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<T>> {
        BOOST_LEAF_AUTO(values, Load(File));
        return std::optional<T>(std::move(values));
      },
      [](const DiagnosticList &Diagnostics) -> std::optional<T> {
        for (const Diagnostic &it : Diagnostics.Diagnostics)
          std::cerr << it.str() << '\n';
        return std::nullopt;
      },
      [&]() -> std::optional<T> {
        std::cerr << File << ": can't be read\n";
        return std::nullopt;
      });
}

} // namespace crocusspur::internal

#endif
