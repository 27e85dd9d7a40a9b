#include "log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <stdexcept>

namespace larkroad {

void init_logging(const char* level, const std::string& member) {
  const std::string name = level != nullptr && *level != '\0' ? level : "info";
  spdlog::level::level_enum chosen = spdlog::level::info;
  if (name == "error") {
    chosen = spdlog::level::err;
  } else if (name == "debug") {
    chosen = spdlog::level::debug;
  } else if (name != "info") {
    throw std::runtime_error("LOG_LEVEL must be error, info or debug, not '" + name + "'");
  }
  auto logger =
      std::make_shared<spdlog::logger>(member, std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v", spdlog::pattern_time_type::utc);
  logger->set_level(chosen);
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace larkroad
