/// The snapshot used by one scheduling cycle: what is available of the machines' capacity and of
/// the teams' quotas, less what the cycle itself has allocated so far.
///
/// Taken at the start of a cycle from the cluster's state, which it does not change, and shared by
/// all stages of the cycle (filter, score, reserve, preempt).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/gang_reservations.hpp"
#include "coordination/scheduling/zone_constraints.hpp"

namespace larkroad::coordination {

/// A machine as seen by this cycle.
struct MachineView {
  Machine* machine = nullptr;
  size_t pool = 0;      ///< index into the cycle's pools
  Resources available;  ///< free capacity, less what is reserved for gangs
  /// Capacity of tasks that are being stopped, less what this cycle has claimed of it. Set by the
  /// preemption stage.
  Resources releasing;
  /// Images that are being fetched, with their sizes in GB; none until looked up.
  std::optional<std::map<std::string, double>> fetching;
};

/// Machines of one type, zone and purchase option (spot or on demand): whether a job may use them
/// is decided once for the whole pool.
struct MachinePool {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  std::vector<MachineView*> machines;
  /// Machines that could take some waiting task, reserved capacity included. Most machines of a
  /// busy fleet are full; they are skipped once per cycle, not once per job.
  std::vector<MachineView*> open;
};

/// Capacity kept free for the expected arrivals of a higher-priority job class.
struct ClassReserve {
  const JobSpec* spec;        ///< of the latest job of the class
  double missing;             ///< tasks for which capacity is to be kept free
  double fits;                ///< tasks that fit into the capacity available now
  std::vector<bool> allowed;  ///< by pool
  std::map<std::string, double> missing_by_team;
};

class CycleView {
 public:
  /// The view points into the cluster, which must outlive it and keep its machines.
  CycleView(ClusterState& cluster, const GangReservations& reservations, Seconds now);
  // Pools and the name index point into the machines.
  CycleView(const CycleView&) = delete;
  CycleView& operator=(const CycleView&) = delete;

  ClusterState& cluster() { return cluster_; }
  const ClusterState& cluster() const { return cluster_; }
  Seconds now() const { return now_; }
  std::vector<MachinePool>& pools() { return pools_; }
  const MachinePool& pool_of(const MachineView& view) const { return pools_[view.pool]; }
  const std::vector<ClassReserve>& reserves() const { return reserves_; }
  /// Null when the machine accepts no tasks at present.
  MachineView* find(const std::string& machine) const;
  /// Whether the job may run in each pool.
  std::vector<bool> allowed_pools(const JobSpec& spec) const;

  /// What remains of the team's limit, less what this cycle has allocated.
  Resources team_quota_left(const std::string& team) const;
  /// How many more tasks of the job the team's limit allows, less the quota reserved for expected
  /// arrivals of the team's jobs of a priority higher than `priority`.
  std::uint32_t tasks_within_quota(const Job& job, protocol::Priority priority) const;
  /// Allocates the quota for `tasks` tasks of the job.
  void take_quota(const Job& job, double tasks);

  /// Allocates the capacity for one task of the job.
  void take(const Job& job, MachineView& view);
  /// Undoes `take`.
  void release(const Job& job, MachineView& view);
  /// Returns capacity that is reserved for a job to the available capacity, for use by that job.
  void free_reserved(const GangReservations::Reservation& reservation);

  /// The number of the job's live tasks in each zone, without those in `migrating`. None while the
  /// zone of one of them is unknown, as after a failover: nothing that depends on zones may be
  /// decided then. Empty for a job without zone constraints.
  std::optional<ZoneCounts> live_zones(const Job& job,
                                       const std::vector<std::uint32_t>& migrating = {}) const;

  /// The fraction of a machine's GPUs that a task without GPUs would make unusable for waiting GPU
  /// jobs.
  double blocked_gpus(const Job& job, const MachineView& view) const;
  /// How long the fetch of the job's image takes, given that concurrent fetches share the machine's
  /// fetch rate.
  Seconds image_wait(const Job& job, MachineView& view) const;
  /// How many fewer tasks of the reserve's class fit once a task of this job is placed here.
  static double lost_fits(const ClassReserve& reserve, const Job& job, const MachineView& view);

 private:
  struct GpuNeed {
    std::vector<bool> allowed;  ///< by pool
    Resources need;
  };
  void add_machines();
  void add_open_machines();
  void add_gpu_needs();
  void add_reserves();
  std::map<std::string, double> images_being_fetched(const Machine& machine) const;

  ClusterState& cluster_;
  Seconds now_;
  std::vector<MachineView> machines_;
  std::vector<MachinePool> pools_;
  std::unordered_map<std::string, MachineView*> by_name_;
  std::vector<ClassReserve> reserves_;
  std::vector<GpuNeed> gpu_needs_;                // of waiting jobs
  std::map<std::string, Resources> taken_quota_;  // by team, in this cycle
};

/// Subtracts the needs of `count` tasks; adds them when `count` is negative.
void subtract_needs(Resources& available, const Resources& each, double count);

}  // namespace larkroad::coordination
