/// Cancellations of jobs by users.
#pragma once

#include <functional>
#include <string>

#include "coordination/api/job_lookup.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Cancels a job by a compare-and-swap of its record, which any controller can do; the leader finds
/// it by its watch of the records. Cancellations are idempotent.
class JobCancellation {
 public:
  /// `on_cancelled` is called once a cancellation is durable, before its user is answered. All
  /// references must outlive this.
  JobCancellation(transport::Clock& clock, storage::KeyValueClient& store, JobLookup& lookup,
                  const Settings& settings,
                  std::function<void(const std::string& id)> on_cancelled);

  void handle(const std::string& id, transport::Respond respond);

 private:
  void attempt(const std::string& id, transport::Seconds until, transport::Respond respond);
  void write_record(const std::string& id, const ActiveJob& job, transport::Seconds until,
                    transport::Respond respond);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  JobLookup& lookup_;
  const Settings& settings_;
  std::function<void(const std::string& id)> on_cancelled_;
};

}  // namespace larkroad::coordination
