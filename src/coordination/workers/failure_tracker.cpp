#include "coordination/workers/failure_tracker.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// A machine is quarantined after this many task failures without a success in between, if the jobs
// of these tasks provide at least this much evidence in total.
constexpr int kMinFailuresToQuarantine = 3;
constexpr int kMinEvidenceToQuarantine = 6;
constexpr int kFailingJobEvidence = 2;
constexpr int kFailsEverywhereEvidence = 1;
// A machine is quarantined after this many consecutive tasks failed to start on it, counting only
// jobs that start on other machines.
constexpr int kFailedStartsToQuarantine = 2;
// Backoff of a job or a machine after an error or a refusal, in heartbeat intervals. That of a job
// doubles with each further failure, up to the maximum.
constexpr double kInitialBackoffIntervals = 1;
constexpr double kMaxBackoffIntervals = 16;
constexpr int kMaxBackoffDoublings = 4;
// A service replica that has run for this many heartbeat intervals counts as a success.
constexpr double kHealthyRunIntervals = 4;
// Up to this many consecutive exits of a replica count as evidence against its machines; after more
// the replica itself is considered faulty.
constexpr int kReplicaExitsAsEvidence = 2;

}  // namespace

FailureTracker::FailureTracker(const transport::Clock& clock, ClusterState& cluster,
                               const Settings& settings)
    : clock_(clock), cluster_(cluster), settings_(settings) {}

void FailureTracker::record_start(Machine& machine, Job& job) {
  job.record_successful_start(machine.name);
  machine.failed_starts = 0;
}

void FailureTracker::record_success(Machine& machine) {
  machine.failures = 0;
  machine.failed_jobs.clear();
}

void FailureTracker::record_failure(Machine& machine, Job& job, const Placement& placement) {
  const bool failed_at_start = placement.state == TaskState::fetching;
  if (!failed_at_start) job.started_machines.clear();
  // The task failed to start, while tasks of its job start on other machines: the machine is at
  // fault, and the job is not backed off.
  if (failed_at_start && job.started_elsewhere_than(machine.name)) {
    job.failed_machines.insert(machine.name);
    if (++machine.failed_starts >= kFailedStartsToQuarantine) quarantine(machine);
    return;
  }
  if (job.spec.is_service()) {
    // A replica that fails repeatedly is itself faulty, even if others of its job run.
    if (job.restarts[placement.task].consecutive_exits < kReplicaExitsAsEvidence)
      record_evidence(machine, job);
    record_replica_exit(job, placement);
  } else {
    record_evidence(machine, job);
    back_off(job);
  }
}

void FailureTracker::record_refusal(Machine& machine) {
  machine.refused_until = clock_.now() + settings_.heartbeat_interval_s * kInitialBackoffIntervals;
}

// Most failures are caused by the machine. But a job that was submitted with an error fails
// wherever it runs, and its failures say little about the machines. So a machine is quarantined
// when several jobs fail on it without a success, or several tasks of a job that succeeds on other
// machines. Jobs that fail everywhere provide less evidence, but not none: where many machines are
// faulty, correct jobs appear to fail everywhere too.
void FailureTracker::record_evidence(Machine& machine, Job& job) {
  const bool known_to_fail_everywhere = job.fails_everywhere();
  job.failed_machines.insert(machine.name);
  if (!known_to_fail_everywhere && job.fails_everywhere()) {
    spdlog::info("job fails on every machine, retrying one task at a time: job={}", job.id());
  }
  ++machine.failures;
  machine.failed_jobs.insert(job.id());
  if (machine.failures < kMinFailuresToQuarantine || machine.quarantined) return;
  if (evidence_against(machine) >= kMinEvidenceToQuarantine) quarantine(machine);
}

int FailureTracker::evidence_against(const Machine& machine) const {
  int evidence = 0;
  for (const auto& id : machine.failed_jobs) {
    const Job* job = cluster_.job(id);
    if (job == nullptr) continue;
    if (job->succeeds_elsewhere_than(machine.name)) evidence += kMinEvidenceToQuarantine;
    evidence += job->fails_everywhere() ? kFailsEverywhereEvidence : kFailingJobEvidence;
  }
  return evidence;
}

void FailureTracker::quarantine(Machine& machine) {
  if (machine.quarantined) return;
  spdlog::info("machine quarantined because tasks fail on it: machine={}", machine.name);
  machine.quarantined = true;
}

void FailureTracker::record_running_replica(Machine& machine, Job& job, Placement& replica) {
  const Seconds run_time = clock_.now() - replica.running_since;
  if (replica.ran_long_enough || run_time < settings_.heartbeat_interval_s * kHealthyRunIntervals)
    return;
  replica.ran_long_enough = true;
  job.restarts.erase(replica.task);
  job.failures = 0;
  job.failed_machines.clear();
  record_success(machine);
}

void FailureTracker::record_replica_exit(Job& job, const Placement& replica) {
  ReplicaRestarts& restarts = job.restarts[replica.task];
  if (restarts.consecutive_exits > 0)
    restarts.retry_at = clock_.now() + backoff_after(restarts.consecutive_exits - 1);
  ++restarts.consecutive_exits;
}

void FailureTracker::back_off(Job& job) {
  job.retry_at = clock_.now() + backoff_after(job.failures);
  ++job.failures;
}

// The backoff after a failure that follows this many consecutive failures.
Seconds FailureTracker::backoff_after(int earlier_failures) const {
  const double intervals =
      std::min(kInitialBackoffIntervals * (1 << std::min(earlier_failures, kMaxBackoffDoublings)),
               kMaxBackoffIntervals);
  return settings_.heartbeat_interval_s * intervals;
}

}  // namespace larkroad::coordination
