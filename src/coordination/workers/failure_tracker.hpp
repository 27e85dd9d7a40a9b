/// Determines from task failures whether the machine or the job is at fault.
#pragma once

#include "coordination/cluster_state/cluster_state.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Counts task failures, quarantines machines on which tasks fail, and backs off jobs and replicas
/// that fail repeatedly.
///
/// Writes the failure counts of `Machine` and `Job`, `Machine::quarantined`, and the end times of
/// backoffs: `Job::retry_at`, `ReplicaRestarts::retry_at`, `Machine::refused_until`. Stateless.
/// Called by task reconciliation for the tasks reported in heartbeats.
class FailureTracker {
 public:
  FailureTracker(const transport::Clock& clock, ClusterState& cluster, const Settings& settings);

  /// Records that a task has started: its image was fetched and its machine can start tasks.
  static void record_start(Machine& machine, Job& job);
  /// Records that a task of an array or gang has completed on this machine.
  static void record_success(Machine& machine);
  /// Records that a task exited with an error. Must be called before its placement is removed.
  void record_failure(Machine& machine, Job& job, const Placement& placement);
  /// Records that the worker refused a task for lack of capacity: nothing is placed on the machine
  /// for one backoff period.
  void record_refusal(Machine& machine);
  /// Records that a service replica is running. Once it has run for long enough, the failures of
  /// its job and its machine are cleared.
  void record_running_replica(Machine& machine, Job& job, Placement& replica);
  /// Records that a service replica exited by itself. The first restart is immediate, later ones
  /// are delayed with increasing backoff. Other replicas of the job are not delayed.
  void record_replica_exit(Job& job, const Placement& replica);
  /// Delays placement of all tasks of the job, longer after each consecutive failure.
  void back_off(Job& job);

 private:
  void record_evidence(Machine& machine, Job& job);
  int evidence_against(const Machine& machine) const;
  static void quarantine(Machine& machine);
  Seconds backoff_after(int earlier_failures) const;

  const transport::Clock& clock_;
  ClusterState& cluster_;
  const Settings& settings_;
};

}  // namespace larkroad::coordination
