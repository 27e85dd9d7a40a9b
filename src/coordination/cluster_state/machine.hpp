/// The leader's state of one machine: its lease, health, capacity, tasks, images and the launches
/// whose outcome is unknown.
///
/// Owned by `ClusterState`. `used`, `used_by_priority`, `tasks` and `idle_since` are kept by
/// `ClusterState` alone; the rest by the leader's parts that process heartbeats and cloud answers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coordination/cluster_state/resources.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using protocol::TaskId;
using transport::Seconds;

/// A direct launch that may still be carried out, late: until its answer, until the worker has seen
/// a higher fencing token, or until the worker has begun another incarnation.
struct UnresolvedLaunch {
  std::uint64_t fencing_token = 0;
  bool pending = false;  ///< the call has not been answered yet
  /// Not 0: the launch is in the answer to the heartbeat with this sequence number, which may still
  /// be on its way through a relay. The worker's next heartbeat shows whether the answer was
  /// carried out or dropped.
  std::uint64_t answer_to = 0;
};

/// Times are by the steady clock.
struct Machine {
  std::string name;
  std::string address;  ///< empty: not known yet
  std::string type;     ///< empty: not known yet
  std::string zone;     ///< empty: not known yet
  bool spot = false;
  bool has_reported = false;  ///< has sent a heartbeat to this leader
  /// What it reports is known to be no late copy: it has seen this leader's fencing token, has
  /// answered this leader directly, or was requested from the cloud by this leader.
  bool identity_confirmed = false;
  /// Since when its heartbeats arrive though no call seems to reach it; -1: it is reachable.
  Seconds unreachable_since = -1;
  Seconds inspected_at = -1;      ///< when it was last called to inspect its state; -1: never
  std::uint64_t incarnation = 0;  ///< of its agent, the highest known
  std::uint64_t sequence = 0;     ///< of its newest heartbeat
  std::uint64_t seen_fencing_token = 0;  ///< the highest that it has reported to have seen
  Seconds rented_at = 0;                 ///< when it was requested from the cloud
  /// The newest heartbeat, sent by the worker or as its answer to a call; -1: none.
  Seconds last_heartbeat_at = -1;
  /// The newest heartbeat that the worker sent by itself; at first when any was received. -1: none.
  Seconds last_worker_heartbeat_at = -1;
  /// The last answer 200 by which any leader may have renewed its lease; -1: none.
  Seconds lease_renewed_at = -1;
  Seconds listed_at = -1;  ///< when the cloud's list last had it; -1: never
  /// The latest time at which it was there for certain: requested, sending heartbeats, or in an
  /// earlier leader's records. -1: none.
  Seconds known_to_exist_at = -1;
  std::optional<Seconds> reclaimed_at;  ///< from the spot notice
  bool lease_expired = false;           ///< its lease has expired; it must register again
  Seconds lease_expired_at = -1;        ///< when the expiry was found; -1: never
  bool being_released = false;          ///< is being returned to the cloud
  int retained_exits = 0;    ///< exited tasks that it may not forget yet, as of its last heartbeat
  bool quarantined = false;  ///< every task fails on it
  /// Failures, since a task last succeeded on it, of jobs that are not at fault themselves.
  int failures = 0;
  /// The jobs that those failures were of.
  std::set<std::string> failed_jobs;
  int failed_starts = 0;      ///< in a row, of tasks of jobs that start on other machines
  Seconds refused_until = 0;  ///< it answered that it was full: its free room is not as recorded
  Seconds idle_since = 0;
  Resources capacity;
  Resources used;
  ResourcesByPriority used_by_priority{};
  std::set<TaskId> tasks;
  /// By task and attempt.
  std::map<std::pair<TaskId, std::uint64_t>, UnresolvedLaunch> unresolved_launches;
  /// Launches that this leader sent straight to the machine, with the fencing token of each. A late
  /// copy of one is carried out until the worker has seen a higher token, once the worker has
  /// forgotten the task.
  std::map<std::pair<TaskId, std::uint64_t>, std::uint64_t> direct_launches;
  /// Images that it probably has in its cache: size in GB and time of last use.
  std::map<std::string, std::pair<double, Seconds>> images;
  bool images_changed = false;                 ///< since they were recorded
  protocol::Heartbeat last_relayed_heartbeat;  ///< the last complete one that came through a relay

  /// Capacity that no placement takes.
  Resources room() const;
  /// Whether tasks may be placed on it. `patience`: how long ago its last heartbeat may be.
  bool usable(Seconds now, Seconds patience) const;
  /// Records the use of an image of `gb`. Like the machine's cache, of at most `cache_gb`, it
  /// evicts the images used longest ago.
  void touch_image(const std::string& image, double gb, double cache_gb, Seconds now);
};

}  // namespace larkroad::coordination
