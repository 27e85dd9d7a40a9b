/// Responses that the handlers of users' requests share.
#pragma once

#include <string>

#include "protocol/job_messages.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// A request that is still undecided after this time is answered with 503 and Retry-After. Users
/// time out after 5 s (2 s for a query) and then retry.
inline constexpr transport::Seconds kResponseTimeout = 1.5;

/// Reports the state of a job, with status 200, or 201 when it has just been accepted.
transport::Response state_response(int status, const std::string& id, protocol::JobState state);

transport::Response error_response(int status, const std::string& reason);

/// Responds with 503 and Retry-After.
transport::Response retry_response(const std::string& reason);

/// Responds with 503 and Retry-After because the key-value store does not answer.
transport::Response store_unavailable_response();

}  // namespace larkroad::coordination
