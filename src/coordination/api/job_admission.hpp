/// Whether a submitted job can ever run.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"

namespace larkroad::coordination {

/// Returns why a job can never run on any fleet of these machine types; none when it can.
std::optional<std::string> never_runnable(const protocol::JobSpec& spec, const Settings& settings,
                                          const std::vector<protocol::MachineType>& types);

/// Removes machine types that do not exist from the list of those that a job allows: they allow
/// nothing, and would only make its record long.
void remove_unknown_types(protocol::JobSpec& spec, const std::vector<protocol::MachineType>& types);

}  // namespace larkroad::coordination
