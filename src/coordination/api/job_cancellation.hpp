/// Handling of users' requests to cancel a job.
#pragma once

#include <functional>
#include <string>

#include "coordination/api/job_lookup.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Cancels a job by a compare-and-swap on its record. Any controller can do this; the leader learns
/// of it from its watch on the job records. Cancellations are idempotent.
class JobCancellation {
 public:
  /// `on_cancelled` is called once a cancellation is durable, before the response is sent. All
  /// references must outlive this object.
  JobCancellation(transport::Clock& clock, storage::KeyValueClient& store, JobLookup& lookup,
                  const Settings& settings,
                  std::function<void(const std::string& id)> on_cancelled);

  void handle(const std::string& id, transport::Respond respond);

 private:
  void attempt(const std::string& id, transport::Seconds deadline, transport::Respond respond);
  void write_record(const std::string& id, const ActiveJob& job, transport::Seconds deadline,
                    transport::Respond respond);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  JobLookup& lookup_;
  const Settings& settings_;
  std::function<void(const std::string& id)> on_cancelled_;
};

}  // namespace larkroad::coordination
