/// Sizes of stored records, against the limit that the key-value store sets on one value.
#pragma once

#include <cstddef>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

/// The size of a record in bytes, as the key-value store counts it.
size_t encoded_size(const Json& record);

/// Whether a record is no larger than `value_bytes`.
bool fits_value(const Json& record, double value_bytes);

}  // namespace larkroad::storage
