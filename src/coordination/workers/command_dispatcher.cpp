#include "coordination/workers/command_dispatcher.hpp"

#include "log.hpp"

namespace larkroad::coordination {
namespace {

using protocol::Command;
using protocol::CommandType;
using transport::Outcome;

// A worker waits 4 s for the answer to a heartbeat; a call to it waits as long, in heartbeat
// intervals.
constexpr double kCallTimeoutIntervals = 1.5;
// Commands for one machine are gathered for this part of the heartbeat interval. Each call costs
// the leader as much as a heartbeat, and room for one job is often made by stopping a dozen tasks
// of a machine.
constexpr double kGatherIntervals = 1.0 / 200;
// The fencing token is raised at most once in this part of a lease.
constexpr double kFencingLeases = 1.0 / 4;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;

// Whether a call has taken effect or never will, so that no launch of it is still under way.
bool is_resolved(Outcome outcome, int status) {
  if (outcome == Outcome::not_sent) return true;
  if (outcome != Outcome::answered) return false;
  return status == kStatusOk || status == kStatusConflict || status == kStatusBadRequest;
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
  fenced_at_ = clock_.now();
}

void CommandDispatcher::launch(Job& job, const std::vector<std::uint32_t>& tasks) {
  std::map<std::string, Commands> by_machine;
  for (const auto task : tasks) {
    Placement& placement = job.placements.at(task);
    Machine* machine = cluster_.find_machine(placement.machine);
    if (machine == nullptr || machine->incarnation != placement.incarnation ||
        machine->lease_expired) {
      // Its incarnation ended while the record was written; nothing was sent.
      cluster_.unplace(job, task, clock_.now());
      callbacks_.request_plan();
      continue;
    }
    placement.stage = Placement::Stage::dispatched;
    record_launch(*machine, {{job.id(), task}, placement.attempt});
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
  scope_.after(settings_.heartbeat_interval_s * kGatherIntervals, [this] {
    sending_scheduled_ = false;
    send_queued();
  });
}

void CommandDispatcher::send_queued() {
  const auto queued = std::exchange(queued_commands_, {});
  for (const auto& [machine_name, waiting] : queued) {
    Machine* machine = cluster_.find_machine(machine_name);
    // What was meant for an incarnation that is over must not reach the next one.
    if (machine == nullptr || machine->incarnation != waiting.incarnation) continue;
    Commands commands = waiting.commands;
    drop_stale_launches(*machine, commands);
    for (const auto& command : commands) {
      if (command.type != CommandType::launch) continue;
      // It goes under the present token, which may have been raised since it was queued.
      record_launch(*machine, {command.id, command.attempt});
    }
    if (!commands.empty()) send(*machine, commands);
  }
}

void CommandDispatcher::record_launch(Machine& machine, const LaunchKey& launch) const {
  const std::uint64_t fencing_token = callbacks_.fencing_token();
  machine.unresolved_launches[launch] = {fencing_token, true};
  machine.direct_launches[launch] = fencing_token;
}

// Leaves out launches of tasks that have lost their placement since they were queued: they may be
// on their way to another machine. Past its lease the leader starts nothing at all. Neither was
// sent, so their outcome is known; a task that still has its placement is found absent later and
// launched by the response to a heartbeat.
void CommandDispatcher::drop_stale_launches(Machine& machine, Commands& commands) {
  for (const auto& command : commands) {
    if (!is_stale_launch(machine, command)) continue;
    machine.unresolved_launches.erase({command.id, command.attempt});
    machine.direct_launches.erase({command.id, command.attempt});
  }
  std::erase_if(commands,
                [&](const Command& command) { return is_stale_launch(machine, command); });
}

bool CommandDispatcher::is_stale_launch(const Machine& machine, const Command& command) const {
  if (command.type != CommandType::launch) return false;
  if (!callbacks_.is_leader()) return true;
  const Job* job = std::as_const(cluster_).job(command.id.job);
  if (job == nullptr) return true;
  const auto it = job->placements.find(command.id.task);
  if (it == job->placements.end()) return true;
  const Placement& placement = it->second;
  return placement.machine != machine.name || placement.attempt != command.attempt ||
         placement.incarnation != machine.incarnation;
}

void CommandDispatcher::send(const Machine& machine, const Commands& commands) {
  ++sent_calls_;
  transport::Request request{
      "POST", protocol::kCommandsPath,
      protocol::encode_commands(callbacks_.fencing_token(), machine.incarnation, commands)};
  client_.call(machine.address, std::move(request),
               settings_.heartbeat_interval_s * kCallTimeoutIntervals,
               scope_.wrap([this, machine_name = machine.name, commands](
                               Outcome outcome, const transport::Response& response) {
                 handle_reply(machine_name, commands, outcome, response);
               }));
}

void CommandDispatcher::handle_reply(const std::string& machine_name, const Commands& commands,
                                     Outcome outcome, const transport::Response& response) {
  Machine* machine = cluster_.find_machine(machine_name);
  if (machine == nullptr) return;
  resolve_launches(*machine, commands, outcome, response.status);
  const bool answered = outcome == Outcome::answered &&
                        (response.status == kStatusOk || response.status == kStatusConflict);
  if (!answered) {
    spdlog::debug("command unanswered machine={}", machine_name);
    callbacks_.machine_unanswered(*machine);
    return;
  }
  callbacks_.machine_answered(*machine);
  std::optional<Commands> stops = process_status(machine_name, response.body);
  if (!stops || response.status != kStatusOk) return;
  // Other commands that follow from this wait for the worker's own heartbeat.
  std::erase_if(*stops, [](const Command& command) { return command.type != CommandType::kill; });
  if (!stops->empty()) queue(machine_name, *stops);
}

// Takes in the status that a worker returned; none when it is malformed or shows a newer leader.
std::optional<Commands> CommandDispatcher::process_status(const std::string& machine_name,
                                                          const std::string& status) const {
  try {
    const auto heartbeat = protocol::parse_heartbeat(status);
    if (heartbeat.fencing_token > callbacks_.fencing_token()) {
      callbacks_.observe_fencing_token(heartbeat.fencing_token);
      return std::nullopt;
    }
    return callbacks_.process_heartbeat(heartbeat);
  } catch (const std::exception& error) {
    spdlog::error("malformed status machine={} error=\"{}\"", machine_name, error.what());
    return std::nullopt;
  }
}

void CommandDispatcher::resolve_launches(Machine& machine, const Commands& commands,
                                         Outcome outcome, int status) {
  const bool resolved = is_resolved(outcome, status);
  for (const auto& command : commands) {
    if (command.type != CommandType::launch) continue;
    const auto launch = machine.unresolved_launches.find({command.id, command.attempt});
    if (launch == machine.unresolved_launches.end()) continue;
    if (resolved) {
      machine.unresolved_launches.erase(launch);
    } else {
      launch->second.pending = false;
    }
  }
}

void CommandDispatcher::query_status(Machine& machine) {
  machine.inspected_at = clock_.now();
  client_.call(machine.address, {"GET", protocol::kInspectPath, ""}, settings_.heartbeat_interval_s,
               scope_.wrap([this, machine_name = machine.name](
                               Outcome outcome, const transport::Response& response) {
                 if (outcome != Outcome::answered || response.status != kStatusOk) return;
                 if (Machine* answering = cluster_.find_machine(machine_name)) {
                   callbacks_.machine_answered(*answering);
                 }
                 // Commands that follow from this wait for the worker's own heartbeat.
                 if (process_status(machine_name, response.body)) callbacks_.request_plan();
               }));
}

void CommandDispatcher::require_fencing_of(const UnresolvedLaunch& launch) {
  if (launch.fencing_token >= callbacks_.fencing_token()) require_fencing();
}

void CommandDispatcher::raise_fencing_token_if_due() {
  if (!fencing_required_) return;
  const Seconds now = clock_.now();
  if (now - fenced_at_ <= settings_.lease_s * kFencingLeases) return;
  fencing_required_ = false;
  fenced_at_ = now;
  callbacks_.raise_fencing_token();
}

}  // namespace larkroad::coordination
