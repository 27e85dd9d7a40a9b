/// Handling of users' job submissions.
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

/// Accepts a job by writing its record. Any controller can do this; the leader learns of it from
/// its watch on the job records.
///
/// Submissions are idempotent: if a job of the same id was accepted before, the response is the
/// state of that job, whatever the repeated submission contains and even if the job is finished.
class JobSubmission {
 public:
  /// `services_supported`: whether every controller supports services; until then no service is
  /// accepted. All references must outlive this object.
  JobSubmission(transport::Clock& clock, storage::KeyValueClient& store, JobLookup& lookup,
                const MachineCatalog& catalog, const Settings& settings,
                std::function<bool()> services_supported);

  void handle(const std::string& body, transport::Respond respond);

 private:
  /// Responds with `response`, unless the job was accepted before (responds with its state) or the
  /// store does not answer (asks the user to retry).
  void reject(const std::string& id, transport::Response response, transport::Respond respond);
  /// Asks the user to retry, unless the job is known to have been accepted before.
  void postpone(const std::string& id, const std::string& reason, transport::Respond respond);
  void accept(const protocol::JobSpec& spec, transport::Respond respond);
  void write_record(const storage::JobRecord& record, transport::Seconds deadline,
                    transport::Respond respond);
  /// Responds with the state of a job that an earlier submission created.
  void respond_with_state(const std::string& id, transport::Respond respond);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  JobLookup& lookup_;
  const MachineCatalog& catalog_;
  const Settings& settings_;
  std::function<bool()> services_supported_;
};

}  // namespace larkroad::coordination
