/// The leader's state of one job: what was submitted, which tasks are done, placed or waiting, and
/// how its tasks have failed.
///
/// Owned by `ClusterState`. Queues and placements are changed through `ClusterState`; failures,
/// restarts and flags by the leader's parts that learn of them.
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

/// A job whose tasks fail on so many machines in a row, with none that succeeds, is itself at
/// fault.
inline constexpr size_t kFailsEverywhere = 3;

/// Times are by the steady clock unless stated otherwise.
struct Job {
  JobSpec spec;
  std::uint64_t revision = 0;  ///< of the job's record in the key-value store
  double submitted_at = 0;     ///< time of day
  Seconds submitted = 0;       ///< the same, by the steady clock
  std::uint32_t tasks_per_shard = 1;
  bool cancelled = false;
  /// A peer controller has announced the cancellation; the record has not been read since.
  bool cancelled_by_peer = false;

  std::vector<bool> done;  ///< by task
  std::uint32_t done_count = 0;
  std::set<std::uint32_t> unpersisted_done;  ///< done, though not yet durably so
  std::map<std::uint32_t, Placement> placements;
  std::uint32_t next_never_placed = 0;  ///< tasks from here on have never been placed
  std::set<std::uint32_t> requeued;     ///< placed before, now waiting to be placed again
  std::map<std::uint32_t, PlacementShard> shards;
  bool write_in_flight = false;  ///< a transaction on its records is in progress

  // Gang scheduling: the attempt that all members share, and the state of that attempt.
  std::uint64_t gang_attempt = 0;
  bool gang_started = false;
  bool gang_aborting = false;  ///< it has lost a member; the others must end before it starts anew

  Seconds retry_at = 0;  ///< not placed before this
  /// Failures in a row since a task of the job last succeeded.
  int failures = 0;
  /// The machines on which those failures were.
  std::set<std::string> failed_machines;
  /// Machines on which a task of the job got past its start, two at most; empty since one failed
  /// later than at its start. A job with a mistake in it fails at its start wherever it runs.
  std::set<std::string> started_machines;
  std::map<std::uint32_t, ReplicaRestarts> restarts;  ///< of a service, by replica
  Seconds replica_lost_at = -1;  ///< when a service last lost a replica; -1: never
  Seconds last_placed_at = -1;   ///< when a task of it was last placed; -1: never
  bool seen_running = false;
  /// Was placed as urgent work because it had waited for long; see `Aging` in job_queue.hpp.
  bool aged = false;

  const std::string& id() const { return spec.id; }
  /// Whether the job fails wherever it runs, as one that was submitted with a mistake does.
  bool fails_everywhere() const {
    return failed_machines.size() >= kFailsEverywhere && started_machines.empty();
  }
  /// Whether a task of the job got past its start on another machine.
  bool started_elsewhere_than(const std::string& machine) const;
  /// Records that a task of the job got past its start on the machine.
  void note_start(const std::string& machine);
  /// The priority that counts when victims of preemption are chosen. A job placed by priority aging
  /// would otherwise be preempted at once by the very jobs that it was placed before, again and
  /// again.
  protocol::Priority effective_priority() const {
    return aged ? std::min(spec.priority, protocol::Priority::high) : spec.priority;
  }
  /// Whether tasks of the job have succeeded; for a service, on another machine than this one.
  bool succeeds_elsewhere_than(const std::string& machine) const;
  std::uint32_t shard_of(std::uint32_t task) const { return task / tasks_per_shard; }
  /// How many tasks wait to be placed.
  std::uint32_t waiting() const;
  /// Whether nothing is left to run or to stop.
  bool is_finished() const;
  /// How many tasks run or save a checkpoint as far as their workers have reported; for display.
  std::uint32_t running() const;
};

}  // namespace larkroad::coordination
