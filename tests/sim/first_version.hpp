/// Emulates controllers of the first version, which run alongside the current version during a
/// rolling upgrade.
#pragma once

#include <optional>

#include "transport/http.hpp"

namespace larkroad::sim {

/// Returns the request as a controller of the first version would send it, or nullopt if that
/// version would not send it. The first version neither announces nor records a version and does
/// not support services. User requests that a controller forwards are unchanged, and heartbeats and
/// commands are the same in both versions.
std::optional<transport::Request> convert_to_first_version(const transport::Request& request);

}  // namespace larkroad::sim
