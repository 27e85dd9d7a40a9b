#include "coordination/scheduling/ready_tasks.hpp"

#include <map>

namespace larkroad::coordination {
namespace {

// A placed task in a record, with common lengths of names and numbers.
constexpr size_t kCommonTaskBytes = 32;

// Counts how many more tasks the records of a job take, where that is limited.
class RecordRoom {
 public:
  RecordRoom(const ClusterState& cluster, const Job& job)
      : cluster_(cluster), job_(job), limited_(cluster.has_oversized_shards(job)) {}

  bool take(std::uint32_t task) {
    if (!limited_) return true;
    const std::uint32_t shard = job_.shard_of(task);
    const auto [left, made] = left_.try_emplace(shard, 0);
    if (made) left->second = cluster_.record_bytes_left(job_, shard) / kCommonTaskBytes;
    if (left->second == 0) return false;
    --left->second;
    return true;
  }

 private:
  const ClusterState& cluster_;
  const Job& job_;
  bool limited_;
  std::map<std::uint32_t, size_t> left_;  // by shard
};

bool waits_after_ends(const Job& job, std::uint32_t task, Seconds now) {
  const auto it = job.restarts.find(task);
  return it != job.restarts.end() && now < it->second.retry_at;
}

}  // namespace

std::vector<std::uint32_t> ready_tasks(const ClusterState& cluster, const Job& job,
                                       std::uint32_t most, Seconds now) {
  std::vector<std::uint32_t> out;
  RecordRoom records(cluster, job);
  for (const std::uint32_t task : job.requeued) {
    if (out.size() >= most) return out;
    if (!waits_after_ends(job, task, now) && records.take(task)) out.push_back(task);
  }
  for (std::uint32_t task = job.next_never_placed; task < job.spec.tasks && out.size() < most;
       ++task) {
    out.push_back(task);
  }
  return out;
}

}  // namespace larkroad::coordination
