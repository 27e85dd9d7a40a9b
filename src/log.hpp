/// Logging by spdlog to standard error. A line names one event in the field's terms, followed by
/// its fields as `key=value`.
#pragma once

#include <spdlog/spdlog.h>

#include <stdexcept>
#include <string>

namespace larkroad {

struct LogLevelError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Sets up the default logger; every line carries the member's name. `level_name` is `error`,
/// `info` or `debug`; empty: `info`. Throws `LogLevelError` for any other.
void init_logging(const std::string& level_name, const std::string& member);

}  // namespace larkroad
