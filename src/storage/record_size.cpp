#include "storage/record_size.hpp"

namespace larkroad::storage {

size_t encoded_size(const Json& record) { return record.dump().size(); }

bool fits_value(const Json& record, double value_bytes) {
  return static_cast<double>(encoded_size(record)) <= value_bytes;
}

}  // namespace larkroad::storage
