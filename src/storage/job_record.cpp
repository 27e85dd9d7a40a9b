#include "storage/job_record.hpp"

#include <algorithm>
#include <exception>

#include "protocol/job_spec_record.hpp"
#include "storage/record_error.hpp"
#include "storage/record_size.hpp"

namespace larkroad::storage {
namespace {

constexpr const char* kRecordKind = "job";
constexpr const char* kSubmittedAt = "at";
constexpr const char* kTasksPerShard = "chunk";
constexpr const char* kCancelled = "cancelled";
// The name used in errors for all fields of the job's specification.
constexpr const char* kSpecification = "specification";

// The fields of the specification are stored next to the record's own fields, and the text of a
// decoding error names the field and the value found in it.
protocol::JobSpec decode_stored_spec(const std::string& id, const Json& data) {
  try {
    return protocol::decode_spec(id, data);
  } catch (const protocol::Malformed& error) {
    std::string reason = error.what();
    if (error.field() && data.contains(*error.field())) {
      reason += ", found " + describe(data.at(*error.field()));
    }
    throw RecordError(kRecordKind, kSpecification, reason);
  } catch (const std::exception& error) {
    throw RecordError(kRecordKind, kSpecification, error.what());
  }
}

}  // namespace

Json encode(const JobRecord& record) {
  Json out = protocol::encode_spec(record.spec);
  out[kSubmittedAt] = record.submitted_at;
  out[kTasksPerShard] = record.tasks_per_shard;
  if (record.cancelled) out[kCancelled] = true;
  return out;
}

JobRecord decode_job(const std::string& id, const Json& data) {
  const RecordReader reader(kRecordKind, data);
  JobRecord record;
  record.spec = decode_stored_spec(id, data);
  record.submitted_at = reader.amount(kSubmittedAt);
  const std::uint64_t tasks_per_shard = reader.integer(kTasksPerShard);
  record.tasks_per_shard = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, tasks_per_shard));
  record.cancelled = reader.boolean_or_false(kCancelled);
  return record;
}

bool is_cancelled(const Json& data) {
  const Json* cancelled = protocol::find(data, kCancelled);
  return cancelled != nullptr && cancelled->is_boolean() && cancelled->get<bool>();
}

Json encode_within(JobRecord record, double value_bytes) {
  Json out = encode(record);
  if (!record.cancelled || fits_value(out, value_bytes)) return out;
  record.spec.types.reset();
  record.spec.zone.reset();
  record.spec.image.clear();
  record.spec.job_class.clear();
  return encode(record);
}

bool cancelled_record_fits(JobRecord record, double value_bytes) {
  record.cancelled = true;
  return fits_value(encode(record), value_bytes);
}

}  // namespace larkroad::storage
