/// Admission checks of submitted jobs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"

namespace larkroad::coordination {

/// Returns why a job could not run on any fleet of these machine types, or nullopt if it could.
std::optional<std::string> unschedulable_reason(const protocol::JobSpec& spec,
                                                const Settings& settings,
                                                const std::vector<protocol::MachineType>& types);

/// Removes nonexistent machine types from the list of allowed types of a job: they match no machine
/// and would only enlarge the job's record.
void remove_unknown_types(protocol::JobSpec& spec, const std::vector<protocol::MachineType>& types);

}  // namespace larkroad::coordination
