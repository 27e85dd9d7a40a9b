/// Constraints on the zones of a job's tasks.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "protocol/job_messages.hpp"

namespace larkroad::coordination {

/// How many of a job's live tasks each zone has.
using ZoneCounts = std::map<std::string, std::uint32_t>;

/// The most tasks of a job that one zone may run when the job is spread over zones: half of them,
/// rounded up, so that no loss of one zone takes them all.
inline std::uint32_t max_tasks_per_zone(const protocol::JobSpec& spec) {
  return (spec.tasks + 1) / 2;
}

}  // namespace larkroad::coordination
