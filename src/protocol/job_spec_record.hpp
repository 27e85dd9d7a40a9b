/// Format of a job's specification in the key-value store.
///
///     {"class":"train","team":"vision","gang":true,"priority":1,"tasks":16,"cpus":8.0,...}
///
/// Field names differ from those of a submission. Records are read by this version and by earlier
/// ones, so names and meanings must not change, and a new field must be safe for an older version
/// to ignore.
#pragma once

#include <string>

#include "protocol/job_messages.hpp"
#include "protocol/json.hpp"

namespace larkroad::protocol {

Json encode_spec(const JobSpec& spec);
/// Records are written by larkroad itself, so values are not validated as in a submission. Throws
/// Malformed if a field is missing or of the wrong type.
JobSpec decode_spec(const std::string& id, const Json& record);

}  // namespace larkroad::protocol
