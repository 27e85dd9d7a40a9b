#include "storage/version_record.hpp"

#include "storage/record_error.hpp"

namespace larkroad::storage {
namespace {

constexpr const char* kRecordKind = "version";
constexpr const char* kVersion = "version";

}  // namespace

Json encode_version(std::uint64_t version) { return Json{{kVersion, version}}; }

std::uint64_t decode_version(const Json& data) {
  return RecordReader(kRecordKind, data).integer(kVersion);
}

}  // namespace larkroad::storage
