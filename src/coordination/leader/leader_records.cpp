// Jobs and their records.
#include <algorithm>

#include "coordination/leader/leader.hpp"
#include "log.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;

// A record that is too large at present is looked at again after this part of the report interval.
constexpr double kTooLargeRatio = 1.0 / 4;
// What the service refuses as too large, although it fits the limits that are known, is tried again
// after this many report intervals.
constexpr double kRefusedReports = 4;

}  // namespace

void Leader::cancel_job(Job& job) {
  if (!job.cancelled) spdlog::info("job {} is cancelled", job.id());
  job.cancelled = true;
  gang_reservations_.release(job.id());
  std::vector<std::uint32_t> never_sent;
  std::vector<std::uint32_t> sent;
  for (auto& [task, placement] : job.placements) {
    if (placement.stage == Placement::Stage::persisting) {
      // While its transaction is under way the answer decides; it can no longer succeed unless
      // it came before the cancellation, and then nothing is launched.
      if (!job.write_in_flight) never_sent.push_back(task);
    } else {
      sent.push_back(task);
    }
  }
  for (const auto task : never_sent) cluster_.unplace(job, task, clock_.now());
  for (const auto task : sent) {
    const auto it = job.placements.find(task);
    if (it != job.placements.end()) stop(job, it->second, 0);
  }
  persist(job);
}

void Leader::persist(Job& job) {
  if (job.write_in_flight || !ready_ || !election_.is_leader()) return;
  if (job.is_finished() && job.cancelled_by_peer) {
    job.write_in_flight = true;  // until its record has been read: nothing is written by hearsay
    refresh_job(job.id());
    return;
  }
  if (job.is_finished()) {
    finish_job(job);
    return;
  }
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, election_.fencing_token()});
  txn.preconditions.push_back({storage::job_key(job.id()), job.revision});
  std::vector<std::uint32_t> shards;
  std::vector<storage::PlacedTask> recorded;
  std::vector<std::uint32_t> done;
  size_t bytes = 0;
  const double value_bytes = settings_.lasting_store_limits().value_bytes();
  for (auto& [number, shard] : job.shards) {
    if (!shard.dirty || clock_.now() < shard.write_at) continue;
    if (static_cast<int>(shards.size()) >= transaction_changes_ ||
        bytes > transport::kBodyLimit / 2) {
      break;
    }
    const std::string key = storage::placement_key(job.id(), number);
    storage::Json record = storage::encode(cluster_.placement_record(job, number));
    const size_t size = storage::encoded_size(record);
    if (static_cast<double>(size) > value_bytes) {
      // Only of a job that was accepted under larger limits. What has ended stays on the workers
      // until it is recorded, and the record becomes smaller with each end.
      shard.write_at = clock_.now() + settings_.heartbeat_interval_s * kTooLargeRatio;
      continue;
    }
    txn.preconditions.push_back({key, shard.revision});
    txn.writes.push_back({key, std::move(record), std::nullopt});
    bytes += size + key.size() + 64;
    shards.push_back(number);
    shard.dirty = false;
    const std::uint32_t first = number * job.tasks_per_shard;
    const std::uint32_t end = first + job.tasks_per_shard;
    for (auto p = job.placements.lower_bound(first); p != job.placements.end() && p->first < end;
         ++p) {
      if (p->second.stage == Placement::Stage::persisting) {
        recorded.push_back({p->first, p->second.attempt, p->second.machine, p->second.incarnation});
      }
    }
    for (auto d = job.unpersisted_done.lower_bound(first);
         d != job.unpersisted_done.end() && *d < end; ++d) {
      done.push_back(*d);
    }
  }
  if (shards.empty()) return;
  job.write_in_flight = true;
  const bool low = job.effective_priority() == protocol::Priority::low;
  store_.commit_until_certain(
      std::move(txn), scope_.is_current(),
      scope_.wrap([this, id = job.id(), shards, recorded, done](const storage::CommitReply& reply) {
        persisted(id, shards, recorded, done, reply);
      }),
      low ? storage::RequestPriority::bulk : storage::RequestPriority::scheduling);
}

void Leader::persisted(const std::string& id, const std::vector<std::uint32_t>& shards,
                       const std::vector<storage::PlacedTask>& recorded,
                       const std::vector<std::uint32_t>& done, const storage::CommitReply& reply) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return;
  job->write_in_flight = false;
  if (reply.status != Status::ok) {
    for (const auto number : shards) job->shards[number].dirty = true;  // at once, as before
    if (reply.status == Status::conflict && reply.failed_machines(storage::job_key(id))) {
      job->write_in_flight = true;  // until its record has been read again
      refresh_job(id);
      return;
    }
    if (reply.status == Status::conflict && reply.failed_machines(storage::kLeaderKey)) {
      // Either this node raised its own token meanwhile, or it no longer leads and will hear so.
      scope_.after(settings_.heartbeat_interval_s * kRetryRatio, [this, id] {
        if (Job* again = cluster_.job(id)) persist(*again);
      });
      return;
    }
    if (reply.status == Status::invalid) {
      handle_size_refusal(*job, shards);
      return;
    }
    spdlog::error("records of {} could not be written", id);
    election_.resign("a record is not what this leader wrote");
    return;
  }
  for (const auto number : shards) job->shards[number].revision = reply.revision;
  for (const auto task : done) job->unpersisted_done.erase(task);
  std::vector<std::uint32_t> launches;
  for (const auto& written : recorded) {
    // A task of a gang may have been placed elsewhere meanwhile, with the same attempt: that place
    // is not what has become durable.
    const auto it = job->placements.find(written.task);
    if (it == job->placements.end() || it->second.stage != Placement::Stage::persisting ||
        it->second.attempt != written.attempt || it->second.machine != written.machine ||
        it->second.incarnation != written.incarnation) {
      continue;
    }
    it->second.stage = Placement::Stage::persisted;
    launches.push_back(written.task);
  }
  if (job->cancelled) {
    // Recorded, but nothing was sent and nothing will be.
    for (const auto task : launches) cluster_.unplace(*job, task, clock_.now());
    launches.clear();
  }
  if (job->spec.is_gang()) {
    // All starts go in one round, once every record of the gang is durable.
    launches.clear();
    for (const auto& [task, placement] : job->placements) {
      if (placement.stage == Placement::Stage::persisting) {
        persist(*job);
        return;
      }
      // What an earlier leader placed is not launched anew as it stands; see absent().
      if (placement.stage == Placement::Stage::persisted && !placement.stopping &&
          !placement.recovered) {
        launches.push_back(task);
      }
    }
  }
  if (!launches.empty() && election_.is_leader()) launch(*job, launches);
  persist(*job);
  request_plan();
}

void Leader::finish_job(Job& job) {
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, election_.fencing_token()});
  txn.preconditions.push_back({storage::job_key(job.id()), job.revision});
  // A cancelled job stays cancelled, even if its last task was done before it could be stopped:
  // its user has been told.
  txn.writes.push_back({storage::finished_key(job.id()),
                        storage::encode(storage::FinishedRecord{job.cancelled, job.spec.tasks}),
                        std::nullopt});
  txn.deletes.push_back(storage::job_key(job.id()));
  std::vector<std::string> rest;
  for (const auto& [number, shard] : job.shards) {
    if (shard.revision == 0) continue;
    const std::string key = storage::placement_key(job.id(), number);
    if (static_cast<int>(txn.changes()) < transaction_changes_) {
      txn.deletes.push_back(key);
    } else {
      rest.push_back(key);
    }
  }
  job.write_in_flight = true;
  store_.commit_until_certain(
      std::move(txn), scope_.is_current(),
      scope_.wrap([this, id = job.id(), rest](const storage::CommitReply& reply) {
        Job* job = cluster_.job(id);
        if (job == nullptr) return;
        if (reply.status == Status::ok) {
          spdlog::info("job {} is {}", id, job->cancelled ? "cancelled" : "done");
          garbage_.insert(garbage_.end(), rest.begin(), rest.end());
          finished_[id] = reply.revision;
          cluster_.remove_job(id);
          drop_garbage();
          request_plan();
          return;
        }
        if (reply.status == Status::conflict && reply.failed_machines(storage::job_key(id))) {
          refresh_job(id);
          return;
        }
        const bool refused = reply.status == Status::invalid;
        if (refused) handle_size_refusal(*job, {});
        scope_.after(settings_.heartbeat_interval_s * (refused ? kRefusedReports : kRetryRatio),
                     [this, id] {
                       Job* again = cluster_.job(id);
                       if (again == nullptr) return;
                       again->write_in_flight = false;
                       persist(*again);
                     });
      }));
}

// The service takes less than its limits say. Its answer is certain: nothing was carried out. The
// next transactions are smaller; a single record that is refused is tried again now and then, as
// the others of its job must not wait for it.
void Leader::handle_size_refusal(Job& job, const std::vector<std::uint32_t>& shards) {
  if (transaction_changes_ > 1) {
    transaction_changes_ = std::max(1, transaction_changes_ / 2);
    spdlog::error("state service refuses a transaction of {}: {} changes in one from now on",
                  job.id(), transaction_changes_);
    return;
  }
  spdlog::error("state service refuses a record of {}", job.id());
  for (const auto number : shards) {
    job.shards[number].write_at = clock_.now() + settings_.heartbeat_interval_s * kRefusedReports;
  }
}

// Only while nothing of the job is placed and none of its tasks is done: each record then says the
// same whatever range of tasks it is taken for, so that the job's own record is all that changes.
// A controller of the first version reads it like any other.
void Leader::shrink_shards(Job& job) {
  if (!cluster_.has_oversized_shards(job) || !job.placements.empty() || job.done_count > 0 ||
      job.cancelled || !ready_ || !election_.is_leader()) {
    return;
  }
  const StoreLimits limits = settings_.lasting_store_limits();
  const std::uint32_t tasks_per_shard = storage::max_tasks_per_shard(limits.value_kb);
  const storage::JobRecord record{job.spec, job.submitted_at, tasks_per_shard, false};
  if (!storage::can_be_cancelled_within(record, limits.value_bytes())) return;
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, election_.fencing_token()});
  txn.preconditions.push_back({storage::job_key(job.id()), job.revision});
  txn.writes.push_back({storage::job_key(job.id()), storage::encode(record), std::nullopt});
  job.write_in_flight = true;
  store_.commit_until_certain(
      std::move(txn), scope_.is_current(),
      scope_.wrap([this, id = job.id(), tasks_per_shard](const storage::CommitReply& reply) {
        Job* shrunk = cluster_.job(id);
        if (shrunk == nullptr) return;
        if (reply.status == Status::conflict && reply.failed_machines(storage::job_key(id))) {
          refresh_job(id);
          return;
        }
        shrunk->write_in_flight = false;
        if (reply.status == Status::ok) shards_shrunk(*shrunk, tasks_per_shard, reply.revision);
        persist(*shrunk);
        request_plan();
      }));
}

void Leader::shards_shrunk(Job& job, std::uint32_t tasks_per_shard, std::uint64_t revision) {
  spdlog::info("job {}: {} tasks share a record from now on", job.id(), tasks_per_shard);
  job.tasks_per_shard = tasks_per_shard;
  job.revision = revision;
}

void Leader::drop_garbage() {
  if (dropping_ || garbage_.empty() || !election_.is_leader()) return;
  dropping_ = true;
  storage::Transaction txn;
  txn.preconditions.push_back({storage::kLeaderKey, election_.fencing_token()});
  while (!garbage_.empty() && static_cast<int>(txn.changes()) < transaction_changes_) {
    txn.deletes.push_back(std::move(garbage_.back()));
    garbage_.pop_back();
  }
  store_.commit(txn, scope_.wrap([this, keys = txn.deletes](const storage::CommitReply& reply) {
    dropping_ = false;
    if (reply.status != Status::ok) garbage_.insert(garbage_.end(), keys.begin(), keys.end());
    // What is left of jobs that are over has no hurry.
    if (!garbage_.empty()) scope_.after(settings_.heartbeat_interval_s, [this] { drop_garbage(); });
  }),
                storage::RequestPriority::background);
}

// What machines hold outlives a leader only for the sake of speed: it is written when nothing
// else waits for the state service, some machines at a time.
void Leader::record_images() {
  if (recording_images_ || !election_.is_leader()) return;
  storage::Transaction txn;
  std::vector<std::string> names;
  txn.preconditions.push_back({storage::kLeaderKey, election_.fencing_token()});
  for (auto& [name, machine] : cluster_.machines()) {
    if (!machine.images_changed) continue;
    if (static_cast<int>(txn.changes()) >= transaction_changes_) break;
    std::vector<std::pair<Seconds, std::pair<std::string, double>>> by_use;
    for (const auto& [image, entry] : machine.images) {
      by_use.push_back({entry.second, {image, entry.first}});
    }
    std::sort(by_use.begin(), by_use.end());
    storage::Images images;
    for (auto& [used, image] : by_use) images.push_back(std::move(image));
    const double value_bytes = settings_.lasting_store_limits().value_bytes();
    while (images.size() > 1 && !storage::fits_value(storage::encode(images), value_bytes)) {
      images.erase(images.begin());
    }
    machine.images_changed = false;
    names.push_back(name);
    txn.writes.push_back({storage::kMachinePrefix + name, storage::encode(images), std::nullopt});
  }
  if (names.empty()) return;
  recording_images_ = true;
  store_.commit(txn, scope_.wrap([this, names](const storage::CommitReply& reply) {
    recording_images_ = false;
    if (reply.status == Status::ok) return;
    for (const auto& name : names) {
      if (Machine* machine = cluster_.find_machine(name)) machine->images_changed = true;
    }
  }),
                storage::RequestPriority::background);
}

void Leader::task_gone(Job& job, std::uint32_t task, const std::string& why) {
  spdlog::info("task {}/{} is gone: {}", job.id(), task, why);
  const auto it = job.placements.find(task);
  const bool gang = job.spec.is_gang() && job.spec.tasks > 1;
  const bool fell_apart = gang && job.gang_started && it != job.placements.end();
  cluster_.unplace(job, task, clock_.now());
  if (fell_apart) abort_gang_attempt(job, why);
  if (job.cancelled && job.is_finished()) persist(job);
  request_plan();
}

void Leader::abort_gang_attempt(Job& job, const std::string& why) {
  if (job.placements.empty() || job.cancelled) return;
  if (!job.gang_aborting) spdlog::info("gang {} ends its attempt: {}", job.id(), why);
  job.gang_aborting = true;
  std::vector<std::uint32_t> never_sent;
  for (auto& [task, placement] : job.placements) {
    if (placement.stage == Placement::Stage::persisting && !job.write_in_flight) {
      never_sent.push_back(task);
    } else if (placement.stage != Placement::Stage::persisting) {
      stop(job, placement, 0);
    }
  }
  for (const auto task : never_sent) cluster_.unplace(job, task, clock_.now());
}

}  // namespace larkroad::coordination
