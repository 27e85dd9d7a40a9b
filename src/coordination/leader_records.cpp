// Jobs and their records.
#include <algorithm>

#include "coordination/leader.hpp"
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
  holds_.release(job.id());
  std::vector<std::uint32_t> unsent;
  std::vector<std::uint32_t> sent;
  for (auto& [task, placement] : job.live) {
    if (placement.stage == Placement::Stage::recording) {
      // While its transaction is under way the answer decides; it can no longer succeed unless
      // it came before the cancellation, and then nothing is launched.
      if (!job.busy) unsent.push_back(task);
    } else {
      sent.push_back(task);
    }
  }
  for (const auto task : unsent) cluster_.unplace(job, task, clock_.now());
  for (const auto task : sent) {
    const auto it = job.live.find(task);
    if (it != job.live.end()) stop(job, it->second, 0);
  }
  sync(job);
}

void Leader::sync(Job& job) {
  if (job.busy || !ready_ || !election_.leads()) return;
  if (job.over() && job.cancelled_by_peer) {
    job.busy = true;  // until its record has been read: nothing is written by hearsay
    refresh_job(job.id());
    return;
  }
  if (job.over()) {
    finish_job(job);
    return;
  }
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  txn.guards.push_back({storage::job_key(job.id()), job.mark});
  std::vector<std::uint32_t> chunks;
  std::vector<storage::PlacedTask> recorded;
  std::vector<std::uint32_t> done;
  size_t bytes = 0;
  const double value_bytes = settings_.lasting_state_limits().value_bytes();
  for (auto& [number, chunk] : job.chunks) {
    if (!chunk.dirty || clock_.now() < chunk.write_at) continue;
    if (static_cast<int>(chunks.size()) >= transaction_changes_ ||
        bytes > transport::kBodyLimit / 2) {
      break;
    }
    const std::string key = storage::placement_key(job.id(), number);
    storage::Json record = storage::encode(cluster_.chunk_record(job, number));
    const size_t size = storage::encoded_size(record);
    if (static_cast<double>(size) > value_bytes) {
      // Only of a job that was accepted under larger limits. What has ended stays on the workers
      // until it is recorded, and the record becomes smaller with each end.
      chunk.write_at = clock_.now() + settings_.report_s * kTooLargeRatio;
      continue;
    }
    txn.guards.push_back({key, chunk.mark});
    txn.writes.push_back({key, std::move(record), std::nullopt});
    bytes += size + key.size() + 64;
    chunks.push_back(number);
    chunk.dirty = false;
    const std::uint32_t first = number * job.chunk_tasks;
    const std::uint32_t end = first + job.chunk_tasks;
    for (auto p = job.live.lower_bound(first); p != job.live.end() && p->first < end; ++p) {
      if (p->second.stage == Placement::Stage::recording) {
        recorded.push_back({p->first, p->second.attempt, p->second.machine, p->second.session});
      }
    }
    for (auto d = job.unrecorded_done.lower_bound(first);
         d != job.unrecorded_done.end() && *d < end; ++d) {
      done.push_back(*d);
    }
  }
  if (chunks.empty()) return;
  job.busy = true;
  const bool low = job.standing() == protocol::Priority::low;
  state_.settle(
      std::move(txn), [this, epoch = epoch_] { return epoch == epoch_; },
      guarded([this, id = job.id(), chunks, recorded, done](const storage::CommitReply& reply) {
        synced(id, chunks, recorded, done, reply);
      }),
      low ? storage::Use::bulk : storage::Use::work);
}

void Leader::synced(const std::string& id, const std::vector<std::uint32_t>& chunks,
                    const std::vector<storage::PlacedTask>& recorded,
                    const std::vector<std::uint32_t>& done, const storage::CommitReply& reply) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return;
  job->busy = false;
  if (reply.status != Status::ok) {
    for (const auto number : chunks) job->chunks[number].dirty = true;  // at once, as before
    if (reply.status == Status::conflict && reply.failed_on(storage::job_key(id))) {
      job->busy = true;  // until its record has been read again
      refresh_job(id);
      return;
    }
    if (reply.status == Status::conflict && reply.failed_on(storage::kLeaderKey)) {
      // Either this node raised its own token meanwhile, or it no longer leads and will hear so.
      later(settings_.report_s * kTickRatio, [this, id] {
        if (Job* again = cluster_.job(id)) sync(*again);
      });
      return;
    }
    if (reply.status == Status::invalid) {
      refused_as_too_large(*job, chunks);
      return;
    }
    spdlog::error("records of {} could not be written", id);
    election_.resign("a record is not what this leader wrote");
    return;
  }
  for (const auto number : chunks) job->chunks[number].mark = reply.revision;
  for (const auto task : done) job->unrecorded_done.erase(task);
  std::vector<std::uint32_t> launches;
  for (const auto& written : recorded) {
    // A task of a gang may have been placed elsewhere meanwhile, with the same attempt: that place
    // is not what has become durable.
    const auto it = job->live.find(written.task);
    if (it == job->live.end() || it->second.stage != Placement::Stage::recording ||
        it->second.attempt != written.attempt || it->second.machine != written.machine ||
        it->second.session != written.session) {
      continue;
    }
    it->second.stage = Placement::Stage::recorded;
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
    for (const auto& [task, placement] : job->live) {
      if (placement.stage == Placement::Stage::recording) {
        sync(*job);
        return;
      }
      // What an earlier leader placed is not launched anew as it stands; see absent().
      if (placement.stage == Placement::Stage::recorded && !placement.stopping &&
          !placement.inherited) {
        launches.push_back(task);
      }
    }
  }
  if (!launches.empty() && election_.leads()) launch(*job, launches);
  sync(*job);
  request_plan();
}

void Leader::finish_job(Job& job) {
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  txn.guards.push_back({storage::job_key(job.id()), job.mark});
  // A cancelled job stays cancelled, even if its last task was done before it could be stopped:
  // its user has been told.
  txn.writes.push_back({storage::finished_key(job.id()),
                        storage::encode(storage::FinishedRecord{job.cancelled, job.spec.tasks}),
                        std::nullopt});
  txn.drops.push_back(storage::job_key(job.id()));
  std::vector<std::string> rest;
  for (const auto& [number, chunk] : job.chunks) {
    if (chunk.mark == 0) continue;
    const std::string key = storage::placement_key(job.id(), number);
    if (static_cast<int>(txn.changes()) < transaction_changes_) {
      txn.drops.push_back(key);
    } else {
      rest.push_back(key);
    }
  }
  job.busy = true;
  state_.settle(
      std::move(txn), [this, epoch = epoch_] { return epoch == epoch_; },
      guarded([this, id = job.id(), rest](const storage::CommitReply& reply) {
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
        if (reply.status == Status::conflict && reply.failed_on(storage::job_key(id))) {
          refresh_job(id);
          return;
        }
        const bool refused = reply.status == Status::invalid;
        if (refused) refused_as_too_large(*job, {});
        later(settings_.report_s * (refused ? kRefusedReports : kTickRatio), [this, id] {
          Job* again = cluster_.job(id);
          if (again == nullptr) return;
          again->busy = false;
          sync(*again);
        });
      }));
}

// The service takes less than its limits say. Its answer is certain: nothing was carried out. The
// next transactions are smaller; a single record that is refused is tried again now and then, as
// the others of its job must not wait for it.
void Leader::refused_as_too_large(Job& job, const std::vector<std::uint32_t>& chunks) {
  if (transaction_changes_ > 1) {
    transaction_changes_ = std::max(1, transaction_changes_ / 2);
    spdlog::error("state service refuses a transaction of {}: {} changes in one from now on",
                  job.id(), transaction_changes_);
    return;
  }
  spdlog::error("state service refuses a record of {}", job.id());
  for (const auto number : chunks) {
    job.chunks[number].write_at = clock_.now() + settings_.report_s * kRefusedReports;
  }
}

// Only while nothing of the job is placed and none of its tasks is done: each record then says the
// same whatever range of tasks it is taken for, so that the job's own record is all that changes.
// A controller of the first version reads it like any other.
void Leader::shrink_chunks(Job& job) {
  if (!cluster_.has_large_chunks(job) || !job.live.empty() || job.done_count > 0 || job.cancelled ||
      !ready_ || !election_.leads()) {
    return;
  }
  const StateLimits limits = settings_.lasting_state_limits();
  const std::uint32_t chunk_tasks = storage::tasks_per_chunk(limits.value_kb);
  const storage::JobRecord record{job.spec, job.submitted_at, chunk_tasks, false};
  if (!storage::can_be_cancelled_within(record, limits.value_bytes())) return;
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  txn.guards.push_back({storage::job_key(job.id()), job.mark});
  txn.writes.push_back({storage::job_key(job.id()), storage::encode(record), std::nullopt});
  job.busy = true;
  state_.settle(
      std::move(txn), [this, epoch = epoch_] { return epoch == epoch_; },
      guarded([this, id = job.id(), chunk_tasks](const storage::CommitReply& reply) {
        Job* shrunk = cluster_.job(id);
        if (shrunk == nullptr) return;
        if (reply.status == Status::conflict && reply.failed_on(storage::job_key(id))) {
          refresh_job(id);
          return;
        }
        shrunk->busy = false;
        if (reply.status == Status::ok) chunks_shrunk(*shrunk, chunk_tasks, reply.revision);
        sync(*shrunk);
        request_plan();
      }));
}

void Leader::chunks_shrunk(Job& job, std::uint32_t chunk_tasks, std::uint64_t revision) {
  spdlog::info("job {}: {} tasks share a record from now on", job.id(), chunk_tasks);
  job.chunk_tasks = chunk_tasks;
  job.mark = revision;
}

void Leader::drop_garbage() {
  if (dropping_ || garbage_.empty() || !election_.leads()) return;
  dropping_ = true;
  storage::Transaction txn;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
  while (!garbage_.empty() && static_cast<int>(txn.changes()) < transaction_changes_) {
    txn.drops.push_back(std::move(garbage_.back()));
    garbage_.pop_back();
  }
  state_.commit(txn, guarded([this, keys = txn.drops](const storage::CommitReply& reply) {
                  dropping_ = false;
                  if (reply.status != Status::ok)
                    garbage_.insert(garbage_.end(), keys.begin(), keys.end());
                  // What is left of jobs that are over has no hurry.
                  if (!garbage_.empty()) later(settings_.report_s, [this] { drop_garbage(); });
                }),
                storage::Use::help);
}

// What machines hold outlives a leader only for the sake of speed: it is written when nothing
// else waits for the state service, some machines at a time.
void Leader::record_images() {
  if (recording_images_ || !election_.leads()) return;
  storage::Transaction txn;
  std::vector<std::string> names;
  txn.guards.push_back({storage::kLeaderKey, election_.token()});
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
    const double value_bytes = settings_.lasting_state_limits().value_bytes();
    while (images.size() > 1 && !storage::fits_value(storage::encode(images), value_bytes)) {
      images.erase(images.begin());
    }
    machine.images_changed = false;
    names.push_back(name);
    txn.writes.push_back({storage::kMachinePrefix + name, storage::encode(images), std::nullopt});
  }
  if (names.empty()) return;
  recording_images_ = true;
  state_.commit(txn, guarded([this, names](const storage::CommitReply& reply) {
                  recording_images_ = false;
                  if (reply.status == Status::ok) return;
                  for (const auto& name : names) {
                    if (Machine* machine = cluster_.find_machine(name))
                      machine->images_changed = true;
                  }
                }),
                storage::Use::help);
}

void Leader::gone(Job& job, std::uint32_t task, const std::string& why) {
  spdlog::info("task {}/{} is gone: {}", job.id(), task, why);
  const auto it = job.live.find(task);
  const bool gang = job.spec.is_gang() && job.spec.tasks > 1;
  const bool fell_apart = gang && job.gang_started && it != job.live.end();
  cluster_.unplace(job, task, clock_.now());
  if (fell_apart) break_gang(job, why);
  if (job.cancelled && job.over()) sync(job);
  request_plan();
}

void Leader::break_gang(Job& job, const std::string& why) {
  if (job.live.empty() || job.cancelled) return;
  if (!job.gang_broken) spdlog::info("gang {} ends its attempt: {}", job.id(), why);
  job.gang_broken = true;
  std::vector<std::uint32_t> unsent;
  for (auto& [task, placement] : job.live) {
    if (placement.stage == Placement::Stage::recording && !job.busy) {
      unsent.push_back(task);
    } else if (placement.stage != Placement::Stage::recording) {
      stop(job, placement, 0);
    }
  }
  for (const auto task : unsent) cluster_.unplace(job, task, clock_.now());
}

}  // namespace larkroad::coordination
