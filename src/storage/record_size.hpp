/// Sizes of stored records, for comparison with the key-value store's limit on one value.
#pragma once

#include <cstddef>

#include "protocol/json.hpp"

namespace larkroad::storage {

using protocol::Json;

/// The size of a record in bytes, as counted by the key-value store.
size_t encoded_size(const Json& record);

/// Whether the record is at most `value_bytes` long.
bool fits_value(const Json& record, double value_bytes);

}  // namespace larkroad::storage
