#include "coordination/api/user_api.hpp"

#include "coordination/api/api_responses.hpp"
#include "protocol/job_messages.hpp"
#include "protocol/user_routes.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {

namespace http_status = transport::http_status;
using protocol::JobState;
using protocol::UserCall;
using transport::Respond;

UserApi::UserApi(transport::Clock& clock, storage::KeyValueClient& store,
                 const MachineCatalog& catalog, const Settings& settings)
    : lookup_(clock, store, settings, progress_),
      submission_(clock, store, lookup_, catalog, settings,
                  [this] { return services_supported(); }),
      cancellation_(clock, store, lookup_, settings,
                    [this](const std::string& id) { on_cancelled(id); }) {}

void UserApi::handle(const transport::Request& request, Respond respond) {
  const auto target = protocol::route_user_call(request.method, request.target);
  if (target.call == UserCall::none) {
    respond(error_response(http_status::kNotFound, "no such path"));
    return;
  }
  if (target.wrong_method) {
    respond(error_response(http_status::kMethodNotAllowed, "no such method here"));
    return;
  }
  switch (target.call) {
    case UserCall::health:
      respond({healthy() ? http_status::kOk : http_status::kServiceUnavailable, "{}", 0});
      return;
    case UserCall::submit:
      submission_.handle(request.body, std::move(respond));
      return;
    case UserCall::query:
      query(target.id, std::move(respond));
      return;
    case UserCall::cancel:
      cancellation_.handle(target.id, std::move(respond));
      return;
    case UserCall::none:
      break;
  }
}

void UserApi::query(const std::string& id, Respond respond) {
  lookup_.find(id, [this, id, respond = std::move(respond)](const JobLookupResult& job) {
    respond(query_response(id, job));
  });
}

transport::Response UserApi::query_response(const std::string& id,
                                            const JobLookupResult& job) const {
  if (job.not_found()) return error_response(http_status::kNotFound, "no such job");
  if (!job.found()) return store_unavailable_response();
  const JobProgress progress = displayed_progress(id, job);
  return {http_status::kOk,
          protocol::encode_job_status(id, job.state, progress.done, progress.running), 0};
}

JobProgress UserApi::displayed_progress(const std::string& id, const JobLookupResult& job) const {
  if (job.state == JobState::done) return {job.finished_tasks, 0};
  if (job.is_over()) return {};
  const auto progress = progress_.find(id);
  return progress == progress_.end() ? JobProgress{} : progress->second;
}

}  // namespace larkroad::coordination
