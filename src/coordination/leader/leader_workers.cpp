// What connects the classes of the workers' side with the rest of the leader.
#include <algorithm>

#include "coordination/leader/leader.hpp"
#include "log.hpp"

namespace larkroad::coordination {

CommandDispatcher::Callbacks Leader::command_dispatcher_callbacks() {
  return {
      .leads = [this] { return election_.leads(); },
      .fencing_token = [this] { return election_.fencing_token(); },
      .raise_fencing_token = [this] { election_.raise_fencing_token(); },
      .superseded = [this](std::uint64_t token) { election_.superseded(token); },
      .process_heartbeat =
          [this](const protocol::Heartbeat& heartbeat) {
            return heartbeat_processor_.process(heartbeat, HeartbeatSource::call_answer);
          },
      .machine_answered = [this](Machine& machine) { machine_health_.call_answered(machine); },
      .machine_unanswered = [this](Machine& machine) { machine_health_.call_unanswered(machine); },
      .request_plan = [this] { request_plan(); },
  };
}

MachineHealth::Callbacks Leader::machine_health_callbacks() {
  return {
      .end_incarnation =
          [this](Machine& machine) {
            task_reconciler_.end_incarnations_before(machine, machine.incarnation + 1);
          },
      .query_status = [this](Machine& machine) { command_dispatcher_.query_status(machine); },
      .release_machines =
          [this](const std::vector<std::string>& names) { release_machines(names); },
      .request_plan = [this] { request_plan(); },
  };
}

TaskReconciler::Callbacks Leader::task_reconciler_callbacks() {
  return {
      .persist = [this](Job& job) { persist(job); },
      .task_gone = [this](Job& job, std::uint32_t task,
                          const std::string& reason) { task_gone(job, task, reason); },
      .abort_gang_attempt = [this](Job& job,
                                   const std::string& reason) { abort_gang_attempt(job, reason); },
      .request_plan = [this] { request_plan(); },
  };
}

transport::Response Leader::handle_heartbeat(const protocol::Heartbeat& heartbeat,
                                             const std::string& via, RelayRoute route) {
  return heartbeat_endpoint_.handle(heartbeat, via, route, records_state());
}

std::vector<protocol::RelayedAnswer> Leader::handle_relayed_heartbeats(
    const protocol::RelayBatch& batch, RelayRoute route) {
  return heartbeat_endpoint_.handle_batch(batch, route, records_state());
}

Seconds Leader::unreachable_by_workers_since() const {
  if (!ready_) return -1;
  const auto newest = machine_health_.newest_heartbeat_at();
  return newest ? std::max(ready_at_, *newest) : -1;
}

// A machine that sends its first heartbeat holds the images that an earlier leader recorded.
void Leader::restore_images(Machine& machine) {
  const auto it = loaded_images_.find(machine.name);
  if (it == loaded_images_.end()) return;
  const Seconds now = clock_.now();
  for (const auto& [image, gb] : it->second) machine.images[image] = {gb, now};
  loaded_images_.erase(it);
}

void Leader::remove_machine(const std::string& name, const std::string& why) {
  Machine* machine = cluster_.find_machine(name);
  if (machine == nullptr) return;
  spdlog::info("machine gone machine={} reason=\"{}\"", name, why);
  removed_machines_[name] = clock_.now();
  all_gone(*machine, "machine " + name + " is gone");
  cluster_.remove_machine(name);
  garbage_.push_back(storage::kMachinePrefix + name);
  drop_garbage();
}

}  // namespace larkroad::coordination
