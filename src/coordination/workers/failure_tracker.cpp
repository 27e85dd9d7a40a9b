#include "coordination/workers/failure_tracker.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// Tasks that fail on a machine, with none that succeeds, before it is quarantined; and the evidence
// that the jobs of these must give together.
constexpr int kMachineFailures = 3;
constexpr int kQuarantineEvidence = 6;
constexpr int kFailingJobWeight = 2;
constexpr int kFailsEverywhereWeight = 1;
// So many tasks in a row that fail at their start, of jobs that start on other machines, quarantine
// a machine.
constexpr int kFailedStarts = 2;
// An error or a refusal keeps a job or a machine waiting for this many heartbeat intervals; twice
// as many with each further failure, up to the longest pause.
constexpr double kPauseIntervals = 1;
constexpr double kLongestPauseIntervals = 16;
constexpr int kLongestPauseFailures = 4;
// A service's replica that has run for this many heartbeat intervals counts as a success.
constexpr double kProvenIntervals = 4;
// So many failures in a row of one replica may be the fault of its machines; with more it is at
// fault itself.
constexpr int kReplicaFailuresAsEvidence = 2;

}  // namespace

FailureTracker::FailureTracker(const transport::Clock& clock, ClusterState& cluster,
                               const Settings& settings)
    : clock_(clock), cluster_(cluster), settings_(settings) {}

void FailureTracker::record_start(Machine& machine, Job& job) {
  job.note_start(machine.name);
  machine.failed_starts = 0;
}

void FailureTracker::record_success(Machine& machine) {
  machine.failures = 0;
  machine.failed_jobs.clear();
}

void FailureTracker::record_failure(Machine& machine, Job& job, const Placement& placement) {
  const bool at_its_start = placement.state == TaskState::fetching;
  if (!at_its_start) job.started_machines.clear();
  // A task that fails at its start, of a job whose tasks start on other machines: this machine is
  // at fault, and the job need not wait.
  if (at_its_start && job.started_elsewhere_than(machine.name)) {
    job.failed_machines.insert(machine.name);
    if (++machine.failed_starts >= kFailedStarts) quarantine(machine);
    return;
  }
  if (job.spec.is_service()) {
    // A replica that fails again and again is itself at fault, though others of its job run.
    if (job.restarts[placement.task].ends < kReplicaFailuresAsEvidence) add_evidence(machine, job);
    record_replica_exit(job, placement);
  } else {
    add_evidence(machine, job);
    back_off(job);
  }
}

void FailureTracker::record_refusal(Machine& machine) {
  machine.refused_until = clock_.now() + settings_.heartbeat_interval_s * kPauseIntervals;
}

// Mostly the machine is faulty. But a job that was submitted with a mistake fails wherever it runs,
// and its failures say little of the machines. So a machine is suspected when several jobs fail on
// it with none that succeeds, or a few tasks of one that succeeds on other machines. Jobs that fail
// everywhere count for less, though not for nothing: where many machines are faulty, sound jobs
// seem to be so.
void FailureTracker::add_evidence(Machine& machine, Job& job) {
  const bool known = job.fails_everywhere();
  job.failed_machines.insert(machine.name);
  if (!known && job.fails_everywhere()) {
    spdlog::info("job fails on every machine, retried one task at a time job={}", job.id());
  }
  ++machine.failures;
  machine.failed_jobs.insert(job.id());
  if (machine.failures < kMachineFailures || machine.quarantined) return;
  if (evidence_against(machine) >= kQuarantineEvidence) quarantine(machine);
}

int FailureTracker::evidence_against(const Machine& machine) const {
  int evidence = 0;
  for (const auto& id : machine.failed_jobs) {
    const Job* job = cluster_.job(id);
    if (job == nullptr) continue;
    if (job->succeeds_elsewhere_than(machine.name)) evidence += kQuarantineEvidence;
    evidence += job->fails_everywhere() ? kFailsEverywhereWeight : kFailingJobWeight;
  }
  return evidence;
}

void FailureTracker::quarantine(Machine& machine) {
  if (machine.quarantined) return;
  spdlog::info("machine quarantined, tasks fail on it machine={}", machine.name);
  machine.quarantined = true;
}

void FailureTracker::record_running_replica(Machine& machine, Job& job, Placement& replica) {
  const Seconds runs = clock_.now() - replica.running_since;
  if (replica.proven || runs < settings_.heartbeat_interval_s * kProvenIntervals) return;
  replica.proven = true;
  job.restarts.erase(replica.task);
  job.failures = 0;
  job.failed_machines.clear();
  record_success(machine);
}

void FailureTracker::record_replica_exit(Job& job, const Placement& replica) {
  ReplicaRestarts& restarts = job.restarts[replica.task];
  if (restarts.ends > 0) restarts.retry_at = clock_.now() + pause_after(restarts.ends - 1);
  ++restarts.ends;
}

void FailureTracker::back_off(Job& job) {
  job.retry_at = clock_.now() + pause_after(job.failures);
  ++job.failures;
}

// The pause after one more failure than so many in a row.
Seconds FailureTracker::pause_after(int failures) const {
  const double intervals = std::min(
      kPauseIntervals * (1 << std::min(failures, kLongestPauseFailures)), kLongestPauseIntervals);
  return settings_.heartbeat_interval_s * intervals;
}

}  // namespace larkroad::coordination
