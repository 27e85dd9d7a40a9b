#include "sim/task_runtime.hpp"

#include "sim/world.hpp"

namespace larkroad::sim {

using Stage = FakeWorker::Stage;

bool TaskRuntime::end_task(const TaskId& id, const std::string& cause) {
  for (const auto& worker : world_.workers) {
    if (worker->terminated) continue;
    for (const auto& [key, task] : worker->tasks()) {
      if (key.first != id || task.stage != Stage::running) continue;
      worker->exit(FakeWorker::Key(key), cause);
      return true;
    }
  }
  return false;
}

std::uint32_t TaskRuntime::running_tasks(const std::string& job) const {
  std::uint32_t count = 0;
  for (const auto& worker : world_.workers) {
    if (worker->terminated) continue;
    for (const auto& [key, task] : worker->tasks()) {
      count += key.first.job == job && task.stage == Stage::running;
    }
  }
  return count;
}

size_t TaskRuntime::completed_tasks(const std::string& job) const {
  const auto it = completed_.find(job);
  return it == completed_.end() ? 0 : it->second.size();
}

bool TaskRuntime::is_completed(const TaskId& id) const {
  const auto it = completed_.find(id.job);
  return it != completed_.end() && it->second.contains(id.task);
}

void TaskRuntime::record_start(const TaskId& id) {
  starts_[id.job].emplace_back(world_.events.now(), id.task);
}

void TaskRuntime::start_gang_if_complete(const std::string& job, std::uint64_t attempt) {
  std::vector<std::pair<FakeWorker*, FakeWorker::Key>> members;
  for (const auto& worker : world_.workers) {
    if (worker->terminated) continue;
    for (const auto& [key, task] : worker->tasks()) {
      if (key.first.job == job && key.second == attempt && task.stage == Stage::gathering) {
        members.emplace_back(worker.get(), key);
      }
    }
  }
  if (members.size() < world_.users.spec(job)->tasks) return;
  for (const auto& [worker, key] : members) worker->run(key);
}

void TaskRuntime::complete(const TaskId& id, std::uint64_t attempt) {
  const JobSpec& spec = *world_.users.spec(id.job);
  for (std::uint32_t task = 0; task < spec.tasks; ++task) {
    if (!spec.is_gang() && task != id.task) continue;
    completed_[id.job].insert(task);
    world_.invariants.task_completed({id.job, task});
  }
  if (completed_tasks(id.job) == spec.tasks &&
      world_.random_fraction() < world_.faults.cancelled_on_completion) {
    world_.users.cancel(id.job);
  }
  for (const auto& worker : world_.workers) {
    if (worker->terminated) continue;
    const auto tasks = worker->tasks();
    for (const auto& [key, task] : tasks) {
      const bool same = spec.is_gang() ? key.first.job == id.job : key.first == id;
      if (same && key.second == attempt && task.stage == Stage::running) worker->exit(key, "done");
    }
  }
}

void TaskRuntime::on_gang_member_lost(const std::string& job, std::uint64_t attempt) {
  const JobSpec& spec = *world_.users.spec(job);
  if (!spec.is_gang() || spec.tasks == 1) return;
  const Seconds detected_at =
      world_.events.now() + world_.settings.gang_peer_s * world_.random_fraction();
  world_.events.schedule_at(detected_at, [this, job, attempt] { exit_gang_members(job, attempt); });
}

void TaskRuntime::exit_gang_members(const std::string& job, std::uint64_t attempt) {
  for (const auto& worker : world_.workers) {
    if (worker->terminated) continue;
    const auto tasks = worker->tasks();
    for (const auto& [key, task] : tasks) {
      const bool is_member = key.first.job == job && key.second == attempt;
      if (is_member && (task.stage == Stage::running || task.stage == Stage::saving)) {
        worker->exit(key, "mates_gone");
      }
    }
  }
}

}  // namespace larkroad::sim
