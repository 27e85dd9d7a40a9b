/// The HTTP interface to users.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "coordination/api/job_admission.hpp"
#include "coordination/api/job_cancellation.hpp"
#include "coordination/api/job_lookup.hpp"
#include "coordination/api/job_submission.hpp"
#include "coordination/scaling/machine_catalog.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Routes users' requests: submission, query, cancellation, health check.
///
/// Every controller answers them without the leader, by compare-and-swap transactions and reads
/// that are made after the request. Owned by the controller, which passes on to the leader what is
/// urgent for it. Runs on the event loop; not thread-safe.
class UserApi {
 public:
  using Progress = JobProgress;

  UserApi(transport::Clock& clock, storage::KeyValueClient& store, const MachineCatalog& catalog,
          const Settings& settings);

  UserApi(const UserApi&) = delete;
  UserApi& operator=(const UserApi&) = delete;

  /// Answers a request, now or later, once.
  void handle(const transport::Request& request, transport::Respond respond);

  /// Replaces what the leader has published of jobs that are running.
  void set_progress(ProgressByJob progress) { progress_ = std::move(progress); }

  /// The answer to health checks.
  std::function<bool()> healthy = [] { return true; };
  /// Whether every controller understands services; until then none is accepted.
  std::function<bool()> services_known = [] { return true; };
  /// Called once a cancellation is durable, before its user is answered.
  std::function<void(const std::string& id)> on_cancelled = [](const std::string&) {};

 private:
  void query(const std::string& id, transport::Respond respond);
  transport::Response query_response(const std::string& id, const JobLookupResult& job) const;
  /// The counts that users are shown, of tasks that are done and running.
  JobProgress displayed_progress(const std::string& id, const JobLookupResult& job) const;

  ProgressByJob progress_;
  JobLookup lookup_;
  JobSubmission submission_;
  JobCancellation cancellation_;
};

}  // namespace larkroad::coordination
