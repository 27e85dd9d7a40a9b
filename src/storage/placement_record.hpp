/// The placements and completions of one shard of a job's tasks, stored under `p/ID/SHARD`. A task
/// is launched only after its placement is recorded, so that a new leader knows every task that may
/// be running.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

/// A closed range of tasks.
struct TaskRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
};

struct PlacedTask {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;
};

struct PlacementRecord {
  std::uint64_t attempt = 0;  ///< the highest attempt ever used in this shard
  std::vector<TaskRange> done;
  std::vector<PlacedTask> placed;
};

Json encode(const PlacementRecord& record);

/// Throws RecordError.
PlacementRecord decode_placement_record(const Json& data);

/// The maximum number of tasks per record such that the largest record fits into `value_kb` KiB.
std::uint32_t max_tasks_per_shard(double value_kb);

}  // namespace larkroad::storage
