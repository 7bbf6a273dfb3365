// What the programs that run until a signal do before their kernel starts.
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

// Exit code for settings that can't be read or have mistakes.
inline constexpr int InvalidSettingsExitCode = 2;

// Blocks the signals, which a plug-in then takes with sigwait, and ignores
// SIGPIPE. Threads inherit the mask, so this comes before the first one.
void blockSignals(std::initializer_list<int> Signals);

// A random number that isn't zero: a zero request id stands for none.
uint64_t randomIncarnation();

// Returns the settings, or nothing after writing each mistake to standard
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
        std::cerr << File << ": could not be read\n";
        return std::nullopt;
      });
}

} // namespace crocusspur::internal

#endif
