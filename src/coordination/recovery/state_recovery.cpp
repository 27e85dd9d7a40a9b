#include "coordination/recovery/state_recovery.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "log.hpp"

namespace larkroad::coordination {

StateRecovery::StateRecovery(transport::Clock& clock, storage::KeyValueClient& store,
                             Leadership& leadership, const Settings& settings,
                             ClusterState& cluster, GarbageCollector& garbage_collector,
                             Callbacks callbacks)
    : clock_(clock),
      leadership_(leadership),
      cluster_(cluster),
      garbage_collector_(garbage_collector),
      callbacks_(std::move(callbacks)),
      reader_(clock, store, settings) {}

void StateRecovery::start(Seconds term_began_at) {
  reader_.cancel();
  term_began_at_ = term_began_at;
  jobs_revision_ = 0;
  placement_entries_.clear();
  recovered_state_ = {};
  read_jobs();
}

void StateRecovery::read_jobs() {
  reader_.read(
      storage::kJobPrefix, [this](PagedReader::Page& page) { apply_jobs(page); },
      [this] { read_placements(); });
}

void StateRecovery::apply_jobs(const PagedReader::Page& page) {
  if (jobs_revision_ == 0) {
    jobs_revision_ = page.reply.revision;
    recovered_state_.jobs_requested_at = page.requested_at;
    callbacks_.watch_from(jobs_revision_);
  }
  for (const auto& entry : page.reply.entries) callbacks_.apply_job(entry);
}

void StateRecovery::read_placements() {
  reader_.read(
      storage::kPlacementPrefix,
      [this](PagedReader::Page& page) {
        for (auto& entry : page.reply.entries) placement_entries_.push_back(std::move(entry));
      },
      [this] { read_images(); });
}

void StateRecovery::read_images() {
  reader_.read(
      storage::kMachinePrefix,
      [this](PagedReader::Page& page) {
        for (const auto& entry : page.reply.entries) apply_images(entry);
      },
      [this] { finish(); });
}

// Cached images only speed up task starts, so an invalid record is skipped.
void StateRecovery::apply_images(const storage::Entry& entry) {
  const std::string machine = entry.key.substr(std::string_view(storage::kMachinePrefix).size());
  try {
    recovered_state_.images[machine] = storage::decode_images(entry.data);
  } catch (const std::exception& error) {
    spdlog::error("record invalid: key={} error=\"{}\"", entry.key, error.what());
  }
}

void StateRecovery::finish() {
  if (!restore_placements()) return;
  restore_machines();
  restore_gangs();
  callbacks_.recovered(std::move(recovered_state_));
}

// Returns false if a record is invalid, in which case the term has been ended.
bool StateRecovery::restore_placements() {
  const Seconds now = clock_.now();
  const std::vector<storage::Entry> entries = std::exchange(placement_entries_, {});
  for (const auto& entry : entries) {
    const auto placement_key = storage::parse_placement_key(entry.key);
    if (!placement_key) continue;
    Job* job = cluster_.job(placement_key->job);
    if (job == nullptr) {
      garbage_collector_.add(entry.key);
      continue;
    }
    try {
      restore_placement(*job, placement_key->shard, entry, now);
    } catch (const std::exception& error) {
      spdlog::error("record invalid: key={} error=\"{}\"", entry.key, error.what());
      leadership_.resign("placement record " + entry.key + " is invalid: " + error.what());
      return false;
    }
  }
  return true;
}

void StateRecovery::restore_placement(Job& job, std::uint32_t shard, const storage::Entry& entry,
                                      Seconds now) {
  const auto record = storage::decode_placement_record(entry.data);
  recovered_state_.placed_tasks += record.placed.size();
  // Launches by earlier leaders, under any lower fencing token, may still be in transit.
  cluster_.restore_placements(job, shard, record, entry.revision, leadership_.fencing_token() - 1,
                              now);
}

void StateRecovery::restore_machines() {
  for (auto& [name, machine] : cluster_.machines()) {
    // The previous leader may have renewed the worker's lease until the end of its grace period.
    machine.lease_renewed_at =
        std::max(machine.lease_renewed_at, term_began_at_ + leadership_.grace_period());
    machine.known_to_exist_at = term_began_at_;
  }
}

// The records do not tell whether a gang was already running. It is assumed to be, so that it is
// aborted as a whole if one of its tasks is lost.
void StateRecovery::restore_gangs() {
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->spec.is_gang() && job->placements.size() > 1) job->gang_started = true;
  }
}

}  // namespace larkroad::coordination
