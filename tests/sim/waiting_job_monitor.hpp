/// Detects jobs that wait although they could be placed.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "protocol/job_messages.hpp"
#include "sim/fake_worker.hpp"

namespace larkroad::sim {

/// Compares waiting jobs with the free capacity of the machines, independently of the controllers,
/// and passes the result to the invariant checker. The estimate of free capacity is conservative:
/// capacity that is about to become free or could be freed by preemption does not count.
class WaitingJobMonitor {
 public:
  explicit WaitingJobMonitor(World& world) : world_(world) {}

  /// Expensive; infrequent calls suffice because the condition it detects lasts for minutes.
  void observe();

 private:
  /// Resources and number of tasks on the machines that have not exited.
  struct Usage {
    coordination::Resources team;                // resources used by the job's team
    std::map<std::string, std::uint32_t> zones;  // tasks of the job, by zone
    std::uint32_t placed = 0;                    // tasks of the job
  };
  /// Whether the job could be placed now: one more task of an array, or all remaining tasks of a
  /// gang.
  bool could_be_placed(const JobSpec& spec) const;
  Usage usage_of(const JobSpec& spec) const;
  bool is_within_limit(const JobSpec& spec, const Usage& usage, std::uint32_t tasks) const;
  /// Number of tasks of the job that fit in the free capacity, by zone.
  std::map<std::string, std::uint32_t> free_slots(const JobSpec& spec) const;
  coordination::Resources free_capacity(const FakeWorker& worker,
                                        const protocol::MachineType& type) const;

  World& world_;
};

}  // namespace larkroad::sim
