/// The version of records and messages that a controller supports, stored under `v/MEMBER`. A
/// feature of a newer version is used once every controller has recorded that version or a later
/// one.
#pragma once

#include <cstdint>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

Json encode_version(std::uint64_t version);

/// Throws RecordError.
std::uint64_t decode_version(const Json& data);

}  // namespace larkroad::storage
