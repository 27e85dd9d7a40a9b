/// The record of a job that is not over, stored under `j/ID` from its acceptance to its end.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/job_messages.hpp"
#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

struct JobRecord {
  protocol::JobSpec spec;
  double submitted_at = 0;  ///< time of day, in seconds
  std::uint32_t tasks_per_shard = 1;
  bool cancelled = false;
};

Json encode(const JobRecord& record);

/// `id`: the job's id, which the record does not repeat. Throws RecordError.
JobRecord decode_job(const std::string& id, const Json& data);

/// Reads no more of a job's record than whether the job is cancelled; false when it does not say.
bool is_cancelled(const Json& data);

/// Encodes a job's record for a value of at most `value_bytes`.
///
/// A job that was accepted under larger limits may not fit. When it is cancelled, its record leaves
/// out what only matters for starting tasks, so that the cancellation can still be written.
Json encode_within(JobRecord record, double value_bytes);

/// Whether a new job's record fits `value_bytes`, and still does once the job is cancelled.
bool can_be_cancelled_within(JobRecord record, double value_bytes);

}  // namespace larkroad::storage
