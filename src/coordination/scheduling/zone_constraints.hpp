/// Constraints on the zones in which a job's tasks may run.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "protocol/job_messages.hpp"

namespace larkroad::coordination {

/// The number of a job's live tasks, by zone.
using ZoneCounts = std::map<std::string, std::uint32_t>;

/// The most tasks of a job that may run in one zone when the job is spread over zones: half of
/// them, rounded up, so that the loss of one zone does not stop them all.
inline std::uint32_t max_tasks_per_zone(const protocol::JobSpec& spec) {
  return (spec.tasks + 1) / 2;
}

}  // namespace larkroad::coordination
