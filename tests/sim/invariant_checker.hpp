/// Checks the invariants of the protocol over a full simulated run.
#pragma once

#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "protocol/job_messages.hpp"
#include "protocol/worker_messages.hpp"

namespace larkroad::sim {

using protocol::JobSpec;
using protocol::TaskId;
using transport::Seconds;

enum class Invariant {
  one_instance_per_task,           // a task runs on at most one machine
  team_quota,                      // the running tasks of a team stay within its limit
  placement_constraints,           // machine type, zone, spot, one_zone, spread
  cancelled_job_stops,             // within the configured cancellation limit
  no_launch_after_cancellation,    // from the time when every leader must know of it
  accepted_job_is_known,           // an accepted job is never lost, and queries are answered
  only_submitted_jobs_exist,       // no response reports a job that nobody submitted
  invalid_job_refused,             // a job that can never run is not accepted
  done_means_completed,            // all tasks of a job reported as done have completed
  stage_does_not_go_back,          // a job reported as ended stays in that stage
  tasks_run,                       // at least one task ran
  half_of_jobs_served,             // per team and class, and of the largest of each class
  large_jobs_start_in_time,        // the largest jobs of each class start within a bound
  no_waiting_beside_free_capacity  // a job that could be placed is placed in time
};

/// The name of an invariant, for failure messages.
const char* to_string(Invariant invariant);

struct Violation {
  Invariant invariant;
  std::string details;
  Seconds at;
};

std::ostream& operator<<(std::ostream& out, const Violation& violation);

/// Receives the events on the machines and the responses to users, and collects violations. It does
/// not look at the internal state of the controllers. All times are simulated times.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

  struct Location {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  /// User actions.
  void job_submitted(const JobSpec& spec, Seconds now = 0);
  /// A submission that must be rejected: its job fits no machine or lacks a field.
  void invalid_job_submitted(const std::string& id) { invalid_jobs_.insert(id); }
  void status_requested(Seconds now, const std::string& id);
  void polling_stopped(const std::string& id);
  void cancellation_requested(const std::string& id);

  /// Responses to users. `requested_at` is the time when the request was sent, if it was earlier.
  /// If another response told the user of the job's end while this request was in flight, its
  /// response may still report the earlier state.
  void submission_answered(Seconds now, const std::string& id, int status, const std::string& stage,
                           std::optional<Seconds> requested_at = std::nullopt);
  void status_answered(Seconds now, const std::string& id, int status, const std::string& stage,
                       std::optional<Seconds> requested_at = std::nullopt);

  /// Events on the machines. A task counts as on its machine from when its image has been fetched
  /// until it ends.
  void task_started(Seconds now, const TaskId& id, const Location& location);
  void task_left_machine(const TaskId& id, const std::string& machine);
  void task_completed(const TaskId& id);
  /// A controller has sent a command to launch a task of the job.
  void launch_sent(Seconds now, const std::string& id);
  /// While a machine hangs, its tasks stay on it but make no progress.
  void set_hung(const std::string& machine, bool hung);
  /// Whether the job has unplaced tasks that could be placed now within its team's limit.
  void placement_possible(Seconds now, const std::string& id, bool possible);

  /// Sets the time after which no more faults occur.
  void faults_end_at(Seconds now) { faults_end_at_ = now; }
  /// Called periodically; reports violations of time limits.
  void check_deadlines(Seconds now);
  /// Called once, at the end of the run.
  void finish(Seconds now = 0);

  const std::vector<Violation>& violations() const { return violations_; }
  bool violated(Invariant invariant) const;
  size_t started() const { return started_; }

 private:
  struct TrackedJob {
    JobSpec spec;
    bool accepted = false;
    bool cancellation_requested = false;
    bool reported_done = false;
    bool unanswered_reported = false;
    std::set<std::uint32_t> completed;
    Seconds submitted_at = 0;
    std::optional<Seconds> cancelled_at;  // when the user was first told
    std::optional<Seconds> ended_at;      // when the user was first told of any final stage
    std::optional<Seconds> started_at;
    std::optional<Seconds> placement_possible_since;
    /// Time of the first query since the last response, while it is unanswered.
    std::optional<Seconds> unanswered_since;

    bool is_expected_to_run() const { return accepted && !cancellation_requested; }
    bool is_served() const {
      return spec.is_service() ? started_at.has_value() : completed.size() == spec.tasks;
    }
  };

  TrackedJob* find(const std::string& id);
  void violation(Seconds now, Invariant invariant, const std::string& details);
  void stage_reported(Seconds now, TrackedJob& job, const std::string& stage,
                      std::optional<Seconds> requested_at);
  void check_single_instance(Seconds now, const TaskId& id, const Location& location);
  void check_quota(Seconds now, const TaskId& id, const JobSpec& spec);
  void check_constraints(Seconds now, const TaskId& id, const JobSpec& spec,
                         const Location& location);
  void check_answers(Seconds now);
  void check_cancelled_tasks(Seconds now);
  void check_half_served(Seconds now, const std::string& group,
                         const std::vector<const TrackedJob*>& jobs);
  void check_largest(Seconds now, const std::string& job_class,
                     std::vector<const TrackedJob*> jobs);

  const Settings& settings_;
  std::map<std::string, TrackedJob> jobs_;
  std::set<std::string> invalid_jobs_;
  std::set<std::string> hung_machines_;
  std::map<TaskId, std::map<std::string, Location>> running_;
  std::vector<Violation> violations_;
  size_t started_ = 0;
  Seconds faults_end_at_ = 0;
};

}  // namespace larkroad::sim
