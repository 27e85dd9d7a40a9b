#include "coordination/scheduling/ready_tasks.hpp"

#include <map>

namespace larkroad::coordination {
namespace {

// The size of a placed task in a record, with names and numbers of typical length.
constexpr size_t kTypicalTaskBytes = 32;

// Tracks how many more tasks the placement records of a job can hold, where that is limited.
class RecordCapacity {
 public:
  RecordCapacity(const ClusterState& cluster, const Job& job)
      : cluster_(cluster), job_(job), limited_(cluster.has_oversized_shards(job)) {}

  // Adds the task; false when it does not fit into its record.
  bool add(std::uint32_t task) {
    if (!limited_) return true;
    const std::uint32_t shard = job_.shard_of(task);
    const auto [left, added] = tasks_left_.try_emplace(shard, 0);
    if (added) left->second = cluster_.record_bytes_left(job_, shard) / kTypicalTaskBytes;
    if (left->second == 0) return false;
    --left->second;
    return true;
  }

 private:
  const ClusterState& cluster_;
  const Job& job_;
  bool limited_;
  std::map<std::uint32_t, size_t> tasks_left_;  // by shard
};

bool in_restart_backoff(const Job& job, std::uint32_t task, Seconds now) {
  const auto it = job.restarts.find(task);
  return it != job.restarts.end() && now < it->second.retry_at;
}

}  // namespace

std::vector<std::uint32_t> ready_tasks(const ClusterState& cluster, const Job& job,
                                       std::uint32_t max_tasks, Seconds now) {
  std::vector<std::uint32_t> out;
  RecordCapacity records(cluster, job);
  for (const std::uint32_t task : job.requeued) {
    if (out.size() >= max_tasks) return out;
    if (!in_restart_backoff(job, task, now) && records.add(task)) out.push_back(task);
  }
  for (std::uint32_t task = job.next_never_placed; task < job.spec.tasks && out.size() < max_tasks;
       ++task) {
    out.push_back(task);
  }
  return out;
}

}  // namespace larkroad::coordination
