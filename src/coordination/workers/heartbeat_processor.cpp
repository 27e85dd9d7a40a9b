#include "coordination/workers/heartbeat_processor.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

void log_resolved_launch(const Machine& machine, const LaunchTracker::Resolved& resolved,
                         const char* reason) {
  spdlog::debug("launch resolved: task={} attempt={} machine={} fencing_token={} reason=\"{}\"",
                resolved.launch.first.text(), resolved.launch.second, machine.name,
                resolved.fencing_token, reason);
}

}  // namespace

HeartbeatProcessor::HeartbeatProcessor(const transport::Clock& clock, ClusterState& cluster,
                                       const Election& election, const Settings& settings,
                                       MachineHealth& health, TaskEvictor& evictor,
                                       TaskReconciler& reconciler,
                                       const RemovedMachines& removed_machines,
                                       OnFirstHeartbeat on_first_heartbeat)
    : clock_(clock),
      cluster_(cluster),
      election_(election),
      settings_(settings),
      health_(health),
      evictor_(evictor),
      reconciler_(reconciler),
      removed_machines_(removed_machines),
      on_first_heartbeat_(std::move(on_first_heartbeat)) {}

void HeartbeatProcessor::begin_term() {
  term_began_at_ = clock_.now();
  first_fencing_token_ = election_.fencing_token();
}

bool HeartbeatProcessor::is_of_this_term(std::uint64_t fencing_token) const {
  return fencing_token >= first_fencing_token_ && fencing_token <= election_.fencing_token();
}

bool HeartbeatProcessor::is_newer(const protocol::Heartbeat& heartbeat, const Machine& machine) {
  return std::tie(heartbeat.incarnation, heartbeat.sequence) >
         std::tie(machine.incarnation, machine.sequence);
}

bool HeartbeatProcessor::must_not_renew_lease(const protocol::Heartbeat& heartbeat) {
  Machine* machine = cluster_.find_machine(heartbeat.machine);
  if (machine == nullptr || heartbeat.incarnation != machine->incarnation) return false;
  if (machine->lease_expired || machine->restarted) return true;
  if (is_newer(heartbeat, *machine)) {
    // A worker's token never falls, so this one has restarted and has counted up to here again.
    const bool token_fell = heartbeat.fencing_token < machine->seen_fencing_token;
    if (token_fell) health_.worker_restarted(*machine);
    return token_fell;
  }
  health_.old_heartbeat_received(*machine);
  // One that is newer than the last periodic heartbeat may have been overtaken by the answer to a
  // call, and an equal one is repeated by a relay.
  return heartbeat.sequence < machine->heartbeat_sequence;
}

// Only the answer to a call shows what the restarted process runs; none of it was placed there.
Commands HeartbeatProcessor::kill_tasks_of_restarted_worker(const protocol::Heartbeat& heartbeat,
                                                            HeartbeatSource source) {
  Commands kills;
  if (source != HeartbeatSource::call_answer) return kills;
  for (const auto& task : heartbeat.tasks) {
    if (task.state == protocol::TaskState::exited) continue;
    kills.push_back({protocol::CommandType::kill, task.id, task.attempt, 0});
  }
  return kills;
}

Commands HeartbeatProcessor::process(const protocol::Heartbeat& heartbeat, HeartbeatSource source) {
  ++counts_.heartbeats;
  counts_.reported_tasks += heartbeat.tasks.size();
  if (is_removed(heartbeat.machine)) return {};
  Machine& machine = cluster_.machine(heartbeat.machine);
  if (machine.restarted && heartbeat.incarnation == machine.incarnation) {
    return kill_tasks_of_restarted_worker(heartbeat, source);
  }
  if (!is_newer(heartbeat, machine)) return {};
  // An incarnation whose lease has expired sends no more heartbeats: this one was delayed.
  if (machine.lease_expired && heartbeat.incarnation == machine.incarnation) return {};
  begin_incarnation(machine, heartbeat);
  update_machine(machine, heartbeat, source);
  update_reclaim_notice(machine, heartbeat);
  return reconciler_.reconcile(machine, heartbeat, source);
}

// Updates the lease of a machine that began a new incarnation or sent its first heartbeat.
void HeartbeatProcessor::begin_incarnation(Machine& machine, const protocol::Heartbeat& heartbeat) {
  const Seconds now = clock_.now();
  const bool new_incarnation = heartbeat.incarnation > machine.incarnation;
  if (new_incarnation) {
    // The lease expired although heartbeats were received and answered: the responses are lost.
    if (machine.has_reported && !machine.lease_expired &&
        now - machine.last_heartbeat_at < settings_.lease_s / 2) {
      health_.mark_unreachable(machine);
    }
    reconciler_.end_incarnations_before(machine, heartbeat.incarnation);
    machine.restarted = false;
    machine.heartbeat_sequence = 0;
    machine.seen_fencing_token = 0;
  }
  if (new_incarnation || !machine.has_reported) {
    // The lease of an incarnation that no leader has answered counts from its beginning, which may
    // be as late as now. Otherwise a machine known only through `/inspect`, which holds new tasks,
    // would have its lease expired by the bound on the earlier leader's answers (simulation
    // scenario machines_partitioned_during_failover).
    machine.lease_renewed_at = std::max(machine.lease_renewed_at, now);
  }
  if (!machine.has_reported) register_machine(machine, heartbeat);
}

void HeartbeatProcessor::register_machine(Machine& machine, const protocol::Heartbeat& heartbeat) {
  const Seconds now = clock_.now();
  // Until the worker has seen this leader's token, an earlier leader may still renew its lease.
  // Recovery sets this bound for machines named in records; a machine without tasks gets it here.
  if (heartbeat.fencing_token < first_fencing_token_) {
    machine.lease_renewed_at =
        std::max(machine.lease_renewed_at, term_began_at_ + election_.grace_period());
  }
  machine.has_reported = true;
  machine.known_to_exist_at = std::max(machine.known_to_exist_at, now);
  machine.idle_since = now;
  if (machine.rented_at == 0) machine.rented_at = now;
  on_first_heartbeat_(machine);
  spdlog::info("machine up: machine={} type={} zone={} spot={}", heartbeat.machine, heartbeat.type,
               heartbeat.zone, heartbeat.spot);
}

void HeartbeatProcessor::update_machine(Machine& machine, const protocol::Heartbeat& heartbeat,
                                        HeartbeatSource source) {
  const Seconds now = clock_.now();
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.seen_fencing_token = std::max(machine.seen_fencing_token, heartbeat.fencing_token);
  if (machine.seen_fencing_token >= first_fencing_token_) machine.identity_confirmed = true;
  machine.last_heartbeat_at = now;
  if (source == HeartbeatSource::worker) machine.heartbeat_sequence = heartbeat.sequence;
  if (source == HeartbeatSource::worker || machine.last_worker_heartbeat_at < 0) {
    machine.last_worker_heartbeat_at = now;
  }
  machine.lease_expired = false;
  machine.address = heartbeat.address;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  if (machine.type != heartbeat.type || machine.capacity.cpus == 0) {
    cluster_.set_type(machine, heartbeat.type);
  }
  drop_resolved_launches(machine, heartbeat, source);
}

// Drops launches that the worker can no longer carry out: it rejects those under a lower token than
// the one that it has seen, and its next heartbeat shows that it has processed or dropped the
// response to the previous one.
void HeartbeatProcessor::drop_resolved_launches(Machine& machine,
                                                const protocol::Heartbeat& heartbeat,
                                                HeartbeatSource source) {
  for (const auto& fenced : machine.launches.worker_saw_token(machine.seen_fencing_token)) {
    log_resolved_launch(machine, fenced, "fenced");
  }
  if (source != HeartbeatSource::worker) return;
  for (const auto& processed : machine.launches.worker_sent_heartbeat(heartbeat.sequence)) {
    log_resolved_launch(machine, processed, "response processed");
  }
}

void HeartbeatProcessor::update_reclaim_notice(Machine& machine,
                                               const protocol::Heartbeat& heartbeat) {
  if (!heartbeat.reclaim_notice_s) {
    machine.reclaim_at.reset();
  } else if (!machine.reclaim_at) {
    evictor_.drain(machine, *heartbeat.reclaim_notice_s);
  }
}

}  // namespace larkroad::coordination
