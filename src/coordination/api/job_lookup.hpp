/// What is recorded of a job, for users' requests.
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

/// How far a job is, as the leader last published it. For display only.
struct JobProgress {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};
using ProgressByJob = std::unordered_map<std::string, JobProgress>;

/// The record of a job that is not over, and the revision that a change of it depends on.
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
  std::uint32_t finished_tasks = 0;  ///< how many tasks a job had that is over
  std::optional<ActiveJob> active;   ///< only from `find_with_record`, of a job that is not over

  bool found() const { return outcome == Outcome::found; }
  bool not_found() const { return outcome == Outcome::not_found; }
  bool is_over() const {
    return state == protocol::JobState::done || state == protocol::JobState::cancelled;
  }
};

/// Finds jobs by reads that are made after the request came in.
///
/// Once any controller has reported to a user that a job is accepted, over or cancelled, no
/// controller may give an older answer.
class JobLookup {
 public:
  using Done = std::function<void(const JobLookupResult&)>;

  /// `progress` must outlive the lookup.
  JobLookup(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings,
            const ProgressByJob& progress);

  /// Finds a job and its record, by a read of its own.
  void find_with_record(const std::string& id, Done done);

  /// Finds a job without its record, by a read that all queries of a moment share.
  void find(const std::string& id, Done done);

  /// Finds a job that is known to be over, without a read.
  std::optional<JobLookupResult> find_finished(const std::string& id) const;

 private:
  std::optional<JobLookupResult> find_without_reading(const std::string& id);
  void read_finished(const std::string& id, Done done);
  JobLookupResult from_active_entry(const std::string& id, const storage::Entry& entry) const;
  JobLookupResult from_finished_entry(const std::string& id, const storage::Entry& entry);
  protocol::JobState state_of_active(const std::string& id, bool cancelled) const;

  storage::KeyValueClient& store_;
  const ProgressByJob& progress_;
  storage::JobCache active_jobs_;
  FinishedJobCache finished_jobs_;
};

}  // namespace larkroad::coordination
