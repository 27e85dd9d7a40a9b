/// Logging to standard error through spdlog. Every message has the form
/// `event in words: key=value key=value`.
#pragma once

#include <spdlog/spdlog.h>

#include <stdexcept>
#include <string>

namespace larkroad {

/// Thrown for an unsupported log level name.
struct LogLevelError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Installs the default logger, which adds the member name to every line. `level_name` is `error`,
/// `info`, `debug`, or empty for `info`. Throws `LogLevelError` for any other value.
void init_logging(const std::string& level_name, const std::string& member);

}  // namespace larkroad
