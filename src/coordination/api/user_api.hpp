/// The HTTP API for users.
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
/// Every controller serves them without the leader, with compare-and-swap transactions and with
/// reads that start after the request has arrived. Owned by the controller, which notifies the
/// leader of cancellations. Runs on the event loop; not thread-safe.
class UserApi {
 public:
  using Progress = JobProgress;

  UserApi(transport::Clock& clock, storage::KeyValueClient& store, const MachineCatalog& catalog,
          const Settings& settings);

  UserApi(const UserApi&) = delete;
  UserApi& operator=(const UserApi&) = delete;

  /// Calls `respond` exactly once, synchronously or later.
  void handle(const transport::Request& request, transport::Respond respond);

  /// Replaces the progress of running jobs, as published by the leader.
  void set_progress(ProgressByJob progress) { progress_ = std::move(progress); }

  /// The result of health checks.
  std::function<bool()> healthy = [] { return true; };
  /// Whether every controller supports services; until then no service is accepted.
  std::function<bool()> services_supported = [] { return true; };
  /// Called once a cancellation is durable, before the response is sent.
  std::function<void(const std::string& id)> on_cancelled = [](const std::string&) {};

 private:
  void query(const std::string& id, transport::Respond respond);
  transport::Response query_response(const std::string& id, const JobLookupResult& job) const;
  /// The numbers of completed and running tasks to report to the user.
  JobProgress displayed_progress(const std::string& id, const JobLookupResult& job) const;

  ProgressByJob progress_;
  JobLookup lookup_;
  JobSubmission submission_;
  JobCancellation cancellation_;
};

}  // namespace larkroad::coordination
