#include "coordination/api/job_lookup.hpp"

#include <exception>
#include <utility>

#include "log.hpp"
#include "storage/finished_record.hpp"
#include "storage/record_keys.hpp"

namespace larkroad::coordination {
namespace {

using protocol::JobState;
using storage::Status;
using Outcome = JobLookupResult::Outcome;

// The result of a read that found no job or was not answered.
JobLookupResult result_without_job(Status status) {
  JobLookupResult result;
  result.outcome = status == Status::missing ? Outcome::not_found : Outcome::unavailable;
  return result;
}

JobLookupResult result_of_finished(const storage::FinishedRecord& record) {
  JobLookupResult result;
  result.outcome = Outcome::found;
  result.state = record.cancelled ? JobState::cancelled : JobState::done;
  result.finished_tasks = record.tasks;
  return result;
}

}  // namespace

JobLookup::JobLookup(transport::Clock& clock, storage::KeyValueClient& store,
                     const Settings& settings, const ProgressByJob& progress)
    : store_(store), progress_(progress), active_jobs_(clock, store, settings) {}

std::optional<JobLookupResult> JobLookup::find_finished(const std::string& id) const {
  const storage::FinishedRecord* record = finished_jobs_.find(id);
  if (record == nullptr) return std::nullopt;
  return result_of_finished(*record);
}

std::optional<JobLookupResult> JobLookup::find_without_store_read(const std::string& id) {
  if (auto finished = find_finished(id)) return finished;
  if (!protocol::valid_job_id(id)) return result_without_job(Status::missing);
  if (!store_.allow_request()) return result_without_job(Status::unavailable);
  return std::nullopt;
}

JobState JobLookup::state_of_active(const std::string& id, bool cancelled) const {
  if (cancelled) return JobState::cancelled;
  const auto progress = progress_.find(id);
  const bool running = progress != progress_.end() && progress->second.running > 0;
  return running ? JobState::running : JobState::queued;
}

// A single transaction moves the record of a finished job from `job_key` to `finished_key`, so
// reading the keys in this order cannot miss a job that existed before the first read.
void JobLookup::find_with_record(const std::string& id, OnResult on_result) {
  if (const auto known = find_without_store_read(id)) {
    on_result(*known);
    return;
  }
  store_.get(
      storage::job_key(id),
      [this, id, on_result = std::move(on_result)](Status status, const storage::Entry& entry) {
        if (status == Status::missing) {
          read_finished(id, on_result);
        } else if (status == Status::ok) {
          on_result(from_active_entry(id, entry));
        } else {
          on_result(result_without_job(status));
        }
      },
      storage::RequestPriority::user);
}

void JobLookup::find(const std::string& id, OnResult on_result) {
  if (const auto known = find_without_store_read(id)) {
    on_result(*known);
    return;
  }
  active_jobs_.refresh([this, id, on_result = std::move(on_result)](Status status) {
    if (status != Status::ok) {
      on_result(result_without_job(status));
      return;
    }
    const auto* job = active_jobs_.find(id);
    if (job == nullptr) {
      read_finished(id, on_result);
      return;
    }
    JobLookupResult result;
    result.outcome = Outcome::found;
    result.state = state_of_active(id, job->cancelled);
    on_result(result);
  });
}

void JobLookup::read_finished(const std::string& id, OnResult on_result) {
  store_.get(
      storage::finished_key(id),
      [this, id, on_result = std::move(on_result)](Status status, const storage::Entry& entry) {
        on_result(status == Status::ok ? from_finished_entry(id, entry)
                                       : result_without_job(status));
      },
      storage::RequestPriority::user);
}

JobLookupResult JobLookup::from_active_entry(const std::string& id,
                                             const storage::Entry& entry) const {
  JobLookupResult result;
  try {
    result.active = ActiveJob{storage::decode_job(id, entry.data), entry.revision};
  } catch (const std::exception& error) {
    spdlog::error("cannot decode job record: job={} error={}", id, error.what());
    return result;
  }
  result.outcome = Outcome::found;
  result.state = state_of_active(id, result.active->record.cancelled);
  return result;
}

JobLookupResult JobLookup::from_finished_entry(const std::string& id, const storage::Entry& entry) {
  const auto record = storage::decode_finished(entry.data);
  finished_jobs_.insert(id, record);
  return result_of_finished(record);
}

}  // namespace larkroad::coordination
