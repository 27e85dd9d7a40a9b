// Callbacks that connect the components of the leader.
#include "coordination/leader/leader.hpp"

namespace larkroad::coordination {

PlacementWriter::Callbacks Leader::placement_writer_callbacks() {
  return {
      [this](const std::string& job) { job_watch_.refresh(job); },
      [this](const std::string& job, std::uint64_t revision) {
        job_watch_.job_finished(job, revision);
      },
      [this](Job& job, const std::vector<std::uint32_t>& tasks) {
        command_dispatcher_.launch(job, tasks);
      },
      [this] { request_scheduling_cycle(); },
  };
}

JobWatch::Callbacks Leader::job_watch_callbacks() {
  return {
      [this](Job& job) { cancel_job(job); },
      [this](Job& job) { persist(job); },
      [this] { request_scheduling_cycle(); },
  };
}

SchedulingLoop::Callbacks Leader::scheduling_loop_callbacks() {
  return {
      [this](Job& job) { persist(job); },
      [this](Job& job, Placement& placement, SchedulingLoop::StopMode mode) {
        const bool graceful = mode == SchedulingLoop::StopMode::graceful;
        task_evictor_.stop(job, placement, graceful ? task_evictor_.checkpoint_grace(job) : 0);
      },
  };
}

StateRecovery::Callbacks Leader::state_recovery_callbacks() {
  return {
      [this](const storage::Entry& entry) { job_watch_.apply(entry); },
      [this](std::uint64_t revision) { job_watch_.watch_from(revision); },
      [this](RecoveredState state) { handle_recovered_state(std::move(state)); },
  };
}

CloudReconciler::Callbacks Leader::cloud_reconciler_callbacks() {
  return {
      .inspect = [this](Machine& machine) { command_dispatcher_.query_status(machine); },
      .all_tasks_lost =
          [this](Machine& machine, const std::string& reason) {
            task_reconciler_.end_all_tasks(machine, reason);
          },
      .machine_removed = [this](const std::string& machine) { handle_machine_removed(machine); },
  };
}

CommandDispatcher::Callbacks Leader::command_dispatcher_callbacks() {
  return {
      .is_leader = [this] { return election_.is_leader(); },
      .fencing_token = [this] { return election_.fencing_token(); },
      .raise_fencing_token = [this] { election_.raise_fencing_token(); },
      .observe_fencing_token =
          [this](std::uint64_t token) { election_.observe_fencing_token(token); },
      .process_heartbeat =
          [this](const protocol::Heartbeat& heartbeat) {
            return heartbeat_processor_.process(heartbeat, HeartbeatSource::call_answer);
          },
      .machine_answered = [this](Machine& machine) { machine_health_.call_answered(machine); },
      .worker_restarted = [this](Machine& machine) { machine_health_.worker_restarted(machine); },
      .machine_unanswered = [this](Machine& machine) { machine_health_.call_unanswered(machine); },
      .request_scheduling_cycle = [this] { request_scheduling_cycle(); },
  };
}

MachineHealth::Callbacks Leader::machine_health_callbacks() {
  return {
      .end_incarnation =
          [this](Machine& machine) {
            task_reconciler_.end_incarnations_before(machine, machine.incarnation + 1);
          },
      .query_status = [this](Machine& machine) { command_dispatcher_.query_status(machine); },
      .require_fencing = [this] { command_dispatcher_.require_fencing(); },
      .release_machines =
          [this](const std::vector<std::string>& names) {
            cloud_reconciler_.release_machines(names);
          },
      .request_scheduling_cycle = [this] { request_scheduling_cycle(); },
  };
}

TaskReconciler::Callbacks Leader::task_reconciler_callbacks() {
  return {
      .persist = [this](Job& job) { persist(job); },
      .task_gone = [this](Job& job, std::uint32_t task,
                          const std::string& reason) { handle_task_lost(job, task, reason); },
      .abort_gang_attempt = [this](Job& job,
                                   const std::string& reason) { abort_gang_attempt(job, reason); },
      .request_scheduling_cycle = [this] { request_scheduling_cycle(); },
  };
}

}  // namespace larkroad::coordination
