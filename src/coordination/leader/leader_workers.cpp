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

// A worker gives up on an answer after 4 s; so does a direct command, in reports.
constexpr double kDirectRatio = 1.5;
// Commands for one machine are gathered for this part of the report interval. Each call costs the
// leader as much as a report, and one job's room is often made by stopping a dozen tasks of a
// machine.
constexpr double kGatherRatio = 1.0 / 200;
// Tasks that fail on a machine, with none that succeeds, before it is put aside; and the evidence
// that the jobs of these must give together.
constexpr int kMachineFailures = 3;
constexpr int kEvidence = 6;
constexpr int kFailingJobWeight = 2;
constexpr int kFailsEverywhereWeight = 1;
// So many tasks in a row that fail at their start, of jobs that start elsewhere, put a machine
// aside.
constexpr int kFailedStarts = 2;
// An error or a refusal keeps a job or a machine waiting for this many reports.
constexpr double kPauseReports = 1;
constexpr double kLongestPauseReports = 16;
// A service's replica that has run for this many reports counts as a success.
constexpr double kProvenReports = 4;
// So many failures in a row of one replica may be its machines' fault.
constexpr int kBlamedEnds = 2;
// So few machines may all be gone at once; of more the silence says something of this node.
constexpr int kFewMachines = 4;
// Exited tasks that a machine keeps for want of a higher token, before that is raised for them.
constexpr int kKeptMost = 6;

// The pause after one more failure than so many in a row, in reports.
double pause_reports(int failures) {
  return std::min(kPauseReports * (1 << std::min(failures, 4)), kLongestPauseReports);
}

// Whether a report tells more than what is known of its machine.
bool newer(const protocol::Heartbeat& heartbeat, const Machine& machine) {
  return std::tie(heartbeat.incarnation, heartbeat.sequence) >
         std::tie(machine.incarnation, machine.sequence);
}

}  // namespace

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
    if (!election_.is_leader()) {
      // Past its lease it keeps what runs alive and stops what must end, but starts nothing.
      std::erase_if(commands, [](const Command& c) { return c.type != CommandType::kill; });
    }
  }
  return {200, protocol::encode_heartbeat_response(election_.fencing_token(), commands), 0, true};
}

Seconds Leader::unreachable_by_workers_since() const {
  Seconds newest = ready_at_;
  int there = 0;
  for (const auto& [name, machine] : cluster_.machines()) {
    if (!machine.has_reported || machine.lease_expired) continue;
    ++there;
    newest = std::max(newest, machine.last_heartbeat_at);
  }
  return ready_ && there >= kFewMachines ? newest : -1;
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
    election_.observe_fencing_token(heartbeat.fencing_token);
    if (!election_.may_answer_heartbeats()) {
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

Leader::Commands Leader::process(const protocol::Heartbeat& heartbeat, From from) {
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
    drain(machine, *heartbeat.reclaim_notice_s);
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
      suspect_unreachable(machine);
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
        std::max(machine.lease_renewed_at, begun_at_ + election_.grace_period());
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
      if (doubt->second.answer_to == 0) want_fence(doubt->second);
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
    job->note_start(machine.name);
    machine.failed_starts = 0;
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
    if (job->spec.is_service()) replica_proven_running(machine, *job, *placement);
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
    if (++machine.retained_exits > kKeptMost) fence_wanted_ = true;
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
        replica_ended(job, job.placements.at(task.id.task));
        break;
      }
      machine.failures = 0;
      machine.failed_jobs.clear();
      if (const auto& p = job.placements.at(task.id.task); p.running_since >= 0) {
        cluster_.learn_run(job.spec, now - p.running_since);
      }
      cluster_.finish(job, task.id.task, now);
      persist(job);
      request_plan();
      return;
    case ExitCause::error:
      failed(machine, job, job.placements.at(task.id.task));
      break;
    case ExitCause::full:
      machine.refused_until = now + settings_.heartbeat_interval_s * kPauseReports;
      break;
    case ExitCause::busy:
    case ExitCause::unknown:
      back_off(job);
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

void Leader::failed(Machine& machine, Job& job, const Placement& placement) {
  const bool at_its_start = placement.state == TaskState::fetching;
  if (!at_its_start) job.started_machines.clear();
  // A task that fails at its start, of a job whose tasks start elsewhere: the machine is at fault,
  // and the job need not wait.
  if (at_its_start && job.started_elsewhere_than(machine.name)) {
    job.failed_machines.insert(machine.name);
    if (++machine.failed_starts >= kFailedStarts) quarantine(machine);
    return;
  }
  if (job.spec.is_service()) {
    // One that fails again and again is itself at fault, though others of its job run.
    if (job.restarts[placement.task].ends < kBlamedEnds) blame(machine, job);
    replica_ended(job, placement);
  } else {
    blame(machine, job);
    back_off(job);
  }
}

void Leader::quarantine(Machine& machine) {
  if (machine.quarantined) return;
  spdlog::info("machine {} is put aside: every task fails on it", machine.name);
  machine.quarantined = true;
}

// Mostly the machine is faulty. But a job that was submitted with a mistake fails wherever it runs,
// and its failures say little of the machines. So a machine is suspected when several jobs fail on
// it with none that succeeds, or a few tasks of one that succeeds elsewhere. Jobs that fail
// everywhere count for less, though not for nothing: where many machines are faulty, sound jobs
// seem to be so.
void Leader::blame(Machine& machine, Job& job) {
  const bool known = job.fails_everywhere();
  job.failed_machines.insert(machine.name);
  if (!known && job.fails_everywhere()) {
    spdlog::info("job {} fails everywhere: one of its tasks is tried now and then", job.id());
  }
  ++machine.failures;
  machine.failed_jobs.insert(job.id());
  if (machine.failures < kMachineFailures || machine.quarantined) return;
  int evidence = 0;
  for (const auto& id : machine.failed_jobs) {
    const Job* other = cluster_.job(id);
    if (other == nullptr) continue;
    if (other->succeeds_elsewhere_than(machine.name)) evidence += kEvidence;
    evidence += other->fails_everywhere() ? kFailsEverywhereWeight : kFailingJobWeight;
  }
  if (evidence >= kEvidence) quarantine(machine);
}

// A replica that has run for a while shows that neither its job nor its machine is at fault.
void Leader::replica_proven_running(Machine& machine, Job& job, Placement& replica) {
  const Seconds runs = clock_.now() - replica.running_since;
  if (replica.proven || runs < settings_.heartbeat_interval_s * kProvenReports) return;
  replica.proven = true;
  job.restarts.erase(replica.task);
  job.failures = 0;
  job.failed_machines.clear();
  machine.failures = 0;
  machine.failed_jobs.clear();
}

// A replica that has ended by itself starts again at once; one that does so time after time waits
// in between, longer each time. The other replicas of its job are not held up.
void Leader::replica_ended(Job& job, const Placement& replica) {
  ReplicaRestarts& restarts = job.restarts[replica.task];
  if (restarts.ends > 0) {
    restarts.retry_at =
        clock_.now() + settings_.heartbeat_interval_s * pause_reports(restarts.ends - 1);
  }
  ++restarts.ends;
}

void Leader::back_off(Job& job) {
  job.retry_at = clock_.now() + settings_.heartbeat_interval_s * pause_reports(job.failures);
  ++job.failures;
}

void Leader::absent(Machine& machine, Job& job, Placement& placement, From from,
                    Commands& commands) {
  const auto key = std::make_pair(TaskId{job.id(), placement.task}, placement.attempt);
  const auto doubt = machine.unresolved_launches.find(key);
  const bool in_doubt = doubt != machine.unresolved_launches.end();
  if (placement.stopping || job.cancelled) {
    if (in_doubt) {
      // A launch may still arrive: a higher token closes the door, once the worker has seen it.
      if (!doubt->second.pending) want_fence(doubt->second);
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

// A higher token closes the door on a launch in doubt once the worker has seen it. Raising it again
// for a worker that has not seen the last one would help nobody.
void Leader::want_fence(const UnresolvedLaunch& doubt) {
  if (doubt.fencing_token >= election_.fencing_token()) fence_wanted_ = true;
}

// Nothing seems to reach this machine, though its reports come. Nothing more is placed there until
// it has answered; see scale for what becomes of it if it never does.
void Leader::suspect_unreachable(Machine& machine) {
  if (machine.unreachable_since >= 0) return;
  machine.unreachable_since = clock_.now();
  spdlog::info("machine {} reports, but does not seem to hear", machine.name);
}

void Leader::reached_again(Machine& machine) {
  machine.identity_confirmed = true;
  if (machine.unreachable_since < 0) return;
  machine.unreachable_since = -1;
  request_plan();
}

void Leader::stop(Job& job, Placement& placement, double grace_s) {
  const Seconds now = clock_.now();
  if (placement.stopping && placement.grace_s <= grace_s) return;
  placement.stopping = true;
  placement.grace_s = grace_s;
  Machine* machine = cluster_.find_machine(placement.machine);
  if (machine == nullptr || machine->address.empty()) return;
  placement.stop_sent = now;
  queue_commands(placement.machine,
                 {{CommandType::kill, {job.id(), placement.task}, placement.attempt, grace_s}});
}

// Long enough to save, with a report's worth to spare for a slow machine.
double Leader::grace(const Job& job) const {
  return job.spec.save_s + settings_.heartbeat_interval_s;
}

void Leader::launch(Job& job, const std::vector<std::uint32_t>& tasks) {
  std::map<std::string, Commands> by_machine;
  for (const auto task : tasks) {
    Placement& placement = job.placements.at(task);
    Machine* machine = cluster_.find_machine(placement.machine);
    if (machine == nullptr || machine->incarnation != placement.incarnation ||
        machine->lease_expired) {
      // Its machine's session ended while the record was written; nothing was sent.
      cluster_.unplace(job, task, clock_.now());
      request_plan();
      continue;
    }
    placement.stage = Placement::Stage::dispatched;
    machine->unresolved_launches[{{job.id(), task}, placement.attempt}] = {
        election_.fencing_token(), true};
    machine->direct_launches[{{job.id(), task}, placement.attempt}] = election_.fencing_token();
    by_machine[placement.machine].push_back(
        {CommandType::launch, {job.id(), task}, placement.attempt, 0});
  }
  for (const auto& [machine, commands] : by_machine) queue_commands(machine, commands);
}

void Leader::queue_commands(const std::string& name, const Commands& commands) {
  const Machine& machine = *cluster_.find_machine(name);
  QueuedCommands& queued = queued_commands_[name];
  if (queued.incarnation != machine.incarnation) queued = {machine.incarnation, {}};
  queued.commands.insert(queued.commands.end(), commands.begin(), commands.end());
  if (sending_armed_) return;
  sending_armed_ = true;
  scope_.after(settings_.heartbeat_interval_s * kGatherRatio, [this] {
    sending_armed_ = false;
    send_queued_commands();
  });
}

void Leader::send_queued_commands() {
  const auto queued = std::move(queued_commands_);
  queued_commands_.clear();
  for (const auto& [name, waiting] : queued) {
    Machine* machine = cluster_.find_machine(name);
    // What was meant for a session that is over must not reach the next one.
    if (machine == nullptr || machine->incarnation != waiting.incarnation) continue;
    Commands commands = waiting.commands;
    drop_stale_launches(*machine, commands);
    for (const auto& command : commands) {
      if (command.type != CommandType::launch) continue;
      // It goes under the present token, which may have been raised since it was queued.
      const auto key = std::make_pair(command.id, command.attempt);
      machine->unresolved_launches[key] = {election_.fencing_token(), true};
      machine->direct_launches[key] = election_.fencing_token();
    }
    if (!commands.empty()) send_commands(name, commands);
  }
}

// Leaves out launches of what has lost its place since they were queued: it may be on its way to
// another machine. Past its lease the leader starts nothing at all. Neither was sent, so nothing of
// it is in doubt; a task that still has its place is found absent later and launched by an answer
// to a report.
void Leader::drop_stale_launches(Machine& machine, Commands& commands) {
  const auto stale = [&](const Command& command) {
    if (command.type != CommandType::launch) return false;
    if (!election_.is_leader()) return true;
    const Job* job = cluster_.job(command.id.job);
    if (job == nullptr) return true;
    const auto it = job->placements.find(command.id.task);
    return it == job->placements.end() || it->second.machine != machine.name ||
           it->second.attempt != command.attempt || it->second.incarnation != machine.incarnation;
  };
  for (const auto& command : commands) {
    if (!stale(command)) continue;
    machine.unresolved_launches.erase({command.id, command.attempt});
    machine.direct_launches.erase({command.id, command.attempt});
  }
  std::erase_if(commands, stale);
}

void Leader::send_commands(const std::string& name, const Commands& commands) {
  const Machine& machine = *cluster_.find_machine(name);
  ++activity_.direct_calls;
  transport::Request request{
      "POST", protocol::kCommandsPath,
      protocol::encode_commands(election_.fencing_token(), machine.incarnation, commands)};
  client_.call(
      machine.address, std::move(request), settings_.heartbeat_interval_s * kDirectRatio,
      scope_.wrap([this, name, commands](transport::Outcome outcome, transport::Response response) {
        commands_answered(name, commands, outcome, response);
      }));
}

void Leader::settle_launches(Machine& machine, const Commands& commands, transport::Outcome outcome,
                             int status) {
  const bool settled = outcome == transport::Outcome::not_sent ||
                       (outcome == transport::Outcome::answered &&
                        (status == 200 || status == 409 || status == 400));
  for (const auto& command : commands) {
    if (command.type != CommandType::launch) continue;
    const auto doubt = machine.unresolved_launches.find({command.id, command.attempt});
    if (doubt == machine.unresolved_launches.end()) continue;
    if (settled) {
      machine.unresolved_launches.erase(doubt);
    } else {
      doubt->second.pending = false;
    }
  }
}

void Leader::commands_answered(const std::string& name, const Commands& commands,
                               transport::Outcome outcome, const transport::Response& response) {
  Machine* machine = cluster_.find_machine(name);
  if (machine == nullptr) return;
  settle_launches(*machine, commands, outcome, response.status);
  const bool answered =
      outcome == transport::Outcome::answered && (response.status == 200 || response.status == 409);
  if (!answered) {
    spdlog::debug("machine {} gave no answer to a command", name);
    if (machine->last_heartbeat_at > clock_.now() - 2 * settings_.heartbeat_interval_s)
      suspect_unreachable(*machine);
    return;
  }
  reached_again(*machine);
  try {
    const auto heartbeat = protocol::parse_heartbeat(response.body);
    if (heartbeat.fencing_token > election_.fencing_token()) {
      election_.observe_fencing_token(heartbeat.fencing_token);
      return;
    }
    // Commands that follow from this wait for the worker's own report.
    Commands stops = process(heartbeat, From::call);
    std::erase_if(stops, [](const Command& command) { return command.type != CommandType::kill; });
    if (!stops.empty() && response.status == 200) queue_commands(name, stops);
  } catch (const std::exception& error) {
    spdlog::error("machine {}: {}", name, error.what());
  }
}

void Leader::inspect(Machine& machine) {
  machine.inspected_at = clock_.now();
  client_.call(machine.address, {"GET", protocol::kInspectPath, ""}, settings_.heartbeat_interval_s,
               scope_.wrap([this, name = machine.name](transport::Outcome outcome,
                                                       transport::Response response) {
                 if (outcome != transport::Outcome::answered || response.status != 200) return;
                 if (Machine* there = cluster_.find_machine(name)) reached_again(*there);
                 try {
                   const auto heartbeat = protocol::parse_heartbeat(response.body);
                   if (heartbeat.fencing_token > election_.fencing_token()) {
                     election_.observe_fencing_token(heartbeat.fencing_token);
                     return;
                   }
                   process(heartbeat, From::call);
                   request_plan();
                 } catch (const std::exception& error) {
                   spdlog::error("machine {}: {}", name, error.what());
                 }
               }));
}

void Leader::drain(Machine& machine, double reclaim_notice_s) {
  const Seconds now = clock_.now();
  machine.reclaimed_at = now + reclaim_notice_s;
  spdlog::info("machine {} will be taken in {:.1f} s", machine.name, reclaim_notice_s);
  const auto tasks = machine.tasks;
  for (const auto& id : tasks) {
    Job* job = cluster_.job(id.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(id.task);
    if (it == job->placements.end() || it->second.stage != Placement::Stage::acknowledged) continue;
    if (job->spec.is_gang() && job->spec.tasks > 1) {
      // An orderly stop: all members, with the same grace, in one round.
      for (auto& [task, placement] : job->placements) {
        if (placement.stage == Placement::Stage::acknowledged) stop(*job, placement, grace(*job));
      }
    } else if (job->spec.is_service()) {
      request_plan();  // the planner finds room for it first
    } else if (job->spec.checkpoint_s > 0 || it->second.state != TaskState::running) {
      stop(*job, it->second, grace(*job));
    }
  }
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
