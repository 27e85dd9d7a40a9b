#include "coordination/workers/command_dispatcher.hpp"

#include "log.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

using protocol::Command;
using protocol::CommandType;
using transport::Outcome;

// Timeout of a call to a worker, in heartbeat intervals. Equal to the 4 s that a worker waits for
// the response to a heartbeat.
constexpr double kCallTimeoutIntervals = 1.5;
// Commands for one machine are batched for this long, in heartbeat intervals. Each call costs the
// leader as much as a heartbeat, and a preemption for one job often stops a dozen tasks on the same
// machine.
constexpr double kBatchDelayIntervals = 1.0 / 200;
// Minimum time between two increases of the fencing token, in lease durations.
constexpr double kMinFencingPeriodLeases = 1.0 / 4;

// Whether the call has taken effect or never will, so that none of its launches is in transit.
bool is_outcome_known(Outcome outcome, int status) {
  if (outcome == Outcome::not_sent) return true;
  if (outcome != Outcome::answered) return false;
  return status == http_status::kOk || status == http_status::kConflict ||
         status == http_status::kBadRequest;
}

}  // namespace

CommandDispatcher::CommandDispatcher(transport::Clock& clock, transport::Client& client,
                                     ClusterState& cluster, const Settings& settings,
                                     Callbacks callbacks)
    : clock_(clock),
      client_(client),
      cluster_(cluster),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      scope_(clock) {}

void CommandDispatcher::restart() {
  scope_.restart();
  queued_commands_.clear();
  sending_scheduled_ = false;
  fencing_required_ = false;
  fencing_token_raised_at_ = clock_.now();
}

void CommandDispatcher::launch(Job& job, const std::vector<std::uint32_t>& tasks) {
  std::map<std::string, Commands> by_machine;
  for (const auto task : tasks) {
    Placement& placement = job.placements.at(task);
    Machine* machine = cluster_.find_machine(placement.machine);
    if (machine == nullptr || machine->incarnation != placement.incarnation ||
        machine->lease_expired || machine->restarted) {
      // The incarnation ended, or its worker restarted, while the placement record was written; no
      // command was sent.
      cluster_.unplace(job, task, clock_.now());
      callbacks_.request_scheduling_cycle();
      continue;
    }
    placement.stage = Placement::Stage::dispatched;
    machine->launches.add_call({{job.id(), task}, placement.attempt}, callbacks_.fencing_token());
    by_machine[placement.machine].push_back(
        {CommandType::launch, {job.id(), task}, placement.attempt, 0});
  }
  for (const auto& [machine_name, commands] : by_machine) queue(machine_name, commands);
}

void CommandDispatcher::queue(const std::string& machine_name, const Commands& commands) {
  const Machine& machine = *cluster_.find_machine(machine_name);
  QueuedCommands& queued = queued_commands_[machine_name];
  if (queued.incarnation != machine.incarnation) queued = {machine.incarnation, {}};
  queued.commands.insert(queued.commands.end(), commands.begin(), commands.end());
  if (sending_scheduled_) return;
  sending_scheduled_ = true;
  scope_.after(settings_.heartbeat_interval_s * kBatchDelayIntervals, [this] {
    sending_scheduled_ = false;
    send_queued();
  });
}

void CommandDispatcher::send_queued() {
  const auto queued_by_machine = std::exchange(queued_commands_, {});
  for (const auto& [machine_name, queued] : queued_by_machine) {
    Machine* machine = cluster_.find_machine(machine_name);
    // Commands for an earlier incarnation must not reach the current one.
    if (machine == nullptr || machine->incarnation != queued.incarnation) continue;
    Commands commands = queued.commands;
    drop_stale_launches(*machine, commands);
    for (const auto& command : commands) {
      if (command.type != CommandType::launch) continue;
      // Sent under the current token, which may have been raised since the launch was queued.
      machine->launches.add_call({command.id, command.attempt}, callbacks_.fencing_token());
      spdlog::debug("launch sent directly: task={} attempt={} machine={} fencing_token={}",
                    command.id.text(), command.attempt, machine_name, callbacks_.fencing_token());
    }
    if (!commands.empty()) send(*machine, commands);
  }
}

// Drops launches of tasks that lost their placement after the launch was queued, as they may be
// starting on another machine, and all launches if the leader's lease has expired. None of them was
// sent, so their outcome is known. A task that still has its placement is later reported absent and
// launched in the response to a heartbeat.
void CommandDispatcher::drop_stale_launches(Machine& machine, Commands& commands) {
  for (const auto& command : commands) {
    if (!is_stale_launch(machine, command)) continue;
    machine.launches.call_dropped({command.id, command.attempt});
  }
  std::erase_if(commands,
                [&](const Command& command) { return is_stale_launch(machine, command); });
}

bool CommandDispatcher::is_stale_launch(const Machine& machine, const Command& command) const {
  if (command.type != CommandType::launch) return false;
  if (!callbacks_.is_leader() || machine.restarted) return true;
  const Job* job = std::as_const(cluster_).job(command.id.job);
  if (job == nullptr) return true;
  const auto it = job->placements.find(command.id.task);
  if (it == job->placements.end()) return true;
  const Placement& placement = it->second;
  return placement.machine != machine.name || placement.attempt != command.attempt ||
         placement.incarnation != machine.incarnation;
}

void CommandDispatcher::send(const Machine& machine, const Commands& commands) {
  ++sent_call_count_;
  transport::Request request{
      "POST", protocol::kCommandsPath,
      protocol::encode_commands(callbacks_.fencing_token(), machine.incarnation, commands)};
  client_.call(
      machine.address, std::move(request), settings_.heartbeat_interval_s * kCallTimeoutIntervals,
      scope_.wrap([this, target = Target{machine.name, machine.incarnation, machine.sequence},
                   commands](Outcome outcome, const transport::Response& response) {
        handle_reply(target, commands, outcome, response);
      }));
}

void CommandDispatcher::handle_reply(const Target& target, const Commands& commands,
                                     Outcome outcome, const transport::Response& response) {
  Machine* machine = cluster_.find_machine(target.machine);
  if (machine == nullptr) return;
  resolve_launches(*machine, commands, outcome, response.status);
  const bool answered = outcome == Outcome::answered && (response.status == http_status::kOk ||
                                                         response.status == http_status::kConflict);
  if (!answered) {
    spdlog::debug("command unanswered: machine={}", target.machine);
    callbacks_.machine_unanswered(*machine);
    return;
  }
  callbacks_.machine_answered(*machine);
  std::optional<Commands> kills = process_status_reply(target, response.body);
  if (!kills || response.status != http_status::kOk) return;
  // All other resulting commands are sent in the response to the worker's next heartbeat.
  std::erase_if(*kills, [](const Command& command) { return command.type != CommandType::kill; });
  if (!kills->empty()) queue(target.machine, *kills);
}

bool CommandDispatcher::has_restarted(const Target& target, const Machine& machine,
                                      const protocol::Heartbeat& status) const {
  return status.incarnation == target.incarnation && machine.incarnation == target.incarnation &&
         status.sequence <= target.sequence;
}

// Processes the status returned by a worker and returns the resulting commands; none if the status
// is malformed or proves that there is a newer leader.
std::optional<Commands> CommandDispatcher::process_status_reply(const Target& target,
                                                                const std::string& status) const {
  try {
    const auto heartbeat = protocol::parse_heartbeat(status);
    Machine* machine = cluster_.find_machine(target.machine);
    if (machine != nullptr && has_restarted(target, *machine, heartbeat)) {
      callbacks_.worker_restarted(*machine);
    }
    if (heartbeat.fencing_token > callbacks_.fencing_token()) {
      callbacks_.observe_fencing_token(heartbeat.fencing_token);
      return std::nullopt;
    }
    return callbacks_.process_heartbeat(heartbeat);
  } catch (const std::exception& error) {
    spdlog::error("malformed status: machine={} error=\"{}\"", target.machine, error.what());
    return std::nullopt;
  }
}

void CommandDispatcher::resolve_launches(Machine& machine, const Commands& commands,
                                         Outcome outcome, int status) {
  const bool resolved = is_outcome_known(outcome, status);
  for (const auto& command : commands) {
    if (command.type != CommandType::launch) continue;
    spdlog::debug("direct launch {}: task={} attempt={} machine={}",
                  resolved ? "resolved" : "unanswered", command.id.text(), command.attempt,
                  machine.name);
    if (resolved) {
      machine.launches.call_answered({command.id, command.attempt});
    } else {
      machine.launches.call_unanswered({command.id, command.attempt});
    }
  }
}

void CommandDispatcher::query_status(Machine& machine) {
  machine.status_queried_at = clock_.now();
  if (machine.restarted) {
    send(machine, {});
    return;
  }
  client_.call(
      machine.address, {"GET", protocol::kInspectPath, ""}, settings_.heartbeat_interval_s,
      scope_.wrap([this, target = Target{machine.name, machine.incarnation, machine.sequence}](
                      Outcome outcome, const transport::Response& response) {
        if (outcome != Outcome::answered || response.status != http_status::kOk) return;
        if (Machine* answering = cluster_.find_machine(target.machine)) {
          callbacks_.machine_answered(*answering);
        }
        // The resulting commands are sent in the response to the worker's next heartbeat.
        if (process_status_reply(target, response.body)) callbacks_.request_scheduling_cycle();
      }));
}

void CommandDispatcher::require_fencing_of(const Machine& machine, const LaunchKey& launch) {
  const auto call_token = machine.launches.unresolved_call_token(launch);
  if (call_token && *call_token >= callbacks_.fencing_token()) require_fencing();
}

void CommandDispatcher::raise_fencing_token_if_due() {
  if (!fencing_required_) return;
  const Seconds now = clock_.now();
  if (now - fencing_token_raised_at_ <= settings_.lease_s * kMinFencingPeriodLeases) return;
  fencing_required_ = false;
  fencing_token_raised_at_ = now;
  callbacks_.raise_fencing_token();
}

}  // namespace larkroad::coordination
