// Reports, commands, and what they prove.
#include <algorithm>
#include <tuple>

#include "coordination/leader/leader.hpp"
#include "log.hpp"

namespace larkroad::coordination {
namespace {

using protocol::Command;
using protocol::CommandType;
using protocol::ExitCause;

// Exited tasks that a machine keeps for want of a higher token, before that is raised for them.
constexpr int kKeptMost = 6;

// Whether a report tells more than what is known of its machine.
bool newer(const protocol::Heartbeat& heartbeat, const Machine& machine) {
  return std::tie(heartbeat.incarnation, heartbeat.sequence) >
         std::tie(machine.incarnation, machine.sequence);
}

}  // namespace

CommandDispatcher::Callbacks Leader::command_dispatcher_callbacks() {
  return {
      .leads = [this] { return election_.leads(); },
      .fencing_token = [this] { return election_.fencing_token(); },
      .raise_fencing_token = [this] { election_.raise_fencing_token(); },
      .superseded = [this](std::uint64_t token) { election_.superseded(token); },
      .process_heartbeat =
          [this](const protocol::Heartbeat& heartbeat) { return process(heartbeat, From::call); },
      .machine_answered = [this](Machine& machine) { machine_health_.call_answered(machine); },
      .machine_unanswered = [this](Machine& machine) { machine_health_.call_unanswered(machine); },
      .request_plan = [this] { request_plan(); },
  };
}

MachineHealth::Callbacks Leader::machine_health_callbacks() {
  return {
      .end_incarnation =
          [this](Machine& machine) { end_sessions(machine, machine.incarnation + 1); },
      .query_status = [this](Machine& machine) { command_dispatcher_.query_status(machine); },
      .release_machines =
          [this](const std::vector<std::string>& names) { release_machines(names); },
      .request_plan = [this] { request_plan(); },
  };
}

transport::Response Leader::handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                             const std::string& via, RelayRoute route) {
  const Seconds now = clock_.now();
  if (route == RelayRoute::direct) {
    const auto home = relay_assignment_.elsewhere(heartbeat.machine, heartbeat.zone, via, now);
    if (home) return {421, protocol::encode_redirect(*home), 0, true};
  }
  relay_assignment_.reported(heartbeat.machine, via, now);
  Commands commands;
  if (!removed_machines_.contains(heartbeat.machine)) {
    Machine& machine = cluster_.machine(heartbeat.machine);
    // The answer renews the worker's lease as of when the report was sent, so not beyond a lease
    // from now, however late a relay hands the answer on. One that is no newer than what has been
    // heard was sent before that, however late this copy of it comes.
    const bool stale = !newer(heartbeat, machine);
    if (ready_) commands = process(heartbeat, From::worker);
    machine.lease_renewed_at =
        std::max(machine.lease_renewed_at, stale ? machine.last_heartbeat_at : now);
    if (!election_.leads()) {
      // Past its lease it keeps what runs alive and stops what must end, but starts nothing.
      std::erase_if(commands, [](const Command& c) { return c.type != CommandType::kill; });
    }
  }
  return {200, protocol::encode_heartbeat_response(election_.fencing_token(), commands), 0, true};
}

Seconds Leader::unreachable_by_workers_since() const {
  if (!ready_) return -1;
  const auto newest = machine_health_.newest_heartbeat_at();
  return newest ? std::max(ready_at_, *newest) : -1;
}

bool Leader::is_own_fencing_token(std::uint64_t fencing_token) const {
  return fencing_token >= first_fencing_token_ && fencing_token <= election_.fencing_token();
}

std::vector<protocol::RelayedAnswer> Leader::handle_relayed_heartbeats(
    const protocol::RelayBatch& batch, RelayRoute route) {
  relay_assignment_.relays(batch.member, clock_.now());
  std::vector<protocol::RelayedAnswer> out;
  for (const auto& item : batch.heartbeats) {
    protocol::Heartbeat heartbeat;
    const bool whole = item.heartbeat || !item.payload.empty();
    if (item.heartbeat) {
      heartbeat = *item.heartbeat;
    } else if (!item.payload.empty()) {
      try {
        heartbeat = protocol::parse_heartbeat(item.payload);
      } catch (const std::exception& error) {
        out.push_back({400, protocol::encode_error(error.what())});
        continue;
      }
    } else {
      const Machine* machine = cluster_.find_machine(item.machine);
      if (machine == nullptr || machine->last_relayed_heartbeat.incarnation != item.incarnation ||
          machine->last_relayed_heartbeat.sequence != item.base_sequence ||
          item.sequence < item.base_sequence) {
        out.push_back({protocol::kNeedsPayload, ""});
        continue;
      }
      heartbeat = machine->last_relayed_heartbeat;
      heartbeat.sequence = item.sequence;
    }
    election_.superseded(heartbeat.fencing_token);
    if (!election_.may_answer_reports()) {
      out.push_back({503, ""});
      continue;
    }
    auto response = handle_heartbeat(heartbeat, batch.member, route);
    // What the next ones may be told to be the same as.
    Machine* machine = whole ? cluster_.find_machine(heartbeat.machine) : nullptr;
    if (response.status == 200 && machine != nullptr &&
        std::tie(heartbeat.incarnation, heartbeat.sequence) >
            std::tie(machine->last_relayed_heartbeat.incarnation,
                     machine->last_relayed_heartbeat.sequence)) {
      machine->last_relayed_heartbeat = std::move(heartbeat);
    }
    out.push_back({response.status, std::move(response.body)});
  }
  return out;
}

Commands Leader::process(const protocol::Heartbeat& heartbeat, From from) {
  ++activity_.heartbeats;
  activity_.reported_tasks += heartbeat.tasks.size();
  if (removed_machines_.contains(heartbeat.machine)) return {};
  Machine& machine = cluster_.machine(heartbeat.machine);
  if (!newer(heartbeat, machine)) return {};
  // A session that was taken for over cannot speak again, but for reports that were held up.
  if (machine.lease_expired && heartbeat.incarnation == machine.incarnation) return {};
  begin_session(machine, heartbeat);
  update_machine(machine, heartbeat, from);
  if (heartbeat.reclaim_notice_s && !machine.reclaimed_at) {
    task_evictor_.drain(machine, *heartbeat.reclaim_notice_s);
  } else if (!heartbeat.reclaim_notice_s) {
    machine.reclaimed_at.reset();
  }
  Commands commands;
  process_tasks(machine, heartbeat, from, commands);
  return commands;
}

// What a new session, or the first word of a machine, tells of its leases.
void Leader::begin_session(Machine& machine, const protocol::Heartbeat& heartbeat) {
  const Seconds now = clock_.now();
  const bool new_session = heartbeat.incarnation > machine.incarnation;
  if (new_session) {
    // Its lease ran out although its reports came and were answered: the answers don't arrive.
    if (machine.has_reported && !machine.lease_expired &&
        now - machine.last_heartbeat_at < settings_.lease_s / 2) {
      machine_health_.suspect_unreachable(machine);
    }
    end_sessions(machine, heartbeat.incarnation);
  }
  if (new_session || !machine.has_reported) {
    // The lease of a session that nobody has answered counts from when it began, which may be as
    // late as now. Without this a machine heard by `/inspect` only was taken for silent by the
    // bound of the earlier leader's answers, while it held new tasks (the simulated run
    // cut_off_while_the_leader_changes).
    machine.lease_renewed_at = std::max(machine.lease_renewed_at, now);
  }
  if (!machine.has_reported) first_heard(machine, heartbeat);
}

void Leader::first_heard(Machine& machine, const protocol::Heartbeat& heartbeat) {
  const Seconds now = clock_.now();
  // Until it has seen this leader's token, one before that may still answer it. Those that the
  // records name have this bound from the loading; a machine without tasks is met here first.
  if (heartbeat.fencing_token < first_fencing_token_) {
    machine.lease_renewed_at =
        std::max(machine.lease_renewed_at, begun_at_ + election_.retention());
  }
  machine.has_reported = true;
  machine.known_to_exist_at = std::max(machine.known_to_exist_at, now);
  machine.idle_since = now;
  if (machine.rented_at == 0) machine.rented_at = now;
  if (const auto it = loaded_images_.find(heartbeat.machine); it != loaded_images_.end()) {
    for (const auto& [image, gb] : it->second) machine.images[image] = {gb, now};
    loaded_images_.erase(it);
  }
  spdlog::info("machine {} ({} in {}{}) is up", heartbeat.machine, heartbeat.type, heartbeat.zone,
               heartbeat.spot ? ", spot" : "");
}

void Leader::update_machine(Machine& machine, const protocol::Heartbeat& heartbeat, From from) {
  const Seconds now = clock_.now();
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.seen_fencing_token = std::max(machine.seen_fencing_token, heartbeat.fencing_token);
  if (machine.seen_fencing_token >= first_fencing_token_) machine.identity_confirmed = true;
  machine.last_heartbeat_at = now;
  if (from == From::worker || machine.last_worker_heartbeat_at < 0)
    machine.last_worker_heartbeat_at = now;
  machine.lease_expired = false;
  machine.address = heartbeat.address;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  if (machine.type != heartbeat.type || machine.capacity.cpus == 0) {
    cluster_.set_type(machine, heartbeat.type);
  }
  // The worker refuses these from now on.
  std::erase_if(machine.direct_launches,
                [&](const auto& launch) { return launch.second < machine.seen_fencing_token; });
  std::erase_if(machine.unresolved_launches, [&](const auto& doubt) {
    // The same, or it has done with the answer that the launch was in.
    return doubt.second.fencing_token < machine.seen_fencing_token ||
           (doubt.second.answer_to != 0 && from == From::worker &&
            doubt.second.answer_to < heartbeat.sequence);
  });
}

// The tasks that it reports, and those that it should have and lacks.
void Leader::process_tasks(Machine& machine, const protocol::Heartbeat& heartbeat, From from,
                           Commands& commands) {
  machine.retained_exits = 0;
  std::set<std::pair<TaskId, std::uint64_t>> reported;
  for (const auto& task : heartbeat.tasks) {
    reported.insert({task.id, task.attempt});
    process_task(machine, task, commands);
  }
  const auto tasks = machine.tasks;  // a copy: what follows may change it
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(id.task);
    if (it == job->placements.end() || it->second.machine != machine.name ||
        it->second.stage == Placement::Stage::persisting ||
        reported.contains({id, it->second.attempt})) {
      continue;
    }
    absent(machine, *job, it->second, from, commands);
  }
}

void Leader::end_sessions(Machine& machine, std::uint64_t incarnation) {
  const auto tasks = machine.tasks;
  machine.unresolved_launches.clear();
  machine.direct_launches.clear();
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(id.task);
    if (it == job->placements.end() || it->second.incarnation >= incarnation) continue;
    if (it->second.stage == Placement::Stage::persisting) {
      // Its record names a session that is over: nothing of it was sent. Decide anew.
      cluster_.unplace(*job, id.task, clock_.now());
      request_plan();
    } else {
      task_gone(*job, id.task,
                "machine " + machine.name + " began session " + std::to_string(incarnation));
    }
  }
}

void Leader::process_task(Machine& machine, const protocol::TaskStatus& task, Commands& commands) {
  const Seconds now = clock_.now();
  Job* job = cluster_.job(task.id.job);
  Placement* placement = nullptr;
  if (job != nullptr) {
    const auto it = job->placements.find(task.id.task);
    if (it != job->placements.end() && it->second.machine == machine.name &&
        it->second.attempt == task.attempt && it->second.incarnation == machine.incarnation &&
        it->second.stage != Placement::Stage::persisting) {
      placement = &it->second;
    }
  }
  if (task.state == TaskState::exited) {
    if (placement != nullptr) exited(machine, *job, task);
    // A result is kept on the worker until it is durable here. And after `forget`, a launch that
    // is still on its way would run the task once more.
    job = cluster_.job(task.id.job);
    const bool durable = task.cause != ExitCause::done || job == nullptr ||
                         !job->unpersisted_done.contains(task.id.task);
    if (const auto doubt = machine.unresolved_launches.find({task.id, task.attempt});
        doubt != machine.unresolved_launches.end()) {
      if (doubt->second.answer_to == 0) command_dispatcher_.require_fencing_of(doubt->second);
    } else if (durable && may_forget(machine, task)) {
      commands.push_back({CommandType::forget, task.id, task.attempt, 0});
    }
    return;
  }
  if (placement == nullptr) {
    // Nothing that is recorded wants it: what is left of a job that is over.
    commands.push_back({CommandType::kill, task.id, task.attempt, 0});
    return;
  }
  const bool has_image = task.state != TaskState::fetching;
  if (placement->stage != Placement::Stage::acknowledged || placement->state != task.state) {
    spdlog::debug("task {} attempt {} on {}: {}", task.id.text(), task.attempt, machine.name,
                  task.state == TaskState::fetching  ? "fetching"
                  : task.state == TaskState::waiting ? "waiting"
                  : task.state == TaskState::running ? "running"
                                                     : "saving");
  }
  if (has_image && placement->state == TaskState::fetching) {
    FailureTracker::record_start(machine, *job);
  }
  placement->stage = Placement::Stage::acknowledged;
  placement->recovered = false;
  placement->state = task.state;
  if (has_image) {
    const MachineType* type = cluster_.type(machine.type);
    machine.touch_image(job->spec.image, job->spec.image_gb, type ? type->cache_gb : 0, now);
  }
  if (task.state == TaskState::running) {
    if (placement->running_since < 0) placement->running_since = now;
    if (job->spec.is_service()) failure_tracker_.record_running_replica(machine, *job, *placement);
    job->gang_started = job->spec.is_gang();
    job->seen_running = true;
  }
  // One that saves is left to it, unless it has no grace any more: the first such command may have
  // been lost.
  if (placement->stopping && (task.state != TaskState::saving || placement->grace_s <= 0)) {
    placement->stop_sent = now;
    commands.push_back({CommandType::kill, task.id, task.attempt, placement->grace_s});
  }
}

// A copy of a direct launch may still come to a machine that has forgotten the task: what failed or
// was stopped there and runs elsewhere by now would run twice, and even one that is done takes its
// room once more, beyond its team's limit perhaps. So a task is kept there until the worker has
// seen a higher token than that of its launch; when many are, the token is raised for them.
bool Leader::may_forget(Machine& machine, const protocol::TaskStatus& task) {
  const auto it = machine.direct_launches.find({task.id, task.attempt});
  if (it == machine.direct_launches.end()) return true;
  if (it->second >= machine.seen_fencing_token) {
    if (++machine.retained_exits > kKeptMost) command_dispatcher_.require_fencing();
    return false;
  }
  machine.direct_launches.erase(it);
  return true;
}

void Leader::exited(Machine& machine, Job& job, const protocol::TaskStatus& task) {
  const Seconds now = clock_.now();
  spdlog::info("task {} attempt {} on {} exited: {}{}", task.id.text(), task.attempt, machine.name,
               protocol::cause_name(task.cause), task.saved ? ", saved" : "");
  switch (task.cause) {
    case ExitCause::done:
      if (job.spec.is_service()) {
        failure_tracker_.record_replica_exit(job, job.placements.at(task.id.task));
        break;
      }
      FailureTracker::record_success(machine);
      if (const auto& p = job.placements.at(task.id.task); p.running_since >= 0) {
        cluster_.learn_run(job.spec, now - p.running_since);
      }
      cluster_.finish(job, task.id.task, now);
      persist(job);
      request_plan();
      return;
    case ExitCause::error:
      failure_tracker_.record_failure(machine, job, job.placements.at(task.id.task));
      break;
    case ExitCause::full:
      failure_tracker_.record_refusal(machine);
      break;
    case ExitCause::busy:
    case ExitCause::unknown:
      failure_tracker_.back_off(job);
      break;
    default:
      break;
  }
  task_gone(job, task.id.task, protocol::cause_name(task.cause));
  // A gang's attempt ends with the exit of any of its tasks. The worker remembers the attempt, so
  // launching it there again would have no effect; the rest starts anew under the next one.
  if (job.spec.is_gang() && job.spec.tasks > 1)
    abort_gang_attempt(job, protocol::cause_name(task.cause));
}

void Leader::absent(Machine& machine, Job& job, Placement& placement, From from,
                    Commands& commands) {
  const auto key = std::make_pair(TaskId{job.id(), placement.task}, placement.attempt);
  const auto doubt = machine.unresolved_launches.find(key);
  const bool in_doubt = doubt != machine.unresolved_launches.end();
  if (placement.stopping || job.cancelled) {
    if (in_doubt) {
      // A launch may still arrive: a higher token closes the door, once the worker has seen it.
      if (!doubt->second.pending) command_dispatcher_.require_fencing_of(doubt->second);
      return;
    }
    task_gone(job, placement.task, "not on its machine");
    return;
  }
  if (placement.recovered) {
    // Not to be launched again as it stands: its room and its part of the team's limit may have
    // gone to others since. Once the worker has seen this leader's token nothing of an earlier
    // one can start it any more, and it queues like any other task.
    if (!in_doubt) task_gone(job, placement.task, "not on its machine");
    return;
  }
  if (in_doubt && doubt->second.pending) return;
  // To be repeated in the answer to a report only: that is never carried out late. Until the next
  // report it may be under way, though; without this a task that was stopped meanwhile counted as
  // gone, by the answer to the stop, and was started by the late answer as well as elsewhere.
  if (from != From::worker) return;
  placement.stage = Placement::Stage::dispatched;
  machine.unresolved_launches.try_emplace(
      key, UnresolvedLaunch{election_.fencing_token(), true, machine.sequence});
  commands.push_back({CommandType::launch, key.first, placement.attempt, 0});
}

void Leader::all_gone(Machine& machine, const std::string& why) {
  const auto tasks = machine.tasks;  // a copy: what follows changes it
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job != nullptr && job->placements.contains(id.task)) task_gone(*job, id.task, why);
  }
}

void Leader::remove_machine(const std::string& name, const std::string& why) {
  Machine* machine = cluster_.find_machine(name);
  if (machine == nullptr) return;
  spdlog::info("machine {} is gone: {}", name, why);
  removed_machines_[name] = clock_.now();
  all_gone(*machine, "machine " + name + " is gone");
  cluster_.remove_machine(name);
  garbage_.push_back(storage::kMachinePrefix + name);
  drop_garbage();
}

}  // namespace larkroad::coordination
