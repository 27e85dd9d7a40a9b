/// The record of a job that is over, stored under `d/ID` for good: users may ask about a job, and
/// submit it again, at any later time.
#pragma once

#include <cstdint>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

struct FinishedRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;  ///< how many tasks the job had
};

Json encode(const FinishedRecord& record);

/// Throws RecordError.
FinishedRecord decode_finished(const Json& data);

}  // namespace larkroad::storage
