/// Which machine types may run a job's tasks, and how long a start on them takes.
///
/// Pure functions of the machine type catalog. The scheduling cycle uses them to filter machines,
/// the autoscaler to filter markets.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Whether a machine of this type and zone, spot or on demand, satisfies the job's constraints and
/// has the capacity for one of its tasks.
bool allows(const protocol::JobSpec& spec, const protocol::MachineType& type,
            const std::string& zone, bool spot);

/// How long a machine of this type takes to fetch the job's image at full network bandwidth.
transport::Seconds fetch_time(const protocol::JobSpec& spec, const protocol::MachineType& type);

/// The kind of machine on which a task would start.
enum class StartsOn {
  running_machine,  ///< already running, but without the job's image
  new_machine,      ///< must boot first
};

/// The shortest start time of a task of the job over all eligible types, on demand; empty when no
/// type is eligible.
std::optional<transport::Seconds> shortest_start_time(
    const std::vector<protocol::MachineType>& types, const protocol::JobSpec& spec,
    StartsOn starts_on);

}  // namespace larkroad::coordination
