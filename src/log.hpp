// Logging: spdlog to standard error, at the level the variable LOG_LEVEL names.
#pragma once

#include <spdlog/spdlog.h>

namespace larkroad {

// Sets up the default logger. Throws std::runtime_error on a level it does not know.
void init_logging(const char* level, const std::string& member);

}  // namespace larkroad
