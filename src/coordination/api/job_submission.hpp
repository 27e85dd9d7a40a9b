/// Submissions of jobs by users.
#pragma once

#include <functional>
#include <string>

#include "coordination/api/job_lookup.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Accepts a job by writing its record, which any controller can do; the leader finds it by its
/// watch of the records.
///
/// Submissions are idempotent: one whose job was accepted before is answered with the job's state,
/// whatever it says now, and also when the job is over.
class JobSubmission {
 public:
  /// `services_supported`: whether every controller understands services; until then none is
  /// accepted. All references must outlive this.
  JobSubmission(transport::Clock& clock, storage::KeyValueClient& store, JobLookup& lookup,
                const MachineCatalog& catalog, const Settings& settings,
                std::function<bool()> services_supported);

  void handle(const std::string& body, transport::Respond respond);

 private:
  /// Answers with `response` unless the job was accepted before or the store cannot say so.
  void reject(const std::string& id, transport::Response response, transport::Respond respond);
  /// Asks the user to retry, unless the job is known to have been accepted before.
  void postpone(const std::string& id, const std::string& reason, transport::Respond respond);
  void accept(const protocol::JobSpec& spec, transport::Respond respond);
  void write_record(const storage::JobRecord& record, transport::Seconds until,
                    transport::Respond respond);
  /// Answers with the state of a job that was accepted by an earlier submission.
  void respond_with_state(const std::string& id, transport::Respond respond);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  JobLookup& lookup_;
  const MachineCatalog& catalog_;
  const Settings& settings_;
  std::function<bool()> services_supported_;
};

}  // namespace larkroad::coordination
