/// The snapshot of one scheduling cycle: what is left of the machines' room and of the teams'
/// quotas, less what the cycle itself has given away so far.
///
/// Made at the start of a cycle from the cluster's state, which it does not change. All stages of
/// the cycle (filter, score, reserve, preempt) share it.
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

/// A machine with its room in this cycle, less what is reserved for gangs.
struct MachineView {
  Machine* machine = nullptr;
  size_t pool = 0;  ///< index into the cycle's pools
  Resources room;
  /// Of tasks that are being stopped on it, less what this cycle has claimed of that. Filled by the
  /// preemption stage.
  Resources releasing;
  /// Images that it is fetching, with their sizes in GB; none until that has been looked up.
  std::optional<std::map<std::string, double>> fetching;
};

/// Machines of one type and zone, spot or on demand: whether a job may use them is decided once for
/// them all.
struct MachinePool {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  std::vector<MachineView*> machines;
  /// Those that have room for some waiting task, reserved room included: most machines of a busy
  /// fleet are full, and are skipped once, not once for each job.
  std::vector<MachineView*> open;
};

/// Room kept free for tasks of a more important class that are likely to arrive.
struct ClassReserve {
  const JobSpec* spec;        ///< of the latest job of the class
  double missing;             ///< tasks that are to find room
  double fits;                ///< tasks that find room at present
  std::vector<bool> allowed;  ///< by pool
  std::map<std::string, double> missing_by_team;
};

class CycleView {
 public:
  /// The cluster must outlive the view, and its machines must stay, as the view points into it.
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
  /// Null when the machine takes no tasks at present.
  MachineView* find(const std::string& machine) const;
  /// Whether the job may run in each pool.
  std::vector<bool> allowed_pools(const JobSpec& spec) const;

  /// What the team's limit leaves, less what this cycle has given away.
  Resources team_quota_left(const std::string& team) const;
  /// How many more tasks of the job the limit allows, less the part that is likely to be needed by
  /// work of the team that is more important than `priority`.
  std::uint32_t tasks_within_quota(const Job& job, protocol::Priority priority) const;
  /// Gives away the quota that `tasks` tasks of the job take.
  void take_quota(const Job& job, double tasks);

  /// Takes the room of one task of the job.
  void take(const Job& job, MachineView& view);
  /// Undoes `take`.
  void release(const Job& job, MachineView& view);
  /// Makes room that is reserved for a gang free again, for the gang itself.
  void free_reserved(const GangReservations::Reservation& reservation);

  /// How many live tasks of the job each zone has, without those in `migrating`. None while the
  /// zone of one of them is unknown, as after a failover: nothing that depends on zones may be
  /// decided then. Empty for a job that has no constraint on zones.
  std::optional<ZoneCounts> live_zones(const Job& job,
                                       const std::vector<std::uint32_t>& migrating = {}) const;

  /// The part of a machine's GPUs that a task which needs none would block for work that does.
  double blocked_gpus(const Job& job, const MachineView& view) const;
  /// How long the job's image takes to be there: several fetches share the machine's rate.
  Seconds image_wait(const Job& job, MachineView& view) const;
  /// How many tasks of the reserve's class lose their room when one of this job is placed here.
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
  std::vector<GpuNeed> gpu_needs_;                // of work that waits for room
  std::map<std::string, Resources> taken_quota_;  // by team, in this cycle
};

/// Subtracts the room of `count` tasks; adds it when `count` is negative.
void take_room(Resources& room, const Resources& each, double count);

}  // namespace larkroad::coordination
