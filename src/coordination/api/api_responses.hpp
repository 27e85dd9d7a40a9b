/// Responses to users that several of their requests share.
#pragma once

#include <string>

#include "protocol/job_messages.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

/// Users wait 5 s for an answer (2 s for a query) and then retry. Well before that they are asked
/// to.
inline constexpr transport::Seconds kAnswerWithin = 1.5;

/// The state of a job, with status 200, or 201 when it has just been accepted.
transport::Response state_response(int status, const std::string& id, protocol::JobState state);

transport::Response error_response(int status, const std::string& reason);

/// Asks the user to retry.
transport::Response retry_response(const std::string& reason);

/// Asks the user to retry as the key-value store does not answer.
transport::Response store_unavailable_response();

}  // namespace larkroad::coordination
