/// The record of a finished job, stored under `d/ID`. It is never deleted, because users may query
/// the job or submit it again at any later time.
#pragma once

#include <cstdint>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

struct FinishedRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;  ///< the number of tasks of the job
};

Json encode(const FinishedRecord& record);

/// Throws RecordError.
FinishedRecord decode_finished(const Json& data);

}  // namespace larkroad::storage
