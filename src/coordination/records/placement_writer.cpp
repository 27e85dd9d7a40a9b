#include "coordination/records/placement_writer.hpp"

#include <algorithm>

#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::CommitReply;
using storage::Status;
using storage::Transaction;
using Stage = Placement::Stage;

// The delay before retrying after a transient failure, as a fraction of the heartbeat interval.
constexpr double kRetryRatio = 1.0 / 10;
// The delay before checking an oversized record again, as a fraction of the heartbeat interval.
constexpr double kOversizedRetryRatio = 1.0 / 4;
// The delay before retrying a write that the store rejected as too large although it is within the
// known limits, in heartbeat intervals.
constexpr double kRejectedRetryIntervals = 4;
// An upper bound on the bytes that a change adds to a transaction besides its key and record.
constexpr size_t kChangeOverheadBytes = 64;
// No further record is added to a transaction that exceeds this size, in bytes.
constexpr size_t kTransactionByteThreshold = transport::kBodyLimit / 2;

}  // namespace

PlacementWriter::PlacementWriter(transport::Clock& clock, storage::KeyValueClient& store,
                                 Leadership& leadership, const Settings& settings,
                                 TransactionLimit& limit, ClusterState& cluster,
                                 GarbageCollector& garbage_collector, Callbacks callbacks)
    : clock_(clock),
      store_(store),
      leadership_(leadership),
      settings_(settings),
      limit_(limit),
      cluster_(cluster),
      garbage_collector_(garbage_collector),
      callbacks_(std::move(callbacks)),
      scope_(clock) {}

void PlacementWriter::begin_term() {
  scope_.restart();
  started_ = false;
}

void PlacementWriter::end_term() {
  scope_.restart();
  started_ = false;
}

Transaction PlacementWriter::new_transaction(const Job& job) const {
  Transaction transaction;
  transaction.preconditions.push_back({storage::kLeaderKey, leadership_.fencing_token()});
  transaction.preconditions.push_back({storage::job_key(job.id()), job.revision});
  return transaction;
}

bool PlacementWriter::is_job_conflict(const std::string& id, const CommitReply& reply) {
  return reply.status == Status::conflict && reply.failed_on(storage::job_key(id));
}

void PlacementWriter::persist_after(Seconds delay, const std::string& id,
                                    bool clear_write_in_flight) {
  scope_.after(delay, [this, id, clear_write_in_flight] {
    Job* job = cluster_.job(id);
    if (job == nullptr) return;
    if (clear_write_in_flight) job->write_in_flight = false;
    persist(*job);
  });
}

// --------------------------------------------------------------------------------- Placements

void PlacementWriter::persist(Job& job) {
  if (job.write_in_flight || !can_write()) return;
  if (job.is_finished() && job.cancelled_by_peer) {
    // A peer's announcement is not authoritative, so the job's record is read first.
    job.write_in_flight = true;
    callbacks_.refresh_job(job.id());
    return;
  }
  if (job.is_finished()) {
    finish(job);
    return;
  }
  Transaction transaction = new_transaction(job);
  Batch batch;
  add_dirty_shards(job, transaction, batch);
  if (batch.shards.empty()) return;
  job.write_in_flight = true;
  const bool low = job.effective_priority() == protocol::Priority::low;
  store_.commit_until_certain(
      std::move(transaction), scope_.is_current(),
      scope_.wrap([this, id = job.id(), batch](const CommitReply& reply) {
        handle_write_reply(id, batch, reply);
      }),
      low ? storage::RequestPriority::bulk : storage::RequestPriority::scheduling);
}

void PlacementWriter::add_dirty_shards(Job& job, Transaction& transaction, Batch& batch) {
  const double value_bytes = settings_.strictest_store_limits().value_bytes();
  const Seconds now = clock_.now();
  size_t bytes = 0;
  for (auto& [number, shard] : job.shards) {
    if (!shard.dirty || now < shard.write_at) continue;
    if (!limit_.has_room(transaction) || bytes > kTransactionByteThreshold) break;
    const std::string key = storage::placement_key(job.id(), number);
    storage::Json record = storage::encode(ClusterState::placement_record(job, number));
    const size_t size = storage::encoded_size(record);
    if (static_cast<double>(size) > value_bytes) {
      // Happens only for a job that was accepted under larger limits. Workers keep ended tasks
      // until these are recorded, and the record shrinks with each task that ends.
      shard.write_at = now + settings_.heartbeat_interval_s * kOversizedRetryRatio;
      continue;
    }
    transaction.preconditions.push_back({key, shard.revision});
    transaction.writes.push_back({key, std::move(record), std::nullopt});
    bytes += size + key.size() + kChangeOverheadBytes;
    shard.dirty = false;
    add_shard_contents(job, number, batch);
  }
}

void PlacementWriter::add_shard_contents(const Job& job, std::uint32_t shard, Batch& batch) {
  const std::uint32_t first = shard * job.tasks_per_shard;
  const std::uint32_t end = first + job.tasks_per_shard;
  batch.shards.push_back(shard);
  for (auto it = job.placements.lower_bound(first); it != job.placements.end() && it->first < end;
       ++it) {
    const Placement& placement = it->second;
    if (placement.stage != Stage::persisting) continue;
    batch.placed.push_back(
        {it->first, placement.attempt, placement.machine, placement.incarnation});
  }
  for (auto it = job.unpersisted_done.lower_bound(first);
       it != job.unpersisted_done.end() && *it < end; ++it) {
    batch.done.push_back(*it);
  }
}

void PlacementWriter::handle_write_reply(const std::string& id, const Batch& batch,
                                         const CommitReply& reply) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return;
  job->write_in_flight = false;
  if (reply.status == Status::ok) {
    write_succeeded(*job, batch, reply.revision);
  } else {
    write_failed(*job, batch, reply);
  }
}

void PlacementWriter::write_failed(Job& job, const Batch& batch, const CommitReply& reply) {
  // `write_at` is kept, so these shards are written again without further delay.
  for (const auto number : batch.shards) job.shards[number].dirty = true;
  if (is_job_conflict(job.id(), reply)) {
    job.write_in_flight = true;  // until the job's record has been read again
    callbacks_.refresh_job(job.id());
    return;
  }
  if (reply.status == Status::conflict && reply.failed_on(storage::kLeaderKey)) {
    // Either this controller raised its own token in the meantime, or it has lost leadership and
    // will be notified.
    persist_after(settings_.heartbeat_interval_s * kRetryRatio, job.id(), false);
    return;
  }
  if (reply.status == Status::invalid) {
    handle_size_rejection(job, batch.shards);
    return;
  }
  std::string changed_keys;
  for (const std::string& key : reply.failed) {
    changed_keys += (changed_keys.empty() ? "" : ", ") + key;
  }
  spdlog::error("placement write failed: job={}", job.id());
  leadership_.resign("stored records of job " + job.id() +
                     " differ from what this leader last wrote or read: " + changed_keys);
}

void PlacementWriter::write_succeeded(Job& job, const Batch& batch, std::uint64_t revision) {
  for (const auto number : batch.shards) job.shards[number].revision = revision;
  for (const auto task : batch.done) job.unpersisted_done.erase(task);
  std::vector<std::uint32_t> launches = mark_persisted(job, batch.placed);
  if (job.cancelled) {
    // The placements are recorded, but no launch has been sent and none will be.
    for (const auto task : launches) cluster_.unplace(job, task, clock_.now());
    launches.clear();
  }
  if (job.spec.is_gang()) {
    // The launches of a gang are sent together, once all of its records are durable.
    if (has_unpersisted_placements(job)) {
      persist(job);
      return;
    }
    launches = gang_launches(job);
  }
  if (!launches.empty() && leadership_.is_leader()) callbacks_.launch(job, launches);
  persist(job);
  callbacks_.request_scheduling_cycle();
}

// Marks the placements that are still the ones that became durable, and returns their tasks. In the
// meantime, a gang task may have been placed on another machine in the same attempt.
std::vector<std::uint32_t> PlacementWriter::mark_persisted(
    Job& job, const std::vector<storage::PlacedTask>& placed) {
  std::vector<std::uint32_t> tasks;
  for (const auto& written : placed) {
    const auto it = job.placements.find(written.task);
    if (it == job.placements.end()) continue;
    Placement& placement = it->second;
    if (placement.stage != Stage::persisting || placement.attempt != written.attempt ||
        placement.machine != written.machine || placement.incarnation != written.incarnation) {
      continue;
    }
    placement.stage = Stage::persisted;
    tasks.push_back(written.task);
  }
  return tasks;
}

bool PlacementWriter::has_unpersisted_placements(const Job& job) {
  return std::any_of(job.placements.begin(), job.placements.end(),
                     [](const auto& entry) { return entry.second.stage == Stage::persisting; });
}

// Placements of an earlier leader are not launched again, because their capacity may have been
// reassigned. Such a task is requeued once its worker is known not to run it.
std::vector<std::uint32_t> PlacementWriter::gang_launches(const Job& job) {
  std::vector<std::uint32_t> tasks;
  for (const auto& [task, placement] : job.placements) {
    if (placement.stage == Stage::persisted && !placement.stopping && !placement.recovered) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

// Handles a store that accepts less than its configured limits. The rejection is definite: nothing
// was applied. Later transactions are smaller. A single record that is rejected is retried at a low
// rate, so that the other records of its job are not delayed.
void PlacementWriter::handle_size_rejection(Job& job, const std::vector<std::uint32_t>& shards) {
  if (limit_.lower()) {
    spdlog::error("transaction rejected by the store as too large: job={} max_changes={}", job.id(),
                  limit_.max_changes());
    return;
  }
  spdlog::error("record rejected by the store as too large: job={}", job.id());
  for (const auto number : shards) {
    job.shards[number].write_at =
        clock_.now() + settings_.heartbeat_interval_s * kRejectedRetryIntervals;
  }
}

// ------------------------------------------------------------------------------ Finished jobs

void PlacementWriter::finish(Job& job) {
  Transaction transaction = new_transaction(job);
  // A cancelled job is recorded as cancelled even if its last task completed before it could be
  // stopped, because the user has already been told so.
  transaction.writes.push_back(
      {storage::finished_key(job.id()),
       storage::encode(storage::FinishedRecord{job.cancelled, job.spec.tasks}), std::nullopt});
  transaction.deletes.push_back(storage::job_key(job.id()));
  std::vector<std::string> remaining_keys;
  for (const auto& [number, shard] : job.shards) {
    if (shard.revision == 0) continue;
    const std::string key = storage::placement_key(job.id(), number);
    if (limit_.has_room(transaction)) {
      transaction.deletes.push_back(key);
    } else {
      remaining_keys.push_back(key);
    }
  }
  job.write_in_flight = true;
  store_.commit_until_certain(
      std::move(transaction), scope_.is_current(),
      scope_.wrap([this, id = job.id(), remaining_keys](const CommitReply& reply) {
        handle_finish_reply(id, remaining_keys, reply);
      }));
}

void PlacementWriter::handle_finish_reply(const std::string& id,
                                          const std::vector<std::string>& remaining_keys,
                                          const CommitReply& reply) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return;
  if (reply.status == Status::ok) {
    finish_succeeded(*job, remaining_keys, reply.revision);
    return;
  }
  if (is_job_conflict(id, reply)) {
    callbacks_.refresh_job(id);
    return;
  }
  const bool rejected = reply.status == Status::invalid;
  if (rejected) handle_size_rejection(*job, {});
  persist_after(settings_.heartbeat_interval_s * (rejected ? kRejectedRetryIntervals : kRetryRatio),
                id, true);
}

void PlacementWriter::finish_succeeded(Job& job, const std::vector<std::string>& remaining_keys,
                                       std::uint64_t revision) {
  const std::string id = job.id();
  spdlog::info("job finished: job={} outcome={}", id, job.cancelled ? "cancelled" : "done");
  garbage_collector_.add(remaining_keys);
  callbacks_.job_finished(id, revision);
  cluster_.remove_job(id);
  garbage_collector_.collect();
  callbacks_.request_scheduling_cycle();
}

// --------------------------------------------------------------------------- Shard shrinking

// While no task of the job is placed or done, its placement records are valid for any range of
// tasks, so only the job's own record has to change. Controllers of the first version can read the
// changed record.
void PlacementWriter::shrink_shards(Job& job) {
  if (!cluster_.has_oversized_shards(job) || !job.placements.empty() || job.done_count > 0 ||
      job.cancelled || !can_write()) {
    return;
  }
  const StoreLimits limits = settings_.strictest_store_limits();
  const std::uint32_t tasks_per_shard = storage::max_tasks_per_shard(limits.value_kb);
  const storage::JobRecord record{job.spec, job.submitted_at, tasks_per_shard, false};
  if (!storage::cancelled_record_fits(record, limits.value_bytes())) return;
  Transaction transaction = new_transaction(job);
  transaction.writes.push_back({storage::job_key(job.id()), storage::encode(record), std::nullopt});
  job.write_in_flight = true;
  store_.commit_until_certain(
      std::move(transaction), scope_.is_current(),
      scope_.wrap([this, id = job.id(), tasks_per_shard](const CommitReply& reply) {
        handle_shrink_reply(id, tasks_per_shard, reply);
      }));
}

void PlacementWriter::handle_shrink_reply(const std::string& id, std::uint32_t tasks_per_shard,
                                          const CommitReply& reply) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return;
  if (is_job_conflict(id, reply)) {
    callbacks_.refresh_job(id);
    return;
  }
  job->write_in_flight = false;
  if (reply.status == Status::ok) {
    spdlog::info("placement shards shrunk: job={} tasks_per_shard={}", id, tasks_per_shard);
    job->tasks_per_shard = tasks_per_shard;
    job->revision = reply.revision;
  }
  persist(*job);
  callbacks_.request_scheduling_cycle();
}

}  // namespace larkroad::coordination
