#include "coordination/api/job_submission.hpp"

#include <exception>
#include <optional>
#include <utility>

#include "coordination/api/api_responses.hpp"
#include "coordination/api/job_admission.hpp"
#include "storage/job_record.hpp"
#include "storage/placement_record.hpp"
#include "storage/record_keys.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;
using protocol::JobState;
using storage::Status;
using transport::Respond;
using transport::Response;

struct ParsedSubmission {
  std::string id;  // empty if it could not be parsed
  std::optional<protocol::JobSpec> spec;
  std::string error;  // the reason if there is no specification
};

// The id is parsed separately because a submission that is otherwise malformed may repeat one that
// was accepted.
ParsedSubmission parse(const std::string& body) {
  ParsedSubmission parsed;
  try {
    const auto json = protocol::parse_object(body);
    if (const auto* id = protocol::find(json, "ref"); id != nullptr && id->is_string()) {
      parsed.id = id->get<std::string>();
    }
    parsed.spec = protocol::parse_submission(json);
  } catch (const std::exception& error) {
    parsed.error = error.what();
  }
  return parsed;
}

storage::Transaction new_job_transaction(const storage::JobRecord& record) {
  const std::string& id = record.spec.id;
  storage::Transaction transaction;
  transaction.preconditions.push_back({storage::job_key(id), 0});
  transaction.preconditions.push_back({storage::finished_key(id), 0});
  transaction.writes.push_back({storage::job_key(id), storage::encode(record), std::nullopt});
  return transaction;
}

}  // namespace

JobSubmission::JobSubmission(transport::Clock& clock, storage::KeyValueClient& store,
                             JobLookup& lookup, const MachineCatalog& catalog,
                             const Settings& settings, std::function<bool()> services_supported)
    : clock_(clock),
      store_(store),
      lookup_(lookup),
      catalog_(catalog),
      settings_(settings),
      services_supported_(std::move(services_supported)) {}

void JobSubmission::handle(const std::string& body, Respond respond) {
  ParsedSubmission parsed = parse(body);
  if (!parsed.spec) {
    reject(parsed.id, error_response(http_status::kBadRequest, parsed.error), std::move(respond));
    return;
  }
  if (!catalog_.known()) {
    respond(retry_response("the machine types are not known yet"));
    return;
  }
  protocol::JobSpec& spec = *parsed.spec;
  if (const auto reason = unschedulable_reason(spec, settings_, catalog_.types())) {
    reject(spec.id, error_response(http_status::kUnprocessableEntity, *reason), std::move(respond));
    return;
  }
  if (spec.is_service() && !services_supported_()) {
    postpone(spec.id, "not all controllers know services yet", std::move(respond));
    return;
  }
  remove_unknown_types(spec, catalog_.types());
  accept(spec, std::move(respond));
}

void JobSubmission::reject(const std::string& id, Response response, Respond respond) {
  if (!protocol::valid_job_id(id)) {
    respond(std::move(response));
    return;
  }
  // An accepted job stays accepted, whatever a repeated submission contains.
  lookup_.find_with_record(id, [id, response = std::move(response),
                                respond = std::move(respond)](const JobLookupResult& job) {
    if (job.found()) {
      respond(state_response(http_status::kOk, id, job.state));
    } else if (job.not_found()) {
      respond(response);
    } else {
      respond(store_unavailable_response());
    }
  });
}

void JobSubmission::postpone(const std::string& id, const std::string& reason, Respond respond) {
  lookup_.find_with_record(id, [id, reason,
                                respond = std::move(respond)](const JobLookupResult& job) {
    respond(job.found() ? state_response(http_status::kOk, id, job.state) : retry_response(reason));
  });
}

void JobSubmission::accept(const protocol::JobSpec& spec, Respond respond) {
  const transport::Seconds deadline = clock_.now() + kResponseTimeout;
  if (const auto finished = lookup_.find_finished(spec.id)) {
    respond(state_response(http_status::kOk, spec.id, finished->state));
    return;
  }
  if (!store_.allow_request()) {
    respond(store_unavailable_response());
    return;
  }
  const StoreLimits limits = settings_.strictest_store_limits();
  const storage::JobRecord record{spec, clock_.unix_time(),
                                  storage::max_tasks_per_shard(limits.value_kb), false};
  if (!storage::cancelled_record_fits(record, limits.value_bytes())) {
    reject(spec.id,
           error_response(http_status::kBadRequest, "the names in it are too long together"),
           std::move(respond));
    return;
  }
  write_record(record, deadline, std::move(respond));
}

void JobSubmission::write_record(const storage::JobRecord& record, transport::Seconds deadline,
                                 Respond respond) {
  // The outcome must be certain before the user gets a final response.
  store_.commit_until_certain(
      new_job_transaction(record), [this, deadline] { return clock_.now() < deadline; },
      [this, id = record.spec.id, respond = std::move(respond)](const storage::CommitReply& reply) {
        if (reply.status == Status::ok) {
          respond(state_response(http_status::kCreated, id, JobState::queued));
        } else if (reply.status == Status::conflict) {
          respond_with_state(id, respond);
        } else {
          respond(store_unavailable_response());
        }
      },
      storage::RequestPriority::user);
}

void JobSubmission::respond_with_state(const std::string& id, Respond respond) {
  lookup_.find_with_record(id, [id, respond = std::move(respond)](const JobLookupResult& job) {
    respond(job.found() ? state_response(http_status::kOk, id, job.state)
                        : store_unavailable_response());
  });
}

}  // namespace larkroad::coordination
