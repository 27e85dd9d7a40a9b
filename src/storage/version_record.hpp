/// The version of records and messages that a controller understands, stored under `v/MEMBER`. What
/// only a newer version understands is used once every controller has recorded such a version.
#pragma once

#include <cstdint>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

Json encode_version(std::uint64_t version);

/// Throws RecordError.
std::uint64_t decode_version(const Json& data);

}  // namespace larkroad::storage
