/// Finds jobs that wait although they could be placed.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "protocol/job_messages.hpp"
#include "sim/fake_worker.hpp"

namespace larkroad::sim {

/// Compares what users wait for with what is free on the machines, from outside of the controllers,
/// and passes the result to the checker. Where it counts free capacity it is careful: what is about
/// to be free, or may be had by a preemption, does not count.
class WaitingJobMonitor {
 public:
  explicit WaitingJobMonitor(World& world) : world_(world) {}

  /// Costs much; what it looks for lasts for minutes.
  void observe();

 private:
  /// Tasks on the machines that have not exited.
  struct Usage {
    coordination::Resources team;                // of the job's team
    std::map<std::string, std::uint32_t> zones;  // tasks of the job, by zone
    std::uint32_t placed = 0;                    // tasks of the job
  };
  /// Whether all that the job lacks could be placed now: one task of an array, all of a gang.
  bool could_be_placed(const JobSpec& spec) const;
  Usage usage_of(const JobSpec& spec) const;
  bool is_within_limit(const JobSpec& spec, const Usage& usage, std::uint32_t tasks) const;
  /// How many tasks of the job fit beside what runs, by zone.
  std::map<std::string, std::uint32_t> free_slots(const JobSpec& spec) const;
  coordination::Resources free_capacity(const FakeWorker& worker,
                                        const protocol::MachineType& type) const;

  World& world_;
};

}  // namespace larkroad::sim
