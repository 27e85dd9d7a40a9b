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

// A result without a job, for a read that found none or was not answered.
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

std::optional<JobLookupResult> JobLookup::find_without_reading(const std::string& id) {
  if (auto finished = find_finished(id)) return finished;
  if (!protocol::valid_job_id(id)) return result_without_job(Status::missing);
  if (!store_.worth_trying()) return result_without_job(Status::unavailable);
  return std::nullopt;
}

JobState JobLookup::state_of_active(const std::string& id, bool cancelled) const {
  if (cancelled) return JobState::cancelled;
  const auto progress = progress_.find(id);
  const bool running = progress != progress_.end() && progress->second.running > 0;
  return running ? JobState::running : JobState::queued;
}

// A job's record moves from the one key to the other in a single transaction, so reading first the
// one and then the other cannot miss a job that was there before the first read.
void JobLookup::find_with_record(const std::string& id, Done done) {
  if (const auto known = find_without_reading(id)) {
    done(*known);
    return;
  }
  store_.get(
      storage::job_key(id),
      [this, id, done = std::move(done)](Status status, const storage::Entry& entry) {
        if (status == Status::missing) {
          read_finished(id, done);
        } else if (status == Status::ok) {
          done(from_active_entry(id, entry));
        } else {
          done(result_without_job(status));
        }
      },
      storage::RequestPriority::user);
}

void JobLookup::find(const std::string& id, Done done) {
  if (const auto known = find_without_reading(id)) {
    done(*known);
    return;
  }
  active_jobs_.refresh([this, id, done = std::move(done)](Status status) {
    if (status != Status::ok) {
      done(result_without_job(status));
      return;
    }
    const auto* job = active_jobs_.find(id);
    if (job == nullptr) {
      read_finished(id, done);
      return;
    }
    JobLookupResult result;
    result.outcome = Outcome::found;
    result.state = state_of_active(id, job->cancelled);
    done(result);
  });
}

void JobLookup::read_finished(const std::string& id, Done done) {
  store_.get(
      storage::finished_key(id),
      [this, id, done = std::move(done)](Status status, const storage::Entry& entry) {
        done(status == Status::ok ? from_finished_entry(id, entry) : result_without_job(status));
      },
      storage::RequestPriority::user);
}

JobLookupResult JobLookup::from_active_entry(const std::string& id,
                                             const storage::Entry& entry) const {
  JobLookupResult result;
  try {
    result.active = ActiveJob{storage::decode_job(id, entry.data), entry.revision};
  } catch (const std::exception& error) {
    spdlog::error("job record unreadable: job={} error={}", id, error.what());
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
