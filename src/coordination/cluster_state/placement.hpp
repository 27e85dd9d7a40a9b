/// The leader's state of one task's placement on a machine, and of the record that stores it.
///
/// Owned by a `Job`; created and removed only by `ClusterState`, which updates the resource usage
/// of the machine and the team accordingly.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using protocol::TaskState;
using transport::Seconds;

/// A task assigned to a machine, from the scheduling decision until the task has certainly ended.
/// Times are on the steady clock.
struct Placement {
  enum class Stage {
    persisting,    ///< decided; the record is not durable yet, so the launch has not been sent
    persisted,     ///< the record is durable; this leader has not sent the launch
    dispatched,    ///< launch sent; no heartbeat from the worker has listed the task yet
    acknowledged,  ///< the worker's heartbeats list the task
  };
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;  ///< of the worker's agent when the task was placed
  Stage stage = Stage::persisting;
  TaskState state = TaskState::fetching;  ///< last reported state; valid once acknowledged
  /// Restored from the records of an earlier leader, and not listed since in a heartbeat that is
  /// known to be of this term. The task may have ended long ago, and the earlier leader may have
  /// reassigned its resources and quota.
  bool recovered = false;
  bool stopping = false;
  double grace_s = 0;      ///< time allowed to save a checkpoint while stopping
  Seconds stop_sent = -1;  ///< when a stop was sent; -1: never
  Seconds placed_at = 0;
  Seconds running_since = -1;  ///< when it was first reported as running; -1: not yet
  /// A replica of a service that has run long enough to count as a success.
  bool ran_long_enough = false;
};

/// Restart back-off of one replica of a service.
struct ReplicaRestarts {
  int consecutive_exits = 0;  ///< of the replica by itself
  Seconds retry_at = 0;       ///< earliest time of the next placement
};

/// The leader's state of one stored placement record. A shard is a range of a job's tasks whose
/// placements and completions are stored under one key.
struct PlacementShard {
  std::uint64_t revision = 0;  ///< of the record as last read or written; 0: no record exists
  std::uint64_t attempt = 0;   ///< the highest attempt of any of its tasks
  bool dirty = false;          ///< the stored record is out of date and must be written
  Seconds write_at = 0;        ///< when dirty: the earliest time of the write
  /// Schedules a write of the record at `when`, or earlier if one is already scheduled.
  void schedule_write(Seconds when) {
    write_at = dirty ? std::min(write_at, when) : when;
    dirty = true;
  }
};

}  // namespace larkroad::coordination
