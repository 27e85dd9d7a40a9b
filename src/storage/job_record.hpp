/// The record of an unfinished job, stored under `j/ID` from its acceptance to its end.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/job_messages.hpp"
#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

struct JobRecord {
  protocol::JobSpec spec;
  double submitted_at = 0;  ///< wall-clock time, in seconds
  std::uint32_t tasks_per_shard = 1;
  bool cancelled = false;
};

Json encode(const JobRecord& record);

/// `id`: the job's id, which is stored only in the key. Throws RecordError.
JobRecord decode_job(const std::string& id, const Json& data);

/// Reads only the cancellation flag of a job's record; false when it is absent.
bool is_cancelled(const Json& data);

/// Encodes a job's record, shortened if needed to fit a value of `value_bytes`.
///
/// The record of a job that was accepted under larger limits may not fit. If the job is cancelled,
/// the fields that are only needed to start tasks are then omitted, so that the cancellation can
/// still be written.
Json encode_within(JobRecord record, double value_bytes);

/// Whether a new job's record fits into `value_bytes` even after the job is cancelled.
bool cancelled_record_fits(JobRecord record, double value_bytes);

}  // namespace larkroad::storage
