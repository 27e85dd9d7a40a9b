/// The leader's state of one job: its specification, which tasks are done, placed or waiting, and
/// the failures of its tasks.
///
/// Owned by `ClusterState`, which alone changes queues and placements. Failures, restarts and flags
/// are updated by the components of the leader that detect them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/cluster_state/placement.hpp"
#include "protocol/job_messages.hpp"

namespace larkroad::coordination {

using protocol::JobSpec;

/// A job whose tasks fail on this many machines in a row, without a success, is considered faulty
/// itself.
inline constexpr size_t kMinFailedMachines = 3;

/// Times are on the steady clock unless stated otherwise.
struct Job {
  JobSpec spec;
  std::uint64_t revision = 0;  ///< of the job's record in the key-value store
  double submitted_at = 0;     ///< wall-clock time
  Seconds submitted = 0;       ///< the same time on the steady clock
  std::uint32_t tasks_per_shard = 1;
  bool cancelled = false;
  /// A peer controller has announced the cancellation, and the record has not been read since.
  bool cancelled_by_peer = false;

  std::vector<bool> done;  ///< indexed by task
  std::uint32_t done_count = 0;
  std::set<std::uint32_t> unpersisted_done;  ///< completions that are not durable yet
  std::map<std::uint32_t, Placement> placements;
  std::uint32_t next_never_placed = 0;  ///< this task and all later ones have never been placed
  std::set<std::uint32_t> requeued;     ///< waiting tasks before `next_never_placed`
  std::map<std::uint32_t, PlacementShard> shards;
  bool write_in_flight = false;  ///< a transaction on the job's records is in progress

  // Gang scheduling: the attempt shared by all members, and its state.
  std::uint64_t gang_attempt = 0;
  bool gang_started = false;
  bool gang_aborting = false;  ///< a member was lost; the others must end before the next attempt

  Seconds retry_at = 0;  ///< earliest time of the next placement
  /// Consecutive failures since a task of the job last succeeded.
  int failures = 0;
  /// The machines on which those failures occurred.
  std::set<std::string> failed_machines;
  /// Up to two machines on which a task of the job started successfully; cleared when a task fails
  /// after its start. A misconfigured job fails at its start on every machine.
  std::set<std::string> started_machines;
  std::map<std::uint32_t, ReplicaRestarts> restarts;  ///< of a service, by replica
  Seconds replica_lost_at = -1;  ///< when a service last lost a replica; -1: never
  Seconds last_placed_at = -1;   ///< when one of its tasks was last placed; -1: never
  bool seen_running = false;
  /// Placed as urgent work after a long wait; see `Aging` in priority_aging.hpp.
  bool aged = false;

  const std::string& id() const { return spec.id; }
  /// Whether the job fails on every machine, as a misconfigured job does.
  bool fails_everywhere() const {
    return failed_machines.size() >= kMinFailedMachines && started_machines.empty();
  }
  /// Whether a task of the job started successfully on another machine.
  bool started_elsewhere_than(const std::string& machine) const;
  /// Records that a task of the job started successfully on the machine.
  void record_successful_start(const std::string& machine);
  /// The priority used to select preemption victims. Without the raise, a job placed by priority
  /// aging would repeatedly be preempted by the jobs that it was placed ahead of.
  protocol::Priority effective_priority() const {
    return aged ? std::min(spec.priority, protocol::Priority::high) : spec.priority;
  }
  /// Whether any task of the job has completed; for a service, whether a replica on another machine
  /// has run long enough to count as a success.
  bool succeeds_elsewhere_than(const std::string& machine) const;
  std::uint32_t shard_of(std::uint32_t task) const { return task / tasks_per_shard; }
  /// The number of tasks that wait to be placed.
  std::uint32_t waiting() const;
  /// Whether no task is left to run or to stop.
  bool is_finished() const;
  /// The number of tasks that their workers last reported as running or saving a checkpoint; for
  /// display.
  std::uint32_t running() const;
};

}  // namespace larkroad::coordination
