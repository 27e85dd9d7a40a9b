// What one scheduling cycle knows of the machines and of the teams' limits: the cluster's state,
// less what the cycle itself has given away so far.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/gang_reservations.hpp"

namespace larkroad::coordination {

// A machine with its room in this cycle, less what gangs hold.
struct MachineView {
  Machine* machine = nullptr;
  size_t pool = 0;
  Resources room;
  Resources releasing;  // of tasks that are being stopped on it, less what is claimed of that
  std::optional<std::map<std::string, double>> fetching;  // images on their way, with their sizes
};

// Machines of one type, zone and kind: what a job may use is decided once for them all.
struct MachinePool {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  std::vector<MachineView*> machines;
  // Those that have room for some waiting task, counting what is held: most machines of a busy
  // fleet are full, and are passed over once, not once for each job.
  std::vector<MachineView*> open;
};

// Room kept free for tasks of a more important class that are likely to arrive.
struct ClassReserve {
  const JobSpec* spec;
  double missing;             // tasks that are to find room
  double fits;                // tasks that find room at present
  std::vector<bool> allowed;  // by pool
  std::map<std::string, double> missing_by_team;
};

// How many of a job's live tasks each zone has.
using ZoneCounts = std::map<std::string, std::uint32_t>;

class CycleView {
 public:
  CycleView(ClusterState& cluster, const GangReservations& holds, Seconds now);
  // Pools and the name index point into the machines.
  CycleView(const CycleView&) = delete;
  CycleView& operator=(const CycleView&) = delete;

  ClusterState& cluster() { return cluster_; }
  const ClusterState& cluster() const { return cluster_; }
  Seconds now() const { return now_; }
  std::vector<MachinePool>& pools() { return pools_; }
  const MachinePool& pool_of(const MachineView& view) const { return pools_[view.pool]; }
  const std::vector<ClassReserve>& reserves() const { return reserves_; }
  // Null when the machine takes no tasks at present.
  MachineView* find(const std::string& machine) const;
  std::vector<bool> allowed_pools(const JobSpec& spec) const;

  // What the team's limit leaves, counting what this cycle has given away.
  Resources limit_left(const std::string& team) const;
  // How many more tasks of the job the limit allows, with the part kept that is likely to be needed
  // by work of the team that is more important than `priority`.
  std::uint32_t tasks_within_limit(const Job& job, protocol::Priority priority) const;
  void take_limit(const Job& job, double tasks);

  // Takes the room of one task, or gives it back.
  void take(const Job& job, MachineView& view);
  void release(const Job& job, MachineView& view);
  // The room that a gang holds counts as free for itself.
  void free_held(const GangReservations::Hold& hold);

  // After a change of leader the zone of what runs may not be known yet: then nothing that depends
  // on it may be decided, and the result is empty.
  std::optional<ZoneCounts> live_zones(const Job& job,
                                       const std::vector<std::uint32_t>& moving = {}) const;

  // The part of a machine's GPUs that a task which needs none would block for work that does.
  double blocked_gpus(const Job& job, const MachineView& view) const;
  // How long the job's image takes to be there: several fetches share the machine's rate.
  Seconds image_wait(const Job& job, MachineView& view) const;
  // How many tasks of the reserve's class lose their room when one of this job is placed here.
  static double lost_fits(const ClassReserve& reserve, const Job& job, const MachineView& view);

 private:
  struct GpuNeed {
    std::vector<bool> allowed;  // by pool
    Resources need;
  };
  void add_machines();
  void add_gpu_needs();
  void add_reserves();

  ClusterState& cluster_;
  Seconds now_;
  std::vector<MachineView> machines_;
  std::vector<MachinePool> pools_;
  std::unordered_map<std::string, MachineView*> by_name_;
  std::vector<ClassReserve> reserves_;
  std::vector<GpuNeed> gpu_needs_;          // of work that waits for room
  std::map<std::string, Resources> taken_;  // of the teams' limits, in this cycle
};

// Subtracts the room of `count` tasks; adds it when `count` is negative.
void take_room(Resources& room, const Resources& each, double count);

}  // namespace larkroad::coordination
