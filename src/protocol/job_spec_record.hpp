/// A job's specification as it is kept in the key-value store.
///
///     {"class":"train","team":"vision","gang":true,"priority":1,"tasks":16,"cpus":8.0,...}
///
/// The names differ from those of a submission. Records are read by this version and by those
/// before it, so names and meanings stay; what an older version does not know must be safe to
/// ignore.
#pragma once

#include <string>

#include "protocol/job_messages.hpp"
#include "protocol/json.hpp"

namespace larkroad::protocol {

Json encode_spec(const JobSpec& spec);
/// The reader trusts what this program wrote: values are not checked as those of a submission are.
/// Throws Malformed where a field is missing or of another kind.
JobSpec decode_spec(const std::string& id, const Json& record);

}  // namespace larkroad::protocol
