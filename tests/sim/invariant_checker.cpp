#include "sim/invariant_checker.hpp"

#include <algorithm>

namespace larkroad::sim {
namespace {

/// A job whose queries go unanswered for longer than this counts as lost.
constexpr Seconds kMaxUnansweredTime = 75;
/// The largest jobs of each class start within this time.
constexpr Seconds kMaxLargestStartDelay = 240;
/// Longest time that a job may wait although it could be placed.
constexpr Seconds kMaxPlacementDelay = 90;
/// Time after which every controller that sends commands knows of a cancellation, as a fraction of
/// the worker lease.
constexpr double kCancellationPropagationRatio = 1.0 / 4;
/// One in this many jobs of a class, and at least one, counts among its largest.
constexpr size_t kLargestJobsDivisor = 10;
constexpr double kTolerance = 1e-6;

bool is_accepted(int status) { return status == 200 || status == 201; }

}  // namespace

const char* to_string(Invariant invariant) {
  switch (invariant) {
    case Invariant::one_instance_per_task:
      return "one_instance_per_task";
    case Invariant::team_quota:
      return "team_quota";
    case Invariant::placement_constraints:
      return "placement_constraints";
    case Invariant::cancelled_job_stops:
      return "cancelled_job_stops";
    case Invariant::no_launch_after_cancellation:
      return "no_launch_after_cancellation";
    case Invariant::accepted_job_is_known:
      return "accepted_job_is_known";
    case Invariant::only_submitted_jobs_exist:
      return "only_submitted_jobs_exist";
    case Invariant::invalid_job_refused:
      return "invalid_job_refused";
    case Invariant::done_means_completed:
      return "done_means_completed";
    case Invariant::stage_does_not_go_back:
      return "stage_does_not_go_back";
    case Invariant::tasks_run:
      return "tasks_run";
    case Invariant::half_of_jobs_served:
      return "half_of_jobs_served";
    case Invariant::large_jobs_start_in_time:
      return "large_jobs_start_in_time";
    case Invariant::no_waiting_beside_free_capacity:
      return "no_waiting_beside_free_capacity";
  }
  return "";
}

std::ostream& operator<<(std::ostream& out, const Violation& violation) {
  return out << to_string(violation.invariant) << ": " << violation.details << " at "
             << violation.at;
}

void InvariantChecker::violation(Seconds now, Invariant invariant, const std::string& details) {
  violations_.push_back({invariant, details, now});
}

bool InvariantChecker::violated(Invariant invariant) const {
  return std::any_of(violations_.begin(), violations_.end(),
                     [&](const Violation& found) { return found.invariant == invariant; });
}

InvariantChecker::TrackedJob* InvariantChecker::find(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

// ---------------------------------------------------------------- users

void InvariantChecker::job_submitted(const JobSpec& spec, Seconds now) {
  const auto [it, inserted] = jobs_.try_emplace(spec.id);
  it->second.spec = spec;
  if (inserted) it->second.submitted_at = now;
}

void InvariantChecker::status_requested(Seconds now, const std::string& id) {
  TrackedJob* job = find(id);
  if (job != nullptr && !job->unanswered_since) job->unanswered_since = now;
}

void InvariantChecker::polling_stopped(const std::string& id) {
  if (TrackedJob* job = find(id)) job->unanswered_since.reset();
}

void InvariantChecker::cancellation_requested(const std::string& id) {
  if (TrackedJob* job = find(id)) job->cancellation_requested = true;
}

void InvariantChecker::stage_reported(Seconds now, TrackedJob& job, const std::string& stage,
                                      std::optional<Seconds> requested_at) {
  constexpr auto kInvariant = Invariant::stage_does_not_go_back;
  const std::string& id = job.spec.id;
  if (stage == "done") {
    if (job.completed.size() < job.spec.tasks) {
      violation(now, Invariant::done_means_completed, id);
    }
    if (job.cancelled_at) violation(now, kInvariant, id + " was reported cancelled, then done");
    job.reported_done = true;
    if (!job.ended_at) job.ended_at = now;
  } else if (stage == "withdrawn") {
    if (!job.cancellation_requested)
      violation(now, kInvariant, id + " was reported cancelled without a request");
    if (job.reported_done) violation(now, kInvariant, id + " was reported done, then cancelled");
    if (!job.cancelled_at) job.cancelled_at = now;
    if (!job.ended_at) job.ended_at = now;
  } else if (job.ended_at && (!requested_at || *requested_at >= *job.ended_at)) {
    violation(now, kInvariant, id + " was reported ended, then " + stage);
  }
}

void InvariantChecker::submission_answered(Seconds now, const std::string& id, int status,
                                           const std::string& stage,
                                           std::optional<Seconds> requested_at) {
  if (invalid_jobs_.contains(id) && is_accepted(status)) {
    violation(now, Invariant::invalid_job_refused, id);
  }
  TrackedJob* job = find(id);
  if (job == nullptr) return;
  if (is_accepted(status)) {
    job->unanswered_since.reset();
    job->accepted = true;
    stage_reported(now, *job, stage, requested_at);
  } else if (job->accepted && (status == 400 || status == 422)) {
    violation(now, Invariant::accepted_job_is_known, id + " was accepted, then rejected");
  }
}

void InvariantChecker::status_answered(Seconds now, const std::string& id, int status,
                                       const std::string& stage,
                                       std::optional<Seconds> requested_at) {
  TrackedJob* job = find(id);
  if (job == nullptr) {
    if (status == 200) violation(now, Invariant::only_submitted_jobs_exist, id);
    return;
  }
  if (status == 404 && job->accepted) {
    violation(now, Invariant::accepted_job_is_known, id + " was accepted, then reported unknown");
  }
  if (status != 200) return;
  job->unanswered_since.reset();
  job->accepted = true;
  stage_reported(now, *job, stage, requested_at);
}

// ---------------------------------------------------------------- machines

void InvariantChecker::task_started(Seconds now, const TaskId& id, const Location& location) {
  ++started_;
  TrackedJob* job = find(id.job);
  if (job == nullptr) return;
  if (!job->started_at) job->started_at = now;
  check_single_instance(now, id, location);
  running_[id][location.machine] = location;
  check_quota(now, id, job->spec);
  check_constraints(now, id, job->spec, location);
  if (job->cancelled_at && now > *job->cancelled_at + settings_.cancellation_limit_s) {
    violation(now, Invariant::cancelled_job_stops,
              id.text() + " started after the cancellation limit");
  }
}

void InvariantChecker::check_single_instance(Seconds now, const TaskId& id,
                                             const Location& location) {
  for (const auto& [machine, other] : running_[id]) {
    if (machine == location.machine) continue;
    violation(now, Invariant::one_instance_per_task,
              id.text() + " on " + machine + " and " + location.machine);
  }
}

void InvariantChecker::check_quota(Seconds now, const TaskId& id, const JobSpec& spec) {
  coordination::Resources used;
  for (const auto& [task, locations] : running_) {
    const TrackedJob* other = find(task.job);
    if (other == nullptr || other->spec.team != spec.team) continue;
    for (size_t i = 0; i < locations.size(); ++i) used += coordination::needs_of(other->spec);
  }
  const TeamSettings* team = settings_.team(spec.team);
  if (team == nullptr || used.cpus > team->cpus_max + kTolerance ||
      used.gpus > team->gpus_max + kTolerance) {
    violation(now, Invariant::team_quota, spec.team + " with " + id.text());
  }
}

void InvariantChecker::check_constraints(Seconds now, const TaskId& id, const JobSpec& spec,
                                         const Location& location) {
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [task, locations] : running_) {
    if (task.job != id.job) continue;
    for (const auto& [machine, other] : locations) ++zones[other.zone];
  }
  const bool type_allowed = !spec.types || std::find(spec.types->begin(), spec.types->end(),
                                                     location.type) != spec.types->end();
  const bool zone_allowed = !spec.zone || *spec.zone == location.zone;
  const bool market_allowed = !location.spot || spec.spot;
  const bool in_one_zone = !spec.one_zone || zones.size() <= 1;
  const bool spread = !spec.spread || zones[location.zone] <= (spec.tasks + 1) / 2;
  if (!type_allowed || !zone_allowed || !market_allowed || !in_one_zone || !spread) {
    violation(now, Invariant::placement_constraints, id.text() + " on " + location.machine);
  }
}

void InvariantChecker::task_left_machine(const TaskId& id, const std::string& machine) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  it->second.erase(machine);
  if (it->second.empty()) running_.erase(it);
}

void InvariantChecker::task_completed(const TaskId& id) {
  if (TrackedJob* job = find(id.job)) job->completed.insert(id.task);
}

void InvariantChecker::launch_sent(Seconds now, const std::string& id) {
  const TrackedJob* job = find(id);
  if (job == nullptr || !job->cancelled_at) return;
  if (now > *job->cancelled_at + settings_.lease_s * kCancellationPropagationRatio) {
    violation(now, Invariant::no_launch_after_cancellation, id);
  }
}

void InvariantChecker::set_hung(const std::string& machine, bool hung) {
  if (hung) {
    hung_machines_.insert(machine);
  } else {
    hung_machines_.erase(machine);
  }
}

void InvariantChecker::placement_possible(Seconds now, const std::string& id, bool possible) {
  TrackedJob* job = find(id);
  if (job == nullptr) return;
  auto& since = job->placement_possible_since;
  if (!possible || !job->is_expected_to_run() || job->reported_done || now < faults_end_at_) {
    since.reset();
  } else if (!since) {
    since = now;
  } else if (now - *since > kMaxPlacementDelay) {
    violation(now, Invariant::no_waiting_beside_free_capacity, id);
    since = now;
  }
}

// ---------------------------------------------------------------- deadlines

void InvariantChecker::check_deadlines(Seconds now) {
  check_answers(now);
  check_cancelled_tasks(now);
}

void InvariantChecker::check_answers(Seconds now) {
  for (auto& [id, job] : jobs_) {
    if (!job.accepted || !job.unanswered_since || job.unanswered_reported) continue;
    if (now - std::max(*job.unanswered_since, faults_end_at_) > kMaxUnansweredTime) {
      job.unanswered_reported = true;
      violation(now, Invariant::accepted_job_is_known, id + " has unanswered status queries");
    }
  }
}

void InvariantChecker::check_cancelled_tasks(Seconds now) {
  for (const auto& [id, locations] : running_) {
    const TrackedJob* job = find(id.job);
    if (job == nullptr || !job->cancelled_at) continue;
    if (now <= *job->cancelled_at + settings_.cancellation_limit_s) continue;
    const bool any_responsive =
        std::any_of(locations.begin(), locations.end(),
                    [&](const auto& entry) { return !hung_machines_.contains(entry.first); });
    if (any_responsive)
      violation(now, Invariant::cancelled_job_stops,
                id.text() + " still exists after the cancellation limit");
  }
}

// ---------------------------------------------------------------- end of the run

void InvariantChecker::finish(Seconds now) {
  if (started_ == 0) violation(now, Invariant::tasks_run, "no task was started");
  std::map<std::string, std::vector<const TrackedJob*>> by_class;
  std::map<std::string, std::vector<const TrackedJob*>> by_team;
  for (const auto& [id, job] : jobs_) {
    if (!job.is_expected_to_run()) continue;
    by_class[job.spec.job_class].push_back(&job);
    by_team[job.spec.team].push_back(&job);
  }
  for (const auto& [name, jobs] : by_team) check_half_served(now, "team " + name, jobs);
  for (const auto& [name, jobs] : by_class) {
    check_half_served(now, "class " + name, jobs);
    check_largest(now, name, jobs);
  }
}

void InvariantChecker::check_half_served(Seconds now, const std::string& group,
                                         const std::vector<const TrackedJob*>& jobs) {
  const auto served = std::count_if(jobs.begin(), jobs.end(),
                                    [](const TrackedJob* job) { return job->is_served(); });
  if (static_cast<size_t>(served) * 2 < jobs.size()) {
    violation(
        now, Invariant::half_of_jobs_served,
        std::to_string(served) + " of " + std::to_string(jobs.size()) + " jobs served in " + group);
  }
}

void InvariantChecker::check_largest(Seconds now, const std::string& job_class,
                                     std::vector<const TrackedJob*> jobs) {
  std::stable_sort(jobs.begin(), jobs.end(), [](const TrackedJob* a, const TrackedJob* b) {
    return a->spec.tasks > b->spec.tasks;
  });
  jobs.resize(std::max<size_t>(1, jobs.size() / kLargestJobsDivisor));
  check_half_served(now, "the largest jobs of class " + job_class, jobs);
  for (const TrackedJob* job : jobs) {
    if (job->started_at.value_or(now) - job->submitted_at > kMaxLargestStartDelay) {
      violation(
          now, Invariant::large_jobs_start_in_time,
          job->spec.id + " with " + std::to_string(job->spec.tasks) + " tasks started too late");
    }
  }
}

}  // namespace larkroad::sim
