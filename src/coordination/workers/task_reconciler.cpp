#include "coordination/workers/task_reconciler.hpp"

#include <set>
#include <utility>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

using protocol::CommandType;
using protocol::ExitCause;
using protocol::TaskStatus;

// If a machine retains more exited tasks than this until it sees a higher token, the token is
// raised.
constexpr int kMaxRetainedExits = 6;

constexpr const char* kAbsentReason = "the machine's report of its tasks does not list this task";

const char* state_name(TaskState state) {
  switch (state) {
    case TaskState::fetching:
      return "fetching";
    case TaskState::waiting:
      return "waiting";
    case TaskState::running:
      return "running";
    case TaskState::saving:
      return "saving";
    case TaskState::exited:
      return "exited";
  }
  return "unknown";
}

// Whether the exit of one task also ends the attempt of others.
bool has_several_members(const JobSpec& spec) { return spec.is_gang() && spec.tasks > 1; }

}  // namespace

TaskReconciler::TaskReconciler(const transport::Clock& clock, ClusterState& cluster,
                               const Election& election, CommandDispatcher& dispatcher,
                               FailureTracker& failures, Callbacks callbacks)
    : clock_(clock),
      cluster_(cluster),
      election_(election),
      dispatcher_(dispatcher),
      failures_(failures),
      callbacks_(std::move(callbacks)) {}

Commands TaskReconciler::reconcile(Machine& machine, const protocol::Heartbeat& heartbeat,
                                   HeartbeatSource source) {
  Commands commands;
  machine.retained_exits = 0;
  for (const auto& task : heartbeat.tasks) reconcile_task(machine, task, commands);
  reconcile_absent_tasks(machine, heartbeat, source, commands);
  return commands;
}

// Returns the placement of the reported task; null if there is none.
Placement* TaskReconciler::find_placement(const Machine& machine, const TaskStatus& task) {
  Job* job = cluster_.job(task.id.job);
  if (job == nullptr) return nullptr;
  const auto it = job->placements.find(task.id.task);
  if (it == job->placements.end()) return nullptr;
  Placement& placement = it->second;
  const bool matches = placement.machine == machine.name && placement.attempt == task.attempt &&
                       placement.incarnation == machine.incarnation &&
                       placement.stage != Placement::Stage::persisting;
  return matches ? &placement : nullptr;
}

void TaskReconciler::reconcile_task(Machine& machine, const TaskStatus& task, Commands& commands) {
  if (task.state == TaskState::exited) {
    reconcile_exited_task(machine, task, commands);
    return;
  }
  Placement* placement = find_placement(machine, task);
  if (placement == nullptr) {
    // No placement record refers to the task: it is left over from a finished job.
    commands.push_back({CommandType::kill, task.id, task.attempt, 0});
    return;
  }
  update_placement(machine, *cluster_.job(task.id.job), *placement, task.state);
  // The kill is repeated, as the first one may have been lost. A task that is saving a checkpoint
  // is not killed again unless its grace period has been reduced to 0.
  if (placement->stopping && (task.state != TaskState::saving || placement->grace_s <= 0)) {
    placement->stop_sent = clock_.now();
    commands.push_back({CommandType::kill, task.id, task.attempt, placement->grace_s});
  }
}

void TaskReconciler::update_placement(Machine& machine, Job& job, Placement& placement,
                                      TaskState state) {
  const Seconds now = clock_.now();
  if (placement.stage != Placement::Stage::acknowledged || placement.state != state) {
    spdlog::debug("task state changed: task={}/{} attempt={} machine={} state={}", job.id(),
                  placement.task, placement.attempt, machine.name, state_name(state));
  }
  const bool has_image = state != TaskState::fetching;
  if (has_image && placement.state == TaskState::fetching) {
    FailureTracker::record_start(machine, job);
  }
  placement.stage = Placement::Stage::acknowledged;
  // A delayed heartbeat may list a task that an earlier leader has stopped since.
  if (machine.identity_confirmed) placement.recovered = false;
  placement.state = state;
  if (has_image) {
    const MachineType* type = cluster_.type(machine.type);
    machine.touch_image(job.spec.image, job.spec.image_gb, type ? type->cache_gb : 0, now);
  }
  if (state != TaskState::running) return;
  if (placement.running_since < 0) placement.running_since = now;
  if (job.spec.is_service()) failures_.record_running_replica(machine, job, placement);
  job.gang_started = job.spec.is_gang();
  job.seen_running = true;
}

void TaskReconciler::reconcile_exited_task(Machine& machine, const TaskStatus& task,
                                           Commands& commands) {
  if (find_placement(machine, task) != nullptr) {
    handle_exit(machine, *cluster_.job(task.id.job), task);
  }
  // After `forget`, a launch that is still in transit would run the task again.
  const LaunchKey launch{task.id, task.attempt};
  if (machine.launches.is_unresolved(launch)) {
    dispatcher_.require_fencing_of(machine, launch);
    return;
  }
  if (is_result_durable(task) && can_forget(machine, launch)) {
    commands.push_back({CommandType::forget, task.id, task.attempt, 0});
  }
}

// Whether the task's result is stored durably, so that the worker's copy is no longer needed.
bool TaskReconciler::is_result_durable(const TaskStatus& task) const {
  if (task.cause != ExitCause::done) return true;
  const Job* job = cluster_.job(task.id.job);
  return job == nullptr || !job->unpersisted_done.contains(task.id.task);
}

// A late copy of a direct launch may still reach a machine that has forgotten the task. A task that
// failed or was stopped there and now runs on another machine would then run twice; even a
// completed task would use resources again, possibly exceeding its team's quota. So the worker
// retains the task until it has seen a higher token than that of the launch. If it retains many,
// the token is raised.
bool TaskReconciler::can_forget(Machine& machine, const LaunchKey& launch) {
  if (!machine.launches.may_have_copies(launch)) return true;
  if (++machine.retained_exits > kMaxRetainedExits) dispatcher_.require_fencing();
  return false;
}

void TaskReconciler::handle_exit(Machine& machine, Job& job, const TaskStatus& task) {
  const char* cause = protocol::cause_name(task.cause);
  spdlog::info("task exited: task={} attempt={} machine={} cause={} saved={}", task.id.text(),
               task.attempt, machine.name, cause, task.saved);
  const Placement& placement = job.placements.at(task.id.task);
  switch (task.cause) {
    case ExitCause::done:
      if (!job.spec.is_service()) {
        complete_task(machine, job, task.id.task);
        return;
      }
      failures_.record_replica_exit(job, placement);
      break;
    case ExitCause::error:
      failures_.record_failure(machine, job, placement);
      break;
    case ExitCause::insufficient_resources:
      failures_.record_refusal(machine);
      break;
    case ExitCause::other_attempt_present:
    case ExitCause::unknown:
      failures_.back_off(job);
      break;
    default:
      break;
  }
  const std::string reason =
      "task " + task.id.text() + " exited on machine " + machine.name + " with cause " + cause;
  callbacks_.task_gone(job, task.id.task, reason);
  // A gang's attempt ends with the exit of any of its tasks. The worker remembers the attempt, so
  // launching it there again would have no effect; unfinished members restart under the next one.
  if (has_several_members(job.spec)) callbacks_.abort_gang_attempt(job, reason);
}

void TaskReconciler::complete_task(Machine& machine, Job& job, std::uint32_t task) {
  const Seconds now = clock_.now();
  FailureTracker::record_success(machine);
  const Placement& placement = job.placements.at(task);
  if (placement.running_since >= 0) cluster_.learn_run(job.spec, now - placement.running_since);
  cluster_.finish(job, task, now);
  callbacks_.persist(job);
  callbacks_.request_scheduling_cycle();
}

void TaskReconciler::reconcile_absent_tasks(Machine& machine, const protocol::Heartbeat& heartbeat,
                                            HeartbeatSource source, Commands& commands) {
  std::set<LaunchKey> reported;
  for (const auto& task : heartbeat.tasks) reported.insert({task.id, task.attempt});
  const auto tasks = machine.tasks;  // a copy, as the loop may modify the set
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(id.task);
    if (it == job->placements.end()) continue;
    Placement& placement = it->second;
    if (placement.machine != machine.name || placement.stage == Placement::Stage::persisting ||
        reported.contains({id, placement.attempt})) {
      continue;
    }
    reconcile_absent_task(machine, *job, placement, source, commands);
  }
}

void TaskReconciler::reconcile_absent_task(Machine& machine, Job& job, Placement& placement,
                                           HeartbeatSource source, Commands& commands) {
  const LaunchKey launch{{job.id(), placement.task}, placement.attempt};
  const bool unresolved = machine.launches.is_unresolved(launch);
  if (placement.stopping || job.cancelled) {
    if (!unresolved) {
      callbacks_.task_gone(job, placement.task, kAbsentReason);
    } else if (!machine.launches.is_call_pending(launch)) {
      // A direct launch may still arrive, until the worker has seen a higher token.
      dispatcher_.require_fencing_of(machine, launch);
    }
    return;
  }
  if (placement.recovered) {
    // Not launched again: its resources and its share of the team's quota may have been given to
    // others. Once the worker has seen this leader's token, no launch by an earlier leader can
    // start the task any more, and it is queued like any other task.
    if (!unresolved) callbacks_.task_gone(job, placement.task, kAbsentReason);
    return;
  }
  if (!machine.launches.may_repeat(launch)) return;
  // The launch is repeated only in the response to a heartbeat, which is never carried out late. It
  // stays unresolved until the worker's next heartbeat, as the response may still be in transit.
  // Otherwise a task stopped in the meantime would be counted as gone by the answer to the kill,
  // and be started both by the late response and on another machine.
  if (source != HeartbeatSource::worker) return;
  placement.stage = Placement::Stage::dispatched;
  machine.launches.add_response(launch, election_.fencing_token(), machine.sequence);
  spdlog::debug(
      "launch sent in heartbeat response: task={} attempt={} machine={} fencing_token={} "
      "sequence={}",
      launch.first.text(), launch.second, machine.name, election_.fencing_token(),
      machine.sequence);
  commands.push_back({CommandType::launch, launch.first, launch.second, 0});
}

void TaskReconciler::end_incarnations_before(Machine& machine, std::uint64_t incarnation) {
  const auto tasks = machine.tasks;  // a copy, as the loop may modify the set
  machine.launches.clear();
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(id.task);
    if (it == job->placements.end() || it->second.incarnation >= incarnation) continue;
    if (it->second.stage == Placement::Stage::persisting) {
      // The record being written names an ended incarnation; no launch was sent, so the task is
      // placed again.
      cluster_.unplace(*job, id.task, clock_.now());
      callbacks_.request_scheduling_cycle();
    } else {
      callbacks_.task_gone(
          *job, id.task,
          "machine " + machine.name + " began incarnation " + std::to_string(incarnation));
    }
  }
}

void TaskReconciler::end_all_tasks(Machine& machine, const std::string& reason) {
  const auto tasks = machine.tasks;  // a copy, as the loop may modify the set
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job != nullptr && job->placements.contains(id.task)) {
      callbacks_.task_gone(*job, id.task, reason);
    }
  }
}

}  // namespace larkroad::coordination
