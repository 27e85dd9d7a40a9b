/// Evidence from tasks that fail: whether their machine or their job is at fault.
#pragma once

#include "coordination/cluster_state/cluster_state.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Counts failures of tasks, quarantines machines on which tasks fail, and backs off jobs and
/// replicas that fail again and again.
///
/// Writes the failure counts of `Machine` and `Job`, `Machine::quarantined`, and the times before
/// which nothing is placed: `Job::retry_at`, `ReplicaRestarts::retry_at`, `Machine::refused_until`.
/// Has no state of its own. Called by task reconciliation with what heartbeats report.
class FailureTracker {
 public:
  FailureTracker(const transport::Clock& clock, ClusterState& cluster, const Settings& settings);

  /// A task got past its start, so its image was fetched and its machine can start tasks.
  static void record_start(Machine& machine, Job& job);
  /// A task of an array or gang completed on this machine.
  static void record_success(Machine& machine);
  /// A task exited with an error. To be called while its placement stands.
  void record_failure(Machine& machine, Job& job, const Placement& placement);
  /// The worker refused a task for want of room: nothing is placed there for a moment.
  void record_refusal(Machine& machine);
  /// A service's replica is running. Once it has run for long enough, neither its job nor its
  /// machine is at fault.
  void record_running_replica(Machine& machine, Job& job, Placement& replica);
  /// A service's replica ended by itself. It restarts at once the first time; after that it waits
  /// in between, longer each time. The other replicas of its job are not held up.
  void record_replica_exit(Job& job, const Placement& replica);
  /// No task of the job is placed for a while, longer with each failure in a row.
  void back_off(Job& job);

 private:
  void add_evidence(Machine& machine, Job& job);
  int evidence_against(const Machine& machine) const;
  static void quarantine(Machine& machine);
  Seconds pause_after(int failures) const;

  const transport::Clock& clock_;
  ClusterState& cluster_;
  const Settings& settings_;
};

}  // namespace larkroad::coordination
