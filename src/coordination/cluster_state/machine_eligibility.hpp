/// Which machine types may run a job's tasks, and how soon one could start there.
///
/// Pure functions of the catalog of machine types; used to filter machines in the scheduling cycle
/// and markets in the autoscaler.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Whether a machine of this type and zone, spot or on demand, may run the job's tasks at all: by
/// the job's constraints and by the capacity of the type.
bool allows(const protocol::JobSpec& spec, const protocol::MachineType& type,
            const std::string& zone, bool spot);

/// How long a machine of this type fetches the job's image, with the network to itself.
transport::Seconds fetch_time(const protocol::JobSpec& spec, const protocol::MachineType& type);

/// Where a task would start.
enum class StartsOn {
  running_machine,  ///< one that is up, without the job's image
  new_machine,      ///< one that has to boot first
};

/// The shortest time in which a task of the job can start, over all types that may run it on
/// demand; none when no type may.
std::optional<transport::Seconds> shortest_start_time(
    const std::vector<protocol::MachineType>& types, const protocol::JobSpec& spec,
    StartsOn starts_on);

}  // namespace larkroad::coordination
