#include "coordination/api/job_cancellation.hpp"

#include <optional>
#include <utility>

#include "coordination/api/api_responses.hpp"
#include "storage/job_record.hpp"
#include "storage/record_keys.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {

namespace http_status = transport::http_status;
using protocol::JobState;
using storage::Status;
using transport::Respond;

JobCancellation::JobCancellation(transport::Clock& clock, storage::KeyValueClient& store,
                                 JobLookup& lookup, const Settings& settings,
                                 std::function<void(const std::string& id)> on_cancelled)
    : clock_(clock),
      store_(store),
      lookup_(lookup),
      settings_(settings),
      on_cancelled_(std::move(on_cancelled)) {}

void JobCancellation::handle(const std::string& id, Respond respond) {
  attempt(id, clock_.now() + kResponseTimeout, std::move(respond));
}

void JobCancellation::attempt(const std::string& id, transport::Seconds deadline, Respond respond) {
  lookup_.find_with_record(
      id, [this, id, deadline, respond = std::move(respond)](const JobLookupResult& job) {
        if (job.not_found()) {
          respond(error_response(http_status::kNotFound, "no such job"));
        } else if (!job.found()) {
          respond(store_unavailable_response());
        } else if (job.is_over() || !job.active) {
          respond(state_response(http_status::kOk, id, job.state));
        } else {
          write_record(id, *job.active, deadline, respond);
        }
      });
}

void JobCancellation::write_record(const std::string& id, const ActiveJob& job,
                                   transport::Seconds deadline, Respond respond) {
  storage::JobRecord record = job.record;
  record.cancelled = true;
  const double value_bytes = settings_.strictest_store_limits().value_bytes();
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::job_key(id), job.revision});
  transaction.writes.push_back(
      {storage::job_key(id), storage::encode_within(record, value_bytes), std::nullopt});
  store_.commit_until_certain(
      std::move(transaction), [this, deadline] { return clock_.now() < deadline; },
      [this, id, deadline, respond = std::move(respond)](const storage::CommitReply& reply) {
        if (reply.status == Status::ok) {
          on_cancelled_(id);
          respond(state_response(http_status::kOk, id, JobState::cancelled));
        } else if (reply.status == Status::conflict && clock_.now() < deadline) {
          attempt(id, deadline, respond);  // the record has changed since it was read
        } else {
          respond(store_unavailable_response());
        }
      },
      storage::RequestPriority::user);
}

}  // namespace larkroad::coordination
