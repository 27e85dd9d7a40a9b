/// The leader's in-memory state of the cluster: jobs, machines, placements, quota usage and machine
/// types.
///
/// Owned by the leader and used only on the event loop's thread. Holds plain data: it performs no
/// I/O and reads no clock. The scheduling cycle and the autoscaler read it; components of the
/// leader update it when records are read, heartbeats arrive or decisions are made.
///
/// Invariant: a machine's `used`, `used_by_priority` and `tasks` and each team's usage equal the
/// sums over all placements. Placements are added only by `place` and removed only by `unplace` and
/// `finish`.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/cluster_state/class_statistics.hpp"
#include "coordination/cluster_state/job.hpp"
#include "coordination/cluster_state/machine.hpp"
#include "coordination/cluster_state/machine_eligibility.hpp"
#include "coordination/cluster_state/placement.hpp"
#include "coordination/cluster_state/resources.hpp"
#include "settings.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {

class ClusterState {
 public:
  /// `settings` must outlive this object.
  explicit ClusterState(const Settings& settings) : settings_(settings), workload_(settings) {}

  /// Removes all jobs, machines and quota usage, at the end of a term of leadership. Machine types
  /// and class statistics are kept.
  void clear();
  /// Sets the offset of the wall clock from the steady clock (wall-clock time minus steady time),
  /// used to convert recorded wall-clock times.
  void set_wall_clock_offset(double offset) { wall_clock_offset_ = offset; }

  // Jobs.

  /// Adds a job from its record, with all of its tasks waiting. Replaces a job with the same id.
  Job& add_job(const std::string& id, const storage::JobRecord& record, std::uint64_t revision);
  /// Returns nullptr when there is no such job.
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  void remove_job(const std::string& id);
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }

  // Placement records.

  /// Restores the placements and completions that an earlier leader recorded for a shard. Shards of
  /// a job may be restored in any order. Each placement is treated as a launch that may still be
  /// executed under `uncertain_fencing_token`.
  void restore_placements(Job& job, std::uint32_t shard, const storage::PlacementRecord& record,
                          std::uint64_t revision, std::uint64_t uncertain_fencing_token,
                          Seconds now);
  /// Whether the job was accepted when the key-value store had larger limits, so that the
  /// placements of all tasks of one shard may not fit into its record.
  bool has_oversized_shards(const Job& job) const;
  /// The number of bytes by which the shard's record may still grow.
  size_t record_bytes_left(const Job& job, std::uint32_t shard) const;
  /// Builds the record of the shard from the current state.
  static storage::PlacementRecord placement_record(const Job& job, std::uint32_t shard);

  // Machines, ordered by name.

  /// Returns the machine with this name; adds it when it is unknown.
  Machine& machine(const std::string& name);
  /// Returns nullptr when there is no such machine.
  Machine* find_machine(const std::string& name);
  const Machine* find_machine(const std::string& name) const;
  void remove_machine(const std::string& name);
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Sets the machine's type, and its capacity if the type is in the catalog.
  void set_type(Machine& machine, const std::string& type) const;

  // Placements. A placement occupies capacity and quota from `place` until `unplace` or `finish`.

  Placement& place(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                   Seconds now);
  /// Removes the placement of a task that has certainly ended without completing, and requeues the
  /// task.
  void unplace(Job& job, std::uint32_t task, Seconds now);
  /// Marks the task as completed and schedules the write of its shard's record.
  void finish(Job& job, std::uint32_t task, Seconds now);

  /// The share of its quota that the placements of the team's jobs use.
  Resources used_by(const std::string& team) const;

  // Machine types.

  /// Replaces the catalog and updates the capacity of machines whose type it contains.
  void set_types(std::vector<MachineType> types);
  const std::vector<MachineType>& types() const { return types_; }
  /// Returns nullptr when there is no such type.
  const MachineType* type(const std::string& name) const;

  // Class statistics, see WorkloadStatistics.

  Seconds expected_run(const JobSpec& spec) const { return workload_.expected_run(spec); }
  void learn_run(const JobSpec& spec, Seconds run_time) { workload_.learn_run(spec, run_time); }
  void learn_arrival(const Job& job) { workload_.learn_arrival(job); }
  double arrival_rate(const ClassStatistics& statistics, Seconds now) const {
    return workload_.arrival_rate(statistics, now);
  }
  const std::map<std::string, ClassStatistics>& classes() const { return workload_.classes(); }

  const Settings& settings() const { return settings_; }

 private:
  /// The half-open range of tasks of a shard: `first` included, `end` excluded.
  struct ShardBounds {
    std::uint32_t first;
    std::uint32_t end;
  };
  static ShardBounds tasks_of_shard(const Job& job, std::uint32_t shard);
  static void restore_done(Job& job, const std::vector<storage::TaskRange>& ranges,
                           std::uint32_t end);
  void restore_placement(Job& job, const storage::PlacedTask& placed,
                         std::uint64_t uncertain_fencing_token, Seconds now);
  static void requeue_waiting(Job& job, const ShardBounds& shard);
  /// Removes the task's placement, if it has one, and frees its capacity and quota.
  void remove_placement(Job& job, std::uint32_t task, Seconds now);

  const Settings& settings_;
  double wall_clock_offset_ = 0;
  WorkloadStatistics workload_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Resources> used_by_team_;
  std::vector<MachineType> types_;
};

}  // namespace larkroad::coordination
