/// Lookup of jobs in the key-value store, for users' requests.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/api/finished_job_cache.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"
#include "storage/job_cache.hpp"
#include "storage/job_record.hpp"
#include "storage/key_value_client.hpp"

namespace larkroad::coordination {

/// Task counts of a job, as last published by the leader. For display only.
struct JobProgress {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
using ProgressByJob = std::unordered_map<std::string, JobProgress>;

/// The record of an unfinished job, and the revision to use as the precondition of an update.
struct ActiveJob {
  storage::JobRecord record;
  std::uint64_t revision = 0;
};

struct JobLookupResult {
  enum class Outcome {
    found,
    not_found,    ///< the job was never accepted
    unavailable,  ///< the store does not answer
  };
  Outcome outcome = Outcome::unavailable;
  protocol::JobState state = protocol::JobState::queued;
  std::uint32_t finished_tasks = 0;  ///< number of tasks; set for finished jobs only
  std::optional<ActiveJob> active;   ///< set by `find_with_record` for unfinished jobs only

  bool found() const { return outcome == Outcome::found; }
  bool not_found() const { return outcome == Outcome::not_found; }
  bool is_over() const {
    return state == protocol::JobState::done || state == protocol::JobState::cancelled;
  }
};

/// Looks jobs up with reads that start after the request has arrived.
///
/// This keeps responses consistent: once any controller has reported a job as accepted, finished or
/// cancelled, no controller may report an earlier state.
class JobLookup {
 public:
  using OnResult = std::function<void(const JobLookupResult&)>;

  /// `progress` must outlive this object.
  JobLookup(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings,
            const ProgressByJob& progress);

  /// Finds a job and its record, with a separate read.
  void find_with_record(const std::string& id, OnResult on_result);

  /// Finds a job without its record. Concurrent calls share one read.
  void find(const std::string& id, OnResult on_result);

  /// Finds a job that is known to be finished, without a read.
  std::optional<JobLookupResult> find_finished(const std::string& id) const;

 private:
  std::optional<JobLookupResult> find_without_store_read(const std::string& id);
  void read_finished(const std::string& id, OnResult on_result);
  JobLookupResult from_active_entry(const std::string& id, const storage::Entry& entry) const;
  JobLookupResult from_finished_entry(const std::string& id, const storage::Entry& entry);
  protocol::JobState state_of_active(const std::string& id, bool cancelled) const;

  storage::KeyValueClient& store_;
  const ProgressByJob& progress_;
  storage::JobCache active_jobs_;
  FinishedJobCache finished_jobs_;
};

}  // namespace larkroad::coordination
