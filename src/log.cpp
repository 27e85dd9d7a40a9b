#include "log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <utility>

namespace larkroad {
namespace {

spdlog::level::level_enum parse_level(const std::string& name) {
  if (name == "error") return spdlog::level::err;
  if (name == "debug") return spdlog::level::debug;
  if (name.empty() || name == "info") return spdlog::level::info;
  throw LogLevelError("LOG_LEVEL must be error, info or debug; got '" + name + "'");
}

}  // namespace

void init_logging(const std::string& level_name, const std::string& member) {
  const auto level = parse_level(level_name);
  auto logger =
      std::make_shared<spdlog::logger>(member, std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v", spdlog::pattern_time_type::utc);
  logger->set_level(level);
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace larkroad
