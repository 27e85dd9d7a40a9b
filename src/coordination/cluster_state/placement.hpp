/// The leader's knowledge of one task's placement on a machine, and of the record it is stored in.
///
/// Owned by a `Job`; created and removed only by `ClusterState`, which keeps the machine's and the
/// team's use of resources in step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using protocol::TaskState;
using transport::Seconds;

/// A task on a machine, from the moment the decision is made until the task is proved to be gone.
/// Times are by the steady clock.
struct Placement {
  enum class Stage {
    persisting,    ///< decided; its record is not yet durable, so nothing has been sent
    persisted,     ///< durable; nothing has been sent under this leader
    dispatched,    ///< sent; no heartbeat of the worker has listed it yet
    acknowledged,  ///< the worker's heartbeats list it
  };
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;  ///< of the worker's agent when the task was placed
  Stage stage = Stage::persisting;
  TaskState state = TaskState::fetching;  ///< as last reported; valid once acknowledged
  /// Found in the records of an earlier leader and not reported by the worker since. It may have
  /// ended long ago: the earlier leader then used its resources and its part of the quota for
  /// others.
  bool recovered = false;
  bool stopping = false;
  double grace_s = 0;      ///< time to save a checkpoint, when it is being stopped
  Seconds stop_sent = -1;  ///< -1: no stop has been sent
  Seconds placed_at = 0;
  Seconds running_since = -1;  ///< -1: not reported as running yet
  /// A replica of a service that has run long enough to count as a success.
  bool proven = false;
};

/// How often in a row a replica of a service has ended by itself, and when it may start again.
struct ReplicaRestarts {
  int ends = 0;
  Seconds retry_at = 0;  ///< not placed before this
};

/// The leader's view of one stored placement record: a shard is a range of a job's tasks whose
/// placements and completions are stored under one key.
struct PlacementShard {
  std::uint64_t revision = 0;  ///< of the record as last read or written; 0: there is none
  std::uint64_t attempt = 0;   ///< the highest attempt of any of its tasks
  bool dirty = false;          ///< differs from the record, which is to be written
  Seconds write_at = 0;        ///< when dirty: not written before this
  /// Asks for the record to be written at `when`, or sooner if that was asked for before.
  void write(Seconds when) {
    write_at = dirty ? std::min(write_at, when) : when;
    dirty = true;
  }
};

}  // namespace larkroad::coordination
