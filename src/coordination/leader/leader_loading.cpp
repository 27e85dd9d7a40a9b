// How a new leader learns what is recorded, and hears of changes by users.
#include <algorithm>

#include "coordination/leader/leader.hpp"
#include "log.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;

// A few pages that everything waits for. Behind users' questions, of which there may be many times
// as many as usual, they once took 48 s.
constexpr storage::RequestPriority kRecoveryPriority = storage::RequestPriority::lease;

}  // namespace

void Leader::load_jobs(const std::string& after) {
  if (watched_to_ == 0) loading_since_ = clock_.now();
  store_.list(storage::kJobPrefix, after, scope_.wrap([this, after](storage::ListReply reply) {
    if (reply.status != Status::ok) {
      scope_.after(settings_.heartbeat_interval_s * kRetryRatio,
                   [this, after] { load_jobs(after); });
      return;
    }
    // Changes since the first page are in the watch.
    if (watched_to_ == 0) watched_to_ = reply.revision;
    for (const auto& entry : reply.entries) {
      apply_job(entry.key.substr(std::string(storage::kJobPrefix).size()), entry.data,
                entry.revision);
    }
    if (reply.more && !reply.entries.empty()) {
      load_jobs(reply.entries.back().key);
    } else {
      load_placements("");
    }
  }),
              kRecoveryPriority);
}

void Leader::load_placements(const std::string& after) {
  store_.list(storage::kPlacementPrefix, after,
              scope_.wrap([this, after](storage::ListReply reply) {
                if (reply.status != Status::ok) {
                  scope_.after(settings_.heartbeat_interval_s * kRetryRatio,
                               [this, after] { load_placements(after); });
                  return;
                }
                for (auto& entry : reply.entries) loaded_placements_.push_back(std::move(entry));
                if (reply.more && !reply.entries.empty()) {
                  load_placements(loaded_placements_.back().key);
                } else {
                  load_images("");
                }
              }),
              kRecoveryPriority);
}

void Leader::load_images(const std::string& after) {
  store_.list(storage::kMachinePrefix, after, scope_.wrap([this, after](storage::ListReply reply) {
    if (reply.status != Status::ok) {
      scope_.after(settings_.heartbeat_interval_s * kRetryRatio,
                   [this, after] { load_images(after); });
      return;
    }
    for (const auto& entry : reply.entries) {
      const std::string name = entry.key.substr(std::string(storage::kMachinePrefix).size());
      try {
        loaded_images_[name] = storage::decode_images(entry.data);
      } catch (const std::exception& error) {
        spdlog::error("record {}: {}", entry.key, error.what());
      }
    }
    if (reply.more && !reply.entries.empty()) {
      load_images(reply.entries.back().key);
    } else {
      loaded();
    }
  }),
              kRecoveryPriority);
}

void Leader::loaded() {
  const Seconds now = clock_.now();
  size_t placed = 0;
  for (const auto& entry : loaded_placements_) {
    std::string id;
    std::uint32_t shard = 0;
    if (!storage::parse_placement_key(entry.key, id, shard)) continue;
    Job* job = cluster_.job(id);
    if (job == nullptr) {
      garbage_.push_back(entry.key);
      continue;
    }
    try {
      const auto record = storage::decode_placement_record(entry.data);
      placed += record.placed.size();
      // An earlier leader's launches may still be on their way, under any token below this one.
      cluster_.restore_placements(*job, shard, record, entry.revision,
                                  election_.fencing_token() - 1, now);
    } catch (const std::exception& error) {
      // Not ours to guess at: without this record a task could run twice.
      spdlog::error("record {}: {}", entry.key, error.what());
      election_.resign("a placement record cannot be read");
      return;
    }
  }
  loaded_placements_.clear();
  loaded_placements_.shrink_to_fit();
  for (auto& [name, machine] : cluster_.machines()) {
    // The leader before this one may have answered its reports until its own bound.
    machine.lease_renewed_at =
        std::max(machine.lease_renewed_at, begun_at_ + election_.grace_period());
    machine.known_to_exist_at = begun_at_;
  }
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->spec.is_gang() && job->placements.size() > 1)
      job->gang_started = true;  // to be on the safe side
  }
  ready_ = true;
  loading_ = false;
  election_.confirm_view(loading_since_);
  cluster_.set_types(catalog_.types());
  ready_at_ = now;
  spdlog::info("ready: {} jobs, {} tasks placed, after {:.0f} ms", cluster_.jobs().size(), placed,
               (now - begun_at_) * 1000);
  std::vector<std::string> ids;
  for (const auto& [id, job] : cluster_.jobs()) ids.push_back(id);
  for (const auto& id : ids) {
    Job* job = cluster_.job(id);
    if (job == nullptr) continue;
    if (job->cancelled) {
      cancel_job(*job);
    } else if (job->is_finished()) {
      persist(*job);
    }
  }
  watch_jobs();
  run_periodic_tasks();
  scale();
  list_machines();
  drop_garbage();
  request_plan();
}

void Leader::watch_jobs() {
  const Seconds sent = clock_.now();
  store_.watch(
      storage::kJobPrefix, watched_to_, election_.view_interval(),
      scope_.wrap([this, sent](storage::WatchReply reply) {
        if (reply.status == Status::ok) {
          for (const auto& event : reply.events) {
            const std::string id = event.key.substr(std::string(storage::kJobPrefix).size());
            if (!event.deleted) apply_job(id, event.data, event.revision);
          }
          watched_to_ = std::max(watched_to_, reply.revision);
          std::erase_if(finished_, [this](const auto& over) { return over.second <= watched_to_; });
          election_.confirm_view(sent);
          watch_jobs();
        } else if (reply.status == Status::too_old) {
          election_.resign("missed changes of the jobs");
        } else {
          scope_.after(settings_.heartbeat_interval_s * kRetryRatio, [this] { watch_jobs(); });
        }
      }));
}

void Leader::apply_job(const std::string& id, const storage::Json& data, std::uint64_t revision) {
  if (const auto it = finished_.find(id); it != finished_.end() && revision < it->second) return;
  Job* job = cluster_.job(id);
  if (job != nullptr && revision <= job->revision) return;
  try {
    const auto record = storage::decode_job(id, data);
    if (job == nullptr) {
      job = &cluster_.add_job(id, record, revision);
      cluster_.learn_arrival(*job);
      spdlog::debug("job {}: {} of {} tasks, class {}, team {}", id,
                    protocol::shape_name(record.spec.shape), record.spec.tasks,
                    record.spec.job_class, record.spec.team);
    } else {
      job->revision = revision;
    }
    job->cancelled_by_peer = false;
    if (record.cancelled && ready_) {
      cancel_job(*job);
    } else if (ready_) {
      request_plan();
    }
  } catch (const std::exception& error) {
    spdlog::error("record of {}: {}", id, error.what());
  }
}

bool Leader::cancelled_by_peer(const std::string& id) {
  Job* job = cluster_.job(id);
  if (job == nullptr) return false;
  if (job->cancelled) return true;
  job->cancelled_by_peer = true;
  if (ready_) {
    cancel_job(*job);
  } else {
    job->cancelled = true;
  }
  return true;
}

void Leader::refresh_job(const std::string& id) {
  store_.get(storage::job_key(id), scope_.wrap([this, id](Status status, storage::Entry entry) {
    if (status == Status::ok) {
      apply_job(id, entry.data, entry.revision);
      if (Job* job = cluster_.job(id)) {
        job->write_in_flight = false;
        if (job->cancelled_by_peer) {
          // The record says otherwise, and it is the record that counts.
          job->cancelled = job->cancelled_by_peer = false;
          request_plan();
        }
        persist(*job);
      }
    } else if (status == Status::missing) {
      election_.resign("the record of " + id + " is gone");
    } else {
      scope_.after(settings_.heartbeat_interval_s * kRetryRatio, [this, id] { refresh_job(id); });
    }
  }));
}

}  // namespace larkroad::coordination
