/// The leader's state of the whole cluster: jobs, machines, placements, quota use and machine
/// types.
///
/// Owned by the leader, on the one thread of the event loop. Holds plain data: no I/O, and no clock
/// of its own. The scheduling cycle and the autoscaler read it; the leader's parts change it as
/// records are read, heartbeats arrive and decisions are made.
///
/// Invariant: a machine's `used`, `used_by_priority` and `tasks` and a team's use equal the sums
/// over all placements, as placements are only added by `place` and removed by `unplace` and
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
  /// `settings` must outlive this.
  explicit ClusterState(const Settings& settings) : settings_(settings), workload_(settings) {}

  /// Forgets jobs, machines and quota use, as at the end of a term of leadership. Machine types and
  /// class statistics stay.
  void clear();
  /// Sets the time of day less the steady time, by which times of day become steady ones.
  void set_day_offset(double offset) { day_offset_ = offset; }

  // Jobs.

  /// Adds the job of a record, with all its tasks waiting. Replaces a job of the same id.
  Job& add_job(const std::string& id, const storage::JobRecord& record, std::uint64_t revision);
  /// Null when there is no such job.
  Job* job(const std::string& id);
  const Job* job(const std::string& id) const;
  void remove_job(const std::string& id);
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }

  // Placement records.

  /// Takes over the placements and completions that an earlier leader has recorded for a shard. The
  /// shards of a job may come in any order. Each placement counts as a launch that may still be
  /// carried out under `uncertain_fencing_token`.
  void restore_placements(Job& job, std::uint32_t shard, const storage::PlacementRecord& record,
                          std::uint64_t revision, std::uint64_t uncertain_fencing_token,
                          Seconds now);
  /// Whether the job was accepted under larger limits of the key-value store, so that one record
  /// may not hold the placements of all tasks of a shard.
  bool has_oversized_shards(const Job& job) const;
  /// By how many bytes the shard's record may still grow.
  size_t record_bytes_left(const Job& job, std::uint32_t shard) const;
  /// The record of the shard as it should be stored now.
  static storage::PlacementRecord placement_record(const Job& job, std::uint32_t shard);

  // Machines, in the order of their names.

  /// The machine of this name; added when it is unknown.
  Machine& machine(const std::string& name);
  /// Null when there is no such machine.
  Machine* find_machine(const std::string& name);
  const Machine* find_machine(const std::string& name) const;
  void remove_machine(const std::string& name);
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  /// Sets the machine's type, and its capacity where the type is known.
  void set_type(Machine& machine, const std::string& type) const;

  // Placements. They take capacity and quota from `place` until `unplace` or `finish`.

  Placement& place(Job& job, std::uint32_t task, Machine& machine, std::uint64_t attempt,
                   Seconds now);
  /// The task is proved to be gone without having completed: it waits to be placed again.
  void unplace(Job& job, std::uint32_t task, Seconds now);
  /// The task has completed; its shard's record is to be written.
  void finish(Job& job, std::uint32_t task, Seconds now);

  /// What the placements of the team's jobs take of its quota.
  Resources used_by(const std::string& team) const;

  // Machine types.

  /// Sets the catalog; machines of known types get their capacity from it.
  void set_types(std::vector<MachineType> types);
  const std::vector<MachineType>& types() const { return types_; }
  /// Null when there is no such type.
  const MachineType* type(const std::string& name) const;

  // Class statistics; see WorkloadStatistics.

  Seconds expected_run(const JobSpec& spec) const { return workload_.expected_run(spec); }
  void learn_run(const JobSpec& spec, Seconds run_time) { workload_.learn_run(spec, run_time); }
  void learn_arrival(const Job& job) { workload_.learn_arrival(job); }
  double arrival_rate(const ClassStatistics& statistics, Seconds now) const {
    return workload_.arrival_rate(statistics, now);
  }
  const std::map<std::string, ClassStatistics>& classes() const { return workload_.classes(); }

  const Settings& settings() const { return settings_; }

 private:
  /// The tasks of a shard: from `first` on, before `end`.
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
  /// Ends the task's placement, if it has one, and gives its capacity and quota free.
  void remove_placement(Job& job, std::uint32_t task, Seconds now);

  const Settings& settings_;
  double day_offset_ = 0;
  WorkloadStatistics workload_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Resources> used_by_team_;
  std::vector<MachineType> types_;
};

}  // namespace larkroad::coordination
