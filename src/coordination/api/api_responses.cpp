#include "coordination/api/api_responses.hpp"

#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;
constexpr int kRetryAfterSeconds = 1;

}  // namespace

transport::Response state_response(int status, const std::string& id, protocol::JobState state) {
  return {status, protocol::encode_job_state(id, state), 0};
}

transport::Response error_response(int status, const std::string& reason) {
  return {status, protocol::encode_error(reason), 0};
}

transport::Response retry_response(const std::string& reason) {
  return {http_status::kServiceUnavailable, protocol::encode_error(reason), kRetryAfterSeconds};
}

transport::Response store_unavailable_response() {
  return retry_response("the state service cannot be asked at present");
}

}  // namespace larkroad::coordination
