/// Controllers of the first version, beside which this one runs in the course of an upgrade.
#pragma once

#include <optional>

#include "transport/http.hpp"

namespace larkroad::sim {

/// What a controller of the first version sends in place of this request; nothing when it does not
/// send it. It announces and records no version and knows no services. A user's request that a
/// controller forwards is the user's, and heartbeats and commands are the same in both versions.
std::optional<transport::Request> as_sent_by_first_version(const transport::Request& request);

}  // namespace larkroad::sim
