#include "coordination/cluster_state/job.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

// Two machines are enough to tell, for any given machine, whether the job started on another one.
constexpr size_t kMaxStartedMachines = 2;

}  // namespace

bool Job::started_elsewhere_than(const std::string& machine) const {
  return started_machines.size() > started_machines.count(machine);
}

void Job::record_successful_start(const std::string& machine) {
  if (started_machines.size() < kMaxStartedMachines) started_machines.insert(machine);
}

bool Job::succeeds_elsewhere_than(const std::string& machine) const {
  if (!spec.is_service()) return done_count > 0;
  return std::any_of(placements.begin(), placements.end(), [&](const auto& entry) {
    return entry.second.ran_long_enough && entry.second.machine != machine;
  });
}

std::uint32_t Job::waiting() const {
  if (cancelled || gang_aborting) return 0;
  return spec.tasks - next_never_placed + static_cast<std::uint32_t>(requeued.size());
}

bool Job::is_finished() const {
  return done_count == spec.tasks || (cancelled && placements.empty());
}

std::uint32_t Job::running() const {
  const auto runs = [](const auto& entry) {
    const Placement& placement = entry.second;
    return placement.stage == Placement::Stage::acknowledged &&
           (placement.state == TaskState::running || placement.state == TaskState::saving);
  };
  return static_cast<std::uint32_t>(std::count_if(placements.begin(), placements.end(), runs));
}

}  // namespace larkroad::coordination
